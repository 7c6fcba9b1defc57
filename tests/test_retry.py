import random

import looptime
import pytest

from benchmarks.experiment import NOOP_CYCLES
from benchmarks.policies import POLICIES
from benchmarks.scenarios import FAULT_AT_S
from benchmarks.scenarios import OUTAGE_S
from benchmarks.scenarios import SCENARIOS
from benchmarks.simulation import Simulation
from benchmarks.workloads import CARE
from benchmarks.workloads import arrivals
from cassiawalk.control.state import KindMode
from cassiawalk.dispatch import RetryBudget
from cassiawalk.dispatch import RetryPolicy
from cassiawalk.dispatch.retry import BACKOFF_LIMIT_S
from cassiawalk.dispatch.retry import MIN_RETRIES_PER_S
from cassiawalk.dispatch.retry import RETRY_BURST
from cassiawalk.dispatch.retry import RETRY_RATIO
from cassiawalk.ids import ServiceName
from tests.fakes import FakeClock

SERVICE = ServiceName("enquiries")


def _policy(clock: FakeClock) -> RetryPolicy:
    return RetryPolicy(clock=clock, rng=random.Random(1))


def test_retries_are_limited_to_a_ratio_of_successes() -> None:
    clock = FakeClock()
    budget = RetryBudget(clock=clock)
    while budget.take():
        pass
    for _ in range(20):
        budget.note_success()
    taken = sum(budget.take() for _ in range(20))
    assert taken == round(20 * RETRY_RATIO)


def test_minimum_rate_permits_few_retries_in_an_outage() -> None:
    clock = FakeClock()
    budget = RetryBudget(clock=clock)
    taken = 0
    for _ in range(600):
        clock.now += 0.1
        taken += sum(budget.take() for _ in range(10))
    assert taken <= RETRY_BURST + 60 * MIN_RETRIES_PER_S + 1
    assert taken > RETRY_BURST


def test_budget_does_not_exceed_its_burst() -> None:
    clock = FakeClock()
    budget = RetryBudget(clock=clock)
    clock.now += 10_000.0
    for _ in range(1000):
        budget.note_success()
    assert sum(budget.take() for _ in range(100)) == RETRY_BURST


@pytest.mark.parametrize("retries", [0, 1, 5, 10, 5000])
def test_backoff_is_bounded(retries: int) -> None:
    policy = _policy(FakeClock())
    assert all(0.0 <= policy.delay_s(retries) <= BACKOFF_LIMIT_S for _ in range(50))


async def test_quick_request_fails_at_once_without_budget() -> None:
    clock = FakeClock()
    policy = _policy(clock)
    while policy.budget(SERVICE).take():
        pass
    began = clock.now
    assert not await policy.permit(SERVICE, 1, clock.now + 60.0)
    assert clock.now == began


async def test_must_arrive_request_waits_for_the_budget() -> None:
    clock = FakeClock()
    policy = _policy(clock)
    while policy.budget(SERVICE).take():
        pass
    assert await policy.permit(SERVICE, 1, clock.now + 60.0, wait_for_budget=True)


@pytest.mark.parametrize("waits", [False, True])
async def test_no_retry_after_the_deadline(waits: bool) -> None:
    clock = FakeClock()
    policy = _policy(clock)
    deadline_s = clock.now + 3.0
    while policy.budget(SERVICE).take():
        pass
    while await policy.permit(SERVICE, 9, deadline_s, wait_for_budget=waits):
        assert clock.now < deadline_s
    assert clock.now < deadline_s


@pytest.fixture(scope="module")
def outage() -> Simulation:
    """Return a run of eight hosts on virtual time in which all engines refuse for 8 s of 40 s."""
    scenario = next(item for item in SCENARIOS if item.name == "outage")
    rng = random.Random("outage")
    found = arrivals(CARE, rng, duration_s=scenario.duration_s, load=scenario.load)
    simulations = []

    async def run_scenario() -> None:
        simulation = Simulation(
            deployment=CARE, spec=scenario.spec, policy=POLICIES["product"], seed=1
        )
        simulations.append(simulation)
        await simulation.run(found, scenario.script)

    loop = looptime.new_event_loop(start=0.0, noop_cycles=NOOP_CYCLES)
    try:
        loop.run_until_complete(run_scenario())
    finally:
        loop.close()
    return simulations[0]


def test_answers_meet_their_targets_again_after_an_outage(outage: Simulation) -> None:
    begin = outage.requests[0].arrival.at_s
    settled = begin + FAULT_AT_S + OUTAGE_S + 8.0
    after = [req for req in outage.requests if req.arrival.at_s >= settled]
    assert sum(req.within_target for req in after) >= 0.9 * len(after)


def test_all_accepted_must_arrive_requests_complete(outage: Simulation) -> None:
    must = [req for req in outage.requests if req.arrival.spec.kind.mode is KindMode.MUST_ARRIVE]
    assert must
    assert all(req.complete for req in must)


def test_retries_in_an_outage_stay_within_the_budget(outage: Simulation) -> None:
    requests = [req for req in outage.requests if not req.arrival.spec.plain]
    span_s = requests[-1].arrival.at_s - requests[0].arrival.at_s + 60.0
    successes = sum(req.complete for req in requests)
    budget = len(outage.gateways) * (RETRY_BURST + MIN_RETRIES_PER_S * span_s)
    budget += RETRY_RATIO * successes
    # The last failure of a request that fails for good is counted as a retry, but none follows.
    given_up = sum(req.given_up for req in requests)
    assert sum(req.retries for req in requests) - given_up <= budget
