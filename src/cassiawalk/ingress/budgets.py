"""How many repeats this host may send to a service.

All hosts together may send a share of the callers' requests plus a fixed number in each window.
Each host keeps to that share of its own requests and to its part of the fixed number, so that the
sum holds without any word between hosts.
"""

import collections
import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName

OWN_PART = 0.75  # of the bound; the rest covers hosts that come and go inside a window


class _Window:
    """Times of events in the last seconds."""

    def __init__(self, *, length_s: float) -> None:
        self._length_s = length_s
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Count an event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return how many events the window holds."""
        while self._times and self._times[0] <= now - self._length_s:
            self._times.popleft()
        return len(self._times)


class RepeatBudgets:
    """Counts requests and repeats by service.

    :param ratio: repeats allowed for each request of callers, over all hosts.
    :param extra: repeats allowed besides in a window, over all hosts.
    :param hosts: returns how many hosts share ``extra``.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float,
        extra: float,
        window_s: float,
        hosts: cabc.Callable[[], int],
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._hosts = hosts
        self._requests: dict[ServiceName, _Window] = {}
        self._repeats: dict[ServiceName, _Window] = {}

    def allow(self, *, ratio: float, extra: float) -> None:
        """Take other bounds over."""
        self._ratio = ratio
        self._extra = extra

    def note_request(self, service: ServiceName) -> None:
        """Count a caller's request."""
        self._window(self._requests, service).add(self._clock.monotonic())

    def take(self, service: ServiceName) -> bool:
        """Use one repeat; return False if none is left."""
        now = self._clock.monotonic()
        requests = self._window(self._requests, service).count(now)
        repeats = self._window(self._repeats, service)
        allowed = OWN_PART * (self._ratio * requests + self._extra / max(1, self._hosts()))
        if repeats.count(now) + 1 > allowed:
            return False
        repeats.add(now)
        return True

    def _window(self, windows: dict[ServiceName, _Window], service: ServiceName) -> _Window:
        found = windows.get(service)
        if found is None:
            found = windows[service] = _Window(length_s=self._window_s)
        return found
