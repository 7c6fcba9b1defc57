"""Decides when a host claims the duties while no host holds them."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId

CLAIM_DELAY_PER_HOST_S = 0.8


class DutyCandidacy:
    """Decides whether a host is a candidate for the lease of the duties.

    The first host in the order is a candidate at once, and each other host
    ``CLAIM_DELAY_PER_HOST_S`` after the host before it, because a host that can't act may not know
    it. The lease decides between hosts that are candidates at the same time.
    """

    def __init__(self, *, host: HostId, clock: Clock) -> None:
        self._host = host
        self._clock = clock
        self._free_since = clock.monotonic()

    def is_candidate(self, *, holder: HostId | None, order: cabc.Sequence[HostId]) -> bool:
        """Return whether this host should claim the duties now.

        :param holder: the host that is known to hold the duties, or None.
        :param order: the hosts that seem able to hold the duties, this host included, in an order
            that is the same on all hosts.
        """
        now = self._clock.monotonic()
        if holder is not None:
            self._free_since = now
            return False
        return now - self._free_since >= order.index(self._host) * CLAIM_DELAY_PER_HOST_S
