"""All upstreams that this host knows."""

import collections.abc as cabc

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.membership import LeavingSource
from cassiawalk.membership import Membership
from cassiawalk.platform import HostEntry
from cassiawalk.platform import HostRole
from cassiawalk.routing.upstream import UpstreamState
from cassiawalk.routing.upstream import UpstreamView


class UpstreamTable(Component):
    """Views of the listed upstreams, kept in step with the membership."""

    def __init__(self, *, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._views: dict[UpstreamId, UpstreamView] = {}
        self._listeners: list[cabc.Callable[[], None]] = []
        membership.add_listener(self.refresh)
        membership.add_leaving_listener(self._note_leaving)

    async def start(self) -> None:
        """Take over the present membership."""
        self.refresh()

    def add_listener(self, listener: cabc.Callable[[], None]) -> None:
        """Call ``listener`` whenever an upstream or its load changes."""
        self._listeners.append(listener)

    def get(self, upstream_id: UpstreamId) -> UpstreamView | None:
        """Return an upstream's view, or None if it is not listed."""
        return self._views.get(upstream_id)

    def all(self) -> list[UpstreamView]:
        """Return all views."""
        return list(self._views.values())

    def in_pool(self, pool: PoolName) -> list[UpstreamView]:
        """Return the views of a pool."""
        return [view for view in self._views.values() if view.pool == pool]

    def refresh(self) -> None:
        """Take over the present membership."""
        listed: dict[UpstreamId, HostEntry] = {}
        for role in (HostRole.ENGINE, HostRole.PLAIN):
            for entry in self._membership.entries(role):
                listed[UpstreamId(entry.host)] = entry
        for upstream_id in [u for u in self._views if u not in listed]:
            self._views.pop(upstream_id).fire("note_gone")
        for upstream_id, entry in listed.items():
            self._take_over(upstream_id, entry)
        self.notify()

    def notify(self) -> None:
        """Tell listeners that an upstream or its load changed."""
        for listener in self._listeners:
            listener()

    def _take_over(self, upstream_id: UpstreamId, entry: HostEntry) -> None:
        view = self._views.get(upstream_id)
        if view is None:
            view = UpstreamView(entry=entry, clock=self._clock)
            self._views[upstream_id] = view
        view.entry = entry
        if self._membership.is_leaving(entry.host) and view.state is not UpstreamState.LEAVING:
            view.fire("note_leaving")

    def _note_leaving(self, host: HostId, source: LeavingSource) -> None:
        view = self._views.get(UpstreamId(host))
        if view is not None:
            view.fire("note_leaving")
