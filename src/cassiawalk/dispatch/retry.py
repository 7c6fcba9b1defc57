"""Retry budgets and backoff for failed attempts."""

import random

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName

RETRY_RATIO = 0.2
RETRY_BURST = 10.0
BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 2.0
BACKOFF_DOUBLINGS = 10
MIN_RETRIES_PER_S = 0.5
BUDGET_WAIT_S = 1.0


class RetryBudget:
    """A token bucket that successes fill and retries drain.

    A low minimum rate permits a few retries while nothing succeeds, so that the end of an outage
    is detected. The rate is too low to prolong an outage.

    :param ratio: retries allowed for each success.
    :param burst: retries allowed before any success; also the bucket's capacity.
    :param min_retries_per_s: retries allowed each second even without successes.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float = RETRY_RATIO,
        burst: float = RETRY_BURST,
        min_retries_per_s: float = MIN_RETRIES_PER_S,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._burst = burst
        self._min_retries_per_s = min_retries_per_s
        self._tokens = burst
        self._filled_at = clock.monotonic()

    def note_success(self) -> None:
        """Credit the budget for one success."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        now = self._clock.monotonic()
        refill = self._min_retries_per_s * (now - self._filled_at)
        self._tokens = min(self._burst, self._tokens + refill)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryPolicy:
    """One retry budget for each service, and exponential backoff with full jitter."""

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service, creating it on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(clock=self._clock)
            self._budgets[service] = budget
        return budget

    def delay_s(self, retries: int) -> float:
        """Return the wait before the next attempt, in seconds.

        :param retries: number of retries that the request has had.
        """
        ceiling = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2.0 ** min(retries, BACKOFF_DOUBLINGS))
        return self._rng.uniform(0.0, ceiling)

    async def permit(
        self,
        service: ServiceName,
        retries: int,
        deadline_s: float,
        *,
        wait_for_budget: bool = False,
    ) -> bool:
        """Wait for the backoff; return False if the budget or the deadline rules out a retry.

        :param deadline_s: the request's deadline in wall-clock seconds.
        :param wait_for_budget: whether to wait until the budget permits a retry, up to the
            deadline, as for requests in mode ``must_arrive``. Otherwise an exhausted budget
            returns False at once.
        """
        while True:
            delay_s = self.delay_s(retries)
            if self._clock.wall() + delay_s >= deadline_s:
                return False
            if self.budget(service).take():
                await self._clock.sleep(delay_s)
                return True
            if not wait_for_budget or self._clock.wall() + BUDGET_WAIT_S >= deadline_s:
                return False
            await self._clock.sleep(self._rng.uniform(0.0, 2.0 * BUDGET_WAIT_S))
