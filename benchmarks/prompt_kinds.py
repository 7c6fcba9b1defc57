"""Kinds of requests with shared prompt parts, and the load that is made of them."""

import dataclasses

from benchmarks.batch_engine import EngineModel


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of request; ``things`` is how many prompts share a part each."""

    name: str
    per_s: float
    shared: int
    own: int
    things: int
    output: int
    aim_s: float
    urgency: int


# The grown deployment of the chain-of-custody fleet, from its sheet and as it is played.
KINDS = (
    Kind(
        name="review",
        per_s=30,
        shared=13_300,
        own=3720,
        things=529,
        output=120,
        aim_s=1.06,
        urgency=1,
    ),
    Kind(
        name="trace",
        per_s=23,
        shared=6300,
        own=2890,
        things=576,
        output=52,
        aim_s=0.845,
        urgency=0,
    ),
    Kind(
        name="question",
        per_s=32,
        shared=350,
        own=1110,
        things=361,
        output=172,
        aim_s=0.626,
        urgency=2,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """Engines that come, or are taken back after a notice, at a time in seconds."""

    at_s: float
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What is played."""

    hosts: int = 89
    engines: int = 30
    seconds: float = 30.0
    kinds: tuple[Kind, ...] = KINDS
    changes: tuple[Change, ...] = ()
    fetches_prefixes: bool = True
    model: EngineModel = EngineModel()
    seed: int = 1
