"""Workspaces' quotas over all hosts together.

Hosts that hear each other draw from one bucket for each workspace: each takes out of its own copy
what the others say they have drawn. The bucket is filled by the part of all hosts that hear each
other, so that the parts of a cut network together hold the bound without any word between them.
What the others draw until their next word is expected to go on as before.

Operators allow a tolerance in each window. Half of it is given to callers; the other half covers
what hosts draw without knowing of each other.
"""

import collections.abc as cabc
import dataclasses
import math

from cassiawalk.clock import Clock
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.config import WorkspaceConfig

WHOLE_BURST_AFTER_S = 5.0  # after this process's start; what went before is not known to it
LEAST_BURST = 0.01
LONGEST_WAIT_S = 5.0
GIVEN_TOLERANCE = 0.5
STARTED_TOLERANCE = 0.15  # of the rest: what hosts may draw before they know what was drawn
OWN_RATE_OVER_S = 0.5
RATE_OVER_S = 0.4  # draws told within less say nothing of how fast they grow
# How long another process's draws are expected to go on without a word from it; after that it has
# ended, or is cut off and outside of the share.
EXPECTED_FOR_S = 4.0
TOLD_KEPT_S = 60.0
SHORTEST_WAIT_S = 0.05

Share = cabc.Callable[[], float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaTolerance:
    """What operators allow beyond the quotas in a window: a ratio, and an amount besides."""

    window_s: float
    ratio: float
    amount: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Allowed:
    """What a workspace may draw over all hosts, with the part of the tolerance that it gets.

    :param at_start: what hosts that have just started may draw together.
    """

    rate_per_s: float
    burst: float
    at_start: float


class _Told:
    """What another process has last told of its draws, and how fast they grew."""

    def __init__(self, *, consumed: cabc.Mapping[WorkspaceName, float], now: float) -> None:
        self.consumed = dict(consumed)
        self.at = now
        self._base = dict(consumed)
        self._base_at = now
        self._rates: dict[WorkspaceName, float] = {}

    def note(self, consumed: cabc.Mapping[WorkspaceName, float], now: float) -> None:
        """Take a newer word."""
        self.consumed = dict(consumed)
        self.at = now
        passed_s = now - self._base_at
        if passed_s < RATE_OVER_S:
            return
        self._rates = {
            name: max(0.0, total - self._base.get(name, 0.0)) / passed_s
            for name, total in consumed.items()
        }
        self._base, self._base_at = self.consumed, now

    def expected(self, name: WorkspaceName, now: float, granted_rate: float) -> float:
        """Return what the process will have drawn since its last word.

        :param granted_rate: how fast this host draws; it stands for a rate that is not told yet.
        """
        silent_s = now - self.at
        if silent_s > EXPECTED_FOR_S:
            return 0.0
        return self._rates.get(name, granted_rate) * silent_s


class _Bucket:
    """What is left of one workspace's quota, as this host believes.

    :param filled: the part of the burst that it begins with.
    """

    def __init__(self, *, now: float, filled: float) -> None:
        self._filled = filled
        self._share = 0.0
        self.level: float | None = None
        self.filled_at = now
        self.consumed = 0.0
        self._rate = 0.0
        self._rated_at = now

    def rate(self, now: float) -> float:
        """Return how fast this host draws, smoothed over ``OWN_RATE_OVER_S``."""
        self._rate *= math.exp(-max(0.0, now - self._rated_at) / OWN_RATE_OVER_S)
        self._rated_at = now
        return self._rate

    def draw(self, amount: float, now: float) -> None:
        """Count what was granted."""
        self.consumed += amount
        self._rate = self.rate(now) + amount / OWN_RATE_OVER_S

    def fill(self, allowed: "_Allowed", share: float, now: float) -> float:
        """Return the level after the time that has passed.

        What hosts may draw at their start is dealt to them: it comes and goes with ``share``.
        """
        burst = allowed.burst * share
        if self.level is None:
            self._share = share
            self.level = max(burst * self._filled, allowed.at_start * share)
        passed_s = max(0.0, now - self.filled_at)
        self.filled_at = now
        self.level += allowed.rate_per_s * share * passed_s
        self.level += allowed.at_start * (share - self._share)
        self._share = share
        self.level = min(burst, self.level)
        return self.level


class Quotas:
    """Decides whether a request lies within its workspace's quota.

    :param share: returns the part of all hosts whose draws are known here, this one included.
    """

    def __init__(self, *, clock: Clock, share: Share, tolerance: QuotaTolerance) -> None:
        self._clock = clock
        self._tolerance = tolerance
        self._share = share
        self._buckets: dict[WorkspaceName, _Bucket] = {}
        self._told: dict[str, _Told] = {}
        self._started_at = clock.monotonic()

    def allow(self, tolerance: QuotaTolerance) -> None:
        """Take another tolerance over."""
        self._tolerance = tolerance

    def take(self, workspace: WorkspaceConfig, stated_tokens: int | None) -> float | None:
        """Draw for a request; return None, or in how many seconds there will be room."""
        if workspace.rate_per_s <= 0:
            return None
        amount = _amount(workspace, stated_tokens)
        share = self._share()
        allowed = self._allowed(workspace)
        now = self._now()
        bucket = self._bucket(workspace.name)
        filled = bucket.fill(allowed, share, now)
        own = bucket.rate(now)
        level = filled - sum(
            told.expected(workspace.name, now, own) for told in self._told.values()
        )
        # A bucket that is not empty lets one request of any size through and owes the rest.
        if level <= 0:
            wait_s = (amount - level) / (allowed.rate_per_s * share)
            return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, wait_s))
        bucket.level = filled - amount
        bucket.draw(amount, now)
        return None

    def refund(self, workspace: WorkspaceConfig, stated_tokens: int | None) -> None:
        """Put back what a request drew that was never sent to an upstream."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None or bucket.level is None or workspace.rate_per_s <= 0:
            return
        amount = _amount(workspace, stated_tokens)
        bucket.level += amount
        bucket.consumed -= amount

    def consumed(self) -> dict[WorkspaceName, float]:
        """Return what this host has drawn since it started, by workspace."""
        return {name: bucket.consumed for name, bucket in self._buckets.items()}

    def note_consumed(self, process: str, consumed: cabc.Mapping[WorkspaceName, float]) -> None:
        """Take over what another process has drawn since it started."""
        now = self._now()
        told = self._told.get(process)
        if told is None:
            self._forget_ended(now)
            self._told[process] = _Told(consumed=consumed, now=now)
            return
        for name, total in consumed.items():
            bucket = self._bucket(name)
            if bucket.level is not None:
                bucket.level -= total - told.consumed.get(name, 0.0)
        told.note(consumed, now)

    def forget(self, process: str) -> None:
        """Expect nothing more of a teller whose word another one's replaces."""
        self._told.pop(process, None)

    def _forget_ended(self, now: float) -> None:
        ended = [name for name, told in self._told.items() if now - told.at > TOLD_KEPT_S]
        for name in ended:
            del self._told[name]

    def _allowed(self, workspace: WorkspaceConfig) -> _Allowed:
        rate_per_s = workspace.rate_per_s
        burst = max(workspace.burst, rate_per_s)
        if not workspace.by_tokens:
            return _Allowed(rate_per_s=rate_per_s, burst=burst, at_start=0.0)
        tolerance = self._tolerance
        given = GIVEN_TOLERANCE * tolerance.amount
        whole = tolerance.ratio * (rate_per_s * tolerance.window_s + burst) + tolerance.amount
        return _Allowed(
            rate_per_s=rate_per_s + given / tolerance.window_s,
            burst=burst,
            at_start=STARTED_TOLERANCE * (whole - given),
        )

    def _bucket(self, name: WorkspaceName) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            begun = min(1.0, (self._now() - self._started_at) / WHOLE_BURST_AFTER_S)
            bucket = _Bucket(now=self._now(), filled=max(LEAST_BURST, begun))
            self._buckets[name] = bucket
        return bucket

    def _now(self) -> float:
        return self._clock.monotonic()


def _amount(workspace: WorkspaceConfig, stated_tokens: int | None) -> float:
    if not workspace.by_tokens:
        return 1.0
    return workspace.plain_tokens if stated_tokens is None else float(stated_tokens)
