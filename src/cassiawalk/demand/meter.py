"""Measures the prefill demand of each service, from which the number of upstreams is derived."""

import math

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName

FAST_TIME_CONSTANT_S = 3.0
SLOW_TIME_CONSTANT_S = 20.0


class _Rate:
    """Tokens per second: the larger of a fast and a slow exponential average.

    So the rate rises quickly and falls slowly.
    """

    def __init__(self, *, now: float) -> None:
        self._at = now
        self._fast = 0.0
        self._slow = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Record tokens."""
        self._decay(now)
        self._fast += tokens / FAST_TIME_CONSTANT_S
        self._slow += tokens / SLOW_TIME_CONSTANT_S

    def value(self, now: float) -> float:
        """Return the rate in tokens per second."""
        self._decay(now)
        return max(self._fast, self._slow)

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._at)
        self._at = now
        self._fast *= math.exp(-elapsed_s / FAST_TIME_CONSTANT_S)
        self._slow *= math.exp(-elapsed_s / SLOW_TIME_CONSTANT_S)


class DemandMeter:
    """Measures prefill demand, the prompt tokens per second that no cache holds, by service."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[ServiceName, _Rate] = {}

    def note(self, service: ServiceName, tokens: float) -> None:
        """Record the prompt tokens of a request that follow its shared prefix."""
        now = self._clock.monotonic()
        rate = self._rates.get(service)
        if rate is None:
            rate = self._rates[service] = _Rate(now=now)
        rate.add(tokens, now)

    def rates(self) -> dict[ServiceName, float]:
        """Return the prefill demand by service, in tokens per second."""
        now = self._clock.monotonic()
        return {service: rate.value(now) for service, rate in self._rates.items()}
