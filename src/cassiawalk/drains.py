"""Puts operators' drains into force on this host."""

from cassiawalk.app import Component
from cassiawalk.control import ConfigState
from cassiawalk.control import ControlFollower
from cassiawalk.dispatch import Dispatcher
from cassiawalk.ids import HostId
from cassiawalk.routing import UpstreamTable


class DrainSwitch(Component):
    """Closes drained upstreams and this host to new work, and opens them again.

    Requests that run there finish; nothing is moved, as a drain has no end.
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
        """Apply the drains in force and those to come."""
        self._control.add_listener(self._apply)
        self._apply(self._control.state)

    def _apply(self, state: ConfigState) -> None:
        self._table.set_drained(frozenset(state.drains))
        self._dispatcher.closed = self._host in state.drains
