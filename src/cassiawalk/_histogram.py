"""Histograms that are cheap enough to record a value for every token."""

import bisect
import collections
import itertools
import typing as t

from aioprometheus import collectors
from aioprometheus import histogram


class BisectHistogram(histogram.Histogram):
    """A histogram that counts each bucket separately and accumulates the counts only when read.

    :param bounds: upper bounds of the buckets in ascending order; the last must be infinity.
    """

    def __init__(self, *bounds: float) -> None:
        self._bounds = list(bounds)
        self._counts = [0] * len(self._bounds)
        self.observations = 0
        self.sum = 0.0

    def observe(self, value: float) -> None:
        """Record one value."""
        self._counts[bisect.bisect_left(self._bounds, value)] += 1
        self.observations += 1
        self.sum += value

    def observe_zeros(self, count: int) -> None:
        """Record the value zero ``count`` times."""
        self._counts[0] += count
        self.observations += count

    @property
    def buckets(self) -> "collections.OrderedDict[float, int]":  # type: ignore[override]
        """Return the cumulative count for each upper bound."""
        totals = itertools.accumulate(self._counts)
        return collections.OrderedDict(zip(self._bounds, totals, strict=True))


class LabelledHistogram(collectors.Histogram):
    """A metric with one histogram for each set of labels."""

    def with_labels(self, labels: dict[str, str]) -> BisectHistogram:
        """Return the histogram of ``labels``; it is created on first use."""
        try:
            return t.cast(BisectHistogram, self.get_value(labels))
        except KeyError:
            created = BisectHistogram(*self.upper_bounds)
            self.set_value(labels, created)
            return created
