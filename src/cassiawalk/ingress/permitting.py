"""Places requests so that upstreams that name a limit get no more than that from all hosts.

A limit is capacity: an upstream is a candidate only while a permit for it may be had. If none is to
be had, the request goes to an upstream without a limit, or is refused at once.
"""

import collections.abc as cabc
import dataclasses
import random

from cassiawalk.clock import Clock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.budgets import LentRetries
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.placement import Placer
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ratelimits import Permit
from cassiawalk.ratelimits import Permits
from cassiawalk.ratelimits.lender import MIN_RATE_PER_S
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.upstream import Upstream

MAX_RETURN_S = 5.0  # from a refusal until its caller is asked to come back
MIN_RETURN_S = 0.1


class PermittedPlacer:
    """Chooses upstreams and borrows the permits that they need.

    :param hosts: returns the number of hosts, among which the room of limited upstreams is shared.
    """

    def __init__(
        self,
        *,
        placer: Placer,
        permits: Permits,
        directory: Directory,
        hosts: cabc.Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._placer = placer
        self._permits = permits
        self._directory = directory
        self._hosts = hosts
        self._clock = clock
        self._rng = rng
        self._next_return_at: dict[ServiceName, float] = {}

    async def place(self, job: Job) -> Placement | None:
        """Return where to send a request, with a permit if the upstream needs one, or None."""
        limited = self._limited(job.service)
        if not limited:
            return self._placer.place(job)
        closed = self._closed(limited)
        placement = self._placer.place(job, excluded=closed)
        if placement is None or placement.upstream not in limited:
            return placement
        permit = await self._permits.take(job.service, self._wanted(job, placement, limited))
        if permit is None:
            excluded = {found.upstream_id for found in limited}
            return self._placer.place(job, excluded=excluded)
        chosen = next(found for found in limited if found.process == permit.process)
        return dataclasses.replace(self._placer.estimate(chosen, job), permit=permit)

    def is_limited(self, service: ServiceName) -> bool:
        """Return whether upstreams of a service name limits, so that placing needs permits."""
        return bool(self._limited(service))

    def place_now(self, job: Job) -> Placement | None:
        """Return where to send a request of a service that is not limited, or None."""
        return self._placer.place(job)

    def place_alone(
        self,
        job: Job,
        *,
        occupied: cabc.Set[UpstreamId],
        avoided: cabc.Set[FailureDomain],
    ) -> Placement | None:
        """Return where a suspect request may run alone, see ``Placer.place_alone``.

        Upstreams without a limit are preferred. For one with a limit see ``permit``.
        """
        limited = self._limited(job.service)
        without = {found.upstream_id for found in limited}
        placement = self._placer.place_alone(
            job, occupied=occupied, avoided=avoided, excluded=without
        )
        if placement is not None or not limited:
            return placement
        return self._placer.place_alone(
            job, occupied=occupied, avoided=avoided, excluded=self._closed(limited)
        )

    async def permit(self, job: Job, placement: Placement) -> Placement | None:
        """Return a placement with the permit that its upstream needs; None if there is none."""
        process = placement.upstream.process
        if self._permits.limit_of(process) is None:
            return placement
        permit = await self._permits.take(job.service, (process,))
        return None if permit is None else dataclasses.replace(placement, permit=permit)

    async def may_check(self, upstream: Upstream) -> bool:
        """Return whether a health check may be sent to an upstream now; it counts as a request."""
        process = upstream.process
        if self._permits.limit_of(process) is None:
            return True
        if self._permits.open_in_s(process) > 0.0:
            return False
        return await self._permits.take(upstream.registration.service, (process,)) is not None

    async def borrow_repeat(self, job: Job, lent: LentRetries) -> bool:
        """Return whether a request may be sent once more out of what is lent for repeats."""
        if lent.rate_per_s <= 0.0:
            return False
        name = f"repeats/{job.service}"
        return await self._permits.borrow(name, lent.rate_per_s, ready=lent.ready)

    def covers(self, permit: Permit | None, upstream: Upstream) -> bool:
        """Return whether a request with this permit, or none, may be sent to an upstream now."""
        return self._permits.covers(permit, upstream.process)

    def has_room(self, job: Job, placement: Placement) -> bool:
        """Return whether the chosen upstream can start the request soon enough."""
        return self._placer.has_room(job, placement)

    def return_after_s(self, job: Job) -> float | None:
        """Return when a refused caller should come back, if only limits keep it from being served.

        Callers of this host return one after the other, as fast as its part of the room comes up;
        those beyond ``MAX_RETURN_S`` at random within that time. None if there is another reason.
        """
        limited = self._limited(job.service)
        if not limited:
            return None
        now = self._clock.monotonic()
        rates = [self._permits.limit_of(found.process) or 0.0 for found in limited]
        step_s = self._hosts() / max(MIN_RATE_PER_S, sum(rates))
        open_in_s = min(self._permits.open_in_s(found.process) for found in limited)
        at = max(now + open_in_s, self._next_return_at.get(job.service, 0.0)) + step_s
        if at > now + MAX_RETURN_S:
            return self._rng.uniform(min(MAX_RETURN_S, open_in_s + MIN_RETURN_S), MAX_RETURN_S)
        self._next_return_at[job.service] = at
        return max(MIN_RETURN_S, at - now - step_s * self._rng.random())

    def _limited(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that accept requests and name a limit."""
        if not self._permits.any_limit:
            return []
        available = self._directory.available_for(service)
        return [found for found in available if self._permits.limit_of(found.process) is not None]

    def _closed(self, limited: cabc.Iterable[Upstream]) -> set[UpstreamId]:
        """Return the upstreams for which no permit is to be had yet."""
        return {
            found.upstream_id for found in limited if self._permits.open_in_s(found.process) > 0.0
        }

    def _wanted(
        self, job: Job, placement: Placement, limited: cabc.Sequence[Upstream]
    ) -> list[str]:
        """Return the processes to ask a permit for, the preferred one first.

        The others are asked for only if the request could not go to an upstream without a limit.
        """
        can_ask = [
            found
            for found in limited
            if found.upstream_id not in job.tried and self._permits.open_in_s(found.process) <= 0.0
        ]
        wanted = [placement.upstream.process]
        if placement.candidates > len(can_ask):
            return wanted
        permitted = self._placer.permitted(job, can_ask)
        others = [found.process for found in permitted if found is not placement.upstream]
        self._rng.shuffle(others)
        return wanted + others
