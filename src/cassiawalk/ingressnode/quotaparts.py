"""Assembles the parts of a host that keep to workspaces' quotas over all hosts."""

import collections.abc as cabc
import math
import random

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.fleet.census import HostCensus
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.ingress.fleetquotas import FleetQuotas
from cassiawalk.ingress.fleetquotas import QuotaListener
from cassiawalk.ingress.quotacalls import QuotaCalls
from cassiawalk.ingress.quotacalls import WorkspaceFinder
from cassiawalk.ingress.quotas import Quotas
from cassiawalk.ingress.quotas import QuotaTolerance
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import PeerServer
from cassiawalk.ratelimits import LendingAuthority
from cassiawalk.ratelimits.quotamessages import QuotaCall

RECOUNT_INTERVAL_S = 0.25
LARGE_AFTER_HUB_S = 5.0


class QuotaParts:
    """How a host admits within quotas, and lends them in a large fleet.

    ``ledger`` has the consumption that this host knows of; ``quotas`` decides about requests.

    :param authority: knows who lends, as for the limits that upstreams name.
    :param has_quotas: returns whether any workspace has a quota.
    :param boot_clock: its monotonic time includes time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        host: HostId,
        tolerance: QuotaTolerance,
        authority: LendingAuthority,
        heartbeats: HeartbeatExchange,
        census: HostCensus,
        links: PeerLinks,
        find_workspace: WorkspaceFinder,
        has_quotas: cabc.Callable[[], bool],
        listener: QuotaListener,
        clock: Clock,
        boot_clock: Clock,
        rng: random.Random,
    ) -> None:
        self._heartbeats = heartbeats
        self._census = census
        self._has_quotas = has_quotas
        self._clock = boot_clock
        self._recount_at = 0.0
        self._hosts = 1
        self._hub_heard_at = -math.inf
        self.ledger = Quotas(
            clock=clock,
            share=lambda: heartbeats.known_share,
            find_workspace=find_workspace,
            tolerance=tolerance,
            has_lender=lambda: not self.is_full_mesh,
        )
        self.calls = QuotaCalls(
            host=host,
            quotas=self.ledger,
            authority=authority,
            links=links,
            find_workspace=find_workspace,
            clock=boot_clock,
            listener=listener,
        )
        self.quotas = FleetQuotas(
            quotas=self.ledger,
            source=self.calls,
            is_full_mesh=lambda: self.is_full_mesh,
            hosts=self._host_count,
            clock=boot_clock,
            rng=rng,
            listener=listener,
        )
        heartbeats.add_listener(self._note_heartbeat)

    @property
    def is_full_mesh(self) -> bool:
        """Return whether the hosts are a full mesh.

        A host that restarts while the store rejects it knows few hosts, and takes them for a full
        mesh, until it hears a hub.
        """
        if not self._heartbeats.full_mesh:
            return False
        return self._clock.monotonic() - self._hub_heard_at > LARGE_AFTER_HUB_S

    @property
    def is_in_use(self) -> bool:
        """Return whether quotas are lent, so that hosts have to tell whom they hear."""
        return not self.is_full_mesh and self._has_quotas()

    def serve(self, server: PeerServer) -> None:
        """Register the handler of other hosts' calls."""
        server.handle(QuotaCall, self.calls.handle)

    def components(self) -> list[Component]:
        """Return the components to run."""
        return [self.quotas]

    def _host_count(self) -> int:
        now = self._clock.monotonic()
        if now >= self._recount_at:
            self._recount_at = now + RECOUNT_INTERVAL_S
            self._hosts = max(self._census.total(), self._heartbeats.host_count)
        return self._hosts

    def _note_heartbeat(self, heartbeat: Heartbeat) -> None:
        if heartbeat.counted is not None:
            self._hub_heard_at = self._clock.monotonic()
            self.calls.note_hub(heartbeat.host)
        if not self.is_in_use:
            return
        if self._heartbeats.is_hub and (heartbeat.first or heartbeat.counted is not None):
            self.calls.note_heartbeat(heartbeat)
        # The lender begins to lend before the first request asks for it.
        self.calls.refresh()
