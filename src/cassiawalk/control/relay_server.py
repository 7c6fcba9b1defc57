"""Relays the ``control`` stream to hosts that subscribe to this one."""

import asyncio
import collections.abc as cabc
import dataclasses

from cassiawalk.clock import Clock
from cassiawalk.control.follower import ControlFollower
from cassiawalk.control.follower import Freshness
from cassiawalk.control.relay_messages import RelayEntries
from cassiawalk.control.relay_messages import RelayEntry
from cassiawalk.control.relay_messages import RelayHeartbeat
from cassiawalk.control.relay_messages import RelayHeartbeatReply
from cassiawalk.control.relay_messages import RelayRefused
from cassiawalk.control.relay_messages import RelayState
from cassiawalk.control.relay_messages import RelaySubscribe
from cassiawalk.control.relay_messages import RelaySubscribed
from cassiawalk.control.snapshots import encode_state
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.peer import StreamPart
from cassiawalk.peer import messages

MAX_CHILDREN = 16
CHILD_TIMEOUT_S = 10.0
BATCH_ENTRIES = 256
_CHECK_INTERVAL_S = 1.0


@dataclasses.dataclass(kw_only=True, eq=False)
class _Child:
    """One subscription; ``last_heartbeat_at`` is in monotonic seconds."""

    last_heartbeat_at: float


class RelayServer:
    """Serves subscriptions and heartbeats from the current state of the follower."""

    def __init__(self, *, follower: ControlFollower, clock: Clock) -> None:
        self._follower = follower
        self._clock = clock
        self._children: dict[HostId, _Child] = {}
        self._encoded_state: RelayState | None = None

    @property
    def children(self) -> tuple[HostId, ...]:
        """Return the hosts that are subscribed to this one."""
        return tuple(self._children)

    async def heartbeat(self, call: RelayHeartbeat) -> RelayHeartbeatReply:
        """Answer a child's heartbeat."""
        child = self._children.get(call.host)
        if child is not None:
            child.last_heartbeat_at = self._clock.monotonic()
        state = self._follower.state
        return RelayHeartbeatReply(
            through_offset=state.through_offset,
            revision=state.revision,
            subscribed=child is not None,
            age_s=self._follower.age_s,
            contact_s=self._follower.contact_s,
        )

    async def serve(self, call: RelaySubscribe) -> cabc.AsyncGenerator[StreamPart, None]:
        """Yield entries after the subscriber's offset until its heartbeats stop.

        If the entries are no longer buffered, the full state is sent instead.
        """
        refusal = self._refusal(call)
        if refusal is not None:
            yield _part(RelayRefused(reason=refusal))
            return
        child = _Child(last_heartbeat_at=self._clock.monotonic())
        self._children[call.host] = child
        try:
            yield _part(RelaySubscribed())
            position = call.through_offset
            while self._is_subscribed(call.host, child):
                message = self._next(position)
                if message is None:
                    await self._wait_past(position)
                    continue
                yield _part(message)
                position = _last_offset(message)
        finally:
            if self._children.get(call.host) is child:
                del self._children[call.host]

    def _refusal(self, call: RelaySubscribe) -> str | None:
        if self._follower.freshness in (Freshness.STARTING, Freshness.INCOMPATIBLE):
            return f"the configuration of this host is {self._follower.freshness.value}"
        if call.host not in self._children and len(self._children) >= MAX_CHILDREN:
            return f"the limit of {MAX_CHILDREN} subscribers is reached"
        return None

    def _is_subscribed(self, host: HostId, child: _Child) -> bool:
        silent_s = self._clock.monotonic() - child.last_heartbeat_at
        return self._children.get(host) is child and silent_s <= CHILD_TIMEOUT_S

    def _next(self, position: Offset) -> RelayEntries | RelayState | None:
        state = self._follower.state
        if position >= state.through_offset:
            return None
        buffered = self._follower.recent.after(position)
        if buffered is None:
            return self._full_state()
        entries = tuple(
            RelayEntry(offset=entry.offset, payload=entry.payload)
            for entry in buffered[:BATCH_ENTRIES]
        )
        return RelayEntries(after=position, entries=entries) if entries else None

    def _full_state(self) -> RelayState:
        state = self._follower.state
        if (
            self._encoded_state is None
            or self._encoded_state.through_offset != state.through_offset
        ):
            self._encoded_state = RelayState(
                through_offset=state.through_offset, data=encode_state(state)
            )
        return self._encoded_state

    async def _wait_past(self, position: Offset) -> None:
        try:
            async with asyncio.timeout(_CHECK_INTERVAL_S):
                await self._follower.wait_for(lambda state: state.through_offset > position)
        except TimeoutError:
            return


def _part(message: object) -> StreamPart:
    return StreamPart(item=messages.to_plain(message))


def _last_offset(message: RelayEntries | RelayState) -> Offset:
    if isinstance(message, RelayState):
        return message.through_offset
    return message.entries[-1].offset
