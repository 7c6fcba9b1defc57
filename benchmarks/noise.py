"""Simulates upstreams of unequal speed, and neighbours on their machines that slow them."""

import collections.abc as cabc
import dataclasses
import random
import statistics

from cassiawalk.ids import UpstreamId

SLOW_FACTOR = 2.0  # how many times as long the slow upstreams of a service take


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoiseModel:
    """How neighbours slow one machine.

    :param factor: how many times as long work takes while they do.
    :param share: the share of the time for which they do.
    :param period_s: the time after which this may change, in seconds.
    """

    factor: float = 2.5
    share: float = 0.15
    period_s: float = 0.6


class Noise:
    """The pace of one machine over time: how many times as long work takes there.

    Each machine has periods of its own, so that they do not change at once.
    """

    def __init__(self, *, model: NoiseModel | None, rng: random.Random) -> None:
        self._model = model
        self._rng = rng
        self._phase = rng.random()
        self._paces: dict[int, float] = {}

    def pace(self, now: float) -> float:
        """Return the factor by which work that begins now takes longer than usual."""
        model = self._model
        if model is None:
            return 1.0
        period = int(now / model.period_s + self._phase)
        if period not in self._paces:
            self._paces = {period: model.factor if self._rng.random() < model.share else 1.0}
        return self._paces[period]


def is_slow(number: int, slow_one_in: int) -> bool:
    """Return whether the upstream with this number is one of the slow ones."""
    return slow_one_in > 0 and number % slow_one_in == 0


def busiest_to_mean(counts: cabc.Mapping[UpstreamId, int]) -> float:
    """Return the ratio of the greatest count to the mean."""
    return max(counts.values()) * len(counts) / sum(counts.values())


def slow_to_fast(counts: cabc.Mapping[UpstreamId, int], slow: cabc.Container[UpstreamId]) -> float:
    """Return the ratio of the mean count of the names in ``slow`` to that of the others.

    It is 1.0 if there are no slow or no other names.
    """
    slow_counts = [count for name, count in counts.items() if name in slow]
    fast_counts = [count for name, count in counts.items() if name not in slow]
    if not slow_counts or not fast_counts:
        return 1.0
    return statistics.mean(slow_counts) / statistics.mean(fast_counts)
