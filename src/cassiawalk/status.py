"""Reports this host's status to peers."""

from cassiawalk.control import ControlFollower
from cassiawalk.dispatch import Dispatcher
from cassiawalk.ids import HostId
from cassiawalk.peer import NodeStatusCall
from cassiawalk.peer import NodeStatusReply
from cassiawalk.requests import RequestState
from cassiawalk.requests import RequestStore


class StatusReporter:
    """Answers status calls from peers that look for a lightly loaded host."""

    def __init__(
        self,
        *,
        host: HostId,
        control: ControlFollower,
        dispatcher: Dispatcher,
        store: RequestStore,
    ) -> None:
        self._host = host
        self._control = control
        self._dispatcher = dispatcher
        self._store = store

    async def handle(self, _: NodeStatusCall) -> NodeStatusReply:
        """Return the current status."""
        return NodeStatusReply(
            host=self._host,
            revision=self._control.state.revision,
            freshness=self._control.freshness.value,
            draining=not self._dispatcher.accepts_requests,
            running=self._store.count(RequestState.RUNNING),
            waiting=self._store.count(RequestState.WAITING),
        )
