"""What one host of a large fleet may admit of a quota without asking the lender.

Small requests are so decided at once. The allowances of all hosts together are a small fraction of
the quota, which the operators' tolerance covers; the lender subtracts what was used of them.
"""

import collections
import dataclasses

from cassiawalk.ids import WorkspaceName
from cassiawalk.storeview.config import WorkspaceConfig

# Of rate and burst, for all hosts together; not more than the tolerance's ratio.
ALLOWANCE_RATIO = 0.1
MAX_ALLOWANCES = 4096
# Others hear of this host's consumption within this time.
REPORT_DELAY_S = 2.0
# A pool that holds more of its burst than this shows that the fleet asks for less than the quota.
CLEARLY_BELOW_RATIO = 0.25


@dataclasses.dataclass(kw_only=True)
class _Allowance:
    """The tokens that one workspace may use here; never below 0."""

    at: float
    level: float = 0.0


class Allowances:
    """One allowance for each workspace, which begins empty."""

    def __init__(self) -> None:
        self._allowances: dict[WorkspaceName, _Allowance] = {}

    def take(
        self, workspace: WorkspaceConfig, amount: float, *, ratio: float, hosts: int, now: float
    ) -> bool:
        """Use ``amount`` of an allowance; return False, and use nothing, if it is too small.

        :param ratio: how much operators accept beyond a quota, as a fraction of it.
        :param hosts: how many hosts share the quota.
        """
        allowance = self._allowances.get(workspace.name)
        if allowance is None:
            allowance = self._allowances[workspace.name] = _Allowance(at=now)
            while len(self._allowances) > MAX_ALLOWANCES:
                del self._allowances[next(iter(self._allowances))]
        part = min(ALLOWANCE_RATIO, ratio) / hosts
        most = part * max(workspace.burst, workspace.rate_per_s)
        added = part * workspace.rate_per_s * max(0.0, now - allowance.at)
        allowance.level = min(most, allowance.level + added)
        allowance.at = now
        if amount > allowance.level:
            return False
        allowance.level -= amount
        return True


class UnreportedConsumption:
    """What this host has admitted without a lender, and the others can't know of yet."""

    def __init__(self) -> None:
        self._used: dict[WorkspaceName, collections.deque[tuple[float, float]]] = {}

    def admits(self, name: WorkspaceName, amount: float, *, most: float, now: float) -> bool:
        """Return whether ``amount`` more may be used: up to ``most``, or one request."""
        used = self._recent(name, now)
        return not used or sum(found for _, found in used) + amount <= most

    def note(self, name: WorkspaceName, amount: float, now: float) -> None:
        """Record what was admitted."""
        self._recent(name, now).append((now, amount))

    def wait_s(self, name: WorkspaceName, now: float) -> float:
        """Return in how many seconds the others will know of the oldest use."""
        used = self._recent(name, now)
        return used[0][0] + REPORT_DELAY_S - now if used else 0.0

    def _recent(self, name: WorkspaceName, now: float) -> collections.deque[tuple[float, float]]:
        used = self._used.setdefault(name, collections.deque())
        while used and used[0][0] <= now - REPORT_DELAY_S:
            used.popleft()
        return used
