"""The choice of upstreams for requests without a prompt, and the share that is refused."""

import random
import types
import typing as t

import pytest

from cassiawalk.ingress.spreading import refusal_ratio
from cassiawalk.ingress.spreading import spread
from cassiawalk.storeview.directory import Upstream


def upstream(
    name: str, *, own: int = 0, others: int = 0, paused: bool = False, connected: bool = False
) -> Upstream:
    fake = types.SimpleNamespace(
        name=name,
        load=types.SimpleNamespace(own=own, total=own + others),
        health=types.SimpleNamespace(paused=paused),
        pool=types.SimpleNamespace(has_idle=connected),
        slots=6,
    )
    return t.cast(Upstream, fake)


def chosen(*upstreams: Upstream) -> set[str]:
    rng = random.Random(1)
    return {t.cast(t.Any, spread(upstreams, rng)).name for _ in range(50)}


@pytest.mark.parametrize(
    ("upstreams", "expected"),
    [
        ([upstream("a"), upstream("b")], {"a", "b"}),
        ([upstream("a", own=1), upstream("b")], {"b"}),
        ([upstream("a", others=9), upstream("b", own=1)], {"a"}),
        ([upstream("a"), upstream("b", connected=True)], {"b"}),
        ([upstream("a"), upstream("b", own=1, connected=True)], {"a"}),
        ([upstream("a", paused=True), upstream("b", own=3)], {"b"}),
        ([upstream("a", paused=True)], {"a"}),
    ],
)
def test_own_requests_are_spread(upstreams: list[Upstream], expected: set[str]) -> None:
    assert chosen(*upstreams) == expected


@pytest.mark.parametrize(
    ("totals", "ratio"),
    [([0, 0], 0.0), ([15, 15], 0.0), ([48, 0], 0.5), ([33, 33], 1.0), ([90, 90], 1.0)],
)
def test_share_of_refusals_follows_the_sum_of_all_upstreams(
    totals: list[int], ratio: float
) -> None:
    upstreams = [upstream(str(total), others=total) for total in totals]
    assert refusal_ratio(upstreams) == pytest.approx(ratio)


def test_service_without_slots_refuses_nothing_while_it_has_no_requests() -> None:
    assert refusal_ratio([]) == 0.0
