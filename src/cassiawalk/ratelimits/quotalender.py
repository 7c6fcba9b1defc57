"""Lends the tokens of quotas so that all hosts together keep to them. Knows no network.

The lender has the token bucket of each workspace. It is refilled at the quota's rate, less what the
lender lends, less what hosts report to have admitted without asking. A lender that takes over
begins with an empty bucket, so that the sum of both stays within rate and burst.
"""

import collections.abc as cabc
import dataclasses
import math

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ratelimits.authority import Lending
from cassiawalk.ratelimits.quotamessages import QuotaCall
from cassiawalk.ratelimits.quotaorder import QuotaOrder
from cassiawalk.ratelimits.quotaorder import kind_of

MAX_WAIT_S = 5.0
MIN_WAIT_S = 0.05
MAX_BUCKETS = 4096
MAX_REPORTERS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaLimits:
    """A workspace's quota over all hosts, in tokens, or in requests if it counts those."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _AnsweredCall:
    """The last call of a host, and its answer."""

    process: str
    number: int
    wait_s: tuple[float | None, ...]


class _Bucket:
    """The tokens of one workspace that lie ready; below 0 if more was admitted than that.

    One that nobody asked for yet was refilled all the time since this host began to lend.
    """

    def __init__(self, *, now: float) -> None:
        self.at = -math.inf
        self.level = 0.0
        self.order = QuotaOrder(now=now)
        self.answered: dict[HostId, _AnsweredCall] = {}

    def fill(self, limits: QuotaLimits, lending: Lending, now: float) -> None:
        """Add what has become ready; nothing is carried over from before the lending began."""
        if lending.since > self.at:
            self.level = min(0.0, self.level)
        elapsed_s = max(0.0, now - max(self.at, lending.since))
        added = lending.share * limits.rate_per_s * elapsed_s
        self.level = min(lending.share * limits.burst, self.level + added)
        self.at = now


class QuotaLender:
    """Decides which requests get tokens, and when those that got none may ask again.

    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[WorkspaceName, _Bucket] = {}
        self._reported: dict[str, dict[WorkspaceName, float]] = {}

    def lend(
        self, call: QuotaCall, limits: QuotaLimits, lending: Lending
    ) -> tuple[float | None, ...]:
        """Return for each request None if its tokens are lent, else when to ask again.

        A call that was sent again has the answer of the first one. One that arrives after a later
        call of its host gets nothing, as nobody waits for it any more.
        """
        now = self._clock.monotonic()
        bucket = self._bucket(call.workspace, now)
        last = bucket.answered.get(call.host)
        if last is not None and last.process == call.process and call.number <= last.number:
            return last.wait_s if call.number == last.number else (MIN_WAIT_S,) * len(call.wanted)
        bucket.fill(limits, lending, now)
        for found in call.rejected:
            bucket.order.note((found.rank, found.size), found.tokens, now)
        for need in call.wanted:
            bucket.order.note(kind_of(need.rank, need.amount), need.amount, now)
        answers: dict[int, float | None] = {}
        ranked = sorted(
            range(len(call.wanted)),
            key=lambda index: (call.wanted[index].rank, call.wanted[index].amount),
        )
        for index in ranked:
            need = call.wanted[index]
            answers[index] = self._decide(bucket, need.rank, need.amount, limits, lending, now)
        waits = tuple(answers[index] for index in range(len(call.wanted)))
        bucket.answered.pop(call.host, None)
        bucket.answered[call.host] = _AnsweredCall(
            process=call.process, number=call.number, wait_s=waits
        )
        while len(bucket.answered) > MAX_REPORTERS:
            del bucket.answered[next(iter(bucket.answered))]
        return waits

    def note_unlent(
        self,
        process: str,
        unlent: cabc.Mapping[WorkspaceName, float],
        *,
        lends: bool,
        is_new: bool = False,
    ) -> None:
        """Record the total that a process, or those behind it, admitted without asking.

        :param lends: whether this host lends; if not, the buckets have nothing to subtract from.
        :param is_new: whether it can't have been reported before, so that all of it counts.
        """
        last = self._reported.pop(process, None)
        self._reported[process] = dict(unlent)
        while len(self._reported) > MAX_REPORTERS:
            del self._reported[next(iter(self._reported))]
        if not lends or (last is None and not is_new):
            return
        last = last or {}
        now = self._clock.monotonic()
        for name, total in unlent.items():
            amount = total - last.get(name, 0.0)
            if amount:
                bucket = self._bucket(name, now)
                bucket.level -= amount
                bucket.order.note_unlent(amount, now)

    def level(self, name: WorkspaceName) -> float:
        """Return the tokens of a workspace that lay ready when it was last asked for."""
        bucket = self._buckets.get(name)
        return 0.0 if bucket is None else bucket.level

    def _decide(
        self,
        bucket: _Bucket,
        rank: int,
        amount: float,
        limits: QuotaLimits,
        lending: Lending,
        now: float,
    ) -> float | None:
        rate_per_s = lending.share * limits.rate_per_s
        most = lending.share * limits.burst
        kind = kind_of(rank, amount)
        # A request of more than the burst gets through when the bucket is full, and is repaid.
        need = min(amount, most)
        order = bucket.order
        if order.admits(kind, need, level=bucket.level, rate_per_s=rate_per_s, most=most, now=now):
            bucket.level -= amount
            return None
        wait_s = order.wait_s(kind, need, level=bucket.level, rate_per_s=rate_per_s, now=now)
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))
        order.limit_wait(kind, wait_s, now)
        return wait_s

    def _bucket(self, name: WorkspaceName, now: float) -> _Bucket:
        bucket = self._buckets.pop(name, None)
        if bucket is None:
            bucket = _Bucket(now=now)
        self._buckets[name] = bucket
        while len(self._buckets) > MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        return bucket
