"""Applies the drains that operators have ordered."""

from cassiawalk.app import Component
from cassiawalk.control import ConfigState
from cassiawalk.control import ControlFollower
from cassiawalk.dispatch import Dispatcher
from cassiawalk.ids import HostId
from cassiawalk.routing import UpstreamTable


class DrainEnforcer(Component):
    """Keeps new work away from drained upstreams, and from this host while it is drained.

    Running requests finish where they are; they need not be moved, because an operator's drain has
    no time limit.
    """

    def __init__(
        self,
        *,
        host: HostId,
        control: ControlFollower,
        table: UpstreamTable,
        dispatcher: Dispatcher,
    ) -> None:
        self._host = host
        self._control = control
        self._table = table
        self._dispatcher = dispatcher

    async def start(self) -> None:
        """Apply the current drains, and every later change to them."""
        self._control.add_listener(self._apply)
        self._apply(self._control.state)

    def _apply(self, state: ConfigState) -> None:
        self._table.set_drained(frozenset(state.drains))
        self._dispatcher.closed = self._host in state.drains
