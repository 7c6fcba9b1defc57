import collections
import math

import hypothesis
import pytest
from hypothesis import strategies as st

from cassiawalk.routing.subset import QUOTA_HEADROOM
from cassiawalk.routing.subset import Endpoint
from cassiawalk.routing.subset import subsets


def _endpoints(prefix: str, count: int, domains: int) -> list[Endpoint]:
    return [
        Endpoint(
            name=f"{prefix}{index}",
            failure_domain=f"d{index % domains}",
            region=f"r{index % domains % 2}",
        )
        for index in range(count)
    ]


def test_every_host_uses_all_upstreams_of_a_small_pool() -> None:
    hosts, upstreams = _endpoints("h", 8, 4), _endpoints("u", 10, 4)
    found = subsets(hosts, upstreams, size=28)
    assert all(len(names) == 10 for names in found.values())


@hypothesis.settings(max_examples=30)
@hypothesis.given(
    hosts=st.integers(1, 40),
    upstreams=st.integers(1, 120),
    size=st.integers(1, 20),
    domains=st.integers(1, 6),
)
def test_every_host_has_the_requested_number_of_distinct_upstreams(
    hosts: int, upstreams: int, size: int, domains: int
) -> None:
    found = subsets(_endpoints("h", hosts, domains), _endpoints("u", upstreams, domains), size=size)
    for names in found.values():
        assert len(names) == len(set(names)) == min(size, upstreams)


def test_load_is_equal_within_the_headroom() -> None:
    hosts, upstreams = _endpoints("h", 100, 6), _endpoints("u", 400, 6)
    load: collections.Counter[str] = collections.Counter()
    for names in subsets(hosts, upstreams, size=20).values():
        load.update(names)
    assert max(load.values()) <= math.ceil(QUOTA_HEADROOM * 100 * 20 / 400)


def test_upstreams_in_the_hosts_domain_are_preferred() -> None:
    hosts, upstreams = _endpoints("h", 60, 6), _endpoints("u", 240, 6)
    domains = {endpoint.name: endpoint.failure_domain for endpoint in [*hosts, *upstreams]}
    found = subsets(hosts, upstreams, size=20)
    near = sum(domains[host] == domains[name] for host, names in found.items() for name in names)
    assert near / (60 * 20) > 0.9


@pytest.mark.parametrize("removed", ["host", "upstream"])
def test_removing_a_host_or_upstream_changes_few_pairs(removed: str) -> None:
    hosts, upstreams = _endpoints("h", 100, 6), _endpoints("u", 400, 6)
    before = subsets(hosts, upstreams, size=20)
    after = subsets(
        hosts[1:] if removed == "host" else hosts,
        upstreams[1:] if removed == "upstream" else upstreams,
        size=20,
    )
    moved = sum(len(set(after[host]) - set(before[host])) for host in after)
    assert moved <= 0.05 * 100 * 20


def test_result_does_not_depend_on_the_order_of_the_view() -> None:
    hosts, upstreams = _endpoints("h", 50, 6), _endpoints("u", 200, 6)
    forward = subsets(hosts, upstreams, size=20)
    reverse = subsets(hosts[::-1], upstreams[::-1], size=20)
    assert {h: sorted(n) for h, n in forward.items()} == {h: sorted(n) for h, n in reverse.items()}
