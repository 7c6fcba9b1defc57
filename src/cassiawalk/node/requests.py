"""Builds a host's admission, routing, dispatch and orders to engines."""

from cassiawalk.admission import AdmissionGate
from cassiawalk.admission import Scheduler
from cassiawalk.admission import WorkspaceLimiter
from cassiawalk.control.quarantines import ControlQuarantines
from cassiawalk.control.state import PoolType
from cassiawalk.crashes import CrashGuard
from cassiawalk.crashes import IsolationLeases
from cassiawalk.dispatch import Dispatcher
from cassiawalk.dispatch import HttpConnector
from cassiawalk.dispatch import OutcomeRecorder
from cassiawalk.dispatch import RetryPolicy
from cassiawalk.dispatch import UpstreamWatcher
from cassiawalk.dispatch.call import CallRunner
from cassiawalk.dispatch.claim_tracker import ClaimTracker
from cassiawalk.dispatch.lookup import OutcomeLookUp
from cassiawalk.dispatch.migrator import StreamMigrator
from cassiawalk.dispatch.once import OnceRunner
from cassiawalk.dispatch.stream import StreamRunner
from cassiawalk.node.base import BaseComponents
from cassiawalk.node.context import NodeContext
from cassiawalk.orders import LeaseManager
from cassiawalk.orders import OrderController
from cassiawalk.requests import RequestStore
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable


class RequestComponents:
    """The components that admit requests and run them."""

    def __init__(self, *, ctx: NodeContext, base: BaseComponents) -> None:
        self._ctx = ctx
        self._base = base
        self.store = RequestStore(clock=ctx.clock)
        self._build_upstreams()
        self._build_admission()
        self._build_outcomes()
        self.dispatcher = self._dispatcher()
        self.orders = self._orders()

    def _build_upstreams(self) -> None:
        clock = self._ctx.clock
        self.table = UpstreamTable(membership=self._base.membership, clock=clock)
        self.router = Router(
            table=self.table, rng=self._ctx.rng, pools=lambda: self._base.control.state.pools
        )
        self.scheduler = Scheduler(
            table=self.table, router=self.router, clock=clock, metrics=self._base.metrics
        )
        self.connector = HttpConnector(traffic=self._base.metrics.control_meter)
        self.migrator = StreamMigrator(
            table=self.table, scheduler=self.scheduler, connector=self.connector, clock=clock
        )
        self.watcher = UpstreamWatcher(
            table=self.table, connector=self.connector, clock=clock, rng=self._ctx.rng
        )

    def _build_admission(self) -> None:
        clock = self._ctx.clock
        self.limits = WorkspaceLimiter(
            host=self._ctx.cfg.host_id,
            limits=lambda: self._base.control.state.limits,
            membership=self._base.membership,
            links=self._base.links,
            clock=clock,
        )
        self.guard = self._crash_guard()
        self.gate = AdmissionGate(
            scheduler=self.scheduler,
            clock=clock,
            rng=self._ctx.rng,
            limits=self.limits,
            quarantine=self.guard.refusal,
        )
        self.watcher.add_disconnect_listener(self.guard.note_death)

    def _build_outcomes(self) -> None:
        clock = self._ctx.clock
        self.retries = RetryPolicy(clock=clock, rng=self._ctx.rng)
        self.recorder = OutcomeRecorder(claims=self._base.claims, clock=clock)
        self.claim_tracker = ClaimTracker(
            host=self._ctx.cfg.host_id,
            incarnation=self._ctx.incarnation,
            links=self._base.links,
            recorder=self.recorder,
            clock=clock,
            window_s=self._ctx.cfg.once_window_s,
        )

    def _dispatcher(self) -> Dispatcher:
        return Dispatcher(
            gate=self.gate,
            runners={PoolType.ENGINE: self._stream_runner(), PoolType.PLAIN: self._call_runner()},
            once_runner=self._once_runner(),
            store=self.store,
            clock=self._ctx.clock,
            metrics=self._base.metrics,
        )

    def _crash_guard(self) -> CrashGuard:
        self.isolation_leases = IsolationLeases(
            host=self._ctx.cfg.host_id,
            membership=self._base.membership,
            links=self._base.links,
            clock=self._ctx.clock,
        )
        quarantines = ControlQuarantines(
            publisher=self._base.publisher,
            follower=self._base.control,
            clock=self._ctx.clock,
            rng=self._ctx.rng,
        )
        guard = CrashGuard(
            host=self._ctx.cfg.host_id,
            note_store=self._base.note_store,
            sharing=self._base.feed,
            upstreams=self.table.all,
            on_released=self.table.notify,
            isolation_leases=self.isolation_leases,
            quarantines=quarantines,
            clock=self._ctx.clock,
        )
        self.table.add_leaving_listener(guard.note_leaving)
        return guard

    def _orders(self) -> OrderController:
        host = self._ctx.cfg.host_id
        holder = f"{host}/{self._ctx.incarnation}"
        return OrderController(
            host=host,
            leases=LeaseManager(
                host=host, holder=holder, log=self._base.log, clock=self._ctx.clock
            ),
            control=self._base.control,
            membership=self._base.membership,
            table=self.table,
            connector=self.connector,
            clock=self._ctx.clock,
        )

    def _stream_runner(self) -> StreamRunner:
        return StreamRunner(
            scheduler=self.scheduler,
            connector=self.connector,
            migrator=self.migrator,
            guard=self.guard,
            retries=self.retries,
            clock=self._ctx.clock,
            metrics=self._base.metrics,
        )

    def _call_runner(self) -> CallRunner:
        return CallRunner(
            scheduler=self.scheduler,
            connector=self.connector,
            retries=self.retries,
            clock=self._ctx.clock,
            metrics=self._base.metrics,
        )

    def _once_runner(self) -> OnceRunner:
        return OnceRunner(
            host=self._ctx.cfg.host_id,
            incarnation=self._ctx.incarnation,
            claims=self._base.claims,
            claim_tracker=self.claim_tracker,
            recorder=self.recorder,
            look_up=OutcomeLookUp(
                config=lambda: self._base.control.state, table=self.table, connector=self.connector
            ),
            scheduler=self.scheduler,
            connector=self.connector,
            clock=self._ctx.clock,
            window_s=self._ctx.cfg.once_window_s,
        )
