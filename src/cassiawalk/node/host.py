"""Assembles the components of one host into an application."""

import random

from cassiawalk.admin import Operators
from cassiawalk.app import Application
from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.drains import DrainEnforcer
from cassiawalk.ids import new_uuid7
from cassiawalk.node.base import BaseComponents
from cassiawalk.node.context import NodeContext
from cassiawalk.node.handover import HandoverComponents
from cassiawalk.node.requests import RequestComponents
from cassiawalk.node.servers import Servers
from cassiawalk.requests import RequestStore
from cassiawalk.settings import Settings
from cassiawalk.settings import read_secret
from cassiawalk.sockets import bound_address
from cassiawalk.sockets import listen


class Node:
    """One host, with all its roles in one process."""

    def __init__(self, *, cfg: Settings, clock: Clock, rng: random.Random) -> None:
        self._ctx = NodeContext(
            cfg=cfg,
            clock=clock,
            rng=rng,
            incarnation=new_uuid7(),
            secret=read_secret(cfg.peer_secret),
            operators=Operators(text=read_secret(cfg.operator_tokens)),
            sockets={
                "caller": listen(cfg.caller_address),
                "peer": listen(cfg.peer_address),
                "admin": listen(cfg.admin_address),
            },
        )
        self._base = BaseComponents(ctx=self._ctx)
        self._requests = RequestComponents(ctx=self._ctx, base=self._base)
        self._handover = HandoverComponents(ctx=self._ctx, base=self._base, requests=self._requests)
        self._servers = Servers(
            ctx=self._ctx, base=self._base, requests=self._requests, handover=self._handover
        )
        self._meter_control()
        self.app = Application(components=self._components())

    @property
    def addresses(self) -> dict[str, str]:
        """Return the listening addresses by purpose: caller, peer and admin."""
        return {purpose: bound_address(sock) for purpose, sock in self._ctx.sockets.items()}

    @property
    def store(self) -> RequestStore:
        """Return the store of the requests that this host holds."""
        return self._requests.store

    def _meter_control(self) -> None:
        """Meter the CPU time of control-plane work separately from the token path."""
        for component in (
            self._base.membership,
            self._base.links,
            self._base.feed,
            self._base.control,
            self._base.relay,
            self._base.housekeeper,
            self._base.sequencers,
            self._requests.limits,
            self._handover.locator,
            self._requests.orders,
            self._requests.watcher,
        ):
            component.meter = self._base.metrics.control_meter

    def _drain_enforcer(self) -> DrainEnforcer:
        return DrainEnforcer(
            host=self._ctx.cfg.host_id,
            control=self._base.control,
            table=self._requests.table,
            dispatcher=self._requests.dispatcher,
        )

    def _components(self) -> list[Component]:
        return [
            self._base.membership,
            self._base.links,
            self._base.relay,
            self._base.housekeeper,
            self._base.sequencers,
            self._servers.peer,
            self._base.feed,
            self._requests.connector,
            self._requests.table,
            self._requests.watcher,
            self._requests.migrator,
            self._requests.guard,
            self._requests.orders,
            self._requests.recorder,
            self._requests.scheduler,
            self._requests.limits,
            self._requests.dispatcher,
            self._drain_enforcer(),
            self._handover.locator,
            self._handover.receiver,
            self._handover.drain_controller,
            self._servers.admin,
            self._servers.caller,
        ]
