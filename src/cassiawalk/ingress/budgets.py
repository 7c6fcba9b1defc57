"""Limits the retries that this host sends to a service.

In each window, the retries of all hosts together may number up to a fraction of the callers'
requests plus a fixed amount. Each host applies the fraction to its own requests. A part of the
fixed amount is shared out, see ``HostCensus``, another is lent, see ``ratelimits``. So a process
that has just started, and has no share, may retry too.
"""

import collections
import collections.abc as cabc
import dataclasses

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName
from cassiawalk.ratelimits.lender import PERMIT_S

# Of what a host's own callers' requests allow; the rest covers hosts that join within a window.
OWN_RATIO_FRACTION = 0.75
# Of the fixed number: what hosts have as shares, what is lent to those that need more or have none
# yet, and the part of that which lies ready. The rest covers hosts that join within a window.
SHARED_FRACTION = 0.45
LENT_FRACTION = 0.4
READY_FRACTION = 0.15


@dataclasses.dataclass(frozen=True, kw_only=True)
class LentRetries:
    """Retries that are lent to all hosts together, see ``ratelimits``.

    :param rate_per_s: how many a second; 0 if nothing is lent.
    :param ready: how many may lie ready.
    """

    rate_per_s: float
    ready: float


class _Window:
    """A sliding window of event times, in monotonic seconds."""

    def __init__(self, *, length_s: float) -> None:
        self._length_s = length_s
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Record an event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events within the window."""
        while self._times and self._times[0] <= now - self._length_s:
            self._times.popleft()
        return len(self._times)


class RetryBudgets:
    """Counts requests and retries by service in a sliding window.

    :param ratio: allowed retries per caller request, over all hosts.
    :param extra: allowed retries per window in addition to ``ratio``, over all hosts.
    :param window_s: the length of the window, in seconds.
    :param share: returns this host's share of ``extra``, from 0 to 1.
    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float,
        extra: float,
        window_s: float,
        share: cabc.Callable[[], float],
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._share = share
        self._requests: dict[ServiceName, _Window] = {}
        self._retries: dict[ServiceName, _Window] = {}

    @property
    def share(self) -> float:
        """Return this host's share of the fixed number of retries, from 0 to 1."""
        return self._share()

    def set_limits(self, *, ratio: float, extra: float) -> None:
        """Replace the limits."""
        self._ratio = ratio
        self._extra = extra

    def note_request(self, service: ServiceName) -> None:
        """Record a caller's request."""
        self._window(self._requests, service).add(self._clock.monotonic())

    def take(self, service: ServiceName) -> bool:
        """Take one retry from the budget; return False if none is left."""
        now = self._clock.monotonic()
        requests = self._window(self._requests, service).count(now)
        retries = self._window(self._retries, service)
        allowed = OWN_RATIO_FRACTION * self._ratio * requests
        allowed += SHARED_FRACTION * self._extra * self._share()
        if retries.count(now) + 1 > allowed:
            return False
        retries.add(now)
        return True

    @property
    def lent(self) -> LentRetries:
        """Return what is lent for each service, the same on all hosts.

        In a window, as many can follow as lie ready at its begin, as come up in it, and as were
        lent just before it.
        """
        ready = max(1.0, READY_FRACTION * self._extra)
        over_s = self._window_s + PERMIT_S
        rate_per_s = max(0.0, (LENT_FRACTION * self._extra - ready) / over_s)
        return LentRetries(rate_per_s=rate_per_s, ready=ready)

    def _window(self, windows: dict[ServiceName, _Window], service: ServiceName) -> _Window:
        found = windows.get(service)
        if found is None:
            found = windows[service] = _Window(length_s=self._window_s)
        return found
