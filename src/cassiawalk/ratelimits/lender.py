"""Lends permits so that all hosts together keep to a rate. Knows neither hosts nor network.

All permits of a limit come from one bucket, which begins empty. In any span of x seconds it gives
out ``burst(rate) + rate * x`` permits at most, and each is used within ``PERMIT_S``, so that
``burst(rate) + rate * (x + PERMIT_S)`` requests can follow. A lender that takes over begins with an
empty bucket after the other one's last permit has ended, so the sum holds across the change.
"""

import collections.abc as cabc
import dataclasses

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ratelimits.authority import Lending

PERMIT_S = 0.5  # how long a permit may be used
BURST = 2.0
BURST_S = 0.25  # of the rate, on top of BURST
# A limit of 0 may be a mistake: a request now and then finds out whether it still holds.
MIN_RATE_PER_S = 0.1
MAX_WAIT_S = 5.0
MIN_WAIT_S = 0.02
# Hosts that found no permit come back so often that about two of them ask for each new permit.
ASKS_PER_PERMIT = 2.0
MAX_BUCKETS = 8192


def burst(rate_per_s: float) -> float:
    """Return how many permits may lie ready, whatever the time since the last one."""
    return BURST + BURST_S * rate_per_s


@dataclasses.dataclass(kw_only=True)
class _Bucket:
    """The permits of one limit that lie ready.

    :param at: when it was last filled, in monotonic seconds.
    :param put_off: the hosts that found none, and until when each waits.
    """

    at: float
    level: float = 0.0
    put_off: dict[HostId, float] = dataclasses.field(default_factory=dict)

    def fill(
        self, limit_per_s: float, lending: Lending, *, ready: float | None, now: float
    ) -> None:
        """Add what has become ready; nothing is carried over from before the lending began."""
        if lending.since > self.at:
            self.level = 0.0
        elapsed_s = max(0.0, now - max(self.at, lending.since))
        most = 1.0
        if lending.is_whole:
            most = burst(limit_per_s) if ready is None else ready
        self.level = min(most, self.level + lending.share * limit_per_s * elapsed_s)
        self.at = now


class PermitLender:
    """Decides which requests get a permit, and when those that got none may ask again.

    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self, name: str, limit_per_s: float, lending: Lending, *, ready: float | None = None
    ) -> bool:
        """Lend one permit of a limit; return False if there is none.

        :param lending: what this host may lend of it.
        :param ready: how many permits may lie ready; by default ``burst`` of the limit.
        """
        bucket = self._filled(name, limit_per_s, lending, ready)
        if bucket.level < 1.0:
            return False
        bucket.level -= 1.0
        return True

    def wait_s(self, name: str, limit_per_s: float, lending: Lending, *, host: HostId) -> float:
        """Return when a host that ``take`` lent nothing should ask again, in seconds.

        The more hosts ask, the longer each waits, so that their calls stay in proportion to the
        permits.
        """
        now = self._clock.monotonic()
        bucket = self._buckets[name]
        bucket.put_off = {found: until for found, until in bucket.put_off.items() if until > now}
        rate_per_s = lending.share * limit_per_s
        ready_s = max(0.0, 1.0 - bucket.level) / rate_per_s
        crowd_s = (len(bucket.put_off.keys() | {host}) - 1) / (ASKS_PER_PERMIT * rate_per_s)
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, ready_s, crowd_s))
        bucket.put_off[host] = now + 2 * wait_s
        return wait_s

    def _filled(
        self, name: str, limit_per_s: float, lending: Lending, ready: float | None
    ) -> _Bucket:
        now = self._clock.monotonic()
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(at=now)
            while len(self._buckets) > MAX_BUCKETS:
                del self._buckets[next(iter(self._buckets))]
        bucket.fill(limit_per_s, lending, ready=ready, now=now)
        return bucket


def effective_rate(limits: cabc.Iterable[float]) -> float:
    """Return the rate that is lent of a limit, of which hosts may have heard other values."""
    return max(MIN_RATE_PER_S, min(limits))
