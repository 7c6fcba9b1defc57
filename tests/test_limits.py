import asyncio
import math

import hypothesis
import pytest
from hypothesis import strategies as st

from cassiawalk.admission.limitowner import DECAY_S
from cassiawalk.admission.limitowner import LimitOwner
from cassiawalk.admission.limits import WorkspaceLimiter
from cassiawalk.admission.shares import allocate_shares
from cassiawalk.admission.shares import integer_shares
from cassiawalk.control.state import Limit
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.membership import rank
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import WorkspaceDemand
from cassiawalk.requests import Ended
from cassiawalk.results import ResultCode
from tests.fakes import FakeClock
from tests.fakes import make_record

SPACE = WorkspaceName("family")
HOSTS = [HostId(f"host-{index}") for index in range(8)]


@pytest.mark.parametrize(
    ("demands", "expected"),
    [
        ({"a": 0.0, "b": 0.0}, {"a": 5.0, "b": 5.0}),
        ({"a": 100.0, "b": 0.0}, {"a": 8.75, "b": 1.25}),
        ({"a": 100.0, "b": 3.0}, {"a": 7.0, "b": 3.0}),
        ({"a": 100.0, "b": 100.0}, {"a": 5.0, "b": 5.0}),
        ({}, {}),
    ],
)
def test_share_follows_demand_above_a_floor(
    demands: dict[HostId, float], expected: dict[HostId, float]
) -> None:
    assert allocate_shares(10.0, demands) == pytest.approx(expected)


@hypothesis.given(
    limit=st.integers(0, 200),
    demands=st.dictionaries(st.sampled_from(HOSTS), st.floats(0, 1000), min_size=1),
)
def test_shares_never_exceed_the_limit(limit: int, demands: dict[HostId, float]) -> None:
    shares = allocate_shares(limit, demands)
    assert sum(shares.values()) <= limit * (1 + 1e-9)
    parts = integer_shares(limit, shares)
    assert sum(parts.values()) <= limit
    assert all(parts[host] >= math.floor(share) for host, share in shares.items())


@hypothesis.given(
    steps=st.lists(
        st.tuples(st.sampled_from(HOSTS), st.floats(0, 50), st.integers(0, 20), st.floats(0, 4)),
        max_size=60,
    )
)
def test_owner_never_leases_out_more_than_the_limit(
    steps: list[tuple[HostId, float, int, float]],
) -> None:
    clock = FakeClock()
    owner = LimitOwner(clock=clock)
    limit = Limit(requests_per_s=20.0, concurrent=11)
    leases: dict[HostId, tuple[float, int, float]] = {}
    for host, rate, concurrent, wait_s in steps:
        clock.now += wait_s
        demand = WorkspaceDemand(workspace=SPACE, rate=rate, concurrent=concurrent)
        share = owner.grant(host, demand, limit, hosts=HOSTS, lease_s=3.0)
        leases[host] = (share.rate, share.concurrent, clock.now + 3.0)
        live = [lease for lease in leases.values() if lease[2] >= clock.now]
        assert sum(lease[0] for lease in live) <= 20.0 + 1e-6
        assert sum(lease[1] for lease in live) <= 11


class FakeMembership:
    def reachable_entry_hosts(self) -> list[HostId]:
        return HOSTS


class FakeLinks:
    """Calls the limiters directly; a host in ``down`` does not answer."""

    def __init__(self) -> None:
        self.limiters: dict[HostId, WorkspaceLimiter] = {}
        self.down: set[HostId] = set()

    async def call(self, host: HostId, message, reply, *, timeout_s):  # type: ignore[no-untyped-def]
        if host in self.down:
            return PeerFailure(reason="down", sent=True)
        return await self.limiters[host].serve(message)


def _limiters(clock: FakeClock, limit: Limit) -> FakeLinks:
    links = FakeLinks()
    for host in HOSTS:
        links.limiters[host] = WorkspaceLimiter(
            host=host,
            limits=lambda: {SPACE: limit},
            membership=FakeMembership(),  # type: ignore[arg-type]
            links=links,  # type: ignore[arg-type]
            clock=clock,
        )
    return links


def _simulate(
    links: FakeLinks, clock: FakeClock, seconds: int, rates: dict[HostId, int]
) -> list[int]:
    """Send each host its rate of requests; return how many were accepted in each second."""
    accepted = []
    for _ in range(seconds):
        count = 0
        for step in range(10):
            clock.now += 0.1
            for host, rate in rates.items():
                count_due = rate * (step + 1) // 10 - rate * step // 10
                records = [make_record(workspace=SPACE) for _ in range(count_due)]
                count += sum(links.limiters[host].check(record) is None for record in records)
        accepted.append(count)
        for limiter in links.limiters.values():
            asyncio.run(limiter.renew())
    return accepted


@pytest.mark.parametrize("owner_down", [False, True])
def test_total_rate_stays_at_the_limit(owner_down: bool) -> None:
    clock = FakeClock()
    links = _limiters(clock, Limit(requests_per_s=40.0))
    if owner_down:
        links.down.add(rank(f"limit/{SPACE}", HOSTS)[0])
    rates = {host: 20 for host in HOSTS}
    accepted = _simulate(links, clock, 12, rates)
    # The first second is left out: it includes the bursts of the token buckets.
    assert max(sum(accepted[i : i + 4]) for i in range(1, 9)) <= 4 * 40 + len(HOSTS)


def test_demand_at_one_host_gets_nearly_the_whole_limit() -> None:
    clock = FakeClock()
    links = _limiters(clock, Limit(requests_per_s=40.0))
    accepted = _simulate(links, clock, 10, {HOSTS[3]: 100, **{HOSTS[i]: 1 for i in (0, 1, 2)}})
    floors = 40.0 * 0.25 * 7 / 8
    assert accepted[-1] >= 40 - floors - 1


def test_lease_decays_to_the_floor_when_the_owner_is_down() -> None:
    clock = FakeClock()
    links = _limiters(clock, Limit(requests_per_s=40.0))
    busy = HOSTS[3] if rank(f"limit/{SPACE}", HOSTS)[0] != HOSTS[3] else HOSTS[4]
    _simulate(links, clock, 10, {busy: 100, **{host: 1 for host in HOSTS if host != busy}})
    links.down.add(rank(f"limit/{SPACE}", HOSTS)[0])
    after = _simulate(links, clock, 3 + int(DECAY_S) + 3, {busy: 100})
    assert after[-1] <= 0.25 * 40 / 8 + 1


def test_request_counts_against_the_concurrent_limit_until_its_last_event() -> None:
    clock = FakeClock()
    links = _limiters(clock, Limit(concurrent=32))
    limiter = links.limiters[HOSTS[0]]
    first = make_record(workspace=SPACE)
    assert limiter.check(first) is None
    refusal = limiter.check(make_record(workspace=SPACE))
    assert refusal is not None
    assert refusal.code is ResultCode.OVER_LIMIT
    first.add(Ended(tokens=0))
    assert limiter.check(make_record(workspace=SPACE)) is None


def test_request_is_accepted_after_the_retry_after_of_a_rate_refusal() -> None:
    clock = FakeClock()
    links = _limiters(clock, Limit(requests_per_s=4.0))
    limiter = links.limiters[HOSTS[0]]
    while (refusal := limiter.check(make_record(workspace=SPACE))) is None:
        pass
    assert refusal.retry_after_s is not None
    clock.now += refusal.retry_after_s
    assert limiter.check(make_record(workspace=SPACE)) is None


def test_workspace_without_limit_is_never_refused() -> None:
    clock = FakeClock()
    limiter = _limiters(clock, Limit(requests_per_s=1.0)).limiters[HOSTS[0]]
    other = WorkspaceName("other")
    assert all(limiter.check(make_record(workspace=other)) is None for _ in range(100))
