"""Reads load reports and cache events of the engines."""

import asyncio
import contextlib

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.dispatch.connector import Connector
from cassiawalk.ids import UpstreamId
from cassiawalk.platform import HostRole
from cassiawalk.platform import LoadReport
from cassiawalk.platform.engine import CacheStored
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView

RECONNECT_DELAY_S = 1.0


class UpstreamWatcher(Component):
    """Keeps one notice stream open to each engine in the table."""

    def __init__(self, *, table: UpstreamTable, connector: Connector, clock: Clock) -> None:
        self._table = table
        self._connector = connector
        self._clock = clock
        self._watches: dict[UpstreamId, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Watch the engines of the table and those that join later."""
        self._table.add_listener(self._refresh)
        self._refresh()

    def _refresh(self) -> None:
        engines = {
            view.upstream_id: view
            for view in self._table.all()
            if view.entry.role is HostRole.ENGINE
        }
        for upstream_id in [u for u in self._watches if u not in engines]:
            self._watches.pop(upstream_id).cancel()
        for upstream_id, view in engines.items():
            if upstream_id not in self._watches:
                task = self.spawn(self._watch(view), name=f"watch-{upstream_id}")
                self._watches[upstream_id] = task

    async def _watch(self, view: UpstreamView) -> None:
        while True:
            notices = self._connector.engine(view).notices()
            async with contextlib.aclosing(notices):
                async for notice in notices:
                    if isinstance(notice, LoadReport):
                        view.note_report(notice)
                        self._table.notify()
                    elif isinstance(notice, CacheStored):
                        view.cache.note_stored(notice.seq, notice.blocks)
                    else:
                        view.cache.note_removed(notice.seq, notice.blocks)
            await self._clock.sleep(RECONNECT_DELAY_S)
