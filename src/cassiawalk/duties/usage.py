"""Counts the requests that began to run, by window of true time and workspace."""

import collections.abc as cabc
import dataclasses
import math

from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName

WINDOWS_KEPT = 8

Counts = dict[WorkspaceName, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class WindowCounts:
    """One process's counts of one window, so far."""

    window: int
    counts: dict[WorkspaceName, int]


class UsageCounts:
    """Own counts, and the last word of every other process.

    A process that is killed leaves what it last told the others.

    :param now: returns true time in seconds since the epoch.
    :param window_s: the length of a window.
    """

    def __init__(self, *, now: cabc.Callable[[], float], window_s: float) -> None:
        self._now = now
        self._window_s = window_s
        self._own: dict[int, Counts] = {}
        self._peers: dict[tuple[HostId, str], dict[int, Counts]] = {}

    def window_at(self, at_s: float) -> int:
        """Return the number of the window that holds a time."""
        return math.floor(at_s / self._window_s)

    def end_of(self, window: int) -> float:
        """Return when a window ends, in seconds since the epoch."""
        return (window + 1) * self._window_s

    def count_started(self, workspace: WorkspaceName) -> None:
        """Count a request that begins to run now."""
        counts = self._own.setdefault(self.window_at(self._now()), {})
        counts[workspace] = counts.get(workspace, 0) + 1
        _drop_oldest(self._own)

    def own_counts(self) -> tuple[WindowCounts, ...]:
        """Return this process's counts of the last windows."""
        return tuple(
            WindowCounts(window=window, counts=dict(counts)) for window, counts in self._own.items()
        )

    def update_from_peer(
        self, host: HostId, incarnation: str, windows: cabc.Iterable[WindowCounts]
    ) -> None:
        """Take over another process's counts; they replace what it told before."""
        kept = self._peers.setdefault((host, incarnation), {})
        for update in windows:
            kept[update.window] = dict(update.counts)
        _drop_oldest(kept)

    def total(self, window: int) -> Counts:
        """Return the counts of all processes in a window."""
        total = dict(self._own.get(window, {}))
        for kept in self._peers.values():
            for workspace, count in kept.get(window, {}).items():
                total[workspace] = total.get(workspace, 0) + count
        return total


def _drop_oldest(windows: dict[int, Counts]) -> None:
    while len(windows) > WINDOWS_KEPT:
        del windows[min(windows)]
