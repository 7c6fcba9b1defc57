"""Answers in time when many hosts spread requests without a prompt over a few upstreams."""

import dataclasses

import pytest

from benchmarks.plain_load import LOADS
from benchmarks.plain_load import PlainLoad
from benchmarks.plain_load import PlainSimulation
from benchmarks.plain_load import figures

MIN_SHARE_WITHIN_TARGET = 0.95  # of all requests, where the upstreams have the slots for them
MIN_SHARE_OF_CAPACITY = 0.9  # of what all slots can answer, where there are too few
SEEDS = (1, 2)


def answerable(load: PlainLoad) -> float:
    """Return the share of requests that the slots can answer; the peak is a third of the time."""
    at_peak = load.utilization * load.peak
    asked = 2 * load.utilization + at_peak
    return (2 * load.utilization + min(1.0, at_peak)) / asked


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "name", ["7 hosts, half", "7 hosts, peak", "80 hosts, half", "80 hosts, peak"]
)
def test_answers_come_in_time_if_there_are_slots(name: str, seed: int) -> None:
    result = PlainSimulation(dataclasses.replace(LOADS[name], seed=seed)).run()
    assert result.share_within_target >= MIN_SHARE_WITHIN_TARGET, figures(result)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("peak", [2.2, 2.6, 3.2])
@pytest.mark.parametrize("hosts", [7, 80])
def test_slots_are_used_for_answers_in_time_if_there_are_too_few(
    hosts: int, peak: float, seed: int
) -> None:
    load = PlainLoad(hosts=hosts, peak=peak, seed=seed)
    result = PlainSimulation(load).run()
    assert result.share_within_target >= MIN_SHARE_OF_CAPACITY * answerable(load), figures(result)


def test_same_seed_gives_the_same_figures() -> None:
    load = PlainLoad(duration_s=3.0)
    assert figures(PlainSimulation(load).run()) == figures(PlainSimulation(load).run())
