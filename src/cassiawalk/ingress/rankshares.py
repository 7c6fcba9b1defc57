"""Keeps the requests of each rank from being served more often than more urgent ones, or starved.

The load is that of upstreams that can't answer all requests in time.
"""

import math

RANK_TIME_CONSTANT_S = 8.0
MIN_RANK_REQUESTS = 3.0  # decided recently, before a rank's share of them says anything
# Of the share that all ranks have in common, below which a rank goes first; at least 0.25 is
# required. It falls with each more urgent rank, so that those go first among starved ones too.
STARVED_RATIO = 0.45
STARVED_STEP = 0.05
MIN_STARVED_RATIO = 0.3


class RankShares:
    """Which part of the recent requests of each rank was served."""

    def __init__(self) -> None:
        self._served: dict[int, float] = {}
        self._decided: dict[int, float] = {}
        self._at = 0.0

    def note(self, rank: int, now: float, *, served: bool) -> None:
        """Record that a request was served or rejected."""
        decay = math.exp(-max(0.0, now - self._at) / RANK_TIME_CONSTANT_S)
        self._at = now
        for counts in (self._served, self._decided):
            for known in counts:
                counts[known] *= decay
        self._served[rank] = self._served.get(rank, 0.0) + served
        self._decided[rank] = self._decided.get(rank, 0.0) + 1.0

    def share(self, rank: int) -> float:
        """Return the part that was served, from 0 to 1; 1 if too few requests came to tell."""
        decided = self._decided.get(rank, 0.0)
        return self._served[rank] / decided if decided >= MIN_RANK_REQUESTS else 1.0

    def is_starved(self, rank: int) -> bool:
        """Return whether a rank gets much less than all ranks have in common."""
        common = sum(self._served.values()) / max(1.0, sum(self._decided.values()))
        before = sum(other < rank for other in self._decided)
        ratio = max(MIN_STARVED_RATIO, STARVED_RATIO - STARVED_STEP * before)
        return self.share(rank) < ratio * common

    def is_ahead(self, rank: int) -> bool:
        """Return whether a rank is served more than a more urgent one."""
        own = self.share(rank)
        return any(self.share(other) < own for other in self._decided if other < rank)
