"""Relays the ``control`` stream to hosts that subscribe here."""

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
from cassiawalk.control.relay_messages import RelayWelcome
from cassiawalk.control.snapshots import encode_state
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.peer import StreamPart
from cassiawalk.peer import messages

CHILDREN_LIMIT = 16
CHILD_SILENCE_S = 10.0
BATCH_ENTRIES = 256
_WAKE_S = 1.0


@dataclasses.dataclass(kw_only=True, eq=False)
class _Child:
    """One subscription; ``seen_at`` is the monotonic time of the child's last heartbeat."""

    seen_at: float


class RelayServer:
    """Serves subscriptions and heartbeats from the present state of the follower."""

    def __init__(self, *, follower: ControlFollower, clock: Clock) -> None:
        self._follower = follower
        self._clock = clock
        self._children: dict[HostId, _Child] = {}
        self._encoded: RelayState | None = None

    @property
    def children(self) -> tuple[HostId, ...]:
        """Return the hosts that subscribe here."""
        return tuple(self._children)

    async def heartbeat(self, call: RelayHeartbeat) -> RelayHeartbeatReply:
        """Answer a child's heartbeat."""
        child = self._children.get(call.host)
        if child is not None:
            child.seen_at = self._clock.monotonic()
        state = self._follower.state
        return RelayHeartbeatReply(
            through_offset=state.through_offset,
            revision=state.revision,
            subscribed=child is not None,
            age_s=self._follower.age_s,
            contact_s=self._follower.contact_s,
        )

    async def serve(self, call: RelaySubscribe) -> cabc.AsyncGenerator[StreamPart, None]:
        """Yield what follows on the subscriber's state until the subscriber falls silent."""
        refusal = self._refusal(call)
        if refusal is not None:
            yield _part(RelayRefused(reason=refusal))
            return
        child = _Child(seen_at=self._clock.monotonic())
        self._children[call.host] = child
        try:
            yield _part(RelayWelcome())
            position = call.through_offset
            while self._is_current(call.host, child):
                message = self._next(position)
                if message is None:
                    await self._wait_past(position)
                    continue
                yield _part(message)
                position = _end_of(message)
        finally:
            if self._children.get(call.host) is child:
                del self._children[call.host]

    def _refusal(self, call: RelaySubscribe) -> str | None:
        if self._follower.freshness in (Freshness.STARTING, Freshness.INCOMPATIBLE):
            return f"the configuration here is {self._follower.freshness.value}"
        if call.host not in self._children and len(self._children) >= CHILDREN_LIMIT:
            return f"{CHILDREN_LIMIT} hosts subscribe here already"
        return None

    def _is_current(self, host: HostId, child: _Child) -> bool:
        silent_s = self._clock.monotonic() - child.seen_at
        return self._children.get(host) is child and silent_s <= CHILD_SILENCE_S

    def _next(self, position: Offset) -> RelayEntries | RelayState | None:
        state = self._follower.state
        if position >= state.through_offset:
            return None
        kept = self._follower.recent.after(position)
        if kept is None:
            return self._whole_state()
        entries = tuple(
            RelayEntry(offset=entry.offset, payload=entry.payload) for entry in kept[:BATCH_ENTRIES]
        )
        return RelayEntries(after=position, entries=entries) if entries else None

    def _whole_state(self) -> RelayState:
        state = self._follower.state
        if self._encoded is None or self._encoded.through_offset != state.through_offset:
            self._encoded = RelayState(
                through_offset=state.through_offset, data=encode_state(state)
            )
        return self._encoded

    async def _wait_past(self, position: Offset) -> None:
        try:
            async with asyncio.timeout(_WAKE_S):
                await self._follower.wait_for(lambda state: state.through_offset > position)
        except TimeoutError:
            return


def _part(message: object) -> StreamPart:
    return StreamPart(item=messages.to_plain(message))


def _end_of(message: RelayEntries | RelayState) -> Offset:
    if isinstance(message, RelayState):
        return message.through_offset
    return message.entries[-1].offset
