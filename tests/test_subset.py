import collections
import math

import hypothesis
import pytest
from hypothesis import strategies as st

from cassiawalk.routing.subset import QUOTA_HEADROOM
from cassiawalk.routing.subset import Endpoint
from cassiawalk.routing.subset import subsets


def _places(prefix: str, count: int, domains: int) -> list[Endpoint]:
    return [
        Endpoint(
            name=f"{prefix}{index}",
            failure_domain=f"d{index % domains}",
            region=f"r{index % domains % 2}",
        )
        for index in range(count)
    ]


def test_small_pool_is_used_whole() -> None:
    hosts, upstreams = _places("h", 8, 4), _places("u", 10, 4)
    found = subsets(hosts, upstreams, size=28)
    assert all(len(names) == 10 for names in found.values())


@hypothesis.settings(max_examples=30)
@hypothesis.given(
    hosts=st.integers(1, 40),
    upstreams=st.integers(1, 120),
    size=st.integers(1, 20),
    domains=st.integers(1, 6),
)
def test_every_host_has_its_size_and_no_upstream_twice(
    hosts: int, upstreams: int, size: int, domains: int
) -> None:
    found = subsets(_places("h", hosts, domains), _places("u", upstreams, domains), size=size)
    for names in found.values():
        assert len(names) == len(set(names)) == min(size, upstreams)


def test_load_is_equal_within_the_headroom() -> None:
    hosts, upstreams = _places("h", 100, 6), _places("u", 400, 6)
    load: collections.Counter[str] = collections.Counter()
    for names in subsets(hosts, upstreams, size=20).values():
        load.update(names)
    assert max(load.values()) <= math.ceil(QUOTA_HEADROOM * 100 * 20 / 400)


def test_near_upstreams_come_first() -> None:
    hosts, upstreams = _places("h", 60, 6), _places("u", 240, 6)
    domains = {place.name: place.failure_domain for place in [*hosts, *upstreams]}
    found = subsets(hosts, upstreams, size=20)
    near = sum(domains[host] == domains[name] for host, names in found.items() for name in names)
    assert near / (60 * 20) > 0.9


@pytest.mark.parametrize("gone", ["host", "upstream"])
def test_one_departure_moves_few_links(gone: str) -> None:
    hosts, upstreams = _places("h", 100, 6), _places("u", 400, 6)
    before = subsets(hosts, upstreams, size=20)
    after = subsets(
        hosts[1:] if gone == "host" else hosts,
        upstreams[1:] if gone == "upstream" else upstreams,
        size=20,
    )
    moved = sum(len(set(after[host]) - set(before[host])) for host in after)
    assert moved <= 0.05 * 100 * 20


def test_order_of_the_view_does_not_matter() -> None:
    hosts, upstreams = _places("h", 50, 6), _places("u", 200, 6)
    forth = subsets(hosts, upstreams, size=20)
    back = subsets(hosts[::-1], upstreams[::-1], size=20)
    assert {h: sorted(n) for h, n in forth.items()} == {h: sorted(n) for h, n in back.items()}
