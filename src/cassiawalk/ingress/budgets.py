"""Limits the retries that this host sends to a service.

In each window, the retries of all hosts together may number up to a fraction of the callers'
requests plus a fixed amount. Each host applies the fraction to its own requests and takes its share
of the fixed amount, see ``HostCensus``.
"""

import collections
import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName

OWN_BUDGET_FRACTION = 0.75  # the rest of the limit covers hosts that join within a window


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
        allowed = OWN_BUDGET_FRACTION * (self._ratio * requests + self._extra * self._share())
        if retries.count(now) + 1 > allowed:
            return False
        retries.add(now)
        return True

    def _window(self, windows: dict[ServiceName, _Window], service: ServiceName) -> _Window:
        found = windows.get(service)
        if found is None:
            found = windows[service] = _Window(length_s=self._window_s)
        return found
