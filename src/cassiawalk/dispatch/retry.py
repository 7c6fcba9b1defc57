"""When a failed attempt may be followed by another."""

import random

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName

RETRY_SHARE = 0.2
RETRY_RESERVE = 10.0
BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 2.0


class RetryBudget:
    """A token bucket that successes fill and retries empty.

    :param share: retries allowed for each success.
    :param reserve: retries allowed before any success, and the bucket's size.
    """

    def __init__(self, *, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def note_success(self) -> None:
        """Add the share of one success."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def take(self) -> bool:
        """Use one retry; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryPolicy:
    """Retry budgets for each service, and full-jitter backoff."""

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service."""
        return self._budgets.setdefault(service, RetryBudget())

    def delay_s(self, retries: int) -> float:
        """Return the wait before the next attempt, in seconds.

        :param retries: how many retries the request has had.
        """
        ceiling = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2.0**retries)
        return self._rng.uniform(0.0, ceiling)

    async def permit(self, service: ServiceName, retries: int, deadline_s: float) -> bool:
        """Wait out the backoff; return False if the budget or the deadline forbids a retry."""
        delay_s = self.delay_s(retries)
        if self._clock.wall() + delay_s >= deadline_s:
            return False
        if not self.budget(service).take():
            return False
        await self._clock.sleep(delay_s)
        return True
