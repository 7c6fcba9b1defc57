"""Decides which requests a host that stops can still finish.

How long an answer will take is not known. What is known is when it ends at the latest: at the
route's time limit or the caller's deadline. A request that ends before the host does is finished;
another one is refused at once, so that its caller can ask another host with most of its time left.

The load balancer goes on sending here for a while, and until then requests of every length are
taken: most of their answers end long before their limits.
"""

from cassiawalk.clock import Clock

MAX_OPEN_RATIO = 0.5  # of the time until the end; for hosts that have little time to stop


class StopPlan:
    """When a host stops; until ``begin`` is called, it does not."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._open_until = 0.0
        self._ends_at: float | None = None

    def begin(self, *, ends_in_s: float, open_s: float) -> None:
        """Begin to stop.

        :param ends_in_s: the time until all answers are ended, in seconds.
        :param open_s: the time for which requests of every length are taken, in seconds.
        """
        now = self._clock.monotonic()
        self._ends_at = now + ends_in_s
        self._open_until = now + min(open_s, ends_in_s * MAX_OPEN_RATIO)

    def can_finish(self, ends_at: float) -> bool:
        """Return whether a request may be sent to an upstream now.

        :param ends_at: when its answer ends at the latest, in monotonic seconds.
        """
        return not self.cuts(ends_at) or self._clock.monotonic() < self._open_until

    def cuts(self, ends_at: float) -> bool:
        """Return whether this host stops before ``ends_at``."""
        return self._ends_at is not None and self._ends_at < ends_at

    def limit(self, ends_at: float) -> float:
        """Return when an answer has to end: at ``ends_at``, or when this host stops."""
        return ends_at if self._ends_at is None else min(ends_at, self._ends_at)
