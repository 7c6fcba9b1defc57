"""Request kinds with shared prompt prefixes, and the parameters of a simulated load."""

import dataclasses

from benchmarks.batch_engine import EngineModel
from benchmarks.fleet_simulation import HEARTBEAT_DELAY_S
from benchmarks.noise import NoiseModel


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptKind:
    """One request kind whose prompts consist of a shared prefix and a unique rest.

    :param requests_per_s: the arrival rate over all hosts.
    :param prefix_tokens: the size of the shared prefix.
    :param unique_tokens: the size of the rest of the prompt.
    :param prefixes: the number of different shared prefixes.
    :param output_tokens: the size of the answer.
    :param target_s: the latency target of the first token, in seconds.
    :param urgency: requests with lower values are prefilled first.
    """

    name: str
    requests_per_s: float
    prefix_tokens: int
    unique_tokens: int
    prefixes: int
    output_tokens: int
    target_s: float
    urgency: int


# The chain-of-custody deployment after its growth, with the figures of its data sheet and of the
# simulated day.
KINDS = (
    PromptKind(
        name="review",
        requests_per_s=30,
        prefix_tokens=13_300,
        unique_tokens=3720,
        prefixes=529,
        output_tokens=120,
        target_s=1.06,
        urgency=1,
    ),
    PromptKind(
        name="trace",
        requests_per_s=23,
        prefix_tokens=6300,
        unique_tokens=2890,
        prefixes=576,
        output_tokens=52,
        target_s=0.845,
        urgency=0,
    ),
    PromptKind(
        name="question",
        requests_per_s=32,
        prefix_tokens=350,
        unique_tokens=1110,
        prefixes=361,
        output_tokens=172,
        target_s=0.626,
        urgency=2,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineChange:
    """Engines that start or are reclaimed.

    :param at_s: the time of the start or of the reclaim notice, in seconds from the run's start.
    :param count: the number of engines; negative if they are reclaimed.
    """

    at_s: float
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Parameters of one simulated load.

    :param hosts: the number of hosts that place requests.
    :param engines: the number of engines at the start.
    :param fetches_prefixes: whether engines fetch shared prefixes from one another.
    :param slow_one_in: one in so many engines takes ``SLOW_FACTOR`` times as long; 0 for none.
    :param noise: how neighbours slow the engines at times, or None.
    :param reports: whether the engines state their load and pace in the heads of their answers.
    :param heartbeat_delay_s: the age of what hosts hear of each other's load, in seconds.
    :param plans_steps: whether the engines are ``PlannedEngine``.
    :param prefix_estimate: whether hosts place prompts by the estimate of prefixes.
    :param shares_memory: whether the engines are ``MemoryEngine``.
    """

    hosts: int = 89
    engines: int = 30
    duration_s: float = 30.0
    kinds: tuple[PromptKind, ...] = KINDS
    changes: tuple[EngineChange, ...] = ()
    fetches_prefixes: bool = True
    model: EngineModel = EngineModel()
    seed: int = 1
    slow_one_in: int = 0
    noise: NoiseModel | None = None
    reports: bool = True
    heartbeat_delay_s: float = HEARTBEAT_DELAY_S
    plans_steps: bool = False
    shares_memory: bool = False
    prefix_estimate: bool = False
