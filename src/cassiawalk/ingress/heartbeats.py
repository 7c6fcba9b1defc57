"""What hosts tell each other several times a second.

A few hosts all beat with each other. Of many, some are hubs: the others beat with two of them and
get the sum of all other hosts in the answer, so that messages grow with the number of hosts and
not with its square.
"""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import random

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.aggregates import EMPTY_AGGREGATE
from cassiawalk.ingress.aggregates import DrawnGrowth
from cassiawalk.ingress.aggregates import HostAggregate
from cassiawalk.ingress.aggregates import add_rates
from cassiawalk.ingress.aggregates import add_use
from cassiawalk.ingress.heartbeat import Heartbeat
from cassiawalk.ingress.heartbeat import PeerView
from cassiawalk.ingress.hosts import HostRegistry
from cassiawalk.ingress.hosts import entry_of
from cassiawalk.membership import Membership
from cassiawalk.membership.rendezvous import rank
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks

BEAT_S = 0.5
MESH_HOSTS = 12  # up to so many, all beat with each other
LEAST_HUBS = 3
HOSTS_PER_HUB = 12
HUBS_HEARD = 2
CALL_LIMIT_S = 1.0
HEARD_S = 2.0
SHARE_KEPT_S = 4.0  # how long the last word of a hub holds
ANSWERS_FIRST_S = 1.2  # of two hosts that beat, the second calls only if it was not called so long
GONE_S = 8.0
RECORD_S = 2.5
LONGEST_LOOK_S = 40.0
REFRESH_FIRST_S = (1.0, 2.0)
FAILED_HUB_S = 5.0
_HUB_KEY = "hubs"


HeartbeatListener = cabc.Callable[[Heartbeat], None]


class HeartbeatExchange(Component):
    """Beats with other hosts and knows which of them are there.

    :param compose: returns this host's beat.
    """

    def __init__(
        self,
        *,
        host: HostId,
        membership: Membership,
        records: HostRegistry,
        links: PeerLinks,
        compose: cabc.Callable[[], Heartbeat],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._membership = membership
        self._records = records
        self._links = links
        self._compose = compose
        self._clock = clock
        self._rng = rng
        self._listeners: list[HeartbeatListener] = []
        self._seen_at: dict[HostId, float] = {}
        self._failed_at: dict[HostId, float] = {}
        self._called: set[HostId] = set()
        self._news = asyncio.Event()
        self._growth = DrawnGrowth()
        self._rank_of: tuple[frozenset[HostId], int] = (frozenset(), 0)
        self._ranked: list[HostId] = []
        self._looked_at = 0.0
        self._look_pause_s = 0.0
        self.peers: dict[HostId, PeerView] = {}

    def add_listener(self, listener: HeartbeatListener) -> None:
        """Call ``listener`` with each beat of another host."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Begin to beat."""
        self.spawn(self._beat(), name="beats")
        self.spawn(self._record(), name="host-record")

    async def begin_drain(self) -> None:
        """Take this host's record back, so that nobody waits for it."""
        self.spawn(self._records.remove_own(), name="host-record-removal")

    def send_now(self) -> None:
        """Beat at once with all hosts that count on this one."""
        self._news.set()

    @property
    def full_mesh(self) -> bool:
        """Return whether all hosts beat with each other."""
        return len(self._others()) < MESH_HOSTS

    @property
    def is_hub(self) -> bool:
        """Return whether this host sums up others."""
        return self.full_mesh or self._host in self._able()[: self._hub_count()]

    @property
    def live_hosts(self) -> list[HostId]:
        """Return the other hosts that were heard lately and are not leaving."""
        limit = self._clock.monotonic() - HEARD_S
        return [
            host
            for host, view in self.peers.items()
            if view.heard_at > limit and not view.heartbeat.leaving
        ]

    @property
    def host_count(self) -> int:
        """Return how many hosts there are, this one included."""
        return len(self._present()) + 1

    @property
    def known_share(self) -> float:
        """Return the part of all hosts whose draws are known here."""
        if self.is_hub:
            return min(1.0, (len(self._heard_of()) + 1) / self.host_count)
        hub = self.primary_hub(within_s=SHARE_KEPT_S)
        return 1.0 / self.host_count if hub is None else hub.share

    def prefill_demand(self, service: ServiceName) -> float:
        """Return the prompt tokens a second that callers of the other hosts ask for."""
        heard = [self.peers[host].heartbeat for host in self.live_hosts]
        if self.full_mesh:
            return sum(beat.reading.get(service, 0.0) for beat in heard)
        own = [beat.reading for beat in heard if beat.first or beat.counted is not None]
        theirs = [beat.counted.reading for beat in heard if beat.counted is not None]
        return add_rates([*own, *theirs]).get(service, 0.0)

    def ranking(self) -> list[HostId]:
        """Return all hosts in the order in which they serve the others: strong ones first."""
        known = frozenset((*self._others(), self._host))
        rank_of = (known, self._records.strengths_told)
        if rank_of != self._rank_of:
            self._rank_of = rank_of
            strengths = self._records.strengths
            alike = rank(_HUB_KEY, known)
            self._ranked = sorted(alike, key=lambda host: -strengths.get(host, 0.0))
        return self._ranked

    def primary_hub(self, *, within_s: float = HEARD_S) -> Heartbeat | None:
        """Return the last beat of the hub that counts this host, if it is not too old."""
        oldest = self._clock.monotonic() - within_s
        views = [self.peers[host] for host in self._hubs() if host in self.peers]
        fresh = [view.heartbeat for view in views if view.heard_at > oldest]
        return next((beat for beat in fresh if beat.rest is not None), None)

    async def handle(self, beat: Heartbeat) -> Heartbeat:
        """Take another host's beat and answer with this one's."""
        self._take(beat)
        own = self._composed()
        if self.full_mesh or not self.is_hub:
            return own
        return self._with_rest(own, beat)

    def _with_rest(self, own: Heartbeat, asker: Heartbeat) -> Heartbeat:
        return dataclasses.replace(
            own, rest=self._rest(asker), share=self.known_share, hosts=len(self._heard_of()) + 1
        )

    def _others(self) -> list[HostId]:
        return [host for host in self._membership.all_entries() if host != self._host]

    def _able(self) -> list[HostId]:
        """Return the ranking without hosts that lately failed to answer as hubs."""
        limit = self._clock.monotonic() - FAILED_HUB_S
        return [host for host in self.ranking() if self._failed_at.get(host, limit) <= limit]

    def _hubs(self) -> list[HostId]:
        """Return the other hosts that are hubs, in this host's own order of preference."""
        hubs = self._able()[: self._hub_count()]
        return rank(self._host, [host for host in hubs if host != self._host])

    def _hub_count(self) -> int:
        return max(LEAST_HUBS, len(self.ranking()) // HOSTS_PER_HUB)

    def _present(self) -> list[HostId]:
        """Return the other hosts that are heard, or may be there without being heard."""
        others = self._others()
        if not self.is_hub:
            return others
        heard = self._heard_of()
        return [host for host in others if host in heard or self._may_be_there(host)]

    def _heard_of(self) -> set[HostId]:
        """Return the other hosts that this one or another hub hears."""
        found = set(self.live_hosts)
        if not self.full_mesh:
            for host in self.live_hosts:
                counted = self.peers[host].heartbeat.counted
                found.update(() if counted is None else counted.hosts)
        found.discard(self._host)
        return found

    def _may_be_there(self, host: HostId) -> bool:
        view = self.peers.get(host)
        if view is not None and view.heartbeat.leaving:
            return False
        now = self._clock.monotonic()
        if now - self._seen_at.setdefault(host, now) < GONE_S:
            return True
        written_s = self._records.written_s.get(host)
        return written_s is not None and self._compose().now_s - written_s < GONE_S

    def _composed(self) -> Heartbeat:
        own = self._compose()
        return (
            own
            if self.full_mesh or not self.is_hub
            else dataclasses.replace(own, counted=self._counted(without=""))
        )

    def _counted(self, *, without: str) -> HostAggregate:
        """Return the sum of the hosts that count on this hub."""
        heard = [self.peers[host].heartbeat for host in self.live_hosts]
        counted = [beat for beat in heard if beat.first and beat.process != without]
        return HostAggregate(
            hosts=tuple(beat.host for beat in counted),
            drawn=self._growth.total(without=without),
            use=add_use(beat.use for beat in counted),
            reading=add_rates(beat.reading for beat in counted),
        )

    def _rest(self, asker: Heartbeat) -> HostAggregate:
        """Return the sum of all hosts but the asker: this one, its own, other hubs and theirs."""
        own = self._compose()
        mine = self._counted(without=asker.process)
        hubs = [
            self.peers[host].heartbeat
            for host in self.live_hosts
            if self.peers[host].heartbeat.counted is not None and host != asker.host
        ]
        theirs = [beat.counted or EMPTY_AGGREGATE for beat in hubs]
        drawn = dict(mine.drawn)
        for part in [own.drawn, *(beat.drawn for beat in hubs), *(found.drawn for found in theirs)]:
            for name, amount in part.items():
                drawn[name] = drawn.get(name, 0.0) + amount
        use = add_use(
            [mine.use, own.use, *(beat.use for beat in hubs), *(found.use for found in theirs)]
        )
        return HostAggregate(hosts=(), drawn=drawn, use=use, reading={})

    async def _beat(self) -> None:
        while True:
            news = self._news.is_set()
            self._news.clear()
            self.beat_once(news=news)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(BEAT_S * (0.9 + 0.2 * self._rng.random())):
                    await self._news.wait()

    def beat_once(self, *, news: bool = False) -> None:
        """Call the hosts whose turn it is, or with ``news`` all that learn from this one."""
        for host, first in self._listening() if news else self._partners():
            if host not in self._called:
                self._called.add(host)
                self.spawn(self._call(host, first), name=f"beat-{host}")

    def _listening(self) -> list[tuple[HostId, bool]]:
        """Return the hosts that learn from this one."""
        if self.full_mesh:
            return [(host, False) for host in self._others()]
        counted = [host for host in self.live_hosts if self.peers[host].heartbeat.first]
        return [(host, False) for host in [*counted, *self._hubs()]]

    def _partners(self) -> list[tuple[HostId, bool]]:
        """Return the hosts to call now, and whether each is the one that counts this host."""
        if self.full_mesh:
            return [(host, False) for host in self._others() if self._is_due(host)]
        hubs = self._hubs()
        if self.is_hub:
            partners = [(host, False) for host in hubs if self._is_due(host)]
        else:
            hubs = hubs[:HUBS_HEARD]
            partners = [(host, index == 0) for index, host in enumerate(hubs)]
        duty = self._compose().duty
        if duty is not None and duty not in (self._host, *hubs) and self._is_due(duty):
            partners.append((duty, False))
        return partners

    def _is_due(self, host: HostId) -> bool:
        if self._host < host:
            return True
        view = self.peers.get(host)
        return view is None or self._clock.monotonic() - view.heard_at > ANSWERS_FIRST_S

    async def _call(self, host: HostId, first: bool) -> None:
        beat = self._for_counted(host, dataclasses.replace(self._composed(), first=first))
        try:
            reply = await self._links.call(host, beat, Heartbeat, timeout_s=CALL_LIMIT_S)
        finally:
            self._called.discard(host)
        if isinstance(reply, PeerFailure):
            self._failed_at[host] = self._clock.monotonic()
            return
        if first and reply.rest is None:
            self._failed_at[host] = self._clock.monotonic()
        else:
            self._failed_at.pop(host, None)
        self._take(reply)

    def _for_counted(self, host: HostId, beat: Heartbeat) -> Heartbeat:
        """Return a beat with the sum of all others, if the host counts on this hub."""
        view = self.peers.get(host)
        if view is None or not view.heartbeat.first or not self.is_hub:
            return beat
        return self._with_rest(beat, view.heartbeat)

    def _take(self, beat: Heartbeat) -> None:
        known = self.peers.get(beat.host)
        if known is None or known.heartbeat.incarnation != beat.incarnation:
            eliot.log_message(
                message_type="peer:joined", peer=beat.host, incarnation=beat.incarnation
            )
        self._records.note_strength(beat.host, beat.strength)
        self._membership.add_entry(entry_of(beat.host, beat.failure_domain, beat.peer_address))
        now = self._clock.monotonic()
        self.peers[beat.host] = PeerView(heartbeat=beat, heard_at=now)
        for host in (beat.host, *(() if beat.counted is None else beat.counted.hosts)):
            self._seen_at[host] = now
        if beat.first:
            self._growth.note(beat.process, beat.drawn)
        for listener in self._listeners:
            listener(beat)

    async def _record(self) -> None:
        """Write and read records at the start, and while some host is not heard."""
        await self._records.write_own()
        # A host that starts again has to know at once how many others there are.
        await self._membership.refresh()
        # Until the others are heard, this host has only its share of what is for all.
        self.beat_once()
        for pause_s in REFRESH_FIRST_S:
            await self._clock.sleep(pause_s * (0.9 + 0.2 * self._rng.random()))
            if not self.peers or self.full_mesh:
                await self._membership.refresh()
        while True:
            await self._clock.sleep(RECORD_S * (0.8 + 0.4 * self._rng.random()))
            self._note_gone()
            await self.look_for_hosts()

    async def look_for_hosts(self) -> None:
        """Read the records again if hosts are missing here, or this one may be missed."""
        missed = self._is_missed()
        if missed:
            await self._records.write_own()
        if missed or self._lacks_entries():
            await self._membership.refresh()

    def _is_missed(self) -> bool:
        if not self.is_hub:
            return self.primary_hub() is None
        return len(self._heard_of()) + 1 < self.host_count

    def _lacks_entries(self) -> bool:
        """Return whether others know hosts whose address is not known here.

        A host whose record can't be found is looked for less and less often.
        """
        known = {*self._others(), self._host}
        told = max((self.peers[host].heartbeat.hosts for host in self.live_hosts), default=0)
        if (
            self._heard_of() <= known
            and told <= len(known)
            and self._compose().duty in (None, *known)
        ):
            self._look_pause_s = 0.0
            return False
        now = self._clock.monotonic()
        if now < self._looked_at + self._look_pause_s:
            return False
        self._looked_at = now
        self._look_pause_s = min(LONGEST_LOOK_S, max(RECORD_S, 2 * self._look_pause_s))
        return True

    def _note_gone(self) -> None:
        heard = self._heard_of()
        for host, view in list(self.peers.items()):
            if host not in heard and not self._may_be_there(host):
                eliot.log_message(
                    message_type="peer:gone",
                    peer=host,
                    unheard_s=round(self._clock.monotonic() - view.heard_at, 1),
                )
                del self.peers[host]
