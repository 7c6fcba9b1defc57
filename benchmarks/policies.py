"""Routing and admission policies that are compared in one run."""

import abc
import dataclasses
import random

from benchmarks.workloads import Deployment
from cassiawalk.admission import AdmissionGate
from cassiawalk.admission import Scheduler
from cassiawalk.clock import Clock
from cassiawalk.ids import UpstreamId
from cassiawalk.requests import RequestRecord
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView
from cassiawalk.routing.router import CHOICES
from cassiawalk.routing.router import LEAD_SHARE
from cassiawalk.routing.score import ScoreWeights


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decisions:
    """The deciding components of one host."""

    scheduler: Scheduler
    gate: AdmissionGate


class Policy(abc.ABC):
    """Builds the deciding components of a host."""

    name: str

    @abc.abstractmethod
    def build(
        self, *, table: UpstreamTable, clock: Clock, rng: random.Random, deployment: Deployment
    ) -> Decisions:
        """Return the components."""


class PlainRouter(Router):
    """A baseline: at most as many own requests on an upstream as it has slots."""

    def __init__(self, *, table: UpstreamTable, rng: random.Random) -> None:
        super().__init__(table=table, rng=rng)
        self.table = table
        self.rng = rng

    def choose(
        self, record: RequestRecord, *, exclude: frozenset[UpstreamId] = frozenset()
    ) -> UpstreamView | None:
        usable = [view for view in self.table.in_pool(record.pool) if view.takes_work]
        preferred = [view for view in usable if view.upstream_id not in exclude]
        free = [view for view in preferred or usable if len(view.own_running) < view.slots]
        return self.pick(free) if free else None

    def pick(self, free: list[UpstreamView]) -> UpstreamView:
        raise NotImplementedError


class RoundRobin(PlainRouter):
    """Takes the upstreams in turn."""

    _turn = 0

    def pick(self, free: list[UpstreamView]) -> UpstreamView:
        self._turn += 1
        return free[self._turn % len(free)]


class LeastReported(PlainRouter):
    """Takes the upstream with the least reported load."""

    def pick(self, free: list[UpstreamView]) -> UpstreamView:
        return min(free, key=_reported)


class RandomTwo(PlainRouter):
    """Takes the less loaded of two by own requests: the first version of the product."""

    def pick(self, free: list[UpstreamView]) -> UpstreamView:
        return min(self.rng.sample(free, min(2, len(free))), key=lambda v: len(v.own_running))


def _reported(view: UpstreamView) -> int:
    return 0 if view.report is None else view.report.running + view.report.waiting


class RouterPolicy(Policy):
    """The product's admission with a baseline router."""

    def __init__(self, *, name: str, router: type[PlainRouter]) -> None:
        self.name = name
        self._router = router

    def build(
        self, *, table: UpstreamTable, clock: Clock, rng: random.Random, deployment: Deployment
    ) -> Decisions:
        router = self._router(table=table, rng=rng)
        scheduler = Scheduler(table=table, router=router, clock=clock)
        return Decisions(scheduler=scheduler, gate=AdmissionGate(scheduler=scheduler, clock=clock))


class ProductPolicy(Policy):
    """The product's own routing, with one part changed where parameters say so."""

    def __init__(
        self,
        *,
        name: str,
        weights: ScoreWeights | None = None,
        choices: int = CHOICES,
        lead_share: float = LEAD_SHARE,
    ) -> None:
        self.name = name
        self._weights = weights or ScoreWeights()
        self._choices = choices
        self._lead_share = lead_share

    def build(
        self, *, table: UpstreamTable, clock: Clock, rng: random.Random, deployment: Deployment
    ) -> Decisions:
        weights = dataclasses.replace(
            self._weights,
            price=self._weights.price * deployment.cost_weight,
            recompute=self._weights.recompute * deployment.recompute_weight,
        )
        router = Router(
            table=table,
            rng=rng,
            weights=weights,
            choices=self._choices,
            lead_share=self._lead_share,
        )
        scheduler = Scheduler(table=table, router=router, clock=clock)
        return Decisions(scheduler=scheduler, gate=AdmissionGate(scheduler=scheduler, clock=clock))


POLICIES: dict[str, Policy] = {
    policy.name: policy
    for policy in (
        RouterPolicy(name="round-robin", router=RoundRobin),
        RouterPolicy(name="least-reported", router=LeastReported),
        RouterPolicy(name="random-two", router=RandomTwo),
        ProductPolicy(name="product"),
        ProductPolicy(name="lead-0.25", lead_share=0.25),
        ProductPolicy(name="lead-1", lead_share=1.0),
        ProductPolicy(name="choices-2", choices=2),
        ProductPolicy(name="choices-all", choices=99),
        ProductPolicy(name="no-affinity", weights=ScoreWeights(prefill=0.0)),
        ProductPolicy(name="trust-reports", weights=ScoreWeights(trust_s=1000.0)),
        ProductPolicy(name="trust-none", weights=ScoreWeights(trust_s=0.01)),
    )
}
