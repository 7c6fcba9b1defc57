"""Passive health checks: an upstream whose attempts fail is avoided for a while."""

from cassiawalk.clock import Clock

PAUSE_AFTER_FAILURES = 2
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
REFUSAL_REMEMBERED_S = 1.0  # slots may be free again after that


class UpstreamHealth:
    """The health of one upstream, from the outcomes of attempts.

    The second failure in a row pauses the upstream. Each further one doubles the pause, up to
    ``MAX_PAUSE_S``. One complete answer ends the pause and resets the count. An upstream that
    refuses to run a request is sound, but its open connections are no advantage for a while.

    ``is_unproven`` is set from ``note_unproven`` until the first complete answer.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._paused_until = 0.0
        self._doubted_until = 0.0
        self._refused_until = 0.0
        self.is_unproven = False

    @property
    def has_refused(self) -> bool:
        """Return whether it has refused to run a request, and has served none since."""
        return self._clock.monotonic() < self._refused_until

    @property
    def paused(self) -> bool:
        """Return whether other upstreams should be preferred now."""
        now = self._clock.monotonic()
        return self.is_unproven or now < max(self._paused_until, self._doubted_until)

    def note_success(self) -> None:
        """Record a complete answer."""
        self._failures = 0
        self._paused_until = 0.0
        self._refused_until = 0.0
        self.is_unproven = False
        self.end_doubt()

    def note_doubt(self, *, for_s: float) -> None:
        """Prefer other upstreams for ``for_s`` s, as this one may be gone."""
        self._doubted_until = self._clock.monotonic() + for_s

    def note_unproven(self) -> None:
        """Prefer other upstreams until this one has answered, as its entry is likely wrong."""
        self.is_unproven = True

    def end_doubt(self) -> None:
        """Record a sign of life, which ends a doubt but no pause."""
        self._doubted_until = 0.0

    def note_refusal(self) -> None:
        """Record that it has refused to run a request."""
        self._refused_until = self._clock.monotonic() + REFUSAL_REMEMBERED_S

    def note_failure(self, *, definite: bool = False) -> None:
        """Record a failed attempt.

        :param definite: whether the failure alone shows that the upstream is down, as a refused
            connection does; it counts as ``PAUSE_AFTER_FAILURES`` failures and so pauses at once.
        """
        self._failures += PAUSE_AFTER_FAILURES if definite else 1
        if self._failures < PAUSE_AFTER_FAILURES:
            return
        doubled = INITIAL_PAUSE_S * 2 ** (self._failures - PAUSE_AFTER_FAILURES)
        self._paused_until = self._clock.monotonic() + min(MAX_PAUSE_S, doubled)
