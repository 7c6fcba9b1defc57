"""Assembles the parts of a host that move services to new versions, if its settings ask for it."""

import collections.abc as cabc
import dataclasses
import math
import random

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import KeyedRecord
from cassiawalk.clock import Clock
from cassiawalk.duties.holder import Duty
from cassiawalk.duties.rollouts import RolloutDuty
from cassiawalk.duties.rollouts import VersionUse
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeat import RolloutNews
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.report import EndedAttempt
from cassiawalk.ingress.report import IngressReport
from cassiawalk.ingress.versions import VersionChooser
from cassiawalk.ingressnode.responses import response_of
from cassiawalk.ingressnode.storeparts import StoreParts
from cassiawalk.rollouts.book import KnownUpstream
from cassiawalk.rollouts.book import RolloutBook
from cassiawalk.rollouts.counting import ResponseCounts
from cassiawalk.rollouts.counting import VersionCount
from cassiawalk.rollouts.types import NO_VERSION
from cassiawalk.rollouts.types import Role
from cassiawalk.rollouts.types import RolloutLimits
from cassiawalk.rollouts.types import RolloutState
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.rolloutrecords import RolloutFollower
from cassiawalk.storeview.rolloutrecords import RolloutRecords
from cassiawalk.storeview.source import PlatformSource
from cassiawalk.storeview.source import RolloutSource
from cassiawalk.storeview.upstream import Upstream

UNHEARD_S = -1.0  # the age of a state that the holder is not known to have announced


class RolloutParts:
    """What a host knows of rollouts, what it counts for them, and what it tells other hosts.

    :param hosts: returns the number of hosts of the fleet.
    :param in_stall: returns whether this host was stopped or starved lately.
    :param clock: a clock that also runs while the host is suspended.
    """

    def __init__(
        self,
        *,
        source: RolloutSource,
        platform: PlatformSource,
        limits: RolloutLimits,
        directory: Directory,
        heartbeats: HeartbeatExchange,
        report: IngressReport,
        time: CorrectedTime,
        hosts: cabc.Callable[[], int],
        in_stall: cabc.Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._platform = platform
        self._directory = directory
        self._heartbeats = heartbeats
        self._report = report
        self._time = time
        self._in_stall = in_stall
        self._clock = clock
        self._rng = rng
        self._holder_fence: cabc.Callable[[], Offset | None] = lambda: None
        self._follower: RolloutFollower | None = None
        self.book = RolloutBook(upstreams_of=self._upstreams_of)
        self.book.add_listener(self._note_state)
        self.chooser = VersionChooser(
            book=self.book, limits=limits, hosts=hosts, clock=clock, rng=rng
        )
        self._counts = ResponseCounts()
        self._duty = RolloutDuty(
            book=self.book,
            records=RolloutRecords(log=platform.records, source=source),
            limits=limits,
            counts=self._all_counts,
            use=self._use,
            now_s=time.now,
            clock=clock,
        )
        directory.find_role = self._role
        heartbeats.add_listener(self._receive)
        report.on_ended = self._note_ended

    @property
    def is_loaded(self) -> bool:
        """Return whether this host has read the stored states, or others tell it of them."""
        has_read = self._follower is not None and self._follower.loaded
        return has_read or bool(self._heartbeats.live_hosts)

    def duty(self, holder_fence: cabc.Callable[[], Offset | None]) -> Duty:
        """Return the duty that decides on rollouts.

        :param holder_fence: returns the fencing number if this host holds the duties, else None.
        """
        self._holder_fence = holder_fence
        return self._duty

    def follower(self, store: StoreParts) -> Component:
        """Return the component that reads the states of rollouts."""
        self._follower = RolloutFollower(
            log=self._platform.records,
            options=store.rollout_options(self._source.state_stream),
            book=self.book,
            clock=self._clock,
            rng=self._rng,
        )
        return self._follower

    def note_record(self, record: KeyedRecord) -> None:
        """Take over an order from a record of the configuration's stream."""
        order = self._source.decode_order(record, self._time.now())
        if order is None or not self.book.offer_order(order):
            return
        eliot.log_message(
            message_type="rollout:ordered",
            service=order.service,
            to=order.to,
            duration_s=order.duration_s,
            offset=order.offset,
        )
        self._heartbeats.send_now()

    def add_to(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return this host's heartbeat with what it knows and counts of rollouts."""
        self._renew()
        states = tuple(self.book.states())
        orders = tuple(self.book.pending_orders())
        if not states and not orders:
            return heartbeat
        now = self._clock.monotonic()
        ages = [now - self.book.heard_at(state.service) for state in states]
        news = RolloutNews(
            states=states,
            ages_s=tuple(round(age, 3) if math.isfinite(age) else UNHEARD_S for age in ages),
            orders=orders,
        )
        return dataclasses.replace(
            heartbeat, rollouts=news, responses=self._counts.current() or None
        )

    def _renew(self) -> None:
        """Announce the states again, if this host holds the duties and knows what is stored."""
        fence = self._holder_fence()
        if fence is None or not self._duty.announces(fence):
            return
        now = self._clock.monotonic()
        for state in self.book.states():
            self.book.offer_state(state, heard_at=now)

    def _receive(self, heartbeat: Heartbeat) -> None:
        news = heartbeat.rollouts
        if news is None:
            return
        on_way_s = max(0.0, self._time.now() - heartbeat.now_s)
        now = self._clock.monotonic()
        for order in news.orders:
            self.book.offer_order(order)
        for state, age_s in zip(news.states, news.ages_s, strict=False):
            heard_at = now - age_s - on_way_s if age_s >= 0.0 else -math.inf
            self.book.offer_state(state, heard_at=heard_at)

    def _note_state(self, state: RolloutState) -> None:
        if state.phase.is_final:
            self._counts.end(state.service)
        else:
            self._counts.begin(state.service, state.order)
        self._report.note_rollout(state)
        self._heartbeats.send_now()

    def _role(self, upstream: Upstream) -> Role:
        entry = upstream.registration
        # Asked for each upstream of each request; the time matters only while a rollout runs.
        now = self._clock.monotonic() if self.book.is_running(entry.service) else 0.0
        return self.book.role(entry.service, entry.upstream_id, entry.service_version, now)

    def _upstreams_of(self, service: ServiceName) -> list[KnownUpstream]:
        return [
            KnownUpstream(
                upstream_id=found.upstream_id,
                version=found.registration.service_version,
                started_ms=found.registration.started_ms,
                serves=found.serves and not found.leaving,
            )
            for found in self._directory.all_for(service)
        ]

    def _use(self, state: RolloutState) -> VersionUse:
        upstreams = self._directory.all_for(state.service)
        new = [found for found in upstreams if found.registration.service_version == state.to]
        old = [
            found
            for found in upstreams
            if found.registration.service_version in (state.base, NO_VERSION)
        ]
        return VersionUse(
            new_upstreams=sum(found.serves for found in new),
            old_upstreams=sum(found.serves for found in old),
            old_running=sum(found.load.total for found in old if not found.superseded),
        )

    def _all_counts(self) -> dict[str, cabc.Sequence[VersionCount]]:
        """Return the counts of all hosts, as this one or its hubs have received them."""
        found: dict[str, cabc.Sequence[VersionCount]] = {"": self._counts.current()}
        exchange = self._heartbeats
        for host in exchange.live_hosts:
            heartbeat = exchange.peers[host].heartbeat
            counted = heartbeat.counted
            if exchange.full_mesh or heartbeat.first or counted is not None:
                found[heartbeat.process] = heartbeat.responses or ()
            if counted is not None and not exchange.full_mesh:
                found[f"{heartbeat.process}/counted"] = counted.responses or ()
        return found

    def _note_ended(self, ended: EndedAttempt) -> None:
        upstream = ended.placement.upstream
        service = ended.job.service
        state = self.book.state(service)
        is_new = (
            state is not None
            and not state.phase.is_final
            and upstream.registration.service_version == state.to
        )
        response = response_of(ended, is_new=is_new, now=ended.now, in_stall=self._in_stall())
        if response is None:
            return
        self._counts.note(response, ended.now)
        if state is not None and not state.phase.is_final:
            version = state.to if is_new else state.base
            self._report.note_version(service, version, response.outcome.value)
