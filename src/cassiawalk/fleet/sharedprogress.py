"""Shares with the other hosts, by heartbeats, which usage window was reported last."""

import collections.abc as cabc

from cassiawalk.duties.progress import NO_WINDOW
from cassiawalk.duties.progress import ReportProgress
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange

# With two of them, the holder and one more host may be lost before the next heartbeats.
MIN_WITNESSES = 2


class SharedProgress(ReportProgress):
    """The last window that this host has announced or that a heartbeat has named.

    It outlives the holder and the records in the store as long as one host lives that knew it. A
    window that has not ended yet is not believed: it comes from a host with a wrong clock.

    :param newest: returns the number of the last window that has ended.
    """

    def __init__(self, *, heartbeats: HeartbeatExchange, newest: cabc.Callable[[], int]) -> None:
        self._heartbeats = heartbeats
        self._newest = newest
        self._last = NO_WINDOW

    @property
    def last(self) -> int:
        """Return the last window that is known to be reported, ``NO_WINDOW`` if there is none."""
        return self._last if self._last <= self._newest() else NO_WINDOW

    def receive(self, heartbeat: Heartbeat) -> None:
        """Take over what another host knows."""
        if heartbeat.reported <= self._newest():
            self._last = max(self.last, heartbeat.reported)

    def announce(self, window: int) -> int:
        """Record the window; return the last one that ``MIN_WITNESSES`` live hosts have repeated.

        If fewer hosts are live, all of them must have. A host without live others need not wait.
        """
        self._last = max(self.last, window)
        live = self._heartbeats.live_hosts
        known = sorted(self._heartbeats.peers[host].heartbeat.reported for host in live)
        witnesses = min(MIN_WITNESSES, len(known))
        return known[-witnesses] if witnesses else window
