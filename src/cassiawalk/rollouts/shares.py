"""Each host's own part of the requests that an unjudged version may get.

A host takes its part of its own requests, in fractions, so that all hosts together stay below the
share without messages for each request. It begins with a random part of one request: many hosts
that send a few requests each give the new version its share on average, and their sum differs from
it by half the square root of their number or so, which the slack covers.
"""

import random

from cassiawalk.rollouts.types import Phase
from cassiawalk.rollouts.types import RolloutLimits

# Parts of the share that are used, as a host may restart, and count a request that another host
# counted too.
PROBING_PART = 0.5
CANARY_PART = 0.85
# Of the slack, shared by all hosts, for evidence on little traffic.
SLACK_PART = 0.4
MAX_CREDIT = 3.0  # a host that found no upstream of the version does not make up for it later


class CanaryCredit:
    """Counts one host's credit for requests to one unjudged version."""

    def __init__(self, *, limits: RolloutLimits, hosts: int, rng: random.Random) -> None:
        self._limits = limits
        self._credit = rng.random() + SLACK_PART * limits.slack / max(1, hosts)
        self._most = max(MAX_CREDIT, self._credit)

    def part(self, phase: Phase) -> float:
        """Return the part of the requests that the version gets in a phase."""
        if not phase.is_unjudged:
            return 0.0
        return self._limits.share * (PROBING_PART if phase is Phase.PROBING else CANARY_PART)

    def take(self, phase: Phase) -> bool:
        """Count a request of the service; return whether it goes to the new version."""
        self._credit = min(self._most, self._credit + self.part(phase))
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def give_back(self) -> None:
        """Record that a request that was to go to the new version did not."""
        self._credit = min(self._most, self._credit + 1.0)
