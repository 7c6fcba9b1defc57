"""Puts one host's components together."""

import random

from cassiawalk.admin import AdminApp
from cassiawalk.admin.operators import Operators
from cassiawalk.admin.queries import Queries
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
from cassiawalk.control.state import PoolType
from cassiawalk.dispatch import Dispatcher
from cassiawalk.dispatch import HttpConnector
from cassiawalk.dispatch import OutcomeRecorder
from cassiawalk.dispatch import RetryPolicy
from cassiawalk.dispatch import UpstreamWatcher
from cassiawalk.dispatch.call import CallRunner
from cassiawalk.dispatch.once import OnceRunner
from cassiawalk.dispatch.stream import StreamRunner
from cassiawalk.httpserver import HttpServer
from cassiawalk.httpserver import bound_address
from cassiawalk.httpserver import listen
from cassiawalk.ids import new_uuid7
from cassiawalk.membership import Membership
from cassiawalk.metrics import Metrics
from cassiawalk.once import ClaimClient
from cassiawalk.once import SequencerPool
from cassiawalk.peer import AttachCall
from cassiawalk.peer import NodeStatusCall
from cassiawalk.peer import NodeStatusReply
from cassiawalk.peer import OnceCall
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import PeerServer
from cassiawalk.peer import ShareCall
from cassiawalk.platform.hosts_http import HttpCloudApi
from cassiawalk.platform.hosts_http import HttpHostList
from cassiawalk.platform.log_http import HttpLogService
from cassiawalk.requests import RequestStore
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable
from cassiawalk.settings import Settings
from cassiawalk.settings import read_secret


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
        self._build_servers()
        self.app = Application(components=self._components())

    @property
    def addresses(self) -> dict[str, str]:
        """Return the addresses in use, by purpose."""
        return {purpose: bound_address(sock) for purpose, sock in self._sockets.items()}

    def _build_platform(self) -> None:
        cfg, clock = self._cfg, self._clock
        self.metrics = Metrics()
        self.log = HttpLogService(url=cfg.log_url)
        self.cloud = HttpCloudApi(url=cfg.cloud_url)
        host_list = HttpHostList(url=cfg.host_list_url)
        self.membership = Membership(host=cfg.host_id, host_list=host_list, clock=clock)
        self.links = PeerLinks(membership=self.membership, secret=self._secret)
        self.control = ControlFollower(
            log=self.log, clock=clock, staleness_bound_s=cfg.control_staleness_bound_s
        )
        self.publisher = CommandPublisher(log=self.log, follower=self.control, clock=clock)
        self.sequencers = SequencerPool(log=self.log)
        self.claims = ClaimClient(
            host=cfg.host_id,
            membership=self.membership,
            links=self.links,
            pool=self.sequencers,
            partitions=cfg.once_partitions,
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
        self.gate = AdmissionGate(
            scheduler=self.scheduler, clock=clock, rng=self._rng, limits=self.limits
        )
        self.connector = HttpConnector()
        self.watcher = UpstreamWatcher(table=self.table, connector=self.connector, clock=clock)
        self.retries = RetryPolicy(clock=clock, rng=self._rng)
        self.recorder = OutcomeRecorder(claims=self.claims, clock=clock)
        self.dispatcher = Dispatcher(
            gate=self.gate,
            runners={PoolType.ENGINE: self._stream_runner(), PoolType.PLAIN: self._call_runner()},
            once_runner=self._once_runner(),
            store=self.store,
            clock=clock,
            metrics=self.metrics,
        )

    def _stream_runner(self) -> StreamRunner:
        return StreamRunner(
            scheduler=self.scheduler,
            connector=self.connector,
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
            recorder=self.recorder,
            scheduler=self.scheduler,
            connector=self.connector,
            clock=self._clock,
        )

    def _build_servers(self) -> None:
        cfg = self._cfg
        attachments = Attachments(host=cfg.host_id, store=self.store, links=self.links)
        queries = Queries(
            host=cfg.host_id,
            control=self.control,
            membership=self.membership,
            table=self.table,
            store=self.store,
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
            publisher=self.publisher,
            queries=queries,
            metrics=self.metrics,
            clock=self._clock,
        )
        self.caller_server = HttpServer(asgi=caller.asgi(), sock=self._sockets["caller"])
        self.admin_server = HttpServer(asgi=admin.asgi(), sock=self._sockets["admin"])
        self.peer_server = PeerServer(sock=self._sockets["peer"], secret=self._secret)
        self._handle_peer_calls(attachments, queries)

    def _handle_peer_calls(self, attachments: Attachments, queries: Queries) -> None:
        async def node_status(_: NodeStatusCall) -> NodeStatusReply:
            return queries.node_status(draining=self.dispatcher.draining)

        self.peer_server.handle(ShareCall, self.limits.serve)
        self.peer_server.handle(OnceCall, self.claims.handle_call)
        self.peer_server.handle(NodeStatusCall, node_status)
        self.peer_server.handle_stream(AttachCall, attachments.serve)

    def _components(self) -> list[Component]:
        return [
            self.membership,
            self.links,
            self.control,
            self.sequencers,
            self.peer_server,
            self.connector,
            self.table,
            self.watcher,
            self.recorder,
            self.scheduler,
            self.limits,
            self.dispatcher,
            self.admin_server,
            self.caller_server,
        ]
