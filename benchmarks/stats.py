"""Figures of one run and their summary over seeds."""

import collections.abc as cabc
import dataclasses
import statistics

from benchmarks.simulation import CallerRequest
from benchmarks.simulation import Simulation


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures of one run, as callers and customers see it.

    Requests are weighted by their kind in ``answered``, ``cost`` and ``worst_share``.

    :param answered: the share of requests that were answered within target.
    :param cost: the price of the hosts for 1,000 requests answered within target.
    :param computed: the prompt and answer tokens that engines prefilled, per request.
    :param recomputed: the prompt and answer tokens, per request, that were computed although an
        engine had computed them before.
    :param p50_s: the median time to the first text or to a plain service's answer, in seconds.
    :param refused: the submissions, per request, that failed before the request was run.
    :param given_up: the submissions, per request, that failed after it may have been run.
    :param unanswered: the share of requests without a whole answer.
    :param must_arrive: the share of must-arrive requests with a whole answer.
    :param worst_share: the lowest ratio, over workspaces, of what was answered within target to
        what the workspace was entitled to.
    :param retries: the hosts' retries per request.
    :param quick_p95_s: the 95th percentile for kinds with deadlines of at most 10 s, in seconds.
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
    answered_weight = sum(_weight(req) for req in requests if req.within_target)
    response_times = sorted(
        req.response_time_s for req in requests if req.response_time_s is not None
    ) or [0.0]
    quick = sorted(
        req.response_time_s
        for req in requests
        if req.response_time_s is not None and req.arrival.spec.kind.deadline_s <= 10.0
    ) or [0.0]
    must_arrive = [req for req in requests if req.arrival.spec.kind.mode.value == "must_arrive"]
    return Figures(
        answered=answered_weight / sum(_weight(req) for req in requests),
        cost=1000 * simulation.price_s / 3600 / max(answered_weight, 1.0),
        computed=sum(engine.usage.computed_tokens for engine in engines) / len(requests),
        recomputed=sum(engine.usage.recomputed_tokens for engine in engines) / len(requests),
        p50_s=_quantile(response_times, 0.5),
        p95_s=_quantile(response_times, 0.95),
        p99_s=_quantile(response_times, 0.99),
        refused=sum(req.refused for req in requests) / len(requests),
        given_up=sum(req.given_up for req in requests) / len(requests),
        unanswered=sum(not req.complete for req in requests) / len(requests),
        must_arrive=sum(req.complete for req in must_arrive) / max(1, len(must_arrive)),
        worst_share=_worst_share(simulation, requests),
        retries=sum(req.retries for req in requests) / len(requests),
        quick_p95_s=_quantile(quick, 0.95),
    )


def _weight(req: CallerRequest) -> float:
    return req.arrival.spec.kind.weight


def _quantile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _worst_share(simulation: Simulation, requests: list[CallerRequest]) -> float:
    """Return the lowest ratio of answered to entitled weight over all workspaces.

    A workspace is entitled to its share of all requests answered within target, but to no more
    than it sent.
    """
    total = sum(_weight(req) for req in requests if req.within_target)
    shares = {name: share for name, _, share in simulation.deployment.workspaces}
    worst = 1.0
    for name, share in shares.items():
        own_requests = [req for req in requests if req.arrival.workspace == name]
        entitled = min(
            sum(_weight(req) for req in own_requests), total * share / sum(shares.values())
        )
        if entitled > 0:
            worst = min(
                worst, sum(_weight(req) for req in own_requests if req.within_target) / entitled
            )
    return worst


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """The median and range of a figure over seeds."""

    median: float
    low: float
    high: float


def spreads(runs: cabc.Sequence[Figures]) -> dict[str, Spread]:
    """Return the spread of each figure by its name."""
    spreads_by_figure = {}
    for field in dataclasses.fields(Figures):
        values = [getattr(run, field.name) for run in runs]
        spreads_by_figure[field.name] = Spread(
            median=statistics.median(values), low=min(values), high=max(values)
        )
    return spreads_by_figure
