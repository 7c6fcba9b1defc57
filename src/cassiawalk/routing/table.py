"""Table of the upstreams that this host knows."""

import collections.abc as cabc
import math

from cassiawalk.app import Component
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostRole
from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.membership import LeavingSource
from cassiawalk.membership import Membership
from cassiawalk.routing.upstream import UpstreamState
from cassiawalk.routing.upstream import UpstreamView

MAX_EJECTED_SHARE = 0.5


class UpstreamTable(Component):
    """Views of the listed upstreams, updated whenever the membership changes."""

    def __init__(self, *, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._views: dict[UpstreamId, UpstreamView] = {}
        self._listeners: list[cabc.Callable[[], None]] = []
        self._leaving_listeners: list[cabc.Callable[[UpstreamView], None]] = []
        self._drained: frozenset[str] = frozenset()
        membership.add_listener(self.refresh)
        membership.add_leaving_listener(self._note_leaving)

    async def start(self) -> None:
        """Build the table from the current membership."""
        self.refresh()

    def add_listener(self, listener: cabc.Callable[[], None]) -> None:
        """Call ``listener`` whenever an upstream or its load changes."""
        self._listeners.append(listener)

    def add_leaving_listener(self, listener: cabc.Callable[[UpstreamView], None]) -> None:
        """Call ``listener`` once for each upstream that starts to leave."""
        self._leaving_listeners.append(listener)

    def get(self, upstream_id: UpstreamId) -> UpstreamView | None:
        """Return an upstream's view, or None if it is not listed."""
        return self._views.get(upstream_id)

    def all(self) -> list[UpstreamView]:
        """Return the views of all listed upstreams."""
        return list(self._views.values())

    def in_pool(self, pool: PoolName) -> list[UpstreamView]:
        """Return the views of a pool."""
        return [view for view in self._views.values() if view.pool == pool]

    def reclaim_s(self, view: UpstreamView) -> float | None:
        """Return when an upstream is reclaimed, in wall-clock seconds, or None if unknown."""
        return self._membership.reclaim_s(view.entry.host)

    def refresh(self) -> None:
        """Update the table from the current membership."""
        listed: dict[UpstreamId, HostEntry] = {}
        for role in (HostRole.ENGINE, HostRole.PLAIN):
            for entry in self._membership.entries(role):
                listed[UpstreamId(entry.host)] = entry
        for upstream_id in [u for u in self._views if u not in listed]:
            self._views.pop(upstream_id).fire("note_gone")
        for upstream_id, entry in listed.items():
            self._apply_entry(upstream_id, entry)
        self._limit_ejections()
        self.notify()

    def set_drained(self, names: frozenset[str]) -> None:
        """Mark exactly these upstreams as drained by operators; the others take work."""
        self._drained = names
        for view in self._views.values():
            view.drained = view.upstream_id in names
        self._limit_ejections()
        self.notify()

    def notify(self) -> None:
        """Notify the listeners that an upstream or its load changed."""
        for listener in list(self._listeners):
            listener()

    def _apply_entry(self, upstream_id: UpstreamId, entry: HostEntry) -> None:
        view = self._views.get(upstream_id)
        if view is not None and self._is_replaced(view, entry):
            view.fire("note_gone")
            view = None
        if view is None:
            view = UpstreamView(
                entry=entry,
                clock=self._clock,
                on_failure=self._handle_failure,
                on_leaving=self._handle_leaving,
            )
            self._views[upstream_id] = view
            view.drained = upstream_id in self._drained
        view.entry = entry
        if self._membership.is_leaving(entry.host):
            view.fire("note_leaving")

    def _is_replaced(self, view: UpstreamView, entry: HostEntry) -> bool:
        """Return whether the entry is a new upstream with the id of the old one.

        That is so if its address changed, or if its leaving mark has expired.
        """
        if view.entry.address != entry.address:
            return True
        return view.state is UpstreamState.LEAVING and not self._membership.is_leaving(entry.host)

    def _note_leaving(self, host: HostId, source: LeavingSource) -> None:
        view = self._views.get(UpstreamId(host))
        if view is not None:
            view.fire("note_leaving")

    def _handle_leaving(self, view: UpstreamView) -> None:
        """Mark the host as leaving, which the membership reports to peers; notify listeners."""
        self._membership.mark_leaving(view.entry.host, LeavingSource.UPSTREAM)
        for listener in list(self._leaving_listeners):
            listener(view)

    def _handle_failure(self, _: UpstreamView) -> None:
        self._limit_ejections()
        self.notify()

    def _limit_ejections(self) -> None:
        """Eject the suspect upstreams of each pool, the latest failures first.

        In a pool, up to ``MAX_EJECTED_SHARE`` of the upstreams that may take work can be ejected,
        rounded down, but at least one and never all of them.
        """
        for pool in {view.pool for view in self._views.values()}:
            live = [
                view
                for view in self.in_pool(pool)
                if view.state is not UpstreamState.LEAVING and not view.drained
            ]
            suspect = [v for v in live if v.state is UpstreamState.SUSPECT]
            suspect.sort(key=lambda v: v.failed_at or 0.0, reverse=True)
            allowed = min(max(1, math.floor(len(live) * MAX_EJECTED_SHARE)), len(live) - 1)
            for index, view in enumerate(suspect):
                view.ejected = index < allowed
