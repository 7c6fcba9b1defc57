"""Builds a host's servers for callers, operators and peers."""

import dataclasses
import functools

from cassiawalk.admin import AdminApp
from cassiawalk.admin import ChangeService
from cassiawalk.admin import ConfigHistory
from cassiawalk.admin import QueryService
from cassiawalk.admin import RowSource
from cassiawalk.caller import CallerApp
from cassiawalk.caller.attach import AttachService
from cassiawalk.caller.parsing import RecordBuilder
from cassiawalk.control import Confirmations
from cassiawalk.control.relay_messages import RelayHeartbeat
from cassiawalk.control.relay_messages import RelaySubscribe
from cassiawalk.crashes import IsolationLeaseCall
from cassiawalk.handover import AnnounceCall
from cassiawalk.handover import HandoverOffer
from cassiawalk.handover import HandoverWithdrawal
from cassiawalk.handover import RecordsOffer
from cassiawalk.http1 import CALLERS_SHARE
from cassiawalk.http1 import CHECKS_SHARE
from cassiawalk.http1 import ConnectionLimits
from cassiawalk.http1 import descriptor_limit
from cassiawalk.httpserver import HttpServer
from cassiawalk.node.base import BaseComponents
from cassiawalk.node.context import NodeContext
from cassiawalk.node.handover import HandoverComponents
from cassiawalk.node.requests import RequestComponents
from cassiawalk.peer import AttachCall
from cassiawalk.peer import ClaimStatusCall
from cassiawalk.peer import FeedCall
from cassiawalk.peer import LimitShareCall
from cassiawalk.peer import LocateCall
from cassiawalk.peer import NodeStatusCall
from cassiawalk.peer import OnceCall
from cassiawalk.peer import PeerServer
from cassiawalk.peer import QueryCall
from cassiawalk.peer import ShareCall
from cassiawalk.status import StatusReporter


class Servers:
    """The three listening servers and their request handlers."""

    def __init__(
        self,
        *,
        ctx: NodeContext,
        base: BaseComponents,
        requests: RequestComponents,
        handover: HandoverComponents,
    ) -> None:
        self._ctx = ctx
        self._base = base
        self._requests = requests
        self._handover = handover
        self._attachments = AttachService(
            host=ctx.cfg.host_id,
            store=self._requests.store,
            links=self._base.links,
            locator=self._handover.locator,
        )
        self._queries = QueryService(
            host=ctx.cfg.host_id,
            source=self._row_source(),
            membership=self._base.membership,
            links=self._base.links,
        )
        self.caller = self._caller_server()
        self.admin = self._admin_server()
        self.peer = PeerServer(
            sock=ctx.sockets["peer"], secret=ctx.secret, traffic=self._base.metrics.control_meter
        )
        self._handle_control_calls()
        self._handle_request_calls()

    def _caller_server(self) -> HttpServer:
        cfg = self._ctx.cfg
        caller = CallerApp(
            builder=RecordBuilder(
                host=cfg.host_id, clock=self._ctx.clock, once_window_s=cfg.once_window_s
            ),
            control=self._base.control,
            dispatcher=self._requests.dispatcher,
            attachments=self._attachments,
        )
        return HttpServer(
            asgi=caller.asgi(),
            sock=self._ctx.sockets["caller"],
            close_limit_s=cfg.drain_limit_s,
            connection_limits=self._connection_limits(CALLERS_SHARE),
            on_closed=functools.partial(self._base.metrics.note_closure, "callers"),
        )

    def _admin_server(self) -> HttpServer:
        admin = AdminApp(
            operators=self._ctx.operators,
            control=self._base.control,
            changes=self._changes(),
            queries=self._queries,
            history=ConfigHistory(log=self._base.log),
            metrics=self._base.metrics,
        )
        return HttpServer(
            asgi=admin.asgi(),
            sock=self._ctx.sockets["admin"],
            name="operators",
            connection_limits=self._connection_limits(CHECKS_SHARE),
            on_closed=functools.partial(self._base.metrics.note_closure, "operators"),
        )

    def _connection_limits(self, share: float) -> ConnectionLimits:
        cfg = self._ctx.cfg
        descriptors = descriptor_limit(cfg.connections_max_descriptors)
        limits = ConnectionLimits.for_share(share, descriptors=descriptors)
        return dataclasses.replace(limits, stall_timeout_s=cfg.connections_stall_timeout_s)

    def _changes(self) -> ChangeService:
        base = self._base
        confirmations = Confirmations(
            host=self._ctx.cfg.host_id,
            follower=base.control,
            membership=base.membership,
            links=base.links,
        )
        return ChangeService(
            publisher=base.publisher, confirmations=confirmations, clock=self._ctx.clock
        )

    def _handle_control_calls(self) -> None:
        self.peer.handle(LimitShareCall, self._requests.limits.serve)
        self.peer.handle(OnceCall, self._base.claims.handle_call)
        self.peer.handle(QueryCall, self._queries.handle)
        self.peer.handle(NodeStatusCall, self._status_reporter().handle)
        self.peer.handle(ClaimStatusCall, self._requests.claim_tracker.status)
        self.peer.handle(IsolationLeaseCall, self._requests.isolation_leases.handle_call)
        self.peer.handle(ShareCall, self._base.feed.handle_share)
        self.peer.handle_stream(FeedCall, self._base.feed.serve)
        self.peer.handle(RelayHeartbeat, self._base.relay.server.heartbeat)
        self.peer.handle_stream(RelaySubscribe, self._base.relay.server.serve)

    def _handle_request_calls(self) -> None:
        self.peer.handle_stream(AttachCall, self._attachments.serve)
        self.peer.handle(AnnounceCall, self._handover.locator.handle_announce)
        self.peer.handle(LocateCall, self._handover.locator.handle_locate)
        self.peer.handle(HandoverOffer, self._handover.receiver.handle_offer)
        self.peer.handle(HandoverWithdrawal, self._handover.receiver.handle_withdrawal)
        self.peer.handle(RecordsOffer, self._handover.outcome_handover.handle_offer)

    def _status_reporter(self) -> StatusReporter:
        return StatusReporter(
            host=self._ctx.cfg.host_id,
            control=self._base.control,
            dispatcher=self._requests.dispatcher,
            store=self._requests.store,
        )

    def _row_source(self) -> RowSource:
        return RowSource(
            host=self._ctx.cfg.host_id,
            failure_domain=self._ctx.cfg.failure_domain,
            control=self._base.control,
            table=self._requests.table,
            store=self._requests.store,
            dispatcher=self._requests.dispatcher,
            recorder=self._requests.recorder,
            refusals=self._base.metrics.refusals,
            clock=self._ctx.clock,
        )
