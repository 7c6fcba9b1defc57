"""The number of upstreams: reclaimable ones while they are to be had, lasting ones otherwise."""

import collections.abc as cabc
import dataclasses
import math

import pytest

from cassiawalk.duties import DutyApi
from cassiawalk.duties import DutyOutcome
from cassiawalk.duties import FencingToken
from cassiawalk.duties import UpstreamOrder
from cassiawalk.duties import UsageWindow
from cassiawalk.duties.scaler import MIN_IN_DOMAIN
from cassiawalk.duties.scaler import ON_DEMAND_FRACTION
from cassiawalk.duties.scaler import PREFILL_TOKENS_PER_S
from cassiawalk.duties.scaler import SCALE_DOWN_DELAY_S
from cassiawalk.duties.scaler import TARGET_PREFILL_USE
from cassiawalk.duties.scaler import DomainState
from cassiawalk.duties.scaler import Scaler
from cassiawalk.duties.scaler import ServiceState
from cassiawalk.duties.scaler import needed_upstreams
from cassiawalk.duties.scaler import plan
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from tests.fakes import FakeClock

DOMAINS = [FailureDomain(name) for name in ("a", "b", "c", "d")]
NONE = DomainState(reclaimable=0, on_demand=0)
NOTHING = dict.fromkeys(DOMAINS, NONE)
LEAST_TOTAL = MIN_IN_DOMAIN * len(DOMAINS)
WANTED = 10
NEEDED = math.ceil(ON_DEMAND_FRACTION * WANTED)
READING = (WANTED - 0.5) * PREFILL_TOKENS_PER_S * TARGET_PREFILL_USE
BY = FencingToken(holder=HostId("h"), fence=Offset(3))
BOOT_S = 4.0


def state(domains: cabc.Mapping[FailureDomain, DomainState], *, running: int = 0) -> ServiceState:
    return ServiceState(
        service=ServiceName("models"),
        min_per_domain=1,
        max_per_domain=5,
        reclaimable_price=0.15,
        domain_prices=dict.fromkeys(DOMAINS, 1.0),
        domains=domains,
        running=running,
        slots=64,
        prefill_tokens_per_s=READING,
        boot_s=BOOT_S,
        wanted=WANTED,
    )


def totals(orders: cabc.Mapping[tuple[FailureDomain, bool], int]) -> tuple[int, int]:
    reclaimable = sum(count for (_, kind), count in orders.items() if kind)
    return reclaimable, sum(orders.values()) - reclaimable


def test_lasting_upstreams_stay_until_reclaimable_ones_are_there() -> None:
    on_demand = dict.fromkeys(DOMAINS, DomainState(reclaimable=0, on_demand=2))
    granted = dict.fromkeys(DOMAINS, 2)
    assert totals(plan(state(on_demand), granted)) == (WANTED, NEEDED)
    both = dict.fromkeys(DOMAINS, DomainState(reclaimable=2, on_demand=2))
    assert totals(plan(state(both), granted)) == (WANTED, 0)


def test_lasting_upstreams_are_bought_only_if_none_are_granted() -> None:
    gone = dict.fromkeys(DOMAINS, NONE)
    assert totals(plan(state(gone), dict.fromkeys(DOMAINS, 2))) == (WANTED, 0)
    assert totals(plan(state(gone), dict.fromkeys(DOMAINS, 0))) == (WANTED, NEEDED)


@pytest.mark.parametrize("running", [0, 100, 400, 10_000])
def test_orders_stay_in_the_bounds_of_each_domain(running: int) -> None:
    for expected in (0, 2, 5):
        orders = plan(
            state(dict.fromkeys(DOMAINS, NONE), running=running), dict.fromkeys(DOMAINS, expected)
        )
        for domain in DOMAINS:
            assert 1 <= orders[domain, True] <= 5
            assert orders[domain, False] + expected <= 5 or orders[domain, False] == 0


def test_more_requests_want_more_upstreams() -> None:
    few = needed_upstreams(state(NOTHING, running=10))
    assert needed_upstreams(state(NOTHING, running=400)) > few == WANTED


class Platform(DutyApi):
    """Carries orders out after the boot time; ``dry`` grants no reclaimable ones."""

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock
        self.dry = False
        self.outcome: DutyOutcome | None = None
        self.orders: list[UpstreamOrder] = []
        self.wanted: dict[tuple[FailureDomain, bool], int] = {}
        self.there: dict[tuple[FailureDomain, bool], int] = {}
        self._due: list[tuple[float, tuple[FailureDomain, bool]]] = []

    async def report_usage(self, window: UsageWindow, by: FencingToken) -> DutyOutcome:
        raise NotImplementedError

    async def order_upstreams(self, order: UpstreamOrder, by: FencingToken) -> DutyOutcome:
        self.orders.append(order)
        if self.outcome is not None:
            return self.outcome
        subject = (order.failure_domain, order.reclaimable)
        if self.dry and order.reclaimable and order.count > self.there.get(subject, 0):
            return DutyOutcome.NO_CAPACITY
        self.wanted[subject] = order.count
        self.there[subject] = min(self.there.get(subject, 0), order.count)
        self._due.append((self._clock.now + BOOT_S, subject))
        return DutyOutcome.DONE

    def state(self) -> list[ServiceState]:
        for due, subject in list(self._due):
            if due <= self._clock.now:
                self.there[subject] = self.wanted[subject]
                self._due.remove((due, subject))
        return [
            state(
                {
                    domain: DomainState(
                        reclaimable=self.there.get((domain, True), 0),
                        on_demand=self.there.get((domain, False), 0),
                    )
                    for domain in DOMAINS
                }
            )
        ]

    def take_back(self, domain: FailureDomain) -> None:
        self.there[domain, True] = self.wanted[domain, True] = 0

    @property
    def total(self) -> int:
        return sum(self.there.values())


@dataclasses.dataclass
class Day:
    clock: FakeClock
    platform: Platform

    def __post_init__(self) -> None:
        self.reading = READING
        self.scaler = Scaler(api=self.platform, services=self._services, clock=self.clock)

    def _services(self) -> list[ServiceState]:
        return [
            dataclasses.replace(found, prefill_tokens_per_s=self.reading)
            for found in self.platform.state()
        ]

    async def run(self, seconds: float) -> int:
        """Step the scaler and return the fewest upstreams that were there."""
        fewest = 1000
        for _ in range(int(seconds / 0.4)):
            await self.scaler.step(BY, lambda: True)
            self.clock.now += 0.4
            fewest = min(fewest, self.platform.total)
        return fewest


def _day() -> Day:
    clock = FakeClock()
    platform = Platform(clock)
    for domain in DOMAINS:
        platform.there[domain, False] = 2
    return Day(clock, platform)


async def test_change_to_reclaimable_upstreams_leaves_no_gap() -> None:
    day = _day()
    assert await day.run(12) >= NEEDED
    there = day.platform.there
    assert sum(there[domain, True] for domain in DOMAINS) == WANTED
    assert sum(there[domain, False] for domain in DOMAINS) == 0
    assert max(there[domain, True] for domain in DOMAINS) <= math.ceil(WANTED / len(DOMAINS))


async def test_domains_taken_back_one_after_the_other_leave_enough() -> None:
    """Seen on a played day: with none to be had again, nothing was left and nothing was bought."""
    day = _day()
    await day.run(12)
    day.platform.dry = True
    for domain in DOMAINS:
        day.platform.take_back(domain)
        await day.run(3.2)
    await day.run(6)
    assert day.platform.total >= NEEDED
    day.platform.dry = False
    await day.run(20)
    assert sum(day.platform.there.get((domain, False), 0) for domain in DOMAINS) == 0


async def test_settled_state_is_not_ordered_again() -> None:
    day = _day()
    await day.run(15)
    before = len(day.platform.orders)
    await day.run(30)
    assert len(day.platform.orders) == before


async def test_number_falls_only_after_a_while() -> None:
    day = _day()
    await day.run(15)
    before = day.platform.total
    day.reading = 0.0
    await day.run(SCALE_DOWN_DELAY_S - 2)
    assert day.platform.total == before
    await day.run(10)
    assert day.platform.total == LEAST_TOTAL


async def test_nothing_is_taken_away_before_callers_have_been_seen() -> None:
    """Seen on a grown day: 30 upstreams were 10 when the first callers came."""
    day = _day()
    for domain in DOMAINS:
        day.platform.there[domain, False] = 4
    day.reading = 0.0
    await day.run(3 * SCALE_DOWN_DELAY_S)
    assert day.platform.total == 16


async def test_upstreams_whose_entries_come_late_count_too() -> None:
    """Seen on a grown day: 21 of 30 had entries when the first orders were sent."""
    day = _day()
    day.reading = 0.0
    await day.run(2)
    for domain in DOMAINS:
        day.platform.there[domain, False] = 4
    await day.run(2 * SCALE_DOWN_DELAY_S)
    assert day.platform.total == 16


async def test_refused_fence_ends_the_step() -> None:
    day = _day()
    day.platform.outcome = DutyOutcome.SUPERSEDED
    assert await day.scaler.step(BY, lambda: True) is DutyOutcome.SUPERSEDED
    assert len(day.platform.orders) == 1


async def test_nothing_is_sent_without_the_lease() -> None:
    day = _day()
    await day.scaler.step(BY, lambda: False)
    assert day.platform.orders == []


@pytest.mark.parametrize("outcome", [DutyOutcome.UNKNOWN, DutyOutcome.BUSY])
async def test_lost_answers_are_asked_again_after_a_pause(outcome: DutyOutcome) -> None:
    day = _day()
    day.platform.outcome = outcome
    await day.run(4)
    assert len(day.platform.orders) <= 3 * 2 * len(DOMAINS)
    day.platform.outcome = None
    await day.run(14)
    assert day.platform.total >= NEEDED
