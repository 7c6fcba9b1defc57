"""Assembles the components of a host that serves requests by host name and path."""

import asyncio
import dataclasses
import functools
import random

import eliot

from cassiawalk.app import Application
from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.demand.meter import DemandMeter
from cassiawalk.demand.prefillspeed import PrefillSpeeds
from cassiawalk.duties.usage import UsageCounts
from cassiawalk.fleet.census import HostCensus
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.fleet.hosts import HostRegistry
from cassiawalk.fleet.hosts import entry_of
from cassiawalk.http1 import CALLERS_SHARE
from cassiawalk.http1 import HttpListener
from cassiawalk.ids import new_uuid7
from cassiawalk.ingress.budgets import RetryBudgets
from cassiawalk.ingress.codec import HeadCodec
from cassiawalk.ingress.endings import Endings
from cassiawalk.ingress.endings import StallWatch
from cassiawalk.ingress.forwarder import Forwarder
from cassiawalk.ingress.intake import Intake
from cassiawalk.ingress.queueing import RequestQueues
from cassiawalk.ingress.report import IngressReport
from cassiawalk.ingress.stopping import StopPlan
from cassiawalk.ingressnode.checks import check_listeners
from cassiawalk.ingressnode.crashparts import CrashParts
from cassiawalk.ingressnode.dutyparts import DutyParts
from cassiawalk.ingressnode.heartbeatparts import HostCounter
from cassiawalk.ingressnode.heartbeatparts import finite_age
from cassiawalk.ingressnode.heartbeatparts import upstream_use
from cassiawalk.ingressnode.limitparts import LimitParts
from cassiawalk.ingressnode.placementparts import new_placer
from cassiawalk.ingressnode.profile import FleetBounds
from cassiawalk.ingressnode.profile import HostProfile
from cassiawalk.ingressnode.quotaparts import QuotaParts
from cassiawalk.ingressnode.receiver import HeartbeatReceiver
from cassiawalk.ingressnode.rolloutparts import RolloutParts
from cassiawalk.ingressnode.speedsharing import SpeedSharing
from cassiawalk.ingressnode.storeparts import StoreParts
from cassiawalk.membership import Membership
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import PeerServer
from cassiawalk.sockets import listen
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.source import PlatformSource

# Heartbeats announce new hosts, and the heartbeat exchange reads the list when hosts are missing.
MEMBERSHIP_POLL_S = 600.0
NO_SECRET = ""  # the platform provides none; its network carries no outside traffic
DRAIN_LINGER_S = 2.5  # the load balancer stops sending after two failed checks, a second apart
FIRST_REQUEST_S = 1.0
STOP_MARGIN_S = 0.6
LAST_ANSWERS_S = 0.2  # before a drain's time limit, for the last answers to be written


class IngressNode:
    """One host with all of its components, in one process."""

    def __init__(
        self,
        *,
        profile: HostProfile,
        source: PlatformSource,
        codec: HeadCodec,
        clock: Clock,
        boot_clock: Clock,
        rng: random.Random,
        metrics_port: int,
    ) -> None:
        self._metrics_port = metrics_port
        self._profile = profile
        self._source = source
        self._codec = codec
        self._clock = clock
        self._boot_clock = boot_clock
        self._rng = rng
        self._incarnation = new_uuid7()
        self._draining = False
        self.config = ConfigView()
        self.stopping = StopPlan(clock=clock)
        self.directory = Directory(clock=clock, is_configured=self.config.has_service)
        self.time = CorrectedTime(clock=boot_clock)
        self.usage = UsageCounts(now=self.time.now, window_s=profile.bounds.usage_window_s)
        self.demand = DemandMeter(clock=clock)
        self.speeds = PrefillSpeeds()
        self.report = IngressReport(clock=clock, on_started=self.usage.count_started)
        self.directory.late_entries.add_listener(self.report.note_late_entry)
        self.stalls = StallWatch(boot_clock=boot_clock)
        self.endings = Endings(
            inquiry=source.inquiry, config=self.config, stalls=self.stalls, clock=clock
        )
        self.endings.on_judged = self.report.note_ending
        self._build_peers()
        self._build_requests()
        self._build_followers()
        self._build_duties()
        self.app = Application(components=self._components())

    @property
    def ready(self) -> bool:
        """Return whether this host accepts connections."""
        knows_rollouts = self.rollouts is None or self.rollouts.is_loaded
        has_config = self.config.current is not None and self.directory.loaded
        return not self._draining and has_config and knows_rollouts

    async def drain(self) -> None:
        """Shut down without losing requests.

        Requests that the load balancer still sends here are served, and requests in progress are
        finished, up to the time limit. What comes later is refused unless it surely ends before.
        """
        self._draining = True
        limit_s = max(0.5, self._profile.bounds.stop_s - STOP_MARGIN_S)
        ends_in_s = limit_s - LAST_ANSWERS_S
        self.stopping.begin(ends_in_s=ends_in_s, open_s=DRAIN_LINGER_S)
        asyncio.get_running_loop().call_later(ends_in_s, self._callers.refuse_incomplete)
        try:
            async with asyncio.timeout(limit_s):
                await self.app.drain()
        except TimeoutError:
            unfinished = sum(conn.busy for conn in self._callers.connections)
            eliot.log_message(message_type="host:drain-limit", unfinished=unfinished)

    def reconfigure(self, bounds: FleetBounds) -> list[str]:
        """Apply changed bounds as far as possible without a restart.

        :return: the names of changed fields that take effect only after a restart.
        """
        bounds, left = self._profile.bounds.changed_to(bounds)
        self._profile = dataclasses.replace(self._profile, bounds=bounds)
        self.quotas.ledger.set_tolerance(bounds.quota_tolerance)
        self.budgets.set_limits(ratio=bounds.repeat_ratio, extra=bounds.repeat_extra)
        return left

    def _build_peers(self) -> None:
        profile = self._profile
        own = entry_of(profile.host_id, profile.failure_domain, str(profile.announced_peer_address))
        records = HostRegistry(
            log=self._source.records,
            stream=self._source.host_stream,
            own=own,
            time=self.time,
            strength=profile.strength,
        )
        self._records = records
        self.membership = Membership(
            host=profile.host_id,
            host_list=records,
            clock=self._clock,
            poll_interval_s=MEMBERSHIP_POLL_S,
        )
        self.links = PeerLinks(membership=self.membership, secret=NO_SECRET)
        self.heartbeats = HeartbeatExchange(
            host=profile.host_id,
            membership=self.membership,
            records=records,
            links=self.links,
            compose=self._compose_heartbeat,
            clock=self._clock,
            rng=self._rng,
            boot_clock=self._boot_clock,
        )
        self.peer_server = PeerServer(sock=listen(profile.peer_address), secret=NO_SECRET)
        self.peer_server.handle(Heartbeat, self.heartbeats.handle)
        self.crashes = CrashParts(
            host=profile.host_id,
            directory=self.directory,
            membership=self.membership,
            heartbeats=self.heartbeats,
            links=self.links,
            time=self.time,
            endings=self.endings,
            on_verdict=self.report.note_verdict,
            clock=self._clock,
        )
        self.crashes.serve(self.peer_server)

    def _build_requests(self) -> None:
        bounds = self._profile.bounds
        self.census = HostCensus(
            host=self._profile.host_id,
            window_s=bounds.repeat_window_s,
            clock=self._boot_clock,
        )
        self.rollouts = self._rollout_parts()
        self.host_counter = HostCounter(
            census=self.census,
            membership=self.membership,
            records=self._records,
            time=self.time,
            clock=self._clock,
        )
        self.limits = LimitParts(
            host=self._profile.host_id,
            notes=self.crashes.notes,
            sharing=self.crashes.exchange,
            heartbeats=self.heartbeats,
            census=self.census,
            links=self.links,
            is_leaving=lambda: self._draining,
            on_put_off=self.report.note_put_off,
            wall_clock=self.crashes.clock,
            boot_clock=self._boot_clock,
            rng=self._rng,
        )
        self.limits.serve(self.peer_server)
        self.quotas = QuotaParts(
            host=self._profile.host_id,
            tolerance=bounds.quota_tolerance,
            authority=self.limits.authority,
            heartbeats=self.heartbeats,
            census=self.census,
            links=self.links,
            find_workspace=self.config.workspace_named,
            has_quotas=lambda: self.config.has_quotas,
            listener=self.report.quotas,
            clock=self._clock,
            boot_clock=self._boot_clock,
            rng=self._rng,
        )
        self.quotas.serve(self.peer_server)
        self.limits.book.add_listener(lambda *_: self.report.note_limits(self.limits.book.in_force))
        self.budgets = RetryBudgets(
            clock=self._boot_clock,
            ratio=bounds.repeat_ratio,
            extra=bounds.repeat_extra,
            window_s=bounds.repeat_window_s,
            share=self.census.share,
        )
        receiver = HeartbeatReceiver(
            heartbeats=self.heartbeats,
            time=self.time,
            usage=self.usage,
            quotas=self.quotas.ledger,
            directory=self.directory,
            census=self.census,
        )
        self.heartbeats.add_listener(receiver.receive)
        self.speed_sharing = SpeedSharing(
            directory=self.directory, heartbeats=self.heartbeats, clock=self._clock
        )
        self.heartbeats.add_listener(self.speed_sharing.receive)
        intake = Intake(
            config=self.config,
            codec=self._codec,
            quotas=self.quotas.quotas,
            clock=self._clock,
            rng=self._rng,
        )
        placer = new_placer(
            profile=self._profile,
            config=self.config,
            directory=self.directory,
            time=self.time,
            limit_of=self.limits.book.get,
            hosts=lambda: self.host_counter.count(),
            clock=self._clock,
            boot_clock=self._boot_clock,
            rng=self._rng,
            versions=None if self.rollouts is None else self.rollouts.chooser,
        )
        self.placer = self.limits.placer(placer, self.directory)
        queues = RequestQueues(
            directory=self.directory,
            placer=self.placer,
            hosts=self.census.total,
            stopping=self.stopping,
            clock=self._clock,
            report=self.report,
            rng=self._rng,
            is_enabled=self._profile.queueing,
        )
        self.heartbeats.add_listener(lambda _: queues.note_load_changed())
        self.forwarder = Forwarder(
            intake=intake,
            placer=self.placer,
            queues=queues,
            limits=self.limits.book,
            budgets=self.budgets,
            codec=self._codec,
            clock=self._clock,
            report=self.report,
            meter=self.demand,
            speeds=self.speeds,
            screening=self.crashes.screening,
            directory=self.directory,
            stopping=self.stopping,
            rng=self._rng,
        )

    def _rollout_parts(self) -> RolloutParts | None:
        limits, source = self._profile.bounds.rollouts, self._source.rollouts
        if limits is None or source is None:
            return None
        return RolloutParts(
            source=source,
            platform=self._source,
            limits=limits,
            directory=self.directory,
            heartbeats=self.heartbeats,
            report=self.report,
            time=self.time,
            hosts=self.census.total,
            in_stall=lambda: self.stalls.stalled,
            clock=self._boot_clock,
            rng=self._rng,
        )

    def _build_followers(self) -> None:
        self.store = StoreParts(
            host=self._profile.host_id,
            source=self._source,
            config=self.config,
            directory=self.directory,
            heartbeats=self.heartbeats,
            links=self.links,
            on_read=self.census.note_store,
            now_s=self.time.now,
            clock=self._clock,
            boot_clock=self._boot_clock,
            rng=self._rng,
        )
        self.store.serve(self.peer_server)
        self.store.copier.add_check(self.stalls.look)
        self.endings.may_ask = self.placer.may_check
        self.endings.is_current = self.store.listing.is_current
        self.store.lapses.may_ask = self.placer.may_check
        self.store.lapses.on_limit = self.limits.book.note_answer
        if self.rollouts is not None:
            self.store.copier.config_follower.on_other = self.rollouts.note_record

    def _build_duties(self) -> None:
        self.duties = DutyParts(
            profile=self._profile,
            incarnation=self._incarnation,
            source=self._source,
            config=self.config,
            directory=self.directory,
            heartbeats=self.heartbeats,
            time=self.time,
            usage=self.usage,
            demand=self.demand,
            speeds=self.speeds,
            limit_of=self.limits.book.get,
            rollouts=self.rollouts,
            can_act=lambda: self.ready and self.store.copier.store_ok,
            clock=self._clock,
            boot_clock=self._boot_clock,
            rng=self._rng,
        )

    def _compose_heartbeat(self) -> Heartbeat:
        config = self.config.current
        self.speed_sharing.compose()
        heartbeat = Heartbeat(
            host=self._profile.host_id,
            incarnation=self._incarnation,
            failure_domain=self._profile.failure_domain,
            peer_address=str(self._profile.announced_peer_address),
            now_s=self.time.now(),
            revision=-1 if config is None else config.revision,
            directory=self.directory.changed,
            store_ok=self.store.copier.store_ok,
            reads=self.store.copier.store_ok and self.store.copier.reads_store,
            knows=self.store.copier.is_current,
            duty=self.duties.known_holder(),
            leaving=self._draining,
            drawn=self.quotas.ledger.consumed(),
            lent=self.quotas.ledger.lent(),
            use=upstream_use(self.directory),
            reading=self.demand.rates(),
            usage=self.usage.own_counts(),
            reported=self.duties.progress.last,
            strength=self._profile.strength,
            notes=self.crashes.exchange.digest(),
            census=self.host_counter.count(),
            hears=self.limits.hears(lends_quotas=self.quotas.is_in_use),
            borrows=self.limits.permits.is_in_use or self.quotas.is_in_use,
            config_age_s=finite_age(self.store.config_freshness.age_s),
            directory_age_s=finite_age(self.store.directory_freshness.age_s),
            timings=self.speed_sharing.timings,
            slowness=self.speed_sharing.slowness,
        )
        return heartbeat if self.rollouts is None else self.rollouts.add_to(heartbeat)

    def _components(self) -> list[Component]:
        self._callers = HttpListener(
            sock=listen(self._profile.caller_address),
            handler=self.forwarder,
            limits=self.config.limits,
            drain_linger_s=DRAIN_LINGER_S,
            first_request_s=FIRST_REQUEST_S,
            connection_limits=self._profile.connection_limits(CALLERS_SHARE),
            on_closed=functools.partial(self.report.note_closure, "callers"),
        )
        checks = check_listeners(
            profile=self._profile,
            metrics_port=self._metrics_port,
            is_ready=lambda: self.ready,
            report=self.report,
        )
        crashes = self.crashes.components(
            log=self._source.records,
            options=self.store.suspect_options(),
            add_check=self.store.copier.add_check,
            rng=self._rng,
        )
        return [
            *checks,
            self.links,
            self.peer_server,
            *self.store.followers(),
            *([] if self.rollouts is None else [self.rollouts.follower(self.store)]),
            self.heartbeats,
            *self.store.components(),
            *crashes,
            self.endings,
            *self.limits.components(),
            *self.quotas.components(),
            *self.duties.components(),
            self.forwarder,
            self._callers,
        ]
