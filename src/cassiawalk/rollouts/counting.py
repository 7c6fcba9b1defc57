"""Counts the responses of both versions on one host, and tells the slow ones.

A response is slow if it takes several times as long as the old version's on the same route, as a
ratio of its work. Prompt tokens that have to be prefilled are work, so a cold cache makes no
response slow.
"""

import collections.abc as cabc
import dataclasses
import enum
import math

from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.rollouts.evidence import OLD_VERSION
from cassiawalk.rollouts.evidence import Tally

# Slow neighbours and uneven machines alone make responses up to 5 times as slow, but few of them.
SLOW_FACTOR = 4.0
MIN_EXCESS_S = 0.03  # shorter differences are of the network and of the hosts
MIN_SAMPLES = 3
FIRST_SAMPLES = 10  # whose mean is taken, before the median is followed in steps
STEP = 0.05  # of the logarithm, by which a median is followed
MAX_BASELINES = 4096
# A new upstream's responses may be slow until its caches and connections are warm.
WARM_UP_S = 2.0
# Answers that are lost together count once, as one crash of an upstream ends them all.
LOST_TOGETHER_S = 0.5


class Outcome(enum.Enum):
    """How a response counts: as complete, failed, lost, or as none within its time."""

    COMPLETE = "complete"
    FAILED = "failed"
    LOST = "lost"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """A time that a response took and the work that it is divided by.

    :param name: what is timed, as each has a usual value of its own.
    """

    name: str
    seconds: float
    work: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """A response to be counted.

    :param upstream: the upstream of the new version, or ``OLD_VERSION``.
    :param upstream_age_s: for how long this host has known the upstream.
    :param in_stall: whether this host was stopped or starved meanwhile.
    """

    service: ServiceName
    route: str
    upstream: UpstreamId
    outcome: Outcome
    timings: tuple[Timing, ...]
    upstream_age_s: float = math.inf
    in_stall: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionCount:
    """Counts since the order, of one host or several: responses, failures and slow responses.

    :param upstream: the upstream of the new version, or ``OLD_VERSION``.
    """

    service: ServiceName
    order: Offset
    route: str
    upstream: UpstreamId
    counts: tuple[int, ...]

    @property
    def key(self) -> tuple[ServiceName, Offset, str, UpstreamId]:
        """Return what the counts are of."""
        return self.service, self.order, self.route, self.upstream

    @property
    def tally(self) -> Tally:
        """Return the counts."""
        responses, failures, slow = (*self.counts, 0, 0, 0)[:3]
        return Tally(responses=responses, failures=failures, slow=slow)


def sum_counts(parts: cabc.Iterable[cabc.Iterable[VersionCount]]) -> tuple[VersionCount, ...]:
    """Return the sums of several hosts' counts."""
    total: dict[tuple[ServiceName, Offset, str, UpstreamId], VersionCount] = {}
    for part in parts:
        for found in part:
            known = total.get(found.key)
            if known is not None:
                pairs = zip(known.counts, found.counts, strict=False)
                counts = tuple(one + other for one, other in pairs)
                found = dataclasses.replace(found, counts=counts)
            total[found.key] = found
    return tuple(total.values())


class Baseline:
    """Follows the median of a positive value."""

    def __init__(self) -> None:
        self._samples = 0
        self._log = 0.0

    @property
    def value(self) -> float | None:
        """Return the median, or None if too few values are known."""
        return math.exp(self._log) if self._samples >= MIN_SAMPLES else None

    def note(self, value: float) -> None:
        """Add a value."""
        sample = math.log(max(1e-9, value))
        self._samples += 1
        if self._samples <= FIRST_SAMPLES:
            self._log += (sample - self._log) / self._samples
        else:
            self._log += math.copysign(STEP, sample - self._log)


class ResponseCounts:
    """The counts of one host, by service, since the order of its running rollout.

    Usual times of the old version are learned before and during rollouts.
    """

    def __init__(self) -> None:
        self._baselines: dict[tuple[ServiceName, str, str], Baseline] = {}
        self._orders: dict[ServiceName, Offset] = {}
        self._counts: dict[tuple[ServiceName, str, UpstreamId], list[int]] = {}
        self._lost_at: dict[UpstreamId, float] = {}

    def begin(self, service: ServiceName, order: Offset) -> None:
        """Count anew for an order, unless it is known."""
        if self._orders.get(service) != order:
            self.end(service)
            self._orders[service] = order

    def end(self, service: ServiceName) -> None:
        """Count no more for a service."""
        self._orders.pop(service, None)
        for key in [key for key in self._counts if key[0] == service]:
            del self._counts[key]

    def note(self, response: Response, now: float) -> None:
        """Count a response.

        :param now: the time in monotonic seconds.
        """
        slow = self._is_slow(response)
        if response.outcome is Outcome.UNANSWERED and not slow:
            return
        if response.upstream == OLD_VERSION:
            self._learn(response)
        if response.service not in self._orders or not self._counts_once(response, now):
            return
        key = (response.service, response.route, response.upstream)
        counts = self._counts.setdefault(key, [0, 0, 0])
        counts[0] += 1
        counts[1] += response.outcome in (Outcome.FAILED, Outcome.LOST)
        counts[2] += slow

    def current(self) -> tuple[VersionCount, ...]:
        """Return the counts of the running rollouts."""
        return tuple(
            VersionCount(
                service=service,
                order=self._orders[service],
                route=route,
                upstream=upstream,
                counts=tuple(counts),
            )
            for (service, route, upstream), counts in self._counts.items()
        )

    def _counts_once(self, response: Response, now: float) -> bool:
        if response.outcome is not Outcome.LOST or response.upstream == OLD_VERSION:
            return True
        last = self._lost_at.get(response.upstream, -math.inf)
        self._lost_at[response.upstream] = now
        return now - last >= LOST_TOGETHER_S

    def _is_slow(self, response: Response) -> bool:
        if response.in_stall or response.upstream_age_s < WARM_UP_S:
            return False
        return any(self._exceeds(response, timing) for timing in response.timings)

    def _exceeds(self, response: Response, timing: Timing) -> bool:
        baseline = self._baselines.get((response.service, response.route, timing.name))
        usual = None if baseline is None else baseline.value
        if usual is None:
            return False
        expected_s = usual * timing.work
        return timing.seconds > max(SLOW_FACTOR * expected_s, expected_s + MIN_EXCESS_S)

    def _learn(self, response: Response) -> None:
        if response.outcome is not Outcome.COMPLETE or response.in_stall:
            return
        for timing in response.timings:
            key = (response.service, response.route, timing.name)
            if key not in self._baselines and len(self._baselines) >= MAX_BASELINES:
                del self._baselines[next(iter(self._baselines))]
            self._baselines.setdefault(key, Baseline()).note(timing.seconds / timing.work)


class CountIncrements:
    """Turns the totals that several sources report into what was added since the last call."""

    def __init__(self) -> None:
        self._last: dict[str, dict[tuple[str, UpstreamId], Tally]] = {}

    def update(
        self, source: str, totals: cabc.Mapping[tuple[str, UpstreamId], Tally]
    ) -> dict[tuple[str, UpstreamId], Tally]:
        """Return what a source has added; a total that fell begins anew and adds nothing."""
        last = self._last.get(source, {})
        added: dict[tuple[str, UpstreamId], Tally] = {}
        for key, total in totals.items():
            change = total.plus(last.get(key, Tally()).scaled(-1.0))
            if change.responses > 0 and change.failures >= 0 and change.slow >= 0:
                added[key] = change
        self._last[source] = dict(totals)
        return added
