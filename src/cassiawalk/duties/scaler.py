"""Sets how many reclaimable and on-demand upstreams each service has in each failure domain."""

import collections.abc as cabc
import dataclasses
import math

import eliot

from cassiawalk.clock import Clock
from cassiawalk.duties.api import DutyApi
from cassiawalk.duties.api import DutyOutcome
from cassiawalk.duties.api import FencingToken
from cassiawalk.duties.api import UpstreamOrder
from cassiawalk.duties.holder import Duty
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName

REORDER_AFTER_S = 5.0
ORDER_RETRY_PAUSE_S = 2.0
# Target for the mean fraction of an upstream's slots that are in use.
TARGET_SLOT_USE = 0.35
# Target fraction of the prefill speed, low enough for short queues at each upstream.
TARGET_PREFILL_USE = 0.2
# Fraction of the wanted upstreams that is ordered where only on-demand ones are available.
ON_DEMAND_FRACTION = 0.8
# A lower number is ordered only after this time, because each change empties prefix caches.
SCALE_DOWN_DELAY_S = 15.0
MIN_IN_DOMAIN = 2
# Time from the start of an upstream until this host has read its registration.
REGISTRATION_DELAY_S = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainState:
    """The number of a service's upstreams in one failure domain that accept requests."""

    reclaimable: int
    on_demand: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceState:
    """The input of the scaling decision for one service.

    :param running: requests at the service's upstreams, from all hosts.
    :param slots: how many requests one upstream runs concurrently.
    :param prefill_tokens_per_s: rate of requested prompt tokens that are in no prefix cache.
    :param speed_tokens_per_s: how many prompt tokens one upstream prefills in a second.
    :param mean_speed: the mean speed of the live upstreams, where one of usual speed has 1.0.
    :param limited: how many upstreams' worth of requests the limits take away that upstreams name.
    :param wanted: the target number of upstreams.
    :param boot_s: seconds from an order until the new upstream serves requests.
    """

    service: ServiceName
    min_per_domain: int
    max_per_domain: int
    reclaimable_price: float
    domain_prices: cabc.Mapping[FailureDomain, float]
    domains: cabc.Mapping[FailureDomain, DomainState]
    running: int
    slots: int
    prefill_tokens_per_s: float
    speed_tokens_per_s: float
    boot_s: float
    mean_speed: float = 1.0
    limited: float = 0.0
    wanted: int = 0


_ScaleTarget = tuple[ServiceName, FailureDomain, bool]


def plan(
    state: ServiceState, expected: cabc.Mapping[FailureDomain, int]
) -> dict[tuple[FailureDomain, bool], int]:
    """Return the target number of upstreams by failure domain and whether they are reclaimable.

    Reclaimable upstreams are spread evenly over the failure domains, so that the reclaim of one
    domain removes as few as possible. On-demand upstreams are kept until reclaimable ones replace
    them, and are ordered when too few reclaimable ones are expected.

    :param expected: reclaimable upstreams that are live, or granted and still starting.
    """
    wanted = state.wanted
    if not state.domains:
        return {}
    domains = sorted(state.domains, key=lambda domain: (state.domain_prices.get(domain, 1), domain))
    orders: dict[tuple[FailureDomain, bool], int] = {}
    for index, domain in enumerate(domains):
        share = wanted // len(domains) + (1 if index < wanted % len(domains) else 0)
        orders[domain, True] = max(state.min_per_domain, min(state.max_per_domain, share))
    wanted = min(wanted, sum(orders.values()))
    needed = math.ceil(ON_DEMAND_FRACTION * wanted)
    live_reclaimable = sum(current.reclaimable for current in state.domains.values())
    on_demand = sum(current.on_demand for current in state.domains.values())
    kept = min(on_demand, max(0, needed - live_reclaimable))
    added = max(0, needed - sum(expected.values()))
    for domain, count in _spread_on_demand(state, domains, expected, max(kept, added)).items():
        orders[domain, False] = count
    return orders


def _spread_on_demand(
    state: ServiceState,
    domains: cabc.Sequence[FailureDomain],
    expected: cabc.Mapping[FailureDomain, int],
    total: int,
) -> dict[FailureDomain, int]:
    """Return on-demand upstreams by domain: live ones first, then new ones spread evenly."""
    counts: dict[FailureDomain, int] = {}
    for domain in domains:
        counts[domain] = min(total, state.domains[domain].on_demand)
        total -= counts[domain]
    even = math.ceil((total + sum(counts.values())) / len(domains))
    for limit in (even, state.max_per_domain):
        for domain in domains:
            room = max(
                0, min(limit, state.max_per_domain - expected.get(domain, 0)) - counts[domain]
            )
            more = min(total, room)
            counts[domain] += more
            total -= more
    return counts


def needed_upstreams(state: ServiceState) -> int:
    """Return how many upstreams serve the current load with short queues.

    Capacity is counted, not machines: of upstreams that are slower than usual on average, more are
    needed to prefill as much. Their slots need no such factor, as requests run longer there and so
    are counted for longer. What limits take away comes on top of that; the least number has
    reserves for it.
    """
    for_slots = state.running / (state.slots * TARGET_SLOT_USE)
    speed_tokens_per_s = state.speed_tokens_per_s * state.mean_speed
    for_prefill = state.prefill_tokens_per_s / (speed_tokens_per_s * TARGET_PREFILL_USE)
    least = MIN_IN_DOMAIN * len(state.domains)
    return max(least, *(math.ceil(need + state.limited) for need in (for_slots, for_prefill)))


def _live_count(state: ServiceState) -> int:
    """Return the number of live upstreams.

    An on-demand upstream and the reclaimable one that replaces it count as one.
    """
    reclaimable = sum(current.reclaimable for current in state.domains.values())
    on_demand = sum(current.on_demand for current in state.domains.values())
    return max(reclaimable, on_demand)


class Scaler(Duty):
    """Orders the numbers that ``plan`` returns.

    An order is sent where the number differs from the last order or from the live upstreams.

    :param services: returns the state of each service that may be scaled.
    """

    def __init__(
        self, *, api: DutyApi, services: cabc.Callable[[], list[ServiceState]], clock: Clock
    ) -> None:
        self._api = api
        self._services = services
        self._clock = clock
        self._fence: int | None = None
        self._ordered: dict[_ScaleTarget, tuple[int, float]] = {}
        self._not_before: dict[_ScaleTarget, float] = {}
        self._peaks: dict[ServiceName, tuple[int, float]] = {}
        self._services_with_demand: set[ServiceName] = set()

    async def step(self, by: FencingToken) -> DutyOutcome:
        """Send the orders that are due."""
        if self._fence != by.fence:
            self._fence = by.fence
            self._ordered.clear()
        for current in self._services():
            state = dataclasses.replace(current, wanted=self._wanted(current))
            outcome = await self._order(state, by)
            if outcome is not DutyOutcome.DONE:
                return outcome
        return DutyOutcome.DONE

    async def _order(self, state: ServiceState, by: FencingToken) -> DutyOutcome:
        # Reclaimable upstreams are ordered first. How many of them are granted decides how many
        # on-demand ones are needed.
        for orders_reclaimable in (True, False):
            orders = plan(state, self._expected(state))
            for (domain, reclaimable), count in orders.items():
                target = (state.service, domain, reclaimable)
                if reclaimable is not orders_reclaimable or not self._is_due(target, count, state):
                    continue
                if not by.may_send():
                    return DutyOutcome.UNKNOWN
                if await self._send(target, count, by) is DutyOutcome.SUPERSEDED:
                    return DutyOutcome.SUPERSEDED
        return DutyOutcome.DONE

    def _wanted(self, state: ServiceState) -> int:
        """Return the target number: a higher need counts at once, a lower one after a delay.

        Until this host has seen requests for the service, all live upstreams count as needed.
        """
        now = self._clock.monotonic()
        needed = needed_upstreams(state)
        peak, at = self._peaks.get(state.service, (_live_count(state), now))
        if state.prefill_tokens_per_s > 0 or state.running > 0:
            self._services_with_demand.add(state.service)
        if state.service not in self._services_with_demand:
            peak, at = max(peak, _live_count(state)), now
        if needed >= peak or now - at > SCALE_DOWN_DELAY_S:
            peak, at = needed, now
        self._log_wanted(state, peak, needed)
        self._peaks[state.service] = (peak, at)
        return peak

    def _log_wanted(self, state: ServiceState, wanted: int, needed: int) -> None:
        previous, _ = self._peaks.get(state.service, (None, 0.0))
        if wanted == previous:
            return
        eliot.log_message(
            message_type="scaler:wanted",
            service=state.service,
            wanted=wanted,
            needed=needed,
            running=state.running,
            reading_per_s=round(state.prefill_tokens_per_s),
            speed_per_s=round(state.speed_tokens_per_s),
            mean_speed=round(state.mean_speed, 3),
            there=_live_count(state),
        )

    def _expected(self, state: ServiceState) -> dict[FailureDomain, int]:
        """Return how many reclaimable upstreams are live or starting, by failure domain."""
        now = self._clock.monotonic()
        expected: dict[FailureDomain, int] = {}
        for domain, current in state.domains.items():
            count, at = self._ordered.get((state.service, domain, True), (0, 0.0))
            starting = now - at < state.boot_s + REGISTRATION_DELAY_S
            expected[domain] = max(current.reclaimable, count if starting else 0)
        return expected

    def _is_due(self, target: _ScaleTarget, count: int, state: ServiceState) -> bool:
        now = self._clock.monotonic()
        if now < self._not_before.get(target, 0.0):
            return False
        _, domain, reclaimable = target
        current = state.domains[domain]
        actual = current.reclaimable if reclaimable else current.on_demand
        ordered, at = self._ordered.get(target, (None, 0.0))
        if ordered != count:
            return actual != count or ordered is not None
        return actual != count and now - at > REORDER_AFTER_S

    async def _send(self, target: _ScaleTarget, count: int, by: FencingToken) -> DutyOutcome:
        service, domain, reclaimable = target
        order = UpstreamOrder(
            service=service, failure_domain=domain, reclaimable=reclaimable, count=count
        )
        outcome = await self._api.order_upstreams(order, by)
        now = self._clock.monotonic()
        if outcome is DutyOutcome.DONE:
            self._ordered[target] = (order.count, now)
        else:
            self._not_before[target] = now + ORDER_RETRY_PAUSE_S
        eliot.log_message(
            message_type="scaler:ordered",
            service=order.service,
            failure_domain=order.failure_domain,
            reclaimable=order.reclaimable,
            count=order.count,
            fence=by.fence,
            outcome=outcome.value,
        )
        return outcome
