"""Merges the host list, reclaim notices and peers' observations into one view."""

import collections.abc as cabc
import enum

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.platform import HostEntry
from cassiawalk.platform import HostList
from cassiawalk.platform import HostRole
from cassiawalk.platform import HostState

POLL_INTERVAL_S = 1.0
UNREACHABLE_HOLD_S = 5.0


class LeavingSource(enum.Enum):
    """Who said first that a host is leaving."""

    HOST_LIST = "host list"
    CLOUD_NOTICE = "cloud notice"
    UPSTREAM = "upstream"
    PEER = "peer"
    OPERATOR = "operator"


class Membership(Component):
    """This host's view of all hosts. It is soft: no promise rests on its being right."""

    def __init__(self, *, host: HostId, host_list: HostList, clock: Clock) -> None:
        self._host = host
        self._host_list = host_list
        self._clock = clock
        self._entries: dict[HostId, HostEntry] = {}
        self._leaving: dict[HostId, LeavingSource] = {}
        self._unreachable_until: dict[HostId, float] = {}
        self._listeners: list[cabc.Callable[[], None]] = []
        self._leaving_listeners: list[cabc.Callable[[HostId, LeavingSource], None]] = []

    async def start(self) -> None:
        """Read the list once, then keep polling it."""
        await self.refresh()
        self.spawn(self._poll(), name="membership-poll")

    def add_listener(self, listener: cabc.Callable[[], None]) -> None:
        """Call ``listener`` whenever the view changes."""
        self._listeners.append(listener)

    def add_leaving_listener(self, listener: cabc.Callable[[HostId, LeavingSource], None]) -> None:
        """Call ``listener`` once for each host that starts to leave."""
        self._leaving_listeners.append(listener)

    def entry(self, host: HostId) -> HostEntry | None:
        """Return a host's entry, or None if the list does not have it."""
        return self._entries.get(host)

    def entries(self, role: HostRole) -> list[HostEntry]:
        """Return all listed hosts of a role, leaving ones included."""
        return [entry for entry in self._entries.values() if entry.role is role]

    def is_leaving(self, host: HostId) -> bool:
        """Return whether any source said that the host is leaving."""
        return host in self._leaving

    def reachable_entry_hosts(self) -> list[HostId]:
        """Return entry hosts that are neither leaving nor known to be unreachable."""
        now = self._clock.monotonic()
        return [
            entry.host
            for entry in self.entries(HostRole.ENTRY)
            if not self.is_leaving(entry.host) and self._unreachable_until.get(entry.host, 0) <= now
        ]

    def mark_leaving(self, host: HostId, source: LeavingSource) -> None:
        """Note that a host is leaving; the first source counts."""
        if host in self._leaving:
            return
        self._leaving[host] = source
        eliot.log_message(message_type="membership:leaving", host=host, source=source.value)
        for listener in self._leaving_listeners:
            listener(host, source)
        self._notify()

    def mark_unreachable(self, host: HostId) -> None:
        """Pass over a host for a few seconds after a failed connection."""
        self._unreachable_until[host] = self._clock.monotonic() + UNREACHABLE_HOLD_S

    async def refresh(self) -> None:
        """Read the host list once; in an outage the last view stays."""
        hosts = await self._host_list.hosts()
        if hosts is None:
            return
        entries = {entry.host: entry for entry in hosts}
        changed = entries != self._entries
        self._entries = entries
        self._leaving = {host: src for host, src in self._leaving.items() if host in entries}
        for entry in hosts:
            if entry.state is HostState.LEAVING:
                self.mark_leaving(entry.host, LeavingSource.HOST_LIST)
        if changed:
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    async def _poll(self) -> None:
        while True:
            await self._clock.sleep(POLL_INTERVAL_S)
            await self.refresh()
