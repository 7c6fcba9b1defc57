"""Puts one host's components together."""

import random

from cassiawalk.admin import AdminApp
from cassiawalk.admin import ChangeService
from cassiawalk.admin import History
from cassiawalk.admin import Operators
from cassiawalk.admin import QueryService
from cassiawalk.admin import RowSource
from cassiawalk.admission import AdmissionGate
from cassiawalk.admission import LimitKeeper
from cassiawalk.admission import Scheduler
from cassiawalk.app import Application
from cassiawalk.app import Component
from cassiawalk.caller import CallerApp
from cassiawalk.caller.attach import Attachments
from cassiawalk.caller.parsing import RecordBuilder
from cassiawalk.clock import Clock
from cassiawalk.control import CommandPublisher
from cassiawalk.control import ControlFollower
from cassiawalk.control import Housekeeper
from cassiawalk.control import RelayNode
from cassiawalk.control.relay_messages import RelayBeat
from cassiawalk.control.relay_messages import RelaySubscribe
from cassiawalk.control.state import PoolType
from cassiawalk.crashes import ControlQuarantines
from cassiawalk.crashes import CrashGuard
from cassiawalk.crashes import SoloCall
from cassiawalk.crashes import SoloTurns
from cassiawalk.dispatch import Dispatcher
from cassiawalk.dispatch import HttpConnector
from cassiawalk.dispatch import OutcomeRecorder
from cassiawalk.dispatch import RetryPolicy
from cassiawalk.dispatch import UpstreamWatcher
from cassiawalk.dispatch.call import CallRunner
from cassiawalk.dispatch.holder import ClaimHolder
from cassiawalk.dispatch.lookup import OutcomeLookUp
from cassiawalk.dispatch.mover import Mover
from cassiawalk.dispatch.once import OnceRunner
from cassiawalk.dispatch.stream import StreamRunner
from cassiawalk.drains import DrainSwitch
from cassiawalk.handover import AnnounceCall
from cassiawalk.handover import DrainController
from cassiawalk.handover import HandoverOffer
from cassiawalk.handover import HandoverReceiver
from cassiawalk.handover import HandoverSender
from cassiawalk.handover import HandoverWithdrawal
from cassiawalk.handover import Locator
from cassiawalk.handover import OutcomeHandover
from cassiawalk.handover import RecordsOffer
from cassiawalk.handover import Targets
from cassiawalk.httpserver import HttpServer
from cassiawalk.httpserver import bound_address
from cassiawalk.httpserver import listen
from cassiawalk.ids import new_uuid7
from cassiawalk.membership import Membership
from cassiawalk.metrics import Metrics
from cassiawalk.once import ClaimClient
from cassiawalk.once import Placement
from cassiawalk.once import SequencerPool
from cassiawalk.orders import LeaseKeeper
from cassiawalk.orders import OrderController
from cassiawalk.peer import AttachCall
from cassiawalk.peer import ClaimStatusCall
from cassiawalk.peer import FeedCall
from cassiawalk.peer import LimitShareCall
from cassiawalk.peer import LocateCall
from cassiawalk.peer import MembershipFeed
from cassiawalk.peer import NodeStatusCall
from cassiawalk.peer import NoteBoard
from cassiawalk.peer import OnceCall
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import PeerServer
from cassiawalk.peer import QueryCall
from cassiawalk.peer import ShareCall
from cassiawalk.platform.hosts_http import HttpCloudApi
from cassiawalk.platform.hosts_http import HttpHostList
from cassiawalk.platform.log_http import HttpLogService
from cassiawalk.requests import RequestStore
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable
from cassiawalk.settings import Settings
from cassiawalk.settings import read_secret
from cassiawalk.status import StatusReporter


class Node:
    """One host: all roles in one process."""

    def __init__(self, *, cfg: Settings, clock: Clock, rng: random.Random) -> None:
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self.incarnation = new_uuid7()
        self._secret = read_secret(cfg.peer_secret)
        self._operators = Operators(text=read_secret(cfg.operator_tokens))
        self._sockets = {
            "caller": listen(cfg.caller_address),
            "peer": listen(cfg.peer_address),
            "admin": listen(cfg.admin_address),
        }
        self._build_platform()
        self._build_requests()
        self._build_handover()
        self._build_orders()
        self._build_servers()
        self._meter_control()
        self.app = Application(components=self._components())

    @property
    def addresses(self) -> dict[str, str]:
        """Return the addresses in use, by purpose."""
        return {purpose: bound_address(sock) for purpose, sock in self._sockets.items()}

    def _build_platform(self) -> None:
        cfg, clock = self._cfg, self._clock
        self.metrics = Metrics(clock=clock)
        traffic = self.metrics.control
        self.log = HttpLogService(url=cfg.log_url, traffic=traffic)
        self.cloud = HttpCloudApi(url=cfg.cloud_url, traffic=traffic)
        host_list = HttpHostList(url=cfg.host_list_url, traffic=traffic)
        self.membership = Membership(host=cfg.host_id, host_list=host_list, clock=clock)
        self.links = PeerLinks(membership=self.membership, secret=self._secret, traffic=traffic)
        self.board = NoteBoard(clock=clock)
        self.feed = MembershipFeed(
            board=self.board,
            host=cfg.host_id,
            membership=self.membership,
            links=self.links,
            cloud=self.cloud,
            clock=clock,
        )
        self.control = ControlFollower(
            log=self.log,
            clock=clock,
            staleness_bound_s=cfg.control_staleness_bound_s,
            outage_bound_s=cfg.control_outage_bound_s,
        )
        self.publisher = CommandPublisher(log=self.log, follower=self.control, clock=clock)
        self._build_relay()
        placement = Placement(
            host=cfg.host_id, membership=self.membership, partitions=cfg.once_partitions
        )
        self.sequencers = SequencerPool(
            log=self.log, clock=clock, placement=placement, window_s=cfg.once_window_s
        )
        self.claims = ClaimClient(
            host=cfg.host_id, placement=placement, links=self.links, pool=self.sequencers
        )

    def _build_relay(self) -> None:
        cfg = self._cfg
        self.relay = RelayNode(
            host=cfg.host_id,
            region=cfg.region,
            follower=self.control,
            membership=self.membership,
            links=self.links,
            clock=self._clock,
            rng=self._rng,
        )
        self.housekeeper = Housekeeper(
            host=cfg.host_id,
            log=self.log,
            follower=self.control,
            publisher=self.publisher,
            membership=self.membership,
            clock=self._clock,
            retention_s=cfg.control_retention_s,
            every_records=cfg.control_snapshot_every,
        )

    def _build_requests(self) -> None:
        clock = self._clock
        self.store = RequestStore(clock=clock)
        self.table = UpstreamTable(membership=self.membership, clock=clock)
        self.router = Router(
            table=self.table, rng=self._rng, pools=lambda: self.control.state.pools
        )
        self.scheduler = Scheduler(
            table=self.table, router=self.router, clock=clock, metrics=self.metrics
        )
        self.limits = LimitKeeper(
            host=self._cfg.host_id,
            limits=lambda: self.control.state.limits,
            membership=self.membership,
            links=self.links,
            clock=clock,
        )
        self.guard = self._crash_guard()
        self.gate = AdmissionGate(
            scheduler=self.scheduler,
            clock=clock,
            rng=self._rng,
            limits=self.limits,
            quarantine=self.guard.refusal,
        )
        self.connector = HttpConnector(traffic=self.metrics.control)
        self.mover = Mover(
            table=self.table, scheduler=self.scheduler, connector=self.connector, clock=clock
        )
        self.watcher = UpstreamWatcher(
            table=self.table, connector=self.connector, clock=clock, rng=self._rng
        )
        self.watcher.add_death_listener(self.guard.note_death)
        self.retries = RetryPolicy(clock=clock, rng=self._rng)
        self.recorder = OutcomeRecorder(claims=self.claims, clock=clock)
        self.holder = ClaimHolder(
            host=self._cfg.host_id,
            incarnation=self.incarnation,
            links=self.links,
            recorder=self.recorder,
            clock=clock,
            window_s=self._cfg.once_window_s,
        )
        self.dispatcher = Dispatcher(
            gate=self.gate,
            runners={PoolType.ENGINE: self._stream_runner(), PoolType.PLAIN: self._call_runner()},
            once_runner=self._once_runner(),
            store=self.store,
            clock=clock,
            metrics=self.metrics,
        )

    def _crash_guard(self) -> CrashGuard:
        self.turns = SoloTurns(
            host=self._cfg.host_id,
            membership=self.membership,
            links=self.links,
            clock=self._clock,
        )
        quarantines = ControlQuarantines(
            publisher=self.publisher, follower=self.control, clock=self._clock, rng=self._rng
        )
        return CrashGuard(
            table=self.table,
            feed=self.feed,
            board=self.board,
            turns=self.turns,
            quarantines=quarantines,
            clock=self._clock,
        )

    def _build_orders(self) -> None:
        host = self._cfg.host_id
        holder = f"{host}/{self.incarnation}"
        self.orders = OrderController(
            host=host,
            leases=LeaseKeeper(host=host, holder=holder, log=self.log, clock=self._clock),
            control=self.control,
            membership=self.membership,
            table=self.table,
            connector=self.connector,
            clock=self._clock,
        )

    def _stream_runner(self) -> StreamRunner:
        return StreamRunner(
            scheduler=self.scheduler,
            connector=self.connector,
            mover=self.mover,
            guard=self.guard,
            retries=self.retries,
            clock=self._clock,
            metrics=self.metrics,
        )

    def _call_runner(self) -> CallRunner:
        return CallRunner(
            scheduler=self.scheduler,
            connector=self.connector,
            retries=self.retries,
            clock=self._clock,
            metrics=self.metrics,
        )

    def _once_runner(self) -> OnceRunner:
        return OnceRunner(
            host=self._cfg.host_id,
            incarnation=self.incarnation,
            claims=self.claims,
            holder=self.holder,
            recorder=self.recorder,
            look_up=OutcomeLookUp(
                config=lambda: self.control.state, table=self.table, connector=self.connector
            ),
            scheduler=self.scheduler,
            connector=self.connector,
            clock=self._clock,
            window_s=self._cfg.once_window_s,
        )

    def _build_handover(self) -> None:
        cfg, clock = self._cfg, self._clock
        host, membership, links = cfg.host_id, self.membership, self.links
        self.locator = Locator(host=host, membership=membership, links=links, clock=clock)
        targets = Targets(host=host, membership=membership, links=links)
        self.receiver = HandoverReceiver(
            host=host,
            dispatcher=self.dispatcher,
            store=self.store,
            locator=self.locator,
            clock=clock,
        )
        sender = HandoverSender(
            host=host, dispatcher=self.dispatcher, targets=targets, links=links, clock=clock
        )
        self.outcome_handover = OutcomeHandover(
            host=host,
            dispatcher=self.dispatcher,
            recorder=self.recorder,
            targets=targets,
            links=links,
            clock=clock,
        )
        self.drain_controller = DrainController(
            host=host,
            membership=membership,
            cloud=self.cloud,
            dispatcher=self.dispatcher,
            store=self.store,
            sender=sender,
            receiver=self.receiver,
            targets=targets,
            outcomes=self.outcome_handover,
            clock=clock,
            limit_s=cfg.drain_limit_s,
            notice_s=cfg.drain_notice_s,
        )

    def _build_servers(self) -> None:
        cfg = self._cfg
        attachments = Attachments(
            host=cfg.host_id, store=self.store, links=self.links, locator=self.locator
        )
        queries = QueryService(
            host=cfg.host_id,
            source=self._row_source(),
            membership=self.membership,
            links=self.links,
        )
        caller = CallerApp(
            builder=RecordBuilder(
                host=cfg.host_id, clock=self._clock, once_window_s=cfg.once_window_s
            ),
            control=self.control,
            dispatcher=self.dispatcher,
            attachments=attachments,
        )
        admin = AdminApp(
            operators=self._operators,
            control=self.control,
            changes=ChangeService(publisher=self.publisher, queries=queries, clock=self._clock),
            queries=queries,
            history=History(log=self.log),
            metrics=self.metrics,
        )
        self.caller_server = HttpServer(
            asgi=caller.asgi(), sock=self._sockets["caller"], close_limit_s=cfg.drain_limit_s
        )
        self.admin_server = HttpServer(asgi=admin.asgi(), sock=self._sockets["admin"])
        self.peer_server = PeerServer(
            sock=self._sockets["peer"], secret=self._secret, traffic=self.metrics.control
        )
        self._handle_peer_calls(attachments, queries)

    def _status_reporter(self) -> StatusReporter:
        return StatusReporter(
            host=self._cfg.host_id,
            control=self.control,
            dispatcher=self.dispatcher,
            store=self.store,
        )

    def _row_source(self) -> RowSource:
        return RowSource(
            host=self._cfg.host_id,
            failure_domain=self._cfg.failure_domain,
            control=self.control,
            table=self.table,
            store=self.store,
            dispatcher=self.dispatcher,
            recorder=self.recorder,
            refusals=self.metrics.refusals,
            clock=self._clock,
        )

    def _handle_peer_calls(self, attachments: Attachments, queries: QueryService) -> None:
        self.peer_server.handle(LimitShareCall, self.limits.serve)
        self.peer_server.handle(OnceCall, self.claims.handle_call)
        self.peer_server.handle(QueryCall, queries.handle)
        self.peer_server.handle(NodeStatusCall, self._status_reporter().handle)
        self.peer_server.handle(ClaimStatusCall, self.holder.status)
        self.peer_server.handle(SoloCall, self.turns.handle_call)
        self.peer_server.handle(ShareCall, self.feed.handle_share)
        self.peer_server.handle_stream(FeedCall, self.feed.serve)
        self.peer_server.handle(RelayBeat, self.relay.server.beat)
        self.peer_server.handle_stream(RelaySubscribe, self.relay.server.serve)
        self.peer_server.handle_stream(AttachCall, attachments.serve)
        self.peer_server.handle(AnnounceCall, self.locator.handle_announce)
        self.peer_server.handle(LocateCall, self.locator.handle_locate)
        self.peer_server.handle(HandoverOffer, self.receiver.handle_offer)
        self.peer_server.handle(HandoverWithdrawal, self.receiver.handle_withdrawal)
        self.peer_server.handle(RecordsOffer, self.outcome_handover.handle_offer)

    def _meter_control(self) -> None:
        """Count the processor time of the control work apart from the token path."""
        for component in (
            self.membership,
            self.links,
            self.feed,
            self.control,
            self.relay,
            self.housekeeper,
            self.sequencers,
            self.orders,
            self.watcher,
        ):
            component.meter = self.metrics.control

    def _drain_switch(self) -> DrainSwitch:
        return DrainSwitch(
            host=self._cfg.host_id,
            control=self.control,
            table=self.table,
            dispatcher=self.dispatcher,
        )

    def _components(self) -> list[Component]:
        return [
            self.membership,
            self.links,
            self.relay,
            self.housekeeper,
            self.sequencers,
            self.peer_server,
            self.feed,
            self.connector,
            self.table,
            self.watcher,
            self.mover,
            self.guard,
            self.orders,
            self.recorder,
            self.scheduler,
            self.limits,
            self.dispatcher,
            self._drain_switch(),
            self.locator,
            self.receiver,
            self.drain_controller,
            self.admin_server,
            self.caller_server,
        ]
