"""Enforces workspaces' quotas across all hosts.

Each host keeps its own copy of one token bucket per workspace, and subtracts the consumption that
the other hosts report. The refill rate is scaled by the fraction of all hosts that this host can
reach, itself included. So the sides of a network partition together stay within the bound without
communicating. Between two reports, a host is assumed to go on consuming at its last known rate.

Operators allow a tolerance in each window. Half of it is granted to callers; the other half covers
what hosts consume before they know of each other's consumption.
"""

import collections.abc as cabc
import dataclasses
import math

from cassiawalk.clock import Clock
from cassiawalk.ids import WorkspaceName
from cassiawalk.storeview.config import WorkspaceConfig

FULL_BURST_AFTER_S = 5.0  # from its start; a process doesn't know what was consumed before
MIN_BURST_FRACTION = 0.01
MAX_RETRY_AFTER_S = 5.0
CALLER_TOLERANCE_FRACTION = 0.5
# Of the tolerance that callers don't get: what hosts that have just started may consume before
# they know of earlier consumption.
STARTUP_TOLERANCE_FRACTION = 0.15
OWN_RATE_TIME_CONSTANT_S = 0.5
MIN_RATE_INTERVAL_S = 0.4  # reports that are closer together give no usable rate
# How long a silent process is assumed to go on consuming. After that it has ended, or is cut off
# and no longer part of the share.
EXTRAPOLATION_LIMIT_S = 4.0
REPORT_RETENTION_S = 60.0
MIN_RETRY_AFTER_S = 0.05

Share = cabc.Callable[[], float]
WorkspaceFinder = cabc.Callable[[WorkspaceName], WorkspaceConfig | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaTolerance:
    """Consumption beyond the quota that operators accept in any window of ``window_s`` seconds.

    :param ratio: the accepted excess as a fraction of the quota in a window, burst included.
    :param amount: a fixed excess on top of ``ratio``, in tokens.
    """

    window_s: float
    ratio: float
    amount: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaPool:
    """What is left of a quota, as far as one host knows, for the hosts that it reaches.

    :param level: the tokens that are left; negative if more was consumed.
    :param most: what ``level`` can reach.
    :param rate_per_s: how fast it is refilled.
    :param share: the fraction of all hosts that are reached.
    """

    level: float
    most: float
    rate_per_s: float
    share: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Limits:
    """A workspace's limits over all hosts, including the callers' part of the tolerance.

    :param at_start: what all hosts together may consume just after their start.
    """

    rate_per_s: float
    burst: float
    at_start: float


class _PeerConsumption:
    """The consumption that another process last reported, and the rate at which it grew."""

    def __init__(self, *, consumed: cabc.Mapping[WorkspaceName, float], now: float) -> None:
        self.consumed = dict(consumed)
        self.reported_at = now
        self._base = dict(consumed)
        self._base_reported_at = now
        self._rates: dict[WorkspaceName, float] = {}

    def note(self, consumed: cabc.Mapping[WorkspaceName, float], now: float) -> None:
        """Store a newer report."""
        self.consumed = dict(consumed)
        self.reported_at = now
        elapsed_s = now - self._base_reported_at
        if elapsed_s < MIN_RATE_INTERVAL_S:
            return
        self._rates = {
            name: max(0.0, total - self._base.get(name, 0.0)) / elapsed_s
            for name, total in consumed.items()
        }
        self._base, self._base_reported_at = self.consumed, now

    def extrapolated(self, name: WorkspaceName, now: float, own_rate: float) -> float:
        """Return the estimated consumption of the process since its last report.

        :param own_rate: this host's own consumption per second, which is used as long as the
            reports don't give the other process's rate.
        """
        age_s = now - self.reported_at
        if age_s > EXTRAPOLATION_LIMIT_S:
            return 0.0
        return self._rates.get(name, own_rate) * age_s


class _Bucket:
    """This host's copy of one workspace's token bucket.

    :param filled: the fraction of the burst that the bucket starts with.
    """

    def __init__(self, *, now: float, filled: float) -> None:
        self._filled = filled
        self._share = 0.0
        self.level: float | None = None
        self.refilled_at = now
        self.consumed = 0.0
        self.lent = 0.0
        self._rate = 0.0
        self._rate_at = now

    def rate(self, now: float) -> float:
        """Return this host's consumption per second, smoothed exponentially."""
        self._rate *= math.exp(-max(0.0, now - self._rate_at) / OWN_RATE_TIME_CONSTANT_S)
        self._rate_at = now
        return self._rate

    def consume(self, amount: float, now: float) -> None:
        """Record granted consumption."""
        self.consumed += amount
        self._rate = self.rate(now) + amount / OWN_RATE_TIME_CONSTANT_S

    def refill(self, limits: "_Limits", share: float, now: float) -> float:
        """Refill the bucket for the elapsed time and return its level.

        The allowance for hosts that have just started is divided among all hosts, so this host's
        part of it changes with ``share``.
        """
        burst = limits.burst * share
        if self.level is None:
            self._share = share
            self.level = max(burst * self._filled, limits.at_start * share)
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.level += limits.rate_per_s * share * elapsed_s
        self.level += limits.at_start * (share - self._share)
        self._share = share
        self.level = min(burst, self.level)
        return self.level


class Quotas:
    """Admits requests that are within their workspace's quota.

    :param share: returns the fraction of all hosts whose consumption is known here, this host
        included.
    :param find_workspace: returns the configuration of a workspace, or None.
    :param has_lender: returns whether the fleet is so large that a lender decides, see
        ``FleetQuotas``. Then the tolerance covers the allowances, and is not granted to callers.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        share: Share,
        find_workspace: WorkspaceFinder,
        tolerance: QuotaTolerance,
        has_lender: cabc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._has_lender = has_lender
        self._clock = clock
        self._find_workspace = find_workspace
        self.tolerance = tolerance
        self._share = share
        self._buckets: dict[WorkspaceName, _Bucket] = {}
        self._peers: dict[str, _PeerConsumption] = {}
        self._started_at = clock.monotonic()

    def set_tolerance(self, tolerance: QuotaTolerance) -> None:
        """Replace the tolerance."""
        self.tolerance = tolerance

    def take(self, workspace: WorkspaceConfig, stated_tokens: int | None) -> float | None:
        """Consume a request's tokens from the quota.

        :return: None if the request is admitted, else the seconds after which to retry.
        """
        if workspace.rate_per_s <= 0:
            return None
        amount = amount_of(workspace, stated_tokens)
        pool = self.pool(workspace)
        # A bucket that is not empty admits one request of any size; its level may become negative.
        if pool.level <= 0:
            wait_s = (amount - pool.level) / pool.rate_per_s
            return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        self._consume(self._bucket(workspace.name), amount)
        return None

    def pool(self, workspace: WorkspaceConfig) -> QuotaPool:
        """Return what is left of a quota, as far as this host knows."""
        share = self._share()
        limits = self._limits(workspace)
        now = self._now()
        bucket = self._bucket(workspace.name)
        filled = bucket.refill(limits, share, now)
        own = bucket.rate(now)
        level = filled - sum(
            peer.extrapolated(workspace.name, now, own) for peer in self._peers.values()
        )
        return QuotaPool(
            level=level,
            most=limits.burst * share,
            rate_per_s=limits.rate_per_s * share,
            share=share,
        )

    def admit(self, workspace: WorkspaceConfig, amount: float, *, is_lent: bool = False) -> None:
        """Consume tokens of a request that was admitted.

        :param is_lent: whether the lender of the fleet has lent them.
        """
        bucket = self._bucket(workspace.name)
        bucket.refill(self._limits(workspace), self._share(), self._now())
        self._consume(bucket, amount)
        if is_lent:
            bucket.lent += amount

    def _consume(self, bucket: _Bucket, amount: float) -> None:
        """Subtract tokens from a bucket that has just been refilled."""
        assert bucket.level is not None
        bucket.level -= amount
        bucket.consume(amount, self._now())

    def refund(self, workspace: WorkspaceConfig, stated_tokens: int | None) -> None:
        """Return the tokens of a request that no upstream has run."""
        self.refund_amount(workspace, amount_of(workspace, stated_tokens))

    def refund_amount(self, workspace: WorkspaceConfig, amount: float) -> None:
        """Return tokens that were consumed; the lender hears of them by heartbeats."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None or bucket.level is None or workspace.rate_per_s <= 0:
            return
        bucket.level += amount
        bucket.consumed -= amount

    def lent(self) -> dict[WorkspaceName, float]:
        """Return how much of ``consumed`` was lent to this host, by workspace."""
        return {name: bucket.lent for name, bucket in self._buckets.items() if bucket.lent}

    def unlent(self) -> dict[WorkspaceName, float]:
        """Return how much of ``consumed`` was not lent, by workspace."""
        return {name: found.consumed - found.lent for name, found in self._buckets.items()}

    def consumed(self) -> dict[WorkspaceName, float]:
        """Return this host's consumption since its start, by workspace."""
        return {name: bucket.consumed for name, bucket in self._buckets.items()}

    def note_consumed(self, process: str, consumed: cabc.Mapping[WorkspaceName, float]) -> None:
        """Record the consumption that another process reports for the time since its start."""
        now = self._now()
        peer = self._peers.get(process)
        if peer is None:
            self._forget_expired(now)
            self._peers[process] = _PeerConsumption(consumed=consumed, now=now)
            return
        for name, total in consumed.items():
            self._subtract(name, total - peer.consumed.get(name, 0.0), now)
        peer.note(consumed, now)

    def _subtract(self, name: WorkspaceName, amount: float, now: float) -> None:
        """Subtract other hosts' consumption, also before this host has had a request of its own.

        The bucket is refilled first: time before the consumption is no room after it.
        """
        workspace = self._find_workspace(name)
        if not amount or workspace is None or workspace.rate_per_s <= 0:
            return
        bucket = self._bucket(name)
        bucket.level = bucket.refill(self._limits(workspace), self._share(), now) - amount

    def forget(self, process: str) -> None:
        """Drop a reporter whose reports are replaced by those of another reporter.

        What it reported so far stays subtracted; its consumption is no longer extrapolated.
        """
        self._peers.pop(process, None)

    def _forget_expired(self, now: float) -> None:
        expired = [
            name
            for name, peer in self._peers.items()
            if now - peer.reported_at > REPORT_RETENTION_S
        ]
        for name in expired:
            del self._peers[name]

    def _limits(self, workspace: WorkspaceConfig) -> _Limits:
        rate_per_s = workspace.rate_per_s
        burst = max(workspace.burst, rate_per_s)
        if not workspace.by_tokens or self._has_lender():
            return _Limits(rate_per_s=rate_per_s, burst=burst, at_start=0.0)
        tolerance = self.tolerance
        granted = CALLER_TOLERANCE_FRACTION * tolerance.amount
        total = tolerance.ratio * (rate_per_s * tolerance.window_s + burst) + tolerance.amount
        return _Limits(
            rate_per_s=rate_per_s + granted / tolerance.window_s,
            burst=burst,
            at_start=STARTUP_TOLERANCE_FRACTION * (total - granted),
        )

    def _bucket(self, name: WorkspaceName) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            warmup = min(1.0, (self._now() - self._started_at) / FULL_BURST_AFTER_S)
            bucket = _Bucket(now=self._now(), filled=max(MIN_BURST_FRACTION, warmup))
            self._buckets[name] = bucket
        return bucket

    def _now(self) -> float:
        return self._clock.monotonic()


def amount_of(workspace: WorkspaceConfig, stated_tokens: int | None) -> float:
    """Return what a request uses of its workspace's quota."""
    if not workspace.by_tokens:
        return 1.0
    return workspace.plain_tokens if stated_tokens is None else float(stated_tokens)
