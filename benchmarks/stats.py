"""Figures of one run and their summary over seeds."""

import collections.abc as cabc
import dataclasses
import statistics

from benchmarks.bed import Ask
from benchmarks.bed import Bed


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


def figures(bed: Bed) -> Figures:
    """Return the figures of a finished run."""
    asks = bed.asks
    engines = list(bed.connector.engines.values())
    good = sum(_worth(ask) for ask in asks if ask.in_target)
    firsts = sorted(ask.first_s for ask in asks if ask.first_s is not None) or [0.0]
    quick = sorted(
        ask.first_s
        for ask in asks
        if ask.first_s is not None and ask.arrival.spec.kind.deadline_s <= 10.0
    ) or [0.0]
    must = [ask for ask in asks if ask.arrival.spec.kind.mode.value == "must_arrive"]
    return Figures(
        answered=good / sum(_worth(ask) for ask in asks),
        cost=1000 * bed.price_s / 3600 / max(good, 1.0),
        computed=sum(engine.usage.computed for engine in engines) / len(asks),
        recomputed=sum(engine.usage.resumed for engine in engines) / len(asks),
        p50_s=_quantile(firsts, 0.5),
        p95_s=_quantile(firsts, 0.95),
        p99_s=_quantile(firsts, 0.99),
        refused=sum(ask.refused for ask in asks) / len(asks),
        given_up=sum(ask.given_up for ask in asks) / len(asks),
        unanswered=sum(not ask.complete for ask in asks) / len(asks),
        must_arrive=sum(ask.complete for ask in must) / max(1, len(must)),
        worst_share=_worst_share(bed, asks),
        retries=sum(ask.retries for ask in asks) / len(asks),
        quick_p95_s=_quantile(quick, 0.95),
    )


def _worth(ask: Ask) -> float:
    return ask.arrival.spec.kind.weight


def _quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _worst_share(bed: Bed, asks: list[Ask]) -> float:
    """Return the least of what a workspace got over what it was entitled to."""
    total = sum(_worth(ask) for ask in asks if ask.in_target)
    shares = {name: share for name, _, share in bed.deployment.workspaces}
    worst = 1.0
    for name, share in shares.items():
        own = [ask for ask in asks if ask.arrival.workspace == name]
        entitled = min(sum(_worth(ask) for ask in own), total * share / sum(shares.values()))
        if entitled > 0:
            worst = min(worst, sum(_worth(ask) for ask in own if ask.in_target) / entitled)
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
