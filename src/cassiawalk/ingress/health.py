"""Judges an upstream by the answers it gives, and lets it back step by step."""

from cassiawalk.clock import Clock

SUSPECT_AFTER = 2
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0


class UpstreamHealth:
    """Failures in a row lead to a pause that doubles; one good answer ends it."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._paused_until = 0.0

    @property
    def paused(self) -> bool:
        """Return whether other upstreams should be preferred now."""
        return self._clock.monotonic() < self._paused_until

    def note_success(self) -> None:
        """Note a whole answer."""
        self._failures = 0
        self._paused_until = 0.0

    def note_failure(self, *, definite: bool = False) -> None:
        """Note a failure; a ``definite`` one, such as a refused connection, counts at once."""
        self._failures += SUSPECT_AFTER if definite else 1
        if self._failures < SUSPECT_AFTER:
            return
        doubled = FIRST_PAUSE_S * 2 ** (self._failures - SUSPECT_AFTER)
        self._paused_until = self._clock.monotonic() + min(LONGEST_PAUSE_S, doubled)
