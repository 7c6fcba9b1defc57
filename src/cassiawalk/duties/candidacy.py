"""Which host takes free duties."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId

CLAIM_DELAY_PER_HOST_S = 0.8  # for each host before it in the order


class DutyCandidacy:
    """The first in the order stands at once, each other one later.

    The first may be unable to act without knowing it. The lease decides between hosts that stand
    together.
    """

    def __init__(self, *, host: HostId, clock: Clock) -> None:
        self._host = host
        self._clock = clock
        self._free_since = clock.monotonic()

    def is_candidate(self, *, holder: HostId | None, order: cabc.Sequence[HostId]) -> bool:
        """Return whether this host is to take the duties now.

        :param holder: the host that holds them, or None if none is heard of.
        :param order: hosts that seem able to, this one included, in the order all agree on.
        """
        now = self._clock.monotonic()
        if holder is not None:
            self._free_since = now
            return False
        return now - self._free_since >= order.index(self._host) * CLAIM_DELAY_PER_HOST_S
