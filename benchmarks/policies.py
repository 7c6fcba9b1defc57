"""The routing and admission policies that the benchmarks compare."""

import abc
import dataclasses
import random

from benchmarks.workloads import ENGINE_POOL
from benchmarks.workloads import Deployment
from cassiawalk.admission import AdmissionGate
from cassiawalk.admission import Scheduler
from cassiawalk.admission.gate import LOOSE_SLACK
from cassiawalk.admission.gate import TIGHT_SLACK
from cassiawalk.clock import Clock
from cassiawalk.control.state import Pool
from cassiawalk.control.state import PoolType
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.routing import Choice
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView
from cassiawalk.routing.router import CHOICES
from cassiawalk.routing.router import DEFERRABLE_SHARE
from cassiawalk.routing.router import QUEUE_SHARE
from cassiawalk.routing.score import Estimate
from cassiawalk.routing.score import ScoreWeights


@dataclasses.dataclass(frozen=True, kw_only=True)
class PolicyComponents:
    """The scheduler and admission gate of one host."""

    scheduler: Scheduler
    gate: AdmissionGate


class Policy(abc.ABC):
    """Builds the scheduler and admission gate of a host."""

    name: str

    @abc.abstractmethod
    def build(
        self, *, table: UpstreamTable, clock: Clock, rng: random.Random, deployment: Deployment
    ) -> PolicyComponents:
        """Return the components."""


NO_ESTIMATE = Estimate(wait_s=0.0, prefill_s=0.0, hold_s=0.0, score=0.0)


class BaselineRouter(Router):
    """Base class of the baselines: limits a host's requests at an upstream to its slot count."""

    def __init__(self, *, table: UpstreamTable, rng: random.Random) -> None:
        super().__init__(table=table, rng=rng)
        self.table = table
        self.rng = rng

    def choose(
        self, record: RequestRecord, *, exclude: frozenset[UpstreamId] = frozenset()
    ) -> Choice | None:
        usable = [view for view in self.table.in_pool(record.pool) if view.takes_work]
        preferred = [view for view in usable if view.upstream_id not in exclude]
        free = [view for view in preferred or usable if len(view.own_running) < view.slots]
        return Choice(upstream=self.pick(free), estimate=NO_ESTIMATE) if free else None

    def pick(self, free: list[UpstreamView]) -> UpstreamView:
        raise NotImplementedError


class RoundRobin(BaselineRouter):
    """Picks the upstreams in turn."""

    _pick_count = 0

    def pick(self, free: list[UpstreamView]) -> UpstreamView:
        self._pick_count += 1
        return free[self._pick_count % len(free)]


class LeastReported(BaselineRouter):
    """Picks the upstream with the lowest reported load."""

    def pick(self, free: list[UpstreamView]) -> UpstreamView:
        return min(free, key=_reported_requests)


class RandomTwo(BaselineRouter):
    """Picks the one of two random upstreams that runs fewer requests of this host.

    The first version of the product did so.
    """

    def pick(self, free: list[UpstreamView]) -> UpstreamView:
        return min(self.rng.sample(free, min(2, len(free))), key=lambda v: len(v.own_running))


def _reported_requests(view: UpstreamView) -> int:
    return 0 if view.report is None else view.report.running + view.report.waiting


class QueueOnlyGate(AdmissionGate):
    """Baseline that refuses only if the queue is full, so that requests may expire in the queue."""

    def check(self, record: RequestRecord) -> Refusal | None:
        return self._scheduler.refusal(record)


class RouterPolicy(Policy):
    """A baseline router, and admission that refuses only if the queue is full."""

    def __init__(self, *, name: str, router: type[BaselineRouter]) -> None:
        self.name = name
        self._router = router

    def build(
        self, *, table: UpstreamTable, clock: Clock, rng: random.Random, deployment: Deployment
    ) -> PolicyComponents:
        router = self._router(table=table, rng=rng)
        scheduler = Scheduler(table=table, router=router, clock=clock)
        return PolicyComponents(
            scheduler=scheduler, gate=QueueOnlyGate(scheduler=scheduler, clock=clock)
        )


class ProductPolicy(Policy):
    """The product's routing and admission, changed by the given parameters.

    :param predict: whether requests that can't be served in time are refused; otherwise only a
        full queue refuses.
    :param correct_waits: whether expected waits are corrected by the measured waits.

    The other parameters are those of ``Router`` and ``AdmissionGate``.
    """

    def __init__(
        self,
        *,
        name: str,
        weights: ScoreWeights | None = None,
        choices: int = CHOICES,
        queue_share: float = QUEUE_SHARE,
        loose_slack: float | None = LOOSE_SLACK,
        tight_slack: float = TIGHT_SLACK,
        predict: bool = True,
        correct_waits: bool = True,
        deferrable_share: float = DEFERRABLE_SHARE,
    ) -> None:
        self._deferrable_share = deferrable_share
        self._correct_waits = correct_waits
        self.name = name
        self._loose_slack = loose_slack
        self._tight_slack = tight_slack
        self._predict = predict
        self._weights = weights or ScoreWeights()
        self._choices = choices
        self._queue_share = queue_share

    def build(
        self, *, table: UpstreamTable, clock: Clock, rng: random.Random, deployment: Deployment
    ) -> PolicyComponents:
        pool = Pool(
            type=PoolType.ENGINE,
            cost_weight=deployment.cost_weight,
            recompute_weight=deployment.recompute_weight,
        )
        router = Router(
            table=table,
            rng=rng,
            weights=self._weights,
            pools=lambda: {PoolName(ENGINE_POOL): pool},
            choices=self._choices,
            queue_share=self._queue_share,
            deferrable_share=self._deferrable_share,
        )
        scheduler = Scheduler(
            table=table, router=router, clock=clock, correct_waits=self._correct_waits
        )
        gate_type = AdmissionGate if self._predict else QueueOnlyGate
        gate = gate_type(
            scheduler=scheduler,
            clock=clock,
            rng=rng,
            loose_slack=self._loose_slack,
            tight_slack=self._tight_slack,
        )
        return PolicyComponents(scheduler=scheduler, gate=gate)


POLICIES: dict[str, Policy] = {
    policy.name: policy
    for policy in (
        RouterPolicy(name="round-robin", router=RoundRobin),
        RouterPolicy(name="least-reported", router=LeastReported),
        RouterPolicy(name="random-two", router=RandomTwo),
        ProductPolicy(name="product"),
        ProductPolicy(name="queue-only", predict=False),
        ProductPolicy(name="uncorrected", correct_waits=False),
        ProductPolicy(name="slack-1", loose_slack=1.0, tight_slack=1.0),
        ProductPolicy(name="deadline-only", loose_slack=None),
        ProductPolicy(name="held-none", deferrable_share=99.0),
        ProductPolicy(name="held-0.7", deferrable_share=0.7),
        ProductPolicy(name="held-0.85", deferrable_share=0.85),
        ProductPolicy(name="held-1.3", deferrable_share=1.3),
        ProductPolicy(name="tight-0.25", tight_slack=0.25),
        ProductPolicy(name="tight-1", tight_slack=1.0),
        ProductPolicy(name="loose-4", loose_slack=4.0),
        ProductPolicy(name="slack-1.5", loose_slack=1.5, tight_slack=1.5),
        ProductPolicy(name="slack-2", loose_slack=2.0, tight_slack=2.0),
        ProductPolicy(name="slack-0.7", loose_slack=0.7, tight_slack=0.7),
        ProductPolicy(name="lead-4", queue_share=4.0),
        ProductPolicy(name="lead-0.25", queue_share=0.25),
        ProductPolicy(name="lead-1", queue_share=1.0),
        ProductPolicy(name="choices-2", choices=2),
        ProductPolicy(name="choices-all", choices=99),
        ProductPolicy(name="no-affinity", weights=ScoreWeights(prefill=0.0)),
        ProductPolicy(name="trust-reports", weights=ScoreWeights(report_decay_s=1000.0)),
        ProductPolicy(name="busy-1", weights=ScoreWeights(busy=1.0)),
        ProductPolicy(name="prefill-0.5", weights=ScoreWeights(prefill=0.5)),
        ProductPolicy(name="trust-none", weights=ScoreWeights(report_decay_s=0.01)),
    )
}
