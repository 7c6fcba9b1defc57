"""Chooses the version of a service that a request goes to while a rollout runs."""

import collections.abc as cabc
import random

from cassiawalk.clock import Clock
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.job import Job
from cassiawalk.rollouts.book import RolloutBook
from cassiawalk.rollouts.shares import CanaryCredit
from cassiawalk.rollouts.types import Role
from cassiawalk.rollouts.types import RolloutLimits
from cassiawalk.storeview.upstream import Upstream


class VersionChooser:
    """Chooses requests for an unjudged version, and sends all others where the load is carried.

    :param hosts: returns the number of hosts of the fleet.
    :param clock: a clock that also runs while the host is suspended.
    """

    def __init__(
        self,
        *,
        book: RolloutBook,
        limits: RolloutLimits,
        hosts: cabc.Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._book = book
        self._limits = limits
        self._hosts = hosts
        self._clock = clock
        self._rng = rng
        self._credits: dict[ServiceName, tuple[Offset, CanaryCredit]] = {}

    def choose(self, job: Job, upstreams: list[Upstream]) -> list[Upstream]:
        """Return those of the upstreams that the request may be sent to.

        A request that failed at one version is repeated at the old one, if that still serves.

        :param upstreams: upstreams that accept requests, so that none of them is barred.
        """
        if not self._book.is_running(job.service):
            return upstreams
        roles = [(found.role, found) for found in upstreams]
        found = {role: [one for known, one in roles if known is role] for role in Role}
        carries, outgoing = found[Role.CARRIES], found[Role.OUTGOING]
        if self._is_canary(job, has_place=bool(found[Role.CANARY])):
            return found[Role.CANARY]
        if job.tried:
            return outgoing or carries
        return carries or outgoing

    def _is_canary(self, job: Job, *, has_place: bool) -> bool:
        """Return whether the request goes to the unjudged version; chosen once for each."""
        if job.tried or not (has_place or job.is_canary is None):
            return False
        if job.is_canary is None:
            job.is_canary = self._take(job, has_place=has_place)
        return job.is_canary

    def _take(self, job: Job, *, has_place: bool) -> bool:
        state = self._book.unjudged(job.service, self._clock.monotonic())
        if state is None:
            return False
        order, credit = self._credits.get(job.service, (None, None))
        if credit is None or order != state.order:
            credit = CanaryCredit(limits=self._limits, hosts=self._hosts(), rng=self._rng)
            self._credits[job.service] = (state.order, credit)
        taken = credit.take(state.phase)
        if taken and not has_place:
            credit.give_back()
            return False
        return taken
