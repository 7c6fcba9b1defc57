"""What callers get from the placing of many hosts, with load that is played in virtual time."""

import dataclasses

import pytest

from benchmarks.prompt_kinds import KINDS
from benchmarks.prompt_kinds import Change
from benchmarks.prompt_kinds import Kind
from benchmarks.prompt_kinds import Load
from benchmarks.prompt_load import WAVES
from benchmarks.prompt_load import Outcome
from benchmarks.prompt_load import Player
from benchmarks.prompt_load import figures

IN_TIME = 0.95  # of the first tokens, as the size to design for says
SCALE = 3
SEEDS = (1, 2)
THIRD = tuple(
    dataclasses.replace(kind, per_s=kind.per_s / SCALE, things=kind.things // SCALE)
    for kind in KINDS
)
HOT = Kind(
    name="hot", per_s=10.0, shared=6300, own=2890, things=1, output=52, aim_s=0.845, urgency=0
)
CALM = Load(hosts=30, engines=10, seconds=20.0, kinds=THIRD)
THIRD_OF_WAVES = tuple(Change(at_s=each.at_s, count=each.count // SCALE) for each in WAVES)


def play(load: Load, seed: int) -> Outcome:
    return Player(dataclasses.replace(load, seed=seed)).run()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "load",
    [
        CALM,
        dataclasses.replace(CALM, changes=THIRD_OF_WAVES),
        dataclasses.replace(CALM, kinds=(*THIRD, HOT)),
    ],
    ids=["calm", "waves", "hot prompt"],
)
def test_first_tokens_come_in_time(load: Load, seed: int) -> None:
    outcome = play(load, seed)
    assert outcome.share_in_aim >= IN_TIME, figures(outcome)


@pytest.mark.parametrize("seed", SEEDS)
def test_load_that_fits_with_whole_caches_does_not_break_them(seed: int) -> None:
    """Hosts that spread prompts over engines read them anew, and then nothing fits any more."""
    outcome = play(dataclasses.replace(CALM, engines=6), seed)
    assert outcome.read_again < 0.1 * outcome.read, figures(outcome)


@pytest.mark.parametrize("seed", SEEDS)
def test_engines_that_come_fetch_what_others_hold(seed: int) -> None:
    load = dataclasses.replace(CALM, changes=THIRD_OF_WAVES)
    with_fetches = play(load, seed)
    without = play(dataclasses.replace(load, fetches_prefixes=False), seed)
    assert with_fetches.fetched > 0
    assert with_fetches.read_again < without.read_again


def test_same_seed_plays_the_same() -> None:
    load = dataclasses.replace(CALM, seconds=4.0)
    assert figures(play(load, 1)) == figures(play(load, 1))
