"""Draws the faults of a run from its seed."""

import dataclasses
import enum
import random

LONGEST_S = 4.0
PAUSES_S = (0.05, 1.2)  # between the beginnings of two faults, so that they overlap


class Fault(enum.Enum):
    """What is done to the system from outside."""

    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"
    HUP = "hup"
    STORE_REFUSES = "store-refuses"
    STORE_LINK_DELAY = "store-link-delay"
    STORE_LINK_RESET = "store-link-reset"
    STORE_LINK_SILENT = "store-link-silent"
    STORE_LINK_CUT_UP = "store-link-cut-up"
    STORE_LINK_CUT_DOWN = "store-link-cut-down"
    UPSTREAM_LINK_DELAY = "upstream-link-delay"
    UPSTREAM_LINK_RESET = "upstream-link-reset"
    UPSTREAM_LINK_SILENT = "upstream-link-silent"
    UPSTREAM_LINK_CUT_UP = "upstream-link-cut-up"
    UPSTREAM_LINK_CUT_DOWN = "upstream-link-cut-down"
    UPSTREAM_LEAVES = "upstream-leaves"
    CONFIG = "config"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One fault; ``target`` picks the host or upstream, times are in seconds."""

    at_s: float
    fault: Fault
    target: int
    lasts_s: float


def draw(*, seed: int, seconds: float) -> list[Step]:
    """Return the faults of a run in the order in which they begin."""
    rng = random.Random(seed)
    steps = []
    at_s = 1.0
    while at_s < seconds:
        steps.append(
            Step(
                at_s=at_s,
                fault=rng.choice(list(Fault)),
                target=rng.randrange(1000),
                lasts_s=rng.uniform(0.2, LONGEST_S),
            )
        )
        at_s += rng.uniform(*PAUSES_S)
    return steps
