"""Answers operators' questions."""

import typing as t

from cassiawalk.admin.language import ShowStatement
from cassiawalk.control import ControlFollower
from cassiawalk.ids import CommandId
from cassiawalk.ids import HostId
from cassiawalk.membership import Membership
from cassiawalk.peer import NodeStatusCall
from cassiawalk.peer import NodeStatusReply
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.platform import HostRole
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import RequestStore
from cassiawalk.routing import UpstreamTable
from cassiawalk.wire import to_plain

STATUS_TIMEOUT_S = 2.0


class Queries:
    """Reads this host's state, and asks peers where the question is about all hosts."""

    def __init__(
        self,
        *,
        host: HostId,
        control: ControlFollower,
        membership: Membership,
        table: UpstreamTable,
        store: RequestStore,
        links: PeerLinks,
    ) -> None:
        self._host = host
        self._control = control
        self._membership = membership
        self._table = table
        self._store = store
        self._links = links

    async def show(self, statement: ShowStatement) -> dict[str, t.Any]:
        """Return the answer to a ``show`` statement."""
        if statement.subject == "config":
            return {"config": to_plain(self._control.state)}
        if statement.subject == "command":
            verdict = self._control.state.verdicts.get(CommandId(statement.name or ""))
            return {"command": None if verdict is None else to_plain(verdict)}
        if statement.subject == "upstreams":
            return {"upstreams": [self._upstream(view.upstream_id) for view in self._table.all()]}
        if statement.subject == "nodes":
            return await self._nodes()
        return {"requests": [_request(record) for record in self._store]}

    def node_status(self, *, draining: bool = False) -> NodeStatusReply:
        """Return this host's status."""
        return NodeStatusReply(
            host=self._host,
            revision=self._control.state.revision,
            freshness=self._control.freshness.value,
            draining=draining,
            running=self._store.count(RequestState.RUNNING),
            waiting=self._store.count(RequestState.WAITING),
        )

    async def _nodes(self) -> dict[str, t.Any]:
        nodes: list[t.Any] = [to_plain(self.node_status())]
        silent = []
        for entry in self._membership.entries(HostRole.ENTRY):
            if entry.host == self._host:
                continue
            reply = await self._links.call(
                entry.host, NodeStatusCall(), NodeStatusReply, timeout_s=STATUS_TIMEOUT_S
            )
            if isinstance(reply, PeerFailure):
                silent.append(entry.host)
            else:
                nodes.append(to_plain(reply))
        return {"nodes": nodes, "not_answering": silent}

    def _upstream(self, upstream_id: t.Any) -> dict[str, t.Any]:
        view = self._table.get(upstream_id)
        if view is None:
            return {"upstream": upstream_id, "state": "gone"}
        return {
            "upstream": view.upstream_id,
            "pool": view.pool,
            "failure_domain": view.failure_domain,
            "state": view.state.value,
            "own_running": len(view.own_running),
            "report": None if view.report is None else to_plain(view.report),
        }


def _request(record: RequestRecord) -> dict[str, t.Any]:
    return {
        "request_id": record.request_id,
        "workspace": record.workspace,
        "service": record.service,
        "kind": record.kind_name,
        "state": record.state.value,
        "upstream": record.upstream,
        "attempt": record.attempt,
        "tokens": record.tokens,
    }
