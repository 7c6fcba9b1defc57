"""Tells other hosts of upstreams that have left, and asks them.

A host that has read the complete list of upstreams knows no removals. An entry in the list may be
one that arrived after its upstream's removal; hosts that have run for longer can tell.
"""

import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import UpstreamId
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer.messages import messages
from cassiawalk.storeview.departures import Departure
from cassiawalk.storeview.departures import EntryVersion
from cassiawalk.storeview.directory import Directory

ASKED_HOSTS = 2  # those that have run for longest
ASK_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class ToldDeparture:
    """A departure as hosts tell it each other; see ``Departure`` and ``EntryVersion``.

    :param sequence: None if the upstream's entries have no numbers.
    """

    upstream_id: UpstreamId
    started_ms: int
    sequence: int | None
    leaving: bool
    removed: Offset


@messages.register("departures-call")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DeparturesCall:
    """Asks which upstreams have left lately."""


@messages.register("departures-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DeparturesReply:
    """The upstreams whose departure the called host remembers."""

    departures: tuple[ToldDeparture, ...]


def told_departures(directory: Directory, *, since: Offset) -> tuple[ToldDeparture, ...]:
    """Return the departures by removals after an offset."""
    return tuple(
        ToldDeparture(
            upstream_id=found.upstream_id,
            started_ms=found.started_ms,
            sequence=None if found.version is None else found.version.sequence,
            leaving=found.version is not None and found.version.leaving,
            removed=found.removed,
        )
        for found in directory.departures
        if found.removed > since
    )


def learn_departures(
    directory: Directory, told: cabc.Iterable[ToldDeparture], *, now: float
) -> None:
    """Take over what another host remembers.

    :param now: the time in monotonic seconds.
    """
    directory.learn_departures([_departure(found, now) for found in told])


def _departure(told: ToldDeparture, now: float) -> Departure:
    version = None
    if told.sequence is not None:
        version = EntryVersion(
            started_ms=told.started_ms, sequence=told.sequence, leaving=told.leaving
        )
    return Departure(
        upstream_id=told.upstream_id,
        started_ms=told.started_ms,
        version=version,
        removed=told.removed,
        at=now,
    )


class DepartureInquiry(Component):
    """Asks other hosts for departures after this one has read the complete list."""

    def __init__(
        self,
        *,
        directory: Directory,
        heartbeats: HeartbeatExchange,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._heartbeats = heartbeats
        self._links = links
        self._clock = clock
        self._answered: set[HostId] = set()
        self._lists_known = 0

    async def start(self) -> None:
        """Start asking."""
        self.keep_running(self._run, name="departures")

    async def handle(self, _: DeparturesCall) -> DeparturesReply:
        """Answer another host's call."""
        return DeparturesReply(departures=told_departures(self._directory, since=Offset(-1)))

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(ASK_INTERVAL_S)
            if self._directory.lists_read != self._lists_known:
                self._lists_known = self._directory.lists_read
                self._answered.clear()
            if self._lists_known and len(self._answered) < ASKED_HOSTS:
                await self._ask_next()

    async def _ask_next(self) -> None:
        live = [self._heartbeats.peers[host].heartbeat for host in self._heartbeats.live_hosts]
        # Ids of incarnations begin with the time of their start.
        oldest = sorted(live, key=lambda heartbeat: heartbeat.incarnation)[:ASKED_HOSTS]
        host = next((found.host for found in oldest if found.host not in self._answered), None)
        if host is None:
            return
        reply = await self._links.call(
            host, DeparturesCall(), DeparturesReply, timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(reply, PeerFailure):
            eliot.log_message(message_type="departures:failed", peer=host, reason=reply.reason)
            return
        self._answered.add(host)
        learn_departures(self._directory, reply.departures, now=self._clock.monotonic())
        eliot.log_message(
            message_type="departures:learned", peer=host, departures=len(reply.departures)
        )
