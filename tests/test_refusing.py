"""The part of new requests that is refused, by the load of all upstreams of a service."""

import types
import typing as t

import pytest

from cassiawalk.ingress.refusing import RefusalRamp
from cassiawalk.storeview.upstream import Upstream

RAMP = RefusalRamp(begins_at=2.5, ends_at=5.5)


def upstream(total: int, *, slots: int = 6) -> Upstream:
    fake = types.SimpleNamespace(load=types.SimpleNamespace(total=total), slots=slots)
    return t.cast(Upstream, fake)


@pytest.mark.parametrize(
    ("totals", "ratio"),
    [([0, 0], 0.0), ([15, 15], 0.0), ([48, 0], 0.5), ([33, 33], 1.0), ([90, 90], 1.0)],
)
def test_part_follows_the_sum_of_all_upstreams(totals: list[int], ratio: float) -> None:
    assert RAMP.ratio([upstream(total) for total in totals]) == pytest.approx(ratio)


def test_large_upstreams_count_by_their_slots() -> None:
    assert RAMP.ratio([upstream(30), upstream(0, slots=54)]) == 0.0


def test_service_without_upstreams_refuses_nothing_by_its_load() -> None:
    assert RAMP.ratio([]) == 0.0
