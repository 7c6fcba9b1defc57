"""The limit on retries over all hosts."""

import pytest

from cassiawalk.ids import ServiceName
from cassiawalk.ingress.budgets import RetryBudgets
from tests.fakes import FakeClock

SERVICE = ServiceName("beds")
RATIO, EXTRA, WINDOW_S = 0.2, 58.0, 10.0


@pytest.mark.parametrize("hosts", [1, 7, 9])
def test_retries_of_all_hosts_stay_within_the_limit(hosts: int) -> None:
    clock = FakeClock()
    budgets = [
        RetryBudgets(
            clock=clock, ratio=RATIO, extra=EXTRA, window_s=WINDOW_S, share=lambda: 1 / hosts
        )
        for _ in range(hosts)
    ]
    retries: list[float] = []
    for step in range(3000):
        clock.now += 0.01
        own = budgets[step % hosts]
        own.note_request(SERVICE)
        if own.take(SERVICE):
            retries.append(clock.now)
    most = max(sum(begin <= at < begin + WINDOW_S for at in retries) for begin in retries)
    assert most <= RATIO * 1000 + EXTRA
    assert most >= 0.5 * (RATIO * 1000 + EXTRA)


def test_services_have_budgets_of_their_own() -> None:
    budgets = RetryBudgets(
        clock=FakeClock(), ratio=0.0, extra=4.0, window_s=WINDOW_S, share=lambda: 1.0
    )
    assert [budgets.take(SERVICE) for _ in range(4)] == [True, True, True, False]
    assert budgets.take(ServiceName("models"))
