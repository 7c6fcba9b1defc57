"""For how long an upstream wants no requests of this host, as it says when it turns one away."""

from cassiawalk.clock import Clock

# An upstream that asks for a day by mistake is asked again after this.
MAX_PAUSE_S = 300.0


class RequestedPause:
    """The time that one upstream has asked of this host.

    :param clock: its monotonic time need not include time for which the host was suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._until = 0.0

    @property
    def left_s(self) -> float:
        """Return for how long the upstream wants nothing yet, in seconds; 0 if it takes work."""
        return max(0.0, self._until - self._clock.monotonic())

    def note_asked(self, wait_s: float) -> bool:
        """Take the time that the upstream asks for from now on, which replaces none that is longer.

        :param wait_s: the time in seconds; what exceeds ``MAX_PAUSE_S`` is left out.
        :return: whether it is the begin of a pause.
        """
        begins = self.left_s <= 0.0 < wait_s
        self._until = max(self._until, self._clock.monotonic() + min(wait_s, MAX_PAUSE_S))
        return begins
