"""Merges the host list, reclaim notices and peers' observations into one view of all hosts."""

import collections.abc as cabc
import dataclasses
import types

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import HostRole
from cassiawalk.clients import HostState
from cassiawalk.clients import ReclaimNotice
from cassiawalk.clock import Clock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.membership.marks import MAX_NOTICE_AGE_S
from cassiawalk.membership.marks import LeavingMark
from cassiawalk.membership.marks import LeavingSource
from cassiawalk.membership.rendezvous import rank

POLL_INTERVAL_S = 1.0
UNREACHABLE_S = 5.0
POLLER_COUNT = 3
FEED_TIMEOUT_S = 5.0
_POLLER_KEY = "membership pollers"

LeavingListener = cabc.Callable[[HostId, LeavingSource], None]


class Membership(Component):
    """This host's view of all hosts. It is soft state: no guarantee depends on its correctness.

    A few hosts, the pollers, read the host list and the cloud's reclaim notices. Each other host
    follows a poller, and polls itself when it has received nothing from one for
    ``FEED_TIMEOUT_S``.
    """

    def __init__(
        self,
        *,
        host: HostId,
        host_list: HostList,
        clock: Clock,
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._host = host
        self._host_list = host_list
        self._poll_interval_s = poll_interval_s
        self._clock = clock
        self._entries: dict[HostId, HostEntry] = {}
        self._entries_view: cabc.Mapping[HostId, HostEntry] = types.MappingProxyType(self._entries)
        self._leaving: dict[HostId, LeavingMark] = {}
        self._unreachable_until: dict[HostId, float] = {}
        self._feed_received_at: float | None = None
        self._ranking: list[HostId] = []
        self._listeners: list[cabc.Callable[[], None]] = []
        self._leaving_listeners: list[LeavingListener] = []

    async def start(self) -> None:
        """Read the host list once, then keep the view up to date."""
        await self.refresh()
        self.keep_running(self._poll, name="membership-poll")

    def add_listener(self, listener: cabc.Callable[[], None]) -> None:
        """Call ``listener`` after each change of the view."""
        self._listeners.append(listener)

    def add_leaving_listener(self, listener: LeavingListener) -> None:
        """Call ``listener`` once for each host that is newly marked as leaving."""
        self._leaving_listeners.append(listener)

    def entry(self, host: HostId) -> HostEntry | None:
        """Return a host's entry, or None if the host is not listed."""
        return self._entries.get(host)

    def entries(self, role: HostRole) -> list[HostEntry]:
        """Return the entries of all listed hosts of a role, including leaving hosts."""
        return [entry for entry in self._entries.values() if entry.role is role]

    def all_entries(self) -> cabc.Mapping[HostId, HostEntry]:
        """Return the entries of all listed hosts by host id.

        The mapping can't be modified, and is the same object until an entry changes.
        """
        return self._entries_view

    def is_leaving(self, host: HostId) -> bool:
        """Return whether any source has reported that the host is leaving."""
        return host in self._leaving

    def leaving_marks(self) -> list[LeavingMark]:
        """Return the marks of all leaving hosts."""
        return list(self._leaving.values())

    def reclaim_s(self, host: HostId) -> float | None:
        """Return a host's reclaim time in wall-clock seconds, or None if it is unknown."""
        mark = self._leaving.get(host)
        return None if mark is None else mark.reclaim_s

    def reachable_entry_hosts(self) -> list[HostId]:
        """Return the entry hosts that are neither leaving nor known to be unreachable."""
        return [
            entry.host for entry in self.entries(HostRole.ENTRY) if self._is_reachable(entry.host)
        ]

    def pollers(self) -> list[HostId]:
        """Return the hosts that poll the platform, from different failure domains if possible."""
        domains: set[FailureDomain] = set()
        first: list[HostId] = []
        others: list[HostId] = []
        for host in self._ranking:
            if not self._is_reachable(host):
                continue
            domain = self._entries[host].failure_domain
            (others if domain in domains else first).append(host)
            domains.add(domain)
            if len(first) == POLLER_COUNT:
                break
        return [*first, *others][:POLLER_COUNT]

    @property
    def is_polling(self) -> bool:
        """Return whether this host has to read the host list and the cloud's notices itself."""
        pollers = self.pollers()
        if self._feed_received_at is None or self._host in pollers or not pollers:
            return True
        if self._host not in self._entries:
            return True
        return self._clock.monotonic() - self._feed_received_at > FEED_TIMEOUT_S

    def record_feed_update(self) -> None:
        """Record that an update of a poller was received now."""
        self._feed_received_at = self._clock.monotonic()

    def mark_leaving(
        self, host: HostId, source: LeavingSource, *, reclaim_s: float | None = None
    ) -> None:
        """Mark a host as leaving; the first source that reports it is kept.

        :param reclaim_s: wall-clock time of the reclaim in seconds, if the source knows it.
        """
        entry = self._entries.get(host)
        mark = LeavingMark(
            host=host,
            source=source,
            noted_s=self._clock.wall(),
            address="" if entry is None else entry.address,
            reclaim_s=reclaim_s,
        )
        self.merge_mark(mark)

    def apply_notice(self, notice: ReclaimNotice) -> None:
        """Mark the host of a reclaim notice as leaving.

        A notice whose reclaim time is more than ``MAX_NOTICE_AGE_S`` ago is ignored, because it
        belongs to an earlier host with the same id.
        """
        if notice.reclaim_s + MAX_NOTICE_AGE_S < self._clock.wall():
            return
        self.mark_leaving(notice.host, LeavingSource.CLOUD_NOTICE, reclaim_s=notice.reclaim_s)

    def merge_mark(self, mark: LeavingMark) -> None:
        """Add a mark, unless it belongs to an earlier host with the same id."""
        entry = self._entries.get(mark.host)
        if entry is not None and mark.address not in ("", entry.address):
            return
        known = self._leaving.get(mark.host)
        if known is not None:
            if known.reclaim_s is None and mark.reclaim_s is not None:
                self._leaving[mark.host] = dataclasses.replace(known, reclaim_s=mark.reclaim_s)
                self._notify()
            return
        self._leaving[mark.host] = mark
        eliot.log_message(
            message_type="membership:leaving",
            host=mark.host,
            source=mark.source.value,
            reclaim_s=mark.reclaim_s,
        )
        for listener in self._leaving_listeners:
            listener(mark.host, mark.source)
        self._notify()

    def mark_unreachable(self, host: HostId) -> None:
        """Treat a host as unreachable for ``UNREACHABLE_S`` after a failed connection."""
        self._unreachable_until[host] = self._clock.monotonic() + UNREACHABLE_S

    async def refresh(self) -> None:
        """Read the host list once; if that fails or the list is empty, the last view is kept."""
        hosts = await self._host_list.hosts()
        if hosts:
            self.replace_entries({entry.host: entry for entry in hosts})

    def add_entry(self, entry: HostEntry) -> None:
        """Add the entry that a host reported of itself, which the host list may not have yet."""
        if self._entries.get(entry.host) != entry:
            self.replace_entries({**self._entries, entry.host: entry})

    def replace_entries(self, entries: cabc.Mapping[HostId, HostEntry]) -> None:
        """Replace the entries of all hosts and update the marks of leaving hosts to match them."""
        changed = entries != self._entries
        # Unchanged entries keep their identity, by which the feed finds the changed ones.
        known = self._entries
        self._entries = {
            host: known[host] if known.get(host) == entry else entry
            for host, entry in entries.items()
        }
        if changed:
            self._entries_view = types.MappingProxyType(self._entries)
            self._ranking = rank(_POLLER_KEY, [e.host for e in self.entries(HostRole.ENTRY)])
        marks = {
            host: kept for host, mark in self._leaving.items() if (kept := self._current_mark(mark))
        }
        changed = changed or marks.keys() != self._leaving.keys()
        self._leaving = marks
        for entry in entries.values():
            if entry.state is HostState.LEAVING:
                self.mark_leaving(entry.host, LeavingSource.HOST_LIST)
        if changed:
            self._notify()

    def _current_mark(self, mark: LeavingMark) -> LeavingMark | None:
        """Return the mark as it applies to the current entries, or None if it no longer does."""
        entry = self._entries.get(mark.host)
        expired = self._clock.wall() > mark.expires_s()
        if entry is None:
            return None if expired else mark
        if mark.address not in ("", entry.address):
            return None
        if expired and entry.state is HostState.LIVE:
            return None
        return mark if mark.address else dataclasses.replace(mark, address=entry.address)

    def _is_reachable(self, host: HostId) -> bool:
        if self.is_leaving(host):
            return False
        return self._unreachable_until.get(host, 0.0) <= self._clock.monotonic()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    async def _poll(self) -> None:
        while True:
            await self._clock.sleep(self._poll_interval_s)
            if self.is_polling:
                await self.refresh()
