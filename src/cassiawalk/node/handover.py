"""Builds the components that move a host's requests to other hosts when it leaves."""

from cassiawalk.handover import DrainController
from cassiawalk.handover import HandoverReceiver
from cassiawalk.handover import HandoverSender
from cassiawalk.handover import Locator
from cassiawalk.handover import OutcomeHandover
from cassiawalk.handover import TargetSelector
from cassiawalk.node.base import BaseComponents
from cassiawalk.node.context import NodeContext
from cassiawalk.node.requests import RequestComponents


class HandoverComponents:
    """The components that hand requests over to other hosts, and that accept them from others."""

    def __init__(
        self, *, ctx: NodeContext, base: BaseComponents, requests: RequestComponents
    ) -> None:
        cfg, clock = ctx.cfg, ctx.clock
        host, membership, links = cfg.host_id, base.membership, base.links
        self.locator = Locator(host=host, membership=membership, links=links, clock=clock)
        targets = TargetSelector(host=host, membership=membership, links=links)
        self.receiver = HandoverReceiver(
            host=host,
            dispatcher=requests.dispatcher,
            store=requests.store,
            locator=self.locator,
            clock=clock,
        )
        sender = HandoverSender(
            host=host, dispatcher=requests.dispatcher, targets=targets, links=links, clock=clock
        )
        self.outcome_handover = OutcomeHandover(
            host=host,
            dispatcher=requests.dispatcher,
            recorder=requests.recorder,
            targets=targets,
            links=links,
            clock=clock,
        )
        self.drain_controller = DrainController(
            host=host,
            membership=membership,
            cloud=base.cloud,
            dispatcher=requests.dispatcher,
            store=requests.store,
            sender=sender,
            receiver=self.receiver,
            targets=targets,
            outcomes=self.outcome_handover,
            clock=clock,
            limit_s=cfg.drain_limit_s,
            notice_s=cfg.drain_notice_s,
        )
