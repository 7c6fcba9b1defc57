"""Learns how fast the upstreams of a service are, compared with each other.

A sample is the time that one request took, per unit of work: per prompt token until a first token,
or per answer of a plain service. An upstream's slowness is the ratio of its samples to those of the
whole service. Both are compared at a low quantile: requests that had to wait there, or were slowed
by neighbours, are slower than the upstream is, and none is faster. So waiting is not taken for
slowness as long as a third of the requests need not wait.

A host of a large fleet has one or two answers a second, from dozens of upstreams. Hosts therefore
state their last samples in their heartbeats; hubs learn from those that they receive, and state the
slowness of the upstreams that differ. The load this is made for is one of many hosts, each with a
small part of the requests.
"""

import collections
import math

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName

SAMPLES_PER_UPSTREAM = 64
SAMPLES_PER_SERVICE = 256
# Samples of an upstream that follow more closely are left out, so that those kept cover some
# seconds: neighbours that slow it come and go several times a second.
MIN_SAMPLE_INTERVAL_S = 0.05
MAX_SENDERS = 128
SAMPLE_MAX_AGE_S = 60.0
QUANTILE = 0.25
# Samples as fast as the service's that each upstream has from the start. Three times as many of its
# own tell that it is slow; a few that were slowed by neighbours do not.
PRIOR_SAMPLES = 3
MIN_SERVICE_SAMPLES = 8
MAX_USUAL_TO_LOW = 1.5
SAMPLES_PER_BASELINE = 16  # after so many the service's quantiles are computed again
# Upstreams closer to the usual than this are taken for equal: samples are that inexact.
EQUAL_WITHIN = 1.4
MAX_SLOWNESS = 4.0
PUBLISHED_MAX_AGE_S = 5.0
# Samples in heartbeats: an older one than this has reached the hubs.
SHARED_FOR_S = 1.2
NS_PER_S = 1_000_000_000


class ServiceSpeed:
    """The samples of all upstreams of one service.

    ``usual_cost_s`` is the median cost of a unit of work on an upstream of usual speed, in seconds;
    None until ``MIN_SERVICE_SAMPLES`` samples are known.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.usual_cost_s: float | None = None
        self.low_cost_s: float | None = None
        self._costs: collections.deque[float] = collections.deque(maxlen=SAMPLES_PER_SERVICE)
        self._noted = 0

    def note(self, cost_s: float) -> None:
        """Take in the cost of a unit of work at one of the upstreams, in seconds."""
        self._costs.append(cost_s)
        self._noted += 1
        if self._noted < MIN_SERVICE_SAMPLES:
            return
        if self.low_cost_s is None or self._noted % SAMPLES_PER_BASELINE == 0:
            ordered = sorted(self._costs)
            self.low_cost_s = ordered[int(len(ordered) * QUANTILE)]
            # Where most requests wait, the median tells of that.
            self.usual_cost_s = min(ordered[len(ordered) // 2], MAX_USUAL_TO_LOW * self.low_cost_s)


class UpstreamSpeed:
    """The speed of one process of an upstream, learned from samples of this and other hosts."""

    def __init__(self, *, service: ServiceSpeed) -> None:
        self._service = service
        self._clock = service.clock
        self._samples: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=SAMPLES_PER_UPSTREAM
        )
        self._own = 0
        self._own_cost_s = 0.0
        self._own_at = -math.inf
        self._seen: dict[str, int] = {}
        self._learned = 1.0
        self._published = 1.0
        self._published_at = -math.inf

    @property
    def slowness(self) -> float:
        """Return how many times as long as usual work takes there; 1.0 if no difference is known.

        What a hub states takes precedence, as it knows the samples of many hosts.
        """
        if self._clock.monotonic() - self._published_at <= PUBLISHED_MAX_AGE_S:
            return self._published
        return self.learned

    @property
    def learned(self) -> float:
        """Return the slowness according to the samples that this host knows itself."""
        if not self._samples or self._clock.monotonic() - self._samples[-1][0] > SAMPLE_MAX_AGE_S:
            return 1.0
        return self._learned

    @property
    def usual_cost_s(self) -> float | None:
        """Return the median cost of a unit of work at the service's upstreams, if it is known."""
        return self._service.usual_cost_s

    @property
    def sample_count(self) -> int:
        """Return the number of samples that this host's own estimate is based on."""
        return len(self._samples)

    def note(self, cost_s: float) -> None:
        """Take in a sample of this host.

        :param cost_s: the time per unit of work in seconds, without a slow-down that is known.
        """
        self._own += 1
        self._own_cost_s = cost_s
        self._own_at = self._clock.monotonic()
        self._add(cost_s)

    def shared_sample(self) -> tuple[int, int] | None:
        """Return this host's last sample with its number, for heartbeats; None if it is old.

        The cost is in nanoseconds.
        """
        if self._clock.monotonic() - self._own_at > SHARED_FOR_S:
            return None
        return self._own, round(self._own_cost_s * NS_PER_S)

    def note_shared(self, process: str, number: int, cost_ns: int) -> None:
        """Take in another host's sample, unless it has been taken in before.

        :param process: the host's process.
        """
        if cost_ns <= 0 or self._seen.get(process) == number:
            return
        self._seen.pop(process, None)
        self._seen[process] = number
        while len(self._seen) > MAX_SENDERS:
            del self._seen[next(iter(self._seen))]
        self._add(cost_ns / NS_PER_S)

    def note_published(self, slowness: float) -> None:
        """Take in the slowness that a hub states."""
        self._published = min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, slowness))
        self._published_at = self._clock.monotonic()

    def _add(self, cost_s: float) -> None:
        now = self._clock.monotonic()
        if self._samples and now - self._samples[-1][0] < MIN_SAMPLE_INTERVAL_S:
            return
        self._service.note(cost_s)
        while self._samples and now - self._samples[0][0] > SAMPLE_MAX_AGE_S:
            self._samples.popleft()
        self._samples.append((now, cost_s))
        usual = self._service.low_cost_s
        if usual is None:
            return
        ratios = sorted([cost / usual for _, cost in self._samples] + [1.0] * PRIOR_SAMPLES)
        found = ratios[int(len(ratios) * QUANTILE)]
        if 1 / EQUAL_WITHIN < found < EQUAL_WITHIN:
            found = 1.0
        self._learned = min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, found))


class ServiceSpeeds:
    """The speeds of all services' upstreams."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[ServiceName, ServiceSpeed] = {}

    def new_upstream(self, service: ServiceName) -> UpstreamSpeed:
        """Return the speed of a process of which nothing is known yet."""
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = ServiceSpeed(clock=self._clock)
        return UpstreamSpeed(service=found)
