"""Exchanges heartbeats between hosts several times a second and tracks which hosts are live.

A small fleet is a full mesh: all hosts exchange heartbeats with each other. In a larger one some
hosts are hubs. Each other host sends its heartbeats to two hubs, one of which is its primary hub,
and the answer holds the aggregate of all other hosts. So the number of messages grows with the
number of hosts and not with its square.
"""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import random

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import HostEntry
from cassiawalk.clock import Clock
from cassiawalk.fleet.aggregates import sum_amounts
from cassiawalk.fleet.confirmations import Confirmations
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.hosts import HostRegistry
from cassiawalk.fleet.hosts import entry_of
from cassiawalk.fleet.hubs import HubRanking
from cassiawalk.fleet.hubsums import HubSums
from cassiawalk.fleet.livehosts import LIVE_TIMEOUT_S
from cassiawalk.fleet.livehosts import LiveHosts
from cassiawalk.fleet.recordkeeper import FleetView
from cassiawalk.fleet.recordkeeper import RecordKeeper
from cassiawalk.ids import HostId
from cassiawalk.ids import ServiceName
from cassiawalk.membership import Membership
from cassiawalk.membership.rendezvous import rank
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks

HEARTBEAT_INTERVAL_S = 0.5
MAX_FULL_MESH_HOSTS = 12  # including this host
HUBS_PER_HOST = 2
SPARE_HUB_INTERVALS = 2  # from one call of the hub that is not the primary one to the next
CALL_TIMEOUT_S = 1.0
SHARE_MAX_AGE_S = 4.0  # how long the last share that a hub reported is used
# One call exchanges the heartbeats of both hosts, so only the host with the lower id calls. The
# other one calls if it has received no heartbeat for this long.
CALL_BACK_AFTER_S = 1.2

HeartbeatListener = cabc.Callable[[Heartbeat], None]


class HeartbeatExchange(Component, FleetView):
    """Exchanges heartbeats with other hosts and tracks which of them are live.

    ``peers`` holds the last heartbeat of each host that this one exchanges heartbeats with.

    :param compose: returns this host's heartbeat, without aggregates.
    :param boot_clock: its monotonic time includes time for which the host was suspended; by default
        ``clock``.
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
        boot_clock: Clock | None = None,
    ) -> None:
        self.confirmations = Confirmations(clock=boot_clock or clock)
        self._host = host
        self._membership = membership
        self._records = records
        self._links = links
        self._compose = compose
        self._clock = clock
        self._rng = rng
        self._listeners: list[HeartbeatListener] = []
        self._hub_ranking = HubRanking(host=host, records=records, clock=clock)
        self._pending_calls: set[HostId] = set()
        self._send_requested = asyncio.Event()
        self._sums = HubSums()
        self._is_counted = False
        self._entries: cabc.Mapping[HostId, HostEntry] = {}
        self._other_hosts: list[HostId] = []
        self._intervals = 0
        self.record_keeper = RecordKeeper(
            view=self, membership=membership, records=records, clock=clock, rng=rng
        )
        self._live = LiveHosts(
            host=host, records=records, now_s=lambda: self._compose().now_s, clock=clock
        )
        self.peers = self._live.peers

    def add_listener(self, listener: HeartbeatListener) -> None:
        """Call ``listener`` with each heartbeat of another host."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start sending heartbeats and maintaining this host's record in the store."""
        self.keep_running(self._run_heartbeats, name="beats")
        self.keep_running(self._maintain_record, name="host-record")

    async def begin_drain(self) -> None:
        """Remove this host's record from the store, so that no host waits for its heartbeats."""
        self.spawn(self._records.remove_own(), name="host-record-removal")

    def send_now(self) -> None:
        """Send a heartbeat at once to all hosts that get updates from this one."""
        self._send_requested.set()

    @property
    def full_mesh(self) -> bool:
        """Return whether all hosts exchange heartbeats with each other."""
        return len(self._others()) < MAX_FULL_MESH_HOSTS

    @property
    def is_hub(self) -> bool:
        """Return whether this host is a hub; in a full mesh every host is one."""
        return self.full_mesh or self._host in self._hub_ranking.hubs(self._others())

    @property
    def live_hosts(self) -> list[HostId]:
        """Return the other hosts with a recent heartbeat that are not leaving."""
        return self._live.hosts

    def partners(self) -> list[HostId]:
        """Return the live hosts that this one exchanges heartbeats with."""
        if self.is_hub:
            found = [host for host, _ in self._dependents()]
        else:
            found = self._hubs()[:HUBS_PER_HOST]
        live = set(self.live_hosts)
        return [host for host in found if host in live]

    def coordinators(self) -> list[HostId]:
        """Return the hosts that may decide for all, as far as possible the same on all hosts.

        These are the live hosts, or in a large fleet the hubs that are not known to be unreachable.
        """
        if self.full_mesh:
            return [self._host, *self.live_hosts]
        reachable = set(self._membership.reachable_entry_hosts())
        return [host for host in self._hub_ranking.hubs(self._others()) if host in reachable]

    @property
    def host_count(self) -> int:
        """Return the number of hosts that are or may be live, including this one."""
        return len(self._possibly_live()) + 1

    @property
    def known_share(self) -> float:
        """Return the fraction of all hosts whose quota consumption is known here."""
        if self.is_hub:
            return self._share_of(self._live.anywhere())
        hub = self.primary_hub(within_s=SHARE_MAX_AGE_S)
        return 1.0 / self.host_count if hub is None else hub.share

    @property
    def reached_hosts(self) -> int:
        """Return the number of hosts whose quota consumption is known here, this one included."""
        if self.is_hub:
            return len(self._live.anywhere()) + 1
        hub = self.primary_hub(within_s=SHARE_MAX_AGE_S)
        return 1 if hub is None else max(1, hub.hosts)

    @property
    def knows_hosts(self) -> bool:
        """Return whether the list of hosts was read, or another host was heard."""
        return bool(self._membership.all_entries())

    def prefill_demand(self, service: ServiceName) -> float:
        """Return the prefill demand on the other hosts, in prompt tokens per second."""
        live = self._live_heartbeats()
        if self.full_mesh:
            return sum(heartbeat.reading.get(service, 0.0) for heartbeat in live)
        own = [
            heartbeat.reading
            for heartbeat in live
            if heartbeat.first or heartbeat.counted is not None
        ]
        theirs = [heartbeat.counted.reading for heartbeat in live if heartbeat.counted is not None]
        return sum_amounts([*own, *theirs]).get(service, 0.0)

    def ranking(self) -> list[HostId]:
        """Return all hosts in order of preference as hubs, see ``HubRanking``."""
        return self._hub_ranking.ranking(self._others())

    def primary_hub(self, *, within_s: float = LIVE_TIMEOUT_S) -> Heartbeat | None:
        """Return the newest answer of this host's primary hub, or None if it is too old.

        If the preferred hub has not answered in time, the next one stands in for it.
        """
        oldest = self._clock.monotonic() - within_s
        views = [self.peers[host] for host in self._hubs() if host in self.peers]
        fresh = [view.heartbeat for view in views if view.received_at > oldest]
        return next((heartbeat for heartbeat in fresh if heartbeat.rest is not None), None)

    async def handle(self, heartbeat: Heartbeat) -> Heartbeat:
        """Receive another host's heartbeat and answer with this one's."""
        self._receive(heartbeat, is_reply=False)
        own = self._compose_for(heartbeat.host)
        if self.full_mesh or not self.is_hub:
            return own
        return self._with_aggregate_of_others(own, heartbeat)

    def _with_aggregate_of_others(self, own: Heartbeat, sender: Heartbeat) -> Heartbeat:
        live = self._live.anywhere()
        return dataclasses.replace(
            own,
            rest=self._sums.of_others(own, sender, self._live_heartbeats()),
            share=self._share_of(live),
            hosts=len(live) + 1,
        )

    def _share_of(self, live: set[HostId]) -> float:
        """Return the fraction of all hosts that are among ``live`` or this host."""
        return min(1.0, (len(live) + 1) / (len(self._live.possible(self._others(), live)) + 1))

    def _others(self) -> list[HostId]:
        """Return the other hosts; the same list as long as the entries are the same."""
        entries = self._membership.all_entries()
        if entries is not self._entries:
            self._entries = entries
            self._other_hosts = [host for host in entries if host != self._host]
        return self._other_hosts

    def _hubs(self) -> list[HostId]:
        """Return the other hosts that are hubs, in this host's own order of preference."""
        hubs = self._hub_ranking.hubs(self._others())
        preferred = rank(self._host, [host for host in hubs if host != self._host])
        return sorted(preferred, key=self._hub_ranking.has_declined)

    def _possibly_live(self) -> list[HostId]:
        """Return the other hosts that are live or may be live, see ``LiveHosts``.

        A host that is not a hub cannot tell, and returns all others.
        """
        if not self.is_hub:
            return self._others()
        return self._live.possible(self._others(), self._live.anywhere())

    def _compose_for(self, receiver: HostId) -> Heartbeat:
        own = self.confirmations.add_to(self._compose(), receiver)
        if self.full_mesh or not self.is_hub:
            return own
        return dataclasses.replace(
            own, counted=self._sums.of_spokes(self._live_heartbeats(), without="")
        )

    def _live_heartbeats(self) -> list[Heartbeat]:
        return [self.peers[host].heartbeat for host in self.live_hosts]

    async def _run_heartbeats(self) -> None:
        while True:
            changed = self._send_requested.is_set()
            self._send_requested.clear()
            self.send_due(changed=changed)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S * (0.9 + 0.2 * self._rng.random())):
                    await self._send_requested.wait()

    def send_due(self, *, changed: bool = False) -> None:
        """Call the hosts that are due, or with ``changed`` all that get updates from this one."""
        for host, is_primary in self._dependents() if changed else self._due_hosts():
            if host not in self._pending_calls:
                self._pending_calls.add(host)
                self.spawn(self._call(host, is_primary), name=f"beat-{host}")

    def _dependents(self) -> list[tuple[HostId, bool]]:
        """Return the hosts that get updates from this one, each with False: not a primary hub."""
        if self.full_mesh:
            return [(host, False) for host in self._others()]
        spokes = [host for host in self.live_hosts if self.peers[host].heartbeat.first]
        return [(host, False) for host in [*spokes, *self._hubs()]]

    def _due_hosts(self) -> list[tuple[HostId, bool]]:
        """Return the hosts to call now, each with whether it is this host's primary hub."""
        if self.full_mesh:
            return [(host, False) for host in self._others() if self._is_due(host)]
        hubs = self._hubs()
        if self.is_hub:
            partners = [(host, False) for host in hubs if self._is_due(host)]
        else:
            self._intervals += 1
            count = HUBS_PER_HOST if self._intervals % SPARE_HUB_INTERVALS == 0 else 1
            partners = [(host, index == 0) for index, host in enumerate(hubs[:count])]
        partners += [(host, False) for host in self._hub_ranking.due_probes(self._others())]
        duty = self._compose().duty
        called = {self._host, *(hubs if self.is_hub else (host for host, _ in partners))}
        if duty is not None and duty not in called and self._is_due(duty):
            partners.append((duty, False))
        return partners

    def _is_due(self, host: HostId) -> bool:
        if self._host < host:
            return True
        view = self.peers.get(host)
        return view is None or self._clock.monotonic() - view.received_at > CALL_BACK_AFTER_S

    async def _call(self, host: HostId, is_primary: bool) -> None:
        try:
            own = dataclasses.replace(
                self._compose_for(host), first=is_primary, is_new=self._is_new_to(host)
            )
            heartbeat = self._add_aggregate_for(host, own)
            reply = await self._links.call(host, heartbeat, Heartbeat, timeout_s=CALL_TIMEOUT_S)
        finally:
            self._pending_calls.discard(host)
        if isinstance(reply, PeerFailure):
            self._hub_ranking.note_failure(host)
            if is_primary:
                self._call_next_primary()
            return
        if is_primary and reply.rest is None:
            self._hub_ranking.note_decline(host)
            self._call_next_primary()
        else:
            self._hub_ranking.note_success(host)
        self._is_counted = self._is_counted or is_primary
        self._receive(reply, is_reply=True)

    def _is_new_to(self, host: HostId) -> bool:
        """Return whether a host can't have counted this process's quota consumption yet."""
        return host not in self.peers if self.is_hub else not self._is_counted

    def _call_next_primary(self) -> None:
        """Call the hub that follows a primary one that failed, so that it counts this host."""
        hubs = [] if self.is_hub else self._hubs()
        if not hubs or hubs[0] in self._pending_calls or self._hub_ranking.has_declined(hubs[0]):
            return
        self._pending_calls.add(hubs[0])
        self.spawn(self._call(hubs[0], True), name=f"beat-{hubs[0]}")

    def _add_aggregate_for(self, host: HostId, heartbeat: Heartbeat) -> Heartbeat:
        """Add the aggregate of all other hosts, if this is the receiver's primary hub."""
        view = self.peers.get(host)
        if view is None or not view.heartbeat.first or not self.is_hub:
            return heartbeat
        return self._with_aggregate_of_others(heartbeat, view.heartbeat)

    def _receive(self, heartbeat: Heartbeat, *, is_reply: bool) -> None:
        if self._live.is_late(heartbeat):
            eliot.log_message(message_type="peer:late-heartbeat", peer=heartbeat.host)
            return
        known = self.peers.get(heartbeat.host)
        if known is None or known.heartbeat.incarnation != heartbeat.incarnation:
            eliot.log_message(
                message_type="peer:joined", peer=heartbeat.host, incarnation=heartbeat.incarnation
            )
            if known is not None and not is_reply:
                self._links.drop(heartbeat.host)
        self._records.note_strength(heartbeat.host, heartbeat.strength)
        self._membership.add_entry(
            entry_of(heartbeat.host, heartbeat.failure_domain, heartbeat.peer_address)
        )
        self._live.note(heartbeat)
        self.confirmations.note(heartbeat)
        self._sums.note(heartbeat)
        for listener in self._listeners:
            listener(heartbeat)

    async def _maintain_record(self) -> None:
        await self.record_keeper.start()
        # Until heartbeats of the others arrive, this host may use only its own share of the quotas.
        self.send_due()
        await self.record_keeper.maintain(self._remove_departed)

    @property
    def knows_few(self) -> bool:
        """Return whether there are no heartbeats yet, or all hosts have to know each other."""
        return not self.peers or self.full_mesh

    @property
    def may_be_unknown(self) -> bool:
        """Return whether others may not know this host.

        That is so if it has no primary hub, or as a hub has heartbeats from too few hosts.
        """
        if not self.is_hub:
            return self.primary_hub() is None
        return len(self._live.anywhere()) + 1 < self.host_count

    @property
    def lacks_hosts(self) -> bool:
        """Return whether other hosts know hosts that this one lacks."""
        known = {*self._others(), self._host}
        reported = max((self.peers[host].heartbeat.hosts for host in self.live_hosts), default=0)
        return not (
            self._live.anywhere() <= known
            and reported <= len(known)
            and self._compose().duty in (None, *known)
        )

    def _remove_departed(self) -> None:
        for host, unheard_s in self._live.departed():
            eliot.log_message(message_type="peer:gone", peer=host, unheard_s=round(unheard_s, 1))
