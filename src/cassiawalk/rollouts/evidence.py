"""Judges a new version by the responses of both versions.

For each route, and for all routes together, a cumulative sum of log-likelihood ratios compares two
hypotheses: the new version's part of failed or slow responses is about the old version's, or it is
higher by ``BAD_EXCESS``. The sum never falls below 0, so that a version that turns bad late is
found as quickly as one that is bad from the start. The old version's part is that of the last
seconds, so that overload of both versions is no evidence.
"""

import collections.abc as cabc
import dataclasses
import math

from cassiawalk.ids import UpstreamId

OLD_VERSION = UpstreamId("")  # the old version's responses are not kept apart by upstream
ALL_ROUTES = ""
HALF_LIFE_S = 3.0  # of the responses that are compared
# The old version's part of bad responses where nothing is known, and how many responses that is.
PRIOR_PART = 0.02
PRIOR_RESPONSES = 4.0
MIN_OLD_RESPONSES = 30.0  # fewer in the last seconds, and all since the order are taken
# So many of the old version's responses that come at once tell of an overload that just began.
MIN_BATCH_RESPONSES = 10.0
OLD_DEVIATIONS = 0.5  # by which the old version's part may be higher than its few responses say
BAD_EXCESS = 0.3
GOOD_EXCESS = 0.02
MAX_PART = 0.97
MAX_BAD_PART = 0.99
# Four failures without a success between them exceed it, where the old version has none.
BAD_THRESHOLD = 8.0
SUSPICION_THRESHOLD = 4.0
# One upstream is the cause if the log-likelihood ratio of the others is below the first of these,
# as with three good responses. The version is if it is above the second one, as with two bad ones.
OTHERS_GOOD = -1.0
OTHERS_BAD = 3.0
# With fewer responses of the old version, so many of the new one are needed to judge it.
FEW_OLD_RESPONSES = 10.0
ENOUGH_ALONE = 20.0
# With so many bad responses at one upstream, the version is judged without the others. Few enough
# that a rollback is announced in time after the 50th.
MAX_UNCONFIRMED = 40.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tally:
    """Counts of responses.

    :param slow: the responses that took several times as long as usual on their route.
    """

    responses: float = 0.0
    failures: float = 0.0
    slow: float = 0.0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of both."""
        return Tally(
            responses=self.responses + other.responses,
            failures=self.failures + other.failures,
            slow=self.slow + other.slow,
        )

    def scaled(self, factor: float) -> "Tally":
        """Return the counts times a factor."""
        return Tally(
            responses=self.responses * factor,
            failures=self.failures * factor,
            slow=self.slow * factor,
        )

    def bad(self, kind: "Fault") -> float:
        """Return the number of bad responses of a kind."""
        return self.failures if kind == FAILURES else self.slow


Fault = str
FAILURES: Fault = "failures"
SLOWNESS: Fault = "slow responses"
_FAULTS = (FAILURES, SLOWNESS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """What the evidence says of the new version.

    :param reason: why it is bad, or empty if it is not known to be.
    :param suspicious: whether there is evidence against it that does not suffice.
    :param unconfirmed: whether the evidence would suffice if it was not of one upstream.
    :param is_of_one: whether the evidence is against one of its upstreams, as others are fine.
    """

    reason: str = ""
    suspicious: bool = False
    unconfirmed: bool = False
    is_of_one: bool = False

    @property
    def is_bad(self) -> bool:
        """Return whether the version is judged bad."""
        return bool(self.reason)


class VersionJudge:
    """Collects responses of both versions since an order, and judges the new one."""

    def __init__(self) -> None:
        self._at_s: float | None = None
        self._sums: dict[tuple[str, Fault], float] = {}
        self._old_recent: dict[str, Tally] = {}
        self._old_total: dict[str, Tally] = {}
        self._old_batch: dict[str, Tally] = {}
        # The new version's responses since a sum was last 0, which is about when it turned bad.
        self._since: dict[tuple[str, Fault], dict[UpstreamId, Tally]] = {}
        self.responses = Tally()
        self.old_responses = Tally()

    def note(self, added: cabc.Mapping[tuple[str, UpstreamId], Tally], now_s: float) -> None:
        """Add the responses of all hosts that were counted since the last call.

        :param added: by route and upstream, with ``OLD_VERSION`` for all of the old version.
        """
        self._age(now_s)
        self._old_batch.clear()
        for (route, upstream), tally in added.items():
            if upstream != OLD_VERSION:
                self.responses = self.responses.plus(tally)
                continue
            self.old_responses = self.old_responses.plus(tally)
            for scope in (route, ALL_ROUTES):
                self._old_batch[scope] = self._old_batch.get(scope, Tally()).plus(tally)
                self._old_recent[scope] = self._old_recent.get(scope, Tally()).plus(tally)
                self._old_total[scope] = self._old_total.get(scope, Tally()).plus(tally)
        for scope in {ALL_ROUTES} | {route for route, _ in added}:
            new: dict[UpstreamId, Tally] = {}
            for (route, upstream), tally in added.items():
                if upstream != OLD_VERSION and scope in (route, ALL_ROUTES):
                    new[upstream] = new.get(upstream, Tally()).plus(tally)
            for fault in _FAULTS:
                self._advance(scope, fault, new)

    def find(self, *, upstreams: int) -> Finding:
        """Judge the new version.

        :param upstreams: how many of its upstreams serve.
        """
        suspicious = unconfirmed = is_of_one = False
        for (scope, fault), value in self._sums.items():
            if value < SUSPICION_THRESHOLD:
                continue
            by_one = self._is_of_one_upstream(scope, fault, upstreams)
            if by_one:
                is_of_one = True
                continue
            if by_one is None or value < BAD_THRESHOLD or not self._may_compare(scope):
                suspicious = True
                unconfirmed = unconfirmed or value >= BAD_THRESHOLD
                continue
            return Finding(reason=self._describe(scope, fault))
        return Finding(suspicious=suspicious, unconfirmed=unconfirmed, is_of_one=is_of_one)

    def _may_compare(self, scope: str) -> bool:
        old = self._old_total.get(scope, Tally()).responses
        return old >= FEW_OLD_RESPONSES or self.responses.responses >= ENOUGH_ALONE

    def _is_of_one_upstream(self, scope: str, fault: Fault, upstreams: int) -> bool | None:
        """Return whether one upstream of several causes the evidence; None if not known yet."""
        if upstreams <= 1:
            return False
        known = self._others_blame(scope, fault)
        return known if known is not None else self._others_blame(ALL_ROUTES, fault)

    def _others_blame(self, scope: str, fault: Fault) -> bool | None:
        """Return whether all upstreams but the worst one are fine; None if not known yet."""
        since = self._since.get((scope, fault), {})
        if not since:
            return None
        worst = max(since, key=lambda upstream: since[upstream].bad(fault))
        others = _sum(tally for upstream, tally in since.items() if upstream != worst)
        ratio = _log_ratio(others, fault, self._old_part(scope, fault))
        if ratio <= OTHERS_GOOD:
            return True
        is_clear = ratio >= OTHERS_BAD or since[worst].bad(fault) >= MAX_UNCONFIRMED
        return False if is_clear else None

    def _age(self, now_s: float) -> None:
        if self._at_s is not None and now_s > self._at_s:
            factor = 0.5 ** ((now_s - self._at_s) / HALF_LIFE_S)
            for scope, tally in self._old_recent.items():
                self._old_recent[scope] = tally.scaled(factor)
            for since in self._since.values():
                for upstream, tally in since.items():
                    since[upstream] = tally.scaled(factor)
        self._at_s = now_s

    def _advance(self, scope: str, fault: Fault, added: cabc.Mapping[UpstreamId, Tally]) -> None:
        new = _sum(added.values())
        if not new.responses:
            return
        key = scope, fault
        old = max(self._old_part(scope, fault), self._batch_part(scope, fault))
        self._sums[key] = max(0.0, self._sums.get(key, 0.0) + _log_ratio(new, fault, old))
        if self._sums[key] == 0.0:
            self._since.pop(key, None)
            return
        since = self._since.setdefault(key, {})
        for upstream, tally in added.items():
            since[upstream] = since.get(upstream, Tally()).plus(tally)

    def _old_part(self, scope: str, fault: Fault) -> float:
        """Return the old version's part of bad responses."""
        tally = self._old_recent.get(scope, Tally())
        if tally.responses < MIN_OLD_RESPONSES:
            tally = self._old_total.get(scope, Tally())
        return _estimated_part(tally, fault)

    def _batch_part(self, scope: str, fault: Fault) -> float:
        """Return the old version's part among the responses that were added last."""
        tally = self._old_batch.get(scope, Tally())
        return _estimated_part(tally, fault) if tally.responses >= MIN_BATCH_RESPONSES else 0.0

    def _describe(self, scope: str, fault: Fault) -> str:
        new = _sum(self._since.get((scope, fault), {}).values())
        part = new.bad(fault) / new.responses if new.responses else 0.0
        where = f"route {scope}" if scope else "all routes"
        usual = self._old_part(scope, fault)
        return f"{fault} on {where}: {part:.2f} of the responses, {usual:.2f} of the old version's"


def _estimated_part(tally: Tally, fault: Fault) -> float:
    """Return the part of bad responses that a version may have by its counts."""
    weight = tally.responses + PRIOR_RESPONSES
    part = min(MAX_PART, (tally.bad(fault) + PRIOR_PART * PRIOR_RESPONSES) / weight)
    return min(MAX_PART, part + OLD_DEVIATIONS * math.sqrt(part * (1.0 - part) / weight))


def _log_ratio(tally: Tally, fault: Fault, old: float) -> float:
    """Return the log-likelihood ratio of a bad version and one that is as the old one.

    :param old: the old version's part of bad responses.
    """
    good, bad = min(MAX_PART, old + GOOD_EXCESS), min(MAX_BAD_PART, old + BAD_EXCESS)
    found = min(tally.bad(fault), tally.responses)
    ratio = found * math.log(bad / good)
    return ratio + (tally.responses - found) * math.log((1.0 - bad) / (1.0 - good))


def _sum(tallies: cabc.Iterable[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total = total.plus(tally)
    return total
