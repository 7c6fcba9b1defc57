"""Chooses the upstream with the lowest estimated cost for an attempt.

The estimate is based on the time to the first token. This time grows with the request's uncached
prompt tokens, the prefill that is pending at the upstream, and the requests that run there. For
requests without a prompt see ``spreading``.
"""

import collections.abc as cabc
import dataclasses
import math
import random
import statistics

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.holders import likely_cache_holder
from cassiawalk.ingress.holders import rendezvous_order
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.placementresult import Choice
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.prefixview import PrefixChoice
from cassiawalk.ingress.prefixview import PrefixEstimator
from cassiawalk.ingress.prefixview import PrefixView
from cassiawalk.ingress.replicas import PrefixDemand
from cassiawalk.ingress.spreading import choose_equal
from cassiawalk.ingress.spreading import spread
from cassiawalk.ingress.versions import VersionChooser
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.upstream import Upstream

PREFILL_TOKENS_PER_S = 50_000.0  # until enough first tokens were seen
# What a first token takes besides its prefill, as prompt tokens: the steps of the engine.
OVERHEAD_TOKENS = 500
# Of the prompt tokens, the pending ones of other requests may be so many that the time to a first
# token still tells how fast the upstream is.
MAX_PENDING_RATIO = 0.5
# Prefilling a shared part again also delays the requests behind it and evicts other cached parts.
UNCACHED_WEIGHT = 3.0
RUNNING_REQUEST_DELAY_S = 0.002  # added to a first token by each running request
# Other hosts' requests count from this part of the slots on. What is known of them is old, and all
# hosts would choose the upstream that has a few less.
BUSY_RATIO = 0.5
SLOT_TIME_S = 1.3  # for which an answer keeps its slot, so that slots / this are freed in a second
CROSS_DOMAIN_DELAY_S = 0.002
# Costs that differ by less are equal. Most of a difference is from reports that are older than the
# queue that they tell of: all hosts would choose the same upstream until the next report.
EQUAL_COST_S = 0.03
PAUSED_PENALTY_S = 5.0
MAX_REQUESTS_PER_SLOT = 1.5  # an engine with this many requests per slot counts as full
# Compared for each attempt, beside the preferred one. Hosts with the same reports would all choose
# the same upstream if they compared all of them.
SAMPLED_UPSTREAMS = 6


def prefill_s(tokens: int) -> float:
    """Return the expected time to prefill prompt tokens at an engine that is idle."""
    return tokens / PREFILL_TOKENS_PER_S


class Placer:
    """Compares some of a service's upstreams for each attempt.

    All hosts agree on the preferred upstream of a shared prefix, as they use the same rendezvous
    order.

    :param limit_of: returns the limit that an upstream's process names, or None.
    :param fetches_prefixes: returns whether engines of a service fetch prefixes from one another.
    :param now: returns the corrected time in seconds since the epoch.
    :param prefix_demand: tells over how many upstreams a prefix is spread; None spreads none.
    :param prefix_estimator: compares cached prefixes, fetches and prefills by one estimate; None
        decides on a fetch after the upstream is chosen.
    :param versions: chooses the version of the service; None if there are no rollouts.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        failure_domain: FailureDomain,
        fetches_prefixes: cabc.Callable[[ServiceName], bool],
        now: cabc.Callable[[], float],
        rng: random.Random,
        limit_of: cabc.Callable[[str], float | None] = lambda _: None,
        prefix_demand: PrefixDemand | None = None,
        prefix_estimator: PrefixEstimator | None = None,
        versions: VersionChooser | None = None,
    ) -> None:
        self._prefix_estimator = prefix_estimator
        self._versions = versions
        self._prefix_demand = prefix_demand
        self._limit_of = limit_of
        self._directory = directory
        self._failure_domain = failure_domain
        self._fetches_prefixes = fetches_prefixes
        self._now = now
        self._rng = rng

    def place(self, job: Job, *, excluded: cabc.Set[UpstreamId] = frozenset()) -> Placement | None:
        """Return the cheapest upstream that was not tried yet, or None if none accepts requests.

        :param excluded: upstreams that are not to be chosen.
        """
        usable = self._usable(job, excluded)
        if not usable:
            return None
        if not job.demand.parts:
            chosen = self._estimate(spread(usable, self._rng), job, (), len(usable))
            return dataclasses.replace(chosen, choice=Choice.SPREAD)
        order = rendezvous_order(job.demand.shared_prefix, usable)
        preferred = self._owners(job, order, usable)
        compared = self._sample(usable, preferred)
        usual_pending = statistics.median(found.load.others_pending_mean for found in compared)
        view = self._view(job, usable[0], order, preferred, usual_pending)
        found = [
            self._estimate(upstream, job, preferred, len(usable), usual_pending, view)
            for upstream in compared
        ]
        best = self._cheapest(found, preferred)
        if view is None:
            best = dataclasses.replace(best, holder=self._holder(job, best.upstream))
        return best if self._prefix_estimator is None else self._learning(best, job)

    def place_alone(
        self,
        job: Job,
        *,
        occupied: cabc.Set[UpstreamId],
        avoided: cabc.Set[FailureDomain],
        excluded: cabc.Set[UpstreamId] = frozenset(),
    ) -> Placement | None:
        """Return the upstream where the fewest other requests suffer if it dies, or None.

        :param occupied: upstreams to use only if there are no others.
        :param avoided: failure domains to use only if there are no others.
        :param excluded: upstreams that are not to be chosen.
        """
        usable = self._usable(job, excluded)
        if not usable:
            return None
        best = min(
            usable,
            key=lambda found: (
                found.upstream_id in occupied,
                found.health.paused,
                found.failure_domain in avoided,
                found.load.total,
            ),
        )
        return self._estimate(best, job, (), len(usable))

    def estimate(self, upstream: Upstream, job: Job) -> Placement:
        """Return the placement on a given upstream."""
        return self._estimate(upstream, job, (), 1)

    def _holder(self, job: Job, chosen: Upstream) -> Upstream | None:
        if not self._fetches_prefixes(job.service):
            return None
        upstreams = self._sources(chosen)
        return likely_cache_holder(job.demand.shared_prefix, chosen, upstreams, self._now() * 1000)

    def _sources(self, like: Upstream) -> list[Upstream]:
        """Return the upstreams that prefixes may be fetched from, those that leave included.

        :param like: an upstream of the service and version that the request goes to.
        """
        # A prefix that is fetched counts as a request to the upstream that has it.
        return [
            found
            for found in self._directory.all_for(like.registration.service)
            if self._limit_of(found.process) is None
            and (self._versions is None or _same_version(found, like))
        ]

    def _view(
        self,
        job: Job,
        like: Upstream,
        order: cabc.Sequence[UpstreamId],
        owners: cabc.Sequence[UpstreamId],
        usual_pending: float,
    ) -> PrefixView | None:
        if self._prefix_estimator is None:
            return None
        return self._prefix_estimator.view(
            job,
            self._sources(like),
            order=order,
            owners=owners,
            usual_pending=usual_pending,
        )

    def _learning(self, placement: Placement, job: Job) -> Placement:
        """Return a placement from which the estimate learns."""
        estimator = self._prefix_estimator
        assert estimator is not None
        return dataclasses.replace(
            placement,
            on_sent=lambda: estimator.note_sent(job, placement),
            on_fetched=lambda expected_s, took_s: estimator.note_fetched(job, expected_s, took_s),
        )

    def has_room(self, job: Job, placement: Placement) -> bool:
        """Return whether the chosen upstream may get one more request at all.

        Whether it would start it in time is decided in ``waiting``.
        """
        if job.demand.parts or placement.permit is not None:
            upstream = placement.upstream
            return upstream.load.total < MAX_REQUESTS_PER_SLOT * upstream.slots
        return True

    def _owners(
        self, job: Job, order: list[UpstreamId], usable: cabc.Sequence[Upstream]
    ) -> list[UpstreamId]:
        """Return the upstreams that are to have the job's shared prefix cached.

        It is the first of the rendezvous order, and as many more as the prefix's demand needs.
        """
        if not order or self._prefix_demand is None:
            return order[:1]
        prefix = job.demand.shared_prefix[-1].part_id
        if not job.is_prefix_counted:  # a request that waits is placed again and again
            job.is_prefix_counted = True
            self._prefix_demand.note(prefix)
        cost_s = usable[0].speed.usual_cost_s or 1 / PREFILL_TOKENS_PER_S
        work_s = (OVERHEAD_TOKENS + job.unshared_tokens) * cost_s
        return order[: self._prefix_demand.replicas(prefix, work_s)]

    def _cheapest(
        self, found: cabc.Sequence[Placement], preferred: cabc.Sequence[UpstreamId]
    ) -> Placement:
        """Return the placement with the lowest cost.

        Differences below ``EQUAL_COST_S`` are not known so exactly. Of equal placements the one on
        the preferred upstream is taken, or else one by own requests and speed.
        """
        least = min(found, key=lambda placement: placement.cost)
        equal = {
            placement.upstream.upstream_id: placement
            for placement in found
            if placement.cost <= least.cost + EQUAL_COST_S and not placement.is_full
        }
        if not equal:
            return dataclasses.replace(least, choice=Choice.CHEAPEST)
        owners = [equal[name].upstream for name in preferred if name in equal]
        if owners:
            chosen = owners[0] if len(owners) == 1 else choose_equal(owners, self._rng)
            return dataclasses.replace(equal[chosen.upstream_id], choice=Choice.PREFERRED)
        chosen = choose_equal([placement.upstream for placement in equal.values()], self._rng)
        return dataclasses.replace(equal[chosen.upstream_id], choice=Choice.EQUAL)

    def _sample(
        self, usable: cabc.Sequence[Upstream], preferred: cabc.Sequence[UpstreamId]
    ) -> list[Upstream]:
        """Return the preferred upstreams and a few others."""
        if len(usable) <= SAMPLED_UPSTREAMS:
            return list(usable)
        first = [found for found in usable if found.upstream_id in preferred]
        return first + self._rng.sample(usable, SAMPLED_UPSTREAMS)

    def permitted(self, job: Job, upstreams: list[Upstream]) -> list[Upstream]:
        """Return those of the upstreams whose version the job may go to."""
        return upstreams if self._versions is None else self._versions.choose(job, upstreams)

    def _usable(self, job: Job, excluded: cabc.Set[UpstreamId]) -> list[Upstream]:
        upstreams = self._directory.available_for(job.service)
        not_tried = [
            found
            for found in upstreams
            if found.upstream_id not in job.tried and found.upstream_id not in excluded
        ]
        return self.permitted(job, not_tried)

    def _estimate(
        self,
        upstream: Upstream,
        job: Job,
        preferred: cabc.Sequence[UpstreamId],
        candidates: int,
        usual_pending: float = math.inf,
        view: PrefixView | None = None,
    ) -> Placement:
        """Estimate the time to the first token of a job on an upstream, and what it costs.

        :param usual_pending: the mean of pending tokens that other hosts report of the upstreams
            compared. All requests with a prefix that many have go to its preferred upstream; what
            that one has more than the others tells when it is too much.
        :param view: what is known of the shared prefix, if it is placed by the estimate.
        """
        load = upstream.load
        shared = job.demand.shared_prefix
        is_cached = view is not None or upstream.upstream_id in preferred
        uncached = 0 if is_cached else load.uncached_tokens(shared)
        prefill = job.unshared_tokens + uncached
        pace = load.pace
        slowness = upstream.speed.slowness * pace
        others = load.others_expected
        total = load.own + others
        if job.demand.parts:
            cost_s = upstream.speed.usual_cost_s or 1 / PREFILL_TOKENS_PER_S
            others_pending = load.others_pending_left(1 / (cost_s * slowness))
            if upstream.upstream_id in preferred:
                others_pending = max(others_pending, load.others_pending_mean - usual_pending)
            pending = load.own_pending_tokens + round(others_pending)
            first_s = (OVERHEAD_TOKENS + prefill + pending) * cost_s
        else:
            cost_s, pending = 0.0, 0
            first_s = upstream.speed.usual_cost_s or 0.0
        busy = load.own + max(0.0, others - BUSY_RATIO * upstream.slots)
        first_s = (first_s + busy * RUNNING_REQUEST_DELAY_S) * slowness
        wait_s = pending * cost_s * slowness
        is_full = total >= upstream.slots
        if is_full:
            slot_s = (total - upstream.slots + 1) * SLOT_TIME_S / upstream.slots
            first_s += slot_s
            wait_s += slot_s
        if upstream.registration.failure_domain != self._failure_domain:
            first_s += CROSS_DOMAIN_DELAY_S
        cost = first_s + (UNCACHED_WEIGHT - 1) * uncached * cost_s * slowness
        choice: PrefixChoice | None = None
        if view is not None:
            choice = view.choose(upstream, token_s=cost_s * slowness, wait_s=wait_s, requests=total)
            cost += choice.cost.cost_s
            first_s += choice.cost.delay_s
            prefill += choice.cost.uncached_tokens
            uncached = choice.cost.uncached_tokens
        # What the request itself takes longer on a slow upstream is no reason for another one: all
        # requests would go there. Slow upstreams are chosen less often, see ``choose_equal``.
        cost -= (OVERHEAD_TOKENS + job.unshared_tokens) * cost_s * (slowness - 1.0)
        if upstream.health.paused:
            cost += PAUSED_PENALTY_S
        return Placement(
            upstream=upstream,
            cost=cost,
            first_s=first_s,
            unread_tokens=prefill,
            pending_tokens=pending,
            candidates=candidates,
            slowness=slowness,
            pace=pace,
            work=_work(job, uncached, pending),
            is_full=is_full,
            wait_s=wait_s,
            prefix=None if choice is None else choice.cost,
            holder=None if choice is None else choice.holder,
        )


def _same_version(one: Upstream, other: Upstream) -> bool:
    return one.registration.service_version == other.registration.service_version


def _work(job: Job, uncached: int, pending: int) -> float | None:
    """Return the units of work that decide the time to a request's answer, see ``Placement``."""
    if not job.demand.parts:
        return None if job.demand.prompt_tokens else 1.0
    tokens = job.unshared_tokens + pending
    if uncached or pending > MAX_PENDING_RATIO * job.unshared_tokens:
        return None
    return OVERHEAD_TOKENS + tokens
