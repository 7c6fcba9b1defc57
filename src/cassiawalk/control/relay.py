"""Keeps this host's configuration up to date from the relay tree, other peers or the log."""

import asyncio
import contextlib
import random

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import HostRole
from cassiawalk.clients import LogEntry
from cassiawalk.clock import Clock
from cassiawalk.control.decoding import IncompatibleError
from cassiawalk.control.follower import ControlFollower
from cassiawalk.control.relay_messages import RelayEntries
from cassiawalk.control.relay_messages import RelayHeartbeat
from cassiawalk.control.relay_messages import RelayHeartbeatReply
from cassiawalk.control.relay_messages import RelayState
from cassiawalk.control.relay_messages import RelaySubscribe
from cassiawalk.control.relay_messages import RelaySubscribed
from cassiawalk.control.relay_server import RelayServer
from cassiawalk.control.snapshots import decode_state
from cassiawalk.control.tree import TreeHost
from cassiawalk.control.tree import TreePosition
from cassiawalk.control.tree import position_of
from cassiawalk.errors import WireError
from cassiawalk.ids import HostId
from cassiawalk.membership import Membership
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import messages

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.5
SUBSCRIBE_TIMEOUT_S = 1.0
MAX_CANDIDATES_TRIED = 3
PARENT_STALENESS_LIMIT_S = 10.0
ALTERNATE_PARENT_LIMIT_S = 30.0
ROOT_LOG_RETRY_S = 3.0
DIRECT_LOG_LIMIT_S = 10.0
RETRY_MIN_S = 0.25
RETRY_MAX_S = 5.0
MAX_BEHIND_HEARTBEATS = 3


class RelayNode(Component):
    """Feeds the follower: roots of the tree tail the log, other hosts subscribe to a parent.

    If a parent doesn't answer, is stale or has departed, the host subscribes to the next candidate.
    If no candidate can be followed, it reads the log directly for up to ``DIRECT_LOG_LIMIT_S``. A
    root that can't read the log subscribes to its candidates instead.
    """

    def __init__(
        self,
        *,
        host: HostId,
        region: str,
        follower: ControlFollower,
        membership: Membership,
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._tree_host = TreeHost(host=host, region=region)
        self._follower = follower
        self._membership = membership
        self._links = links
        self._clock = clock
        self._rng = rng
        self._position = TreePosition(is_root=False, candidates=())
        self._retry_s = RETRY_MIN_S
        self._next_alternate = 0
        self._hosts: list[TreeHost] = []
        self.server = RelayServer(follower=follower, clock=clock)
        self.parent: HostId | None = None

    @property
    def position(self) -> TreePosition:
        """Return this host's position in the tree."""
        return self._position

    async def start(self) -> None:
        """Start to keep the configuration up to date."""
        self._membership.add_listener(self._refresh_position)
        self._refresh_position()
        self.keep_running(self._run, name="control-relay")

    def _refresh_position(self) -> None:
        hosts = [
            TreeHost(host=entry.host, region=entry.region)
            for entry in self._membership.entries(HostRole.ENTRY)
            if not self._membership.is_leaving(entry.host)
        ]
        if hosts == self._hosts:
            return
        self._hosts = hosts
        position = position_of(self._tree_host, hosts)
        if position != self._position:
            self._position = position
            eliot.log_message(
                message_type="control:place",
                root=position.is_root,
                parents=list(position.candidates),
            )

    async def _run(self) -> None:
        while True:
            if self._position.is_root:
                await self._tail_log()
            elif not await self._follow_any(limit_s=None):
                await self._read_log_directly()

    async def _tail_log(self) -> None:
        """Read the log once; if that fails, follow a peer for up to ``ROOT_LOG_RETRY_S``."""
        if await self._follower.read_log():
            self._retry_s = RETRY_MIN_S
            return
        if not await self._follow_any(limit_s=ROOT_LOG_RETRY_S):
            await self._back_off()

    async def _read_log_directly(self) -> None:
        """Read the log for up to ``DIRECT_LOG_LIMIT_S``, when no peer can be followed."""
        until = self._clock.monotonic() + DIRECT_LOG_LIMIT_S
        while self._clock.monotonic() < until:
            if not await self._follower.read_log():
                await self._back_off()
                return
            self._retry_s = RETRY_MIN_S

    async def _back_off(self) -> None:
        """Sleep with exponential backoff and full jitter, so that hosts don't retry in unison."""
        await self._clock.sleep(RETRY_MIN_S + self._rng.random() * (self._retry_s - RETRY_MIN_S))
        self._retry_s = min(RETRY_MAX_S, self._retry_s * 2)

    async def _follow_any(self, *, limit_s: float | None) -> bool:
        """Follow the first usable candidate until it fails; return False if none is usable."""
        position = self._position
        for candidate in self._next_candidates(position):
            is_parent = candidate == position.candidates[0]
            alternate_s = None if is_parent else ALTERNATE_PARENT_LIMIT_S
            if await self._follow(candidate, position, limit_s=limit_s or alternate_s):
                self._retry_s = RETRY_MIN_S
                return True
            if self._position != position:
                return False
        return False

    def _next_candidates(self, position: TreePosition) -> list[HostId]:
        """Return the parent and some alternates, which rotate from call to call."""
        others = list(position.candidates[1:])
        start = self._next_alternate % len(others) if others else 0
        self._next_alternate += MAX_CANDIDATES_TRIED - 1
        return [*position.candidates[:1], *(others[start:] + others[:start])][:MAX_CANDIDATES_TRIED]

    async def _follow(
        self, parent: HostId, position: TreePosition, *, limit_s: float | None
    ) -> bool:
        """Follow a parent until it fails, this host's position changes or ``limit_s`` is over.

        :param limit_s: how long to follow the parent at most, in seconds; None for no limit.
        :return: whether the parent answered at least one heartbeat in a usable state.
        """
        subscribed_event = asyncio.Event()
        stream = asyncio.create_task(self._read_stream(parent, subscribed_event))
        was_followed = False
        try:
            await _first_of(stream, subscribed_event, timeout_s=SUBSCRIBE_TIMEOUT_S)
            until = None if limit_s is None else self._clock.monotonic() + limit_s
            behind = 0
            while subscribed_event.is_set() and not stream.done() and self._position == position:
                if until is not None and self._clock.monotonic() >= until:
                    break
                reply = await self._send_heartbeat(parent)
                if reply is None:
                    break
                behind = behind + 1 if self._is_behind(reply) else 0
                if behind >= MAX_BEHIND_HEARTBEATS:
                    break
                was_followed, self.parent = True, parent
                await asyncio.wait({stream}, timeout=HEARTBEAT_INTERVAL_S)
            if was_followed and stream.done():
                await self._clock.sleep(RETRY_MIN_S)
        finally:
            self.parent = None
            stream.cancel()
            await asyncio.gather(stream, return_exceptions=True)
        return was_followed

    async def _send_heartbeat(self, parent: HostId) -> RelayHeartbeatReply | None:
        """Send a heartbeat; return the reply, or None if the parent can't be followed."""
        asked_at = self._clock.monotonic()
        reply = await self._links.call(
            parent,
            RelayHeartbeat(host=self._tree_host.host),
            RelayHeartbeatReply,
            timeout_s=HEARTBEAT_TIMEOUT_S,
        )
        if isinstance(reply, PeerFailure) or not reply.subscribed:
            return None
        if reply.age_s is None or reply.contact_s is None:
            return None
        # Ages count from before the call, because the reply may have waited in a socket.
        elapsed_s = self._clock.monotonic() - asked_at
        contact_s = max(0.0, reply.contact_s) + elapsed_s
        if contact_s > PARENT_STALENESS_LIMIT_S:
            return None
        if not self._is_behind(reply):
            self._follower.confirm(age_s=max(0.0, reply.age_s) + elapsed_s)
            self._follower.record_contact(age_s=contact_s)
        return reply

    def _is_behind(self, reply: RelayHeartbeatReply) -> bool:
        return self._follower.state.through_offset < reply.through_offset

    async def _read_stream(self, parent: HostId, subscribed_event: asyncio.Event) -> None:
        """Apply the parts that a parent sends, until its stream ends or a part can't be applied."""
        call = RelaySubscribe(
            host=self._tree_host.host, through_offset=self._follower.state.through_offset
        )
        async with contextlib.aclosing(self._links.stream(parent, call)) as parts:
            async for part in parts:
                if isinstance(part, PeerFailure) or not await self._apply_part(
                    part, subscribed_event
                ):
                    return

    async def _apply_part(self, part: object, subscribed_event: asyncio.Event) -> bool:
        """Apply one part of a subscription; return False if the subscription must end."""
        try:
            message = messages.from_plain(part)
            if isinstance(message, RelaySubscribed):
                subscribed_event.set()
                return True
            if isinstance(message, RelayEntries):
                return await self._apply_entries(message)
            if isinstance(message, RelayState):
                await self._follower.adopt(decode_state(message.data, version=message.version))
                return True
        except (WireError, IncompatibleError) as exc:
            eliot.log_message(message_type="control:bad-part", fault=exc.format_message())
        return False

    async def _apply_entries(self, message: RelayEntries) -> bool:
        entries = [
            LogEntry(offset=entry.offset, payload=entry.payload) for entry in message.entries
        ]
        return await self._follower.apply(entries, after=message.after)


async def _first_of(task: asyncio.Task[None], event: asyncio.Event, *, timeout_s: float) -> None:
    """Return when the task is done, the event is set or the timeout expires."""
    waiter = asyncio.create_task(event.wait())
    try:
        await asyncio.wait({task, waiter}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        waiter.cancel()
