"""Figures of one run and their summary over seeds."""

import collections.abc as cabc
import dataclasses
import statistics

from benchmarks.simulation import CallerRequest
from benchmarks.simulation import Simulation


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """What users measure, of one run.

    ``answered`` is the part of the weighted requests that was answered within target. ``cost`` is
    the price of the hosts for each 1,000 weighted answers. ``recomputed`` counts prompt and answer
    tokens that were computed though an engine had held them, for each request.
    """

    answered: float
    cost: float
    computed: float
    recomputed: float
    p50_s: float
    p95_s: float
    p99_s: float
    refused: float
    given_up: float
    unanswered: float
    must_arrive: float
    worst_share: float
    retries: float
    quick_p95_s: float


def figures(simulation: Simulation) -> Figures:
    """Return the figures of a finished run."""
    requests = simulation.requests
    engines = list(simulation.connector.engines.values())
    good = sum(_worth(req) for req in requests if req.within_target)
    firsts = sorted(req.first_s for req in requests if req.first_s is not None) or [0.0]
    quick = sorted(
        req.first_s
        for req in requests
        if req.first_s is not None and req.arrival.spec.kind.deadline_s <= 10.0
    ) or [0.0]
    must = [req for req in requests if req.arrival.spec.kind.mode.value == "must_arrive"]
    return Figures(
        answered=good / sum(_worth(req) for req in requests),
        cost=1000 * simulation.price_s / 3600 / max(good, 1.0),
        computed=sum(engine.usage.computed for engine in engines) / len(requests),
        recomputed=sum(engine.usage.resumed for engine in engines) / len(requests),
        p50_s=_quantile(firsts, 0.5),
        p95_s=_quantile(firsts, 0.95),
        p99_s=_quantile(firsts, 0.99),
        refused=sum(req.refused for req in requests) / len(requests),
        given_up=sum(req.given_up for req in requests) / len(requests),
        unanswered=sum(not req.complete for req in requests) / len(requests),
        must_arrive=sum(req.complete for req in must) / max(1, len(must)),
        worst_share=_worst_share(simulation, requests),
        retries=sum(req.retries for req in requests) / len(requests),
        quick_p95_s=_quantile(quick, 0.95),
    )


def _worth(req: CallerRequest) -> float:
    return req.arrival.spec.kind.weight


def _quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _worst_share(simulation: Simulation, requests: list[CallerRequest]) -> float:
    """Return the least of what a workspace got over what it was entitled to."""
    total = sum(_worth(req) for req in requests if req.within_target)
    shares = {name: share for name, _, share in simulation.deployment.workspaces}
    worst = 1.0
    for name, share in shares.items():
        own = [req for req in requests if req.arrival.workspace == name]
        entitled = min(sum(_worth(req) for req in own), total * share / sum(shares.values()))
        if entitled > 0:
            worst = min(worst, sum(_worth(req) for req in own if req.within_target) / entitled)
    return worst


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """Median and range over seeds."""

    median: float
    low: float
    high: float


def spreads(runs: cabc.Sequence[Figures]) -> dict[str, Spread]:
    """Return the spread of each figure."""
    found = {}
    for field in dataclasses.fields(Figures):
        values = [getattr(run, field.name) for run in runs]
        found[field.name] = Spread(
            median=statistics.median(values), low=min(values), high=max(values)
        )
    return found
