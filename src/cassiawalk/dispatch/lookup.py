"""Queries a plain service for the outcome of an earlier call."""

import asyncio
import collections.abc as cabc

from cassiawalk.clients import CallAnswered
from cassiawalk.control import ConfigState
from cassiawalk.dispatch.connector import Connector
from cassiawalk.requests import RequestRecord
from cassiawalk.routing import UpstreamTable

MAX_UPSTREAMS_QUERIED = 8
_STATUS_FOUND = 200


class OutcomeLookUp:
    """Queries services that have a look-up path configured.

    :param config: returns the current configuration.
    """

    def __init__(
        self, *, config: cabc.Callable[[], ConfigState], table: UpstreamTable, connector: Connector
    ) -> None:
        self._config = config
        self._table = table
        self._connector = connector

    async def find(self, record: RequestRecord) -> CallAnswered | None:
        """Return the recorded answer to the request's earlier call, or None if none is found.

        Queries ``MAX_UPSTREAMS_QUERIED`` upstreams of the pool at most, first the one that the
        request was last sent to.
        """
        service = self._config().services.get(record.service)
        if service is None or not service.look_up or record.key is None:
            return None
        views = self._table.in_pool(record.pool)
        views.sort(key=lambda view: view.upstream_id != record.upstream)
        calls = [
            self._connector.plain(view).look_up(
                path=service.look_up, workspace=record.workspace, key=record.key
            )
            for view in views[:MAX_UPSTREAMS_QUERIED]
        ]
        for outcome in await asyncio.gather(*calls):
            if isinstance(outcome, CallAnswered) and outcome.status == _STATUS_FOUND:
                return outcome
        return None
