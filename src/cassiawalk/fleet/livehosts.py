"""Tells from heartbeats and records which other hosts are live, or may be."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeat import PeerView
from cassiawalk.fleet.hosts import HostRegistry
from cassiawalk.ids import HostId

LIVE_TIMEOUT_S = 2.0
DEPARTED_TIMEOUT_S = 8.0
EARLIER_START_S = 3.0


class LiveHosts:
    """The last heartbeat of each other host, and when each was last heard of.

    ``peers`` holds the last heartbeat of each host that this one exchanges heartbeats with.

    :param now_s: returns the corrected time in seconds since the epoch.
    """

    def __init__(
        self,
        *,
        host: HostId,
        records: HostRegistry,
        now_s: cabc.Callable[[], float],
        clock: Clock,
    ) -> None:
        self._host = host
        self._records = records
        self._now_s = now_s
        self._clock = clock
        self._seen_at: dict[HostId, float] = {}
        self.peers: dict[HostId, PeerView] = {}

    def is_late(self, heartbeat: Heartbeat) -> bool:
        """Return whether a host sent a heartbeat before the last one that is known of it.

        That is told by when its process made it; of two processes, by their incarnations, which
        begin with the time of their start. A process with an earlier start is taken for the later
        one when the other has been silent for ``EARLIER_START_S``: the host's clock stepped back.
        """
        known = self.peers.get(heartbeat.host)
        if known is None:
            return False
        if known.heartbeat.incarnation == heartbeat.incarnation:
            return heartbeat.made_at < known.heartbeat.made_at
        silent_s = self._clock.monotonic() - known.received_at
        is_earlier = heartbeat.incarnation < known.heartbeat.incarnation
        return is_earlier and silent_s < EARLIER_START_S

    def note(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat; a hub's also tells of the hosts whose primary hub it is."""
        now = self._clock.monotonic()
        self.peers[heartbeat.host] = PeerView(heartbeat=heartbeat, received_at=now)
        below = () if heartbeat.counted is None else heartbeat.counted.hosts
        for host in (heartbeat.host, *below):
            self._seen_at[host] = now

    @property
    def hosts(self) -> list[HostId]:
        """Return the other hosts with a heartbeat in the last ``LIVE_TIMEOUT_S`` s, not leaving."""
        limit = self._clock.monotonic() - LIVE_TIMEOUT_S
        return [
            host
            for host, view in self.peers.items()
            if view.received_at > limit and not view.heartbeat.leaving
        ]

    def anywhere(self) -> set[HostId]:
        """Return the other hosts that are live according to this host or to a hub."""
        live = self.hosts
        found = set(live)
        for host in live:
            counted = self.peers[host].heartbeat.counted
            found.update(() if counted is None else counted.hosts)
        return found - {self._host}

    def may_be_live(self, host: HostId) -> bool:
        """Return whether a host has been seen, or has written its record, recently enough.

        A host that was never seen counts as seen when this is first called for it.
        """
        view = self.peers.get(host)
        if view is not None and view.heartbeat.leaving:
            return False
        now = self._clock.monotonic()
        if now - self._seen_at.setdefault(host, now) < DEPARTED_TIMEOUT_S:
            return True
        written_s = self._records.written_s.get(host)
        return written_s is not None and self._now_s() - written_s < DEPARTED_TIMEOUT_S

    def possible(self, others: cabc.Iterable[HostId], live: cabc.Set[HostId]) -> list[HostId]:
        """Return those of ``others`` that are in ``live`` or may be live all the same."""
        return [host for host in others if host in live or self.may_be_live(host)]

    def departed(self) -> list[tuple[HostId, float]]:
        """Remove the hosts that are not live any more; return each with how long it was silent."""
        live = self.anywhere()
        now = self._clock.monotonic()
        gone = [host for host in self.peers if host not in live and not self.may_be_live(host)]
        return [(host, now - self.peers.pop(host).received_at) for host in gone]
