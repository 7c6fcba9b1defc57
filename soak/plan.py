"""Generates the faults of a run from its seed; the same seed gives the same faults."""

import dataclasses
import enum
import random

MAX_FAULT_S = 4.0
# Between the starts of two faults; shorter than most faults, so that faults overlap.
FAULT_INTERVAL_RANGE_S = (0.05, 1.2)


class Fault(enum.Enum):
    """A fault that is injected from outside the host processes.

    ``TERM``, ``KILL``, ``PAUSE`` (SIGSTOP, then SIGCONT) and ``HUP`` are signals to a host. The
    ``LINK`` faults affect the connections of one host to the store, or of all hosts to one
    upstream. ``UPSTREAM_LEAVES`` drains an upstream for a while, and ``CONFIG`` publishes a new
    revision of the configuration. The order and the values stay as they are, because a seed must
    always give the same run.
    """

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
class PlannedFault:
    """One fault of a run.

    ``at_s`` is its start, in seconds from the start of the run. ``target`` selects the host,
    upstream or link, modulo their number.
    """

    at_s: float
    fault: Fault
    target: int
    duration_s: float


def plan_faults(*, seed: int, seconds: float) -> list[PlannedFault]:
    """Return the faults of a run, ordered by start time.

    :param seconds: the last fault starts before this time.
    """
    rng = random.Random(seed)
    planned = []
    at_s = 1.0
    while at_s < seconds:
        planned.append(
            PlannedFault(
                at_s=at_s,
                fault=rng.choice(list(Fault)),
                target=rng.randrange(1000),
                duration_s=rng.uniform(0.2, MAX_FAULT_S),
            )
        )
        at_s += rng.uniform(*FAULT_INTERVAL_RANGE_S)
    return planned
