"""Counts started requests by workspace and by window of corrected time."""

import collections.abc as cabc
import dataclasses
import math

from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName

WINDOWS_KEPT = 8

Counts = dict[WorkspaceName, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class WindowCounts:
    """The counts of one process in one window, which may still rise."""

    window: int
    counts: dict[WorkspaceName, int]


class UsageCounts:
    """This process's counts, and the last counts received from each other process.

    The last counts that a process sent before it was killed are kept.

    :param now: returns the corrected time in seconds since the epoch.
    :param window_s: the length of a window in seconds.
    """

    def __init__(self, *, now: cabc.Callable[[], float], window_s: float) -> None:
        self._now = now
        self._window_s = window_s
        self._started_s = now()
        self._own: dict[int, Counts] = {}
        self._peers: dict[tuple[HostId, str], dict[int, Counts]] = {}

    def window_at(self, at_s: float) -> int:
        """Return the number of the window that contains a time in seconds since the epoch."""
        return math.floor(at_s / self._window_s)

    def end_of(self, window: int) -> float:
        """Return the end of a window in seconds since the epoch."""
        return (window + 1) * self._window_s

    def count_started(self, workspace: WorkspaceName) -> None:
        """Count a request that starts now."""
        counts = self._own.setdefault(self.window_at(self._now()), {})
        counts[workspace] = counts.get(workspace, 0) + 1
        _drop_oldest(self._own)

    def own_counts(self) -> tuple[WindowCounts, ...]:
        """Return this process's counts of the last ``WINDOWS_KEPT`` windows."""
        return tuple(
            WindowCounts(window=window, counts=dict(counts)) for window, counts in self._own.items()
        )

    def update_from_peer(
        self, host: HostId, incarnation: str, windows: cabc.Iterable[WindowCounts]
    ) -> None:
        """Replace the counts of another process in the given windows."""
        counts_by_window = self._peers.setdefault((host, incarnation), {})
        for update in windows:
            counts_by_window[update.window] = dict(update.counts)
        _drop_oldest(counts_by_window)

    def covers(self, window: int) -> bool:
        """Return whether a process that this one knows was counting in a window.

        That is this process, if it started before the window's end, or one that has sent counts.
        """
        return self._started_s < self.end_of(window) or bool(self.total(window))

    def total(self, window: int) -> Counts:
        """Return the sum of all processes' counts in a window, by workspace."""
        total = dict(self._own.get(window, {}))
        for counts_by_window in self._peers.values():
            for workspace, count in counts_by_window.get(window, {}).items():
                total[workspace] = total.get(workspace, 0) + count
        return total


def _drop_oldest(windows: dict[int, Counts]) -> None:
    while len(windows) > WINDOWS_KEPT:
        del windows[min(windows)]
