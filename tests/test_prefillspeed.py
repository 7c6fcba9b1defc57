"""What is learned of the prefill speed of engines, from first tokens that partly had to wait."""

import random

import pytest

from cassiawalk.demand.prefillspeed import MIN_TOKENS_PER_S
from cassiawalk.demand.prefillspeed import SAMPLES_KEPT
from cassiawalk.demand.prefillspeed import PrefillSpeed
from cassiawalk.demand.prefillspeed import PrefillSpeeds
from cassiawalk.ids import ServiceName

SPEEDS = [60_000.0, 75_000.0, 150_000.0, 400_000.0]
COMMON_S = 0.03
TOLERANCE_RATIO = 0.25


def feed(speed: PrefillSpeed, tokens_per_s: float, *, waiting: float, seed: int = 1) -> None:
    """Note first tokens of prompts of mixed sizes; the fraction ``waiting`` had to wait."""
    rng = random.Random(seed)
    for _ in range(2 * SAMPLES_KEPT):
        tokens = int(rng.lognormvariate(7.5, 0.9))
        first_s = COMMON_S + tokens / tokens_per_s + rng.uniform(0.0, 0.004)
        if rng.random() < waiting:
            first_s += rng.expovariate(1 / 0.2)
        speed.note(tokens, first_s)


@pytest.mark.parametrize("tokens_per_s", SPEEDS)
@pytest.mark.parametrize("waiting", [0.0, 0.15])
def test_speed_is_learned_though_some_requests_wait(tokens_per_s: float, waiting: float) -> None:
    speed = PrefillSpeed()
    feed(speed, tokens_per_s, waiting=waiting)
    assert speed.tokens_per_s == pytest.approx(tokens_per_s, rel=TOLERANCE_RATIO)


@pytest.mark.parametrize("tokens_per_s", [1_000.0, 36_000.0])
def test_engines_that_seem_slow_are_not_believed_to_be_slower_than_the_least(
    tokens_per_s: float,
) -> None:
    """Guards against orders that rise because first tokens wait while upstreams are lost."""
    speed = PrefillSpeed()
    feed(speed, tokens_per_s, waiting=0.0)
    assert speed.tokens_per_s == MIN_TOKENS_PER_S


def test_speed_follows_engines_that_are_replaced_by_others() -> None:
    speed = PrefillSpeed()
    feed(speed, 75_000.0, waiting=0.0)
    feed(speed, 150_000.0, waiting=0.0)
    assert speed.tokens_per_s == pytest.approx(150_000.0, rel=TOLERANCE_RATIO)


@pytest.mark.parametrize("tokens", [0, 300])
def test_prompts_of_one_size_tell_nothing(tokens: int) -> None:
    speed = PrefillSpeed()
    for _ in range(3 * SAMPLES_KEPT):
        speed.note(tokens, 0.1)
    assert speed.tokens_per_s == MIN_TOKENS_PER_S


def test_first_tokens_that_come_sooner_for_longer_prompts_are_not_believed() -> None:
    speed = PrefillSpeed()
    for number in range(3 * SAMPLES_KEPT):
        speed.note(1000 * (number % 8), 1.0 - 0.1 * (number % 8))
    assert speed.tokens_per_s == MIN_TOKENS_PER_S


def test_services_are_told_apart() -> None:
    speeds = PrefillSpeeds()
    fast, slow = ServiceName("fast"), ServiceName("slow")
    for number in range(SAMPLES_KEPT):
        tokens = 700 * (number % 9)
        speeds.note(fast, tokens, tokens / 100_000)
        speeds.note(slow, tokens, tokens / 60_000)
    assert speeds.tokens_per_s(fast) == pytest.approx(100_000)
    assert speeds.tokens_per_s(slow) == pytest.approx(60_000)
    assert speeds.tokens_per_s(ServiceName("new")) == MIN_TOKENS_PER_S
