"""Outages of the source of entries, in which those of upstreams that run may expire.

Upstreams renew their entries. In an outage of the source they cannot, and entries of upstreams that
still run expire. Both times below count from the source's recovery.
"""

import math

from cassiawalk.clock import Clock

STALE_GRACE_S = 2.3  # until running upstreams have entries again
EXPIRY_WINDOW_S = 0.4  # while removals from the outage are still being read
MIN_LAPSE_GAP_S = 2.0  # shorter gaps in what all hosts know of the source let no entry expire


class SourceOutages:
    """When the source was away, and whether it has come back as an older copy.

    ``is_restored`` is set while the list of an older copy is expected. What upstreams wrote last is
    missing there until they have written it again.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._recovered_at: float | None = None
        self.is_restored = False

    def note_recovered(self) -> None:
        """Record that the source answers again after an outage."""
        self._recovered_at = self._clock.monotonic()

    @property
    def since_recovery_s(self) -> float:
        """Return the time since the last outage in seconds; infinite if there was none."""
        if self._recovered_at is None:
            return math.inf
        return self._clock.monotonic() - self._recovered_at

    @property
    def may_explain_removals(self) -> bool:
        """Return whether an entry that is removed now may only have expired."""
        return self.is_restored or self.since_recovery_s < EXPIRY_WINDOW_S

    def has_grace_ended(self, *, age_s: float) -> bool:
        """Return whether running upstreams have entries again, as far as this host knows.

        :param age_s: how old its knowledge of the entries is, in seconds.
        """
        return self.since_recovery_s - age_s >= STALE_GRACE_S
