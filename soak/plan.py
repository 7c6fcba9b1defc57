"""Generates the faults of a run from its seed; the same seed gives the same faults."""

import collections.abc as cabc
import dataclasses
import enum
import random

MAX_FAULT_S = 4.0
# Between the starts of two faults; shorter than most faults, so that faults overlap.
FAULT_INTERVAL_RANGE_S = (0.05, 1.2)
FLEET_FAULT_INTERVAL_RANGE_S = (0.3, 2.5)
LIMIT_FAULT_INTERVAL_RANGE_S = (2.0, 6.0)
UPSTREAM_FAULT_INTERVAL_RANGE_S = (0.5, 3.0)


class Fault(enum.Enum):
    """A fault that is injected from outside the host processes.

    ``TERM``, ``KILL``, ``PAUSE`` (SIGSTOP, then SIGCONT) and ``HUP`` are signals to a host. The
    ``LINK`` faults affect the connections of one host to the store, or of all hosts to one
    upstream. ``UPSTREAM_LEAVES`` drains an upstream for a while, and ``CONFIG`` publishes a new
    revision of the configuration. The order and the values stay as they are, because a seed must
    always give the same run; later faults are in ``FleetFault``.
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


class FleetFault(enum.Enum):
    """A fault that concerns several hosts at once; drawn apart from ``Fault``.

    The ``HOST_LINK`` faults affect the connections of all other hosts to one host. ``KILL_ALL``
    kills all hosts at the same moment. ``UPSTREAMS_REFUSE`` makes all upstreams reject requests.
    ``STORE_OLDER_COPY`` makes the store lose its newest records. ``CRASHING_REQUEST`` sends a
    request that crashes each upstream that runs it.
    """

    HOST_LINK_DELAY = "host-link-delay"
    HOST_LINK_RESET = "host-link-reset"
    HOST_LINK_SILENT = "host-link-silent"
    HOST_LINK_CUT_UP = "host-link-cut-up"
    HOST_LINK_CUT_DOWN = "host-link-cut-down"
    KILL_ALL = "kill-all"
    UPSTREAMS_REFUSE = "upstreams-refuse"
    STORE_OLDER_COPY = "store-older-copy"
    CRASHING_REQUEST = "crashing-request"


class UpstreamFault(enum.Enum):
    """A fault of what upstreams do with requests; drawn apart from the others.

    ``CRASHING_PART`` sends requests whose prompts have a part in common that crashes upstreams.
    ``SAYS_LEAVING`` makes an upstream say so in its answers, until it starts anew as another one.
    ``ASKS_FOR_TIME`` makes an upstream turn requests away and ask for time.
    """

    CRASHING_PART = "crashing-part"
    SAYS_LEAVING = "says-leaving"
    ASKS_FOR_TIME = "asks-for-time"


class LimitFault(enum.Enum):
    """A fault of the rate at which an upstream takes requests; drawn apart from the others.

    ``NAMES_LIMIT`` makes an upstream name a limit in its answers.
    """

    NAMES_LIMIT = "names-limit"


AnyFault = Fault | FleetFault | UpstreamFault | LimitFault


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedFault:
    """One fault of a run.

    ``at_s`` is its start, in seconds from the start of the run. ``target`` selects the host,
    upstream or link, modulo their number.
    """

    at_s: float
    fault: AnyFault
    target: int
    duration_s: float


def plan_faults(*, seed: int, seconds: float) -> list[PlannedFault]:
    """Return the faults of a run, ordered by start time.

    :param seconds: the last fault starts before this time.
    """
    planned = _draw(random.Random(seed), list(Fault), FAULT_INTERVAL_RANGE_S, seconds)
    fleet_rng = random.Random(f"fleet {seed}")
    planned += _draw(fleet_rng, list(FleetFault), FLEET_FAULT_INTERVAL_RANGE_S, seconds)
    upstream_rng = random.Random(f"upstreams {seed}")
    planned += _draw(upstream_rng, list(UpstreamFault), UPSTREAM_FAULT_INTERVAL_RANGE_S, seconds)
    limit_rng = random.Random(f"limits {seed}")
    planned += _draw(limit_rng, list(LimitFault), LIMIT_FAULT_INTERVAL_RANGE_S, seconds)
    return sorted(planned, key=lambda item: item.at_s)


def _draw(
    rng: random.Random,
    faults: cabc.Sequence[AnyFault],
    interval_range_s: tuple[float, float],
    seconds: float,
) -> list[PlannedFault]:
    planned = []
    at_s = 1.0
    while at_s < seconds:
        planned.append(
            PlannedFault(
                at_s=at_s,
                fault=rng.choice(faults),
                target=rng.randrange(1000),
                duration_s=rng.uniform(0.2, MAX_FAULT_S),
            )
        )
        at_s += rng.uniform(*interval_range_s)
    return planned
