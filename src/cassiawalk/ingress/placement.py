"""Chooses the upstream for an attempt by what it would cost there.

The load it answers is the request's own: the prompt that is still to be read before its first
token, behind what waits there, beside those running.
"""

import collections.abc as cabc
import dataclasses

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.directory import Directory
from cassiawalk.ingress.directory import Upstream
from cassiawalk.ingress.holders import likely_cache_holder
from cassiawalk.ingress.holders import rendezvous_order
from cassiawalk.ingress.job import Job

READ_TOKENS_PER_S = 50_000.0
MISSING_WEIGHT = 3.0  # a part read anew also delays those behind, and takes the place of others
SLOWER_PER_REQUEST_S = 0.002  # what each running request adds to another's first token
QUEUED_REQUEST_S = 0.02  # what each request over an upstream's slots adds
FAR_S = 0.002
PAUSED_S = 5.0
LEAD_SHARE = 1.5  # requests at an upstream, as a share of its slots, before it counts as full


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """A chosen upstream with the inputs that decided it.

    :param cost: what the placements were compared by, in seconds.
    :param first_s: when the first token is expected.
    :param holder: another upstream that it may fetch the prompt's shared parts from.
    """

    upstream: Upstream
    cost: float
    first_s: float
    unread_tokens: int
    candidates: int
    holder: Upstream | None = None


class Placer:
    """Compares the service's upstreams; hosts agree on a prompt's homes by rendezvous order.

    :param fetches: returns whether a service's engines fetch prompt parts from one another.
    :param now: returns the true time in seconds since the epoch.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        failure_domain: FailureDomain,
        fetches: cabc.Callable[[ServiceName], bool],
        now: cabc.Callable[[], float],
    ) -> None:
        self._directory = directory
        self._failure_domain = failure_domain
        self._fetches = fetches
        self._now = now

    def place(self, job: Job) -> Placement | None:
        """Return the cheapest upstream that was not tried yet, or None if none takes work."""
        usable = self._usable(job.service, job.tried)
        if not usable:
            return None
        homes = rendezvous_order(job.demand.shared_prefix, usable)
        found = [self._estimate(upstream, job, homes, len(usable)) for upstream in usable]
        best = min(found, key=lambda placement: placement.cost)
        return dataclasses.replace(best, holder=self._holder(job, best.upstream))

    def _holder(self, job: Job, chosen: Upstream) -> Upstream | None:
        if not self._fetches(job.service):
            return None
        present = self._directory.all_for(job.service)
        return likely_cache_holder(job.demand.shared_prefix, chosen, present, self._now() * 1000)

    def has_room(self, placement: Placement) -> bool:
        """Return whether the chosen upstream can take the request soon."""
        upstream = placement.upstream
        return upstream.load.total < LEAD_SHARE * upstream.slots

    def _usable(self, service: ServiceName, tried: cabc.Set[UpstreamId]) -> list[Upstream]:
        present = self._directory.available_for(service)
        return [found for found in present if found.upstream_id not in tried]

    def _estimate(
        self, upstream: Upstream, job: Job, homes: cabc.Sequence[UpstreamId], candidates: int
    ) -> Placement:
        load = upstream.load
        shared = job.demand.shared_prefix
        missing = 0 if upstream.upstream_id in homes[:1] else load.uncached_tokens(shared)
        unread = job.unshared_tokens + missing
        waiting = load.own_pending_tokens + load.others_pending_tokens
        first_s = (unread + waiting) / READ_TOKENS_PER_S + load.total * SLOWER_PER_REQUEST_S
        if load.total >= upstream.slots:
            first_s += (load.total - upstream.slots + 1) * QUEUED_REQUEST_S
        if upstream.registration.failure_domain != self._failure_domain:
            first_s += FAR_S
        cost = first_s + (MISSING_WEIGHT - 1) * missing / READ_TOKENS_PER_S
        if upstream.health.paused:
            cost += PAUSED_S
        return Placement(
            upstream=upstream,
            cost=cost,
            first_s=first_s,
            unread_tokens=unread,
            candidates=candidates,
        )
