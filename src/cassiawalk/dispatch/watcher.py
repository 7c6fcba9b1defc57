"""Reads the upstreams' load reports and cache events."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import random

from cassiawalk.app import Component
from cassiawalk.clients import HostRole
from cassiawalk.clients import LoadReport
from cassiawalk.clients.engine import CacheRemoved
from cassiawalk.clients.engine import CacheStored
from cassiawalk.clients.engine import EngineNotice
from cassiawalk.clock import Clock
from cassiawalk.dispatch.connector import Connector
from cassiawalk.ids import UpstreamId
from cassiawalk.routing import UpstreamState
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView

RECONNECT_BASE_S = 0.25
RECONNECT_LIMIT_S = 4.0
NOTICE_TIMEOUT_S = 5.0
PLAIN_POLL_INTERVAL_S = 1.0
DisconnectListener = cabc.Callable[[UpstreamView], None]


@dataclasses.dataclass(kw_only=True, eq=False)
class _Watch:
    """A view of an upstream and the task that watches it."""

    view: UpstreamView
    task: asyncio.Task[None]


class UpstreamWatcher(Component):
    """Keeps a notice stream open to each engine in the table and polls plain services.

    When an engine fails, its notice stream is closed and a new one opened. The first report on
    the new connection serves as the probe that returns the engine to service.
    """

    def __init__(
        self, *, table: UpstreamTable, connector: Connector, clock: Clock, rng: random.Random
    ) -> None:
        self._table = table
        self._connector = connector
        self._clock = clock
        self._rng = rng
        self._watches: dict[UpstreamId, _Watch] = {}
        self._disconnect_listeners: list[DisconnectListener] = []

    async def start(self) -> None:
        """Watch the upstreams in the table, including those that join later."""
        self._table.add_listener(self._refresh)
        self._refresh()

    def add_disconnect_listener(self, listener: DisconnectListener) -> None:
        """Call ``listener`` when the notice stream of an engine that had sent notices is lost.

        Listeners are not called for an engine that is leaving.
        """
        self._disconnect_listeners.append(listener)

    def _refresh(self) -> None:
        views = {view.upstream_id: view for view in self._table.all()}
        for upstream_id, watch in list(self._watches.items()):
            if views.get(upstream_id) is not watch.view:
                self._watches.pop(upstream_id).task.cancel()
        for upstream_id, view in views.items():
            if upstream_id not in self._watches:
                self._begin(view)

    def _begin(self, view: UpstreamView) -> None:
        engine = view.entry.role is HostRole.ENGINE
        coro = self._watch_engine(view) if engine else self._poll_plain(view)
        task = self.spawn(coro, name=f"watch-{view.upstream_id}")
        self._watches[view.upstream_id] = _Watch(view=view, task=task)

    async def _watch_engine(self, view: UpstreamView) -> None:
        attempts = 0
        while True:
            received = await self._read_notices(view)
            attempts = 0 if received else attempts + 1
            if received and view.state is not UpstreamState.LEAVING:
                self._note_disconnected(view)
            ceiling = min(RECONNECT_LIMIT_S, RECONNECT_BASE_S * 2.0**attempts)
            await self._clock.sleep(self._rng.uniform(ceiling / 2, ceiling))

    async def _read_notices(self, view: UpstreamView) -> bool:
        """Apply notices until the stream ends; return whether any was received.

        If the upstream fails meanwhile, the stream is closed and False returned, so that a new
        connection serves as the probe.
        """
        opened_at = self._clock.monotonic()
        failures = view.failures
        received = False
        notices = self._connector.engine(view).notices()
        view.cache.note_reconnected()
        async with contextlib.aclosing(notices):
            while True:
                try:
                    async with asyncio.timeout(NOTICE_TIMEOUT_S):
                        notice = await anext(notices)
                except (StopAsyncIteration, TimeoutError):
                    return received
                received = True
                self._apply(view, notice, opened_at)
                if view.failures != failures:
                    return False

    def _apply(self, view: UpstreamView, notice: EngineNotice, opened_at: float) -> None:
        if isinstance(notice, LoadReport):
            view.note_report(notice, connected_at=opened_at)
            self._table.notify()
        elif isinstance(notice, CacheStored | CacheRemoved):
            view.cache.note(notice)

    def _note_disconnected(self, view: UpstreamView) -> None:
        view.fire("note_failure")
        for listener in self._disconnect_listeners:
            listener(view)

    async def _poll_plain(self, view: UpstreamView) -> None:
        while True:
            connected_at = self._clock.monotonic()
            report = await self._connector.plain(view).load()
            if report is not None:
                view.note_report(report, connected_at=connected_at)
                self._table.notify()
            await self._clock.sleep(
                self._rng.uniform(PLAIN_POLL_INTERVAL_S / 2, PLAIN_POLL_INTERVAL_S)
            )
