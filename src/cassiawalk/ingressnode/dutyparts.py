"""Assembles the parts of a host that hold the duties which one host has at a time."""

import collections.abc as cabc
import random

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.demand.meter import DemandMeter
from cassiawalk.demand.prefillspeed import PrefillSpeeds
from cassiawalk.demand.scaling import ScalingView
from cassiawalk.duties import DutyApi
from cassiawalk.duties.candidacy import DutyCandidacy
from cassiawalk.duties.holder import DUTY_STREAM
from cassiawalk.duties.holder import DutyHolder
from cassiawalk.duties.holder import duty_lease_times
from cassiawalk.duties.reporter import TAKEOVER_DELAY_S
from cassiawalk.duties.reporter import UsageReporter
from cassiawalk.duties.scaler import Scaler
from cassiawalk.duties.usage import UsageCounts
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.fleet.sharedprogress import SharedProgress
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ingressnode.profile import HostProfile
from cassiawalk.ingressnode.rolloutparts import RolloutParts
from cassiawalk.leases import LeaseManager
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.source import PlatformSource


class DutyParts:
    """The duties of a host, if its platform has any, and what it knows of their holder.

    :param incarnation: identifies this process.
    :param rollouts: decides on rollouts; None without rollouts.
    :param can_act: returns whether this host could carry out the duties now.
    """

    def __init__(
        self,
        *,
        profile: HostProfile,
        incarnation: str,
        source: PlatformSource,
        config: ConfigView,
        directory: Directory,
        heartbeats: HeartbeatExchange,
        time: CorrectedTime,
        usage: UsageCounts,
        demand: DemandMeter,
        speeds: PrefillSpeeds,
        limit_of: cabc.Callable[[str], float | None],
        rollouts: RolloutParts | None,
        can_act: cabc.Callable[[], bool],
        clock: Clock,
        boot_clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host = profile.host_id
        self._heartbeats = heartbeats
        self._demand = demand
        self._can_act = can_act
        self._clock = clock
        self._started_at = clock.monotonic()
        self._candidacy = DutyCandidacy(host=self._host, clock=clock)
        self.progress = SharedProgress(
            heartbeats=heartbeats, newest=lambda: usage.window_at(time.now()) - 1
        )
        heartbeats.add_listener(self.progress.receive)
        self.holder: DutyHolder | None = None
        if source.duties is None:
            return
        leases = LeaseManager(
            host=self._host,
            holder=f"{self._host}/{incarnation}",
            log=source.log,
            clock=boot_clock,
            times=duty_lease_times(fenced=profile.bounds.checks_fencing),
            stream=DUTY_STREAM,
        )
        view = ScalingView(
            config=config,
            directory=directory,
            prefill_demand=self._prefill_demand,
            speeds=speeds,
            limit_of=limit_of,
            clock=clock,
        )
        reporter = self._reporter(source.duties, profile, source, time, usage)
        scaler = Scaler(api=source.duties, services=view.services, clock=boot_clock)
        # A rollout has a deadline of a few seconds, so it goes first.
        first = [] if rollouts is None else [rollouts.duty(self._fence)]
        self.holder = DutyHolder(
            host=self._host,
            leases=leases,
            duties=[*first, scaler, reporter],
            is_candidate=self._is_candidate,
            fenced=profile.bounds.checks_fencing,
            min_term_s=profile.bounds.lease_s,
            clock=boot_clock,
            rng=rng,
        )

    def components(self) -> list[Component]:
        """Return the components to run."""
        return [] if self.holder is None else [self.holder]

    def _fence(self) -> Offset | None:
        return None if self.holder is None else self.holder.fence

    def known_holder(self) -> HostId | None:
        """Return the host that holds the duties, as reported by itself or else by a hub."""
        if self.holder is not None and self.holder.advertised:
            return self._host
        live = self._heartbeats.live_hosts
        received = [self._heartbeats.peers[host].heartbeat for host in live]
        for heartbeat in received:
            if heartbeat.duty == heartbeat.host:
                return heartbeat.host
        hub = None if self._heartbeats.is_hub else self._heartbeats.primary_hub()
        return None if hub is None else hub.duty

    def _reporter(
        self,
        api: DutyApi,
        profile: HostProfile,
        source: PlatformSource,
        time: CorrectedTime,
        usage: UsageCounts,
    ) -> UsageReporter:
        return UsageReporter(
            api=api,
            log=source.log,
            counts=usage,
            progress=self.progress,
            now=time.now,
            max_delay_s=profile.bounds.usage_late_s,
            takeover_delay=self._takeover_delay,
        )

    def _takeover_delay(self) -> float:
        """Return how long counts may be missing after this host took the duties, in seconds.

        In a full mesh all hosts send their counts here anyway, once this process has run for long
        enough, and as long as it hears all of them.
        """
        heartbeats = self._heartbeats
        has_run_s = self._clock.monotonic() - self._started_at
        hears_all = heartbeats.full_mesh and heartbeats.known_share == 1.0
        return 0.0 if hears_all and has_run_s >= TAKEOVER_DELAY_S else TAKEOVER_DELAY_S

    def _is_candidate(self) -> bool:
        """Return whether this host should take over duties that no host holds."""
        if not self._can_act() or not self._heartbeats.is_hub:
            return False
        peers = self._heartbeats.peers
        with_store = {
            host for host in self._heartbeats.live_hosts if peers[host].heartbeat.store_ok
        }
        with_store.add(self._host)
        order = [host for host in self._heartbeats.ranking() if host in with_store]
        return self._candidacy.is_candidate(holder=self.known_holder(), order=order)

    def _prefill_demand(self, service: ServiceName) -> float:
        """Return the prefill demand of a service over all hosts, in tokens per second."""
        own = self._demand.rates().get(service, 0.0)
        return own + self._heartbeats.prefill_demand(service)
