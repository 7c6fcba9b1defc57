"""Runs queries on all live hosts and merges their rows."""

import asyncio
import dataclasses

from cassiawalk.admin.language import parse_statement
from cassiawalk.admin.query import evaluate
from cassiawalk.admin.query import merge
from cassiawalk.admin.rows import RowSource
from cassiawalk.admin.statements import Count
from cassiawalk.admin.statements import Query
from cassiawalk.admin.statements import Row
from cassiawalk.admin.statements import Show
from cassiawalk.admin.tables import TABLES
from cassiawalk.admin.tables import Scope
from cassiawalk.clients import HostRole
from cassiawalk.errors import UsageError
from cassiawalk.ids import HostId
from cassiawalk.membership import Membership
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerFault
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import QueryCall
from cassiawalk.peer import QueryReply

QUERY_TIMEOUT_S = 2.0
MAX_CONCURRENT_HOSTS = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryResult:
    """The rows of a query, and the hosts that did not answer."""

    rows: list[Row]
    not_answering: list[HostId]


class QueryService:
    """Runs queries over the rows of this host and of its peers."""

    def __init__(
        self, *, host: HostId, source: RowSource, membership: Membership, links: PeerLinks
    ) -> None:
        self._host = host
        self._source = source
        self._membership = membership
        self._links = links

    async def execute(self, query: Query, statement: str) -> QueryResult:
        """Return the rows of a query from all hosts that its table covers.

        :param statement: text of the query; it is sent to the peers, which parse it themselves.
        """
        own_rows = self.local_rows(query)
        if TABLES[query.subject].scope is not Scope.EVERY_HOST:
            return QueryResult(rows=own_rows, not_answering=[])
        rows_by_host = {self._host: own_rows}
        failed_hosts: list[HostId] = []
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_HOSTS)
        hosts = [entry.host for entry in self._membership.entries(HostRole.ENTRY)]

        async def query_host(host: HostId) -> None:
            async with semaphore:
                reply = await self._links.call(
                    host, QueryCall(statement=statement), QueryReply, timeout_s=QUERY_TIMEOUT_S
                )
            if isinstance(reply, PeerFailure):
                failed_hosts.append(host)
            else:
                rows_by_host[host] = list(reply.rows)

        await asyncio.gather(*(query_host(host) for host in hosts if host != self._host))
        return QueryResult(
            rows=merge(query, [rows_by_host[host] for host in sorted(rows_by_host)]),
            not_answering=sorted(failed_hosts),
        )

    def local_rows(self, query: Query) -> list[Row]:
        """Return the rows or counts of this host alone."""
        return evaluate(query, self._source.rows(query.subject))

    async def handle(self, call: QueryCall) -> QueryReply | PeerFault:
        """Answer a peer's query with the rows or counts of this host."""
        try:
            query = parse_statement(call.statement)
        except UsageError as exc:
            return PeerFault(reason=exc.format_message())
        if not isinstance(query, Show | Count):
            return PeerFault(reason="not a query")
        return QueryReply(rows=tuple(self.local_rows(query)))
