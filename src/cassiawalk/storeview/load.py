"""Estimates the load of one upstream, as the counts that it reports itself lag behind."""

import collections.abc as cabc
import dataclasses
import math

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.storeview.promptparts import PromptPart

PEER_REPORT_MAX_AGE_S = 2.0
# An upstream's own count counts for less the older it is, and for nothing after this time: what
# hosts tell each other is not older.
LOAD_REPORT_MAX_AGE_S = 1.0
# Neighbours on an upstream's machine come and go several times a second.
PACE_MAX_AGE_S = 0.3
PEER_REPORT_DELAY_S = 0.3  # the usual age of a report when it comes
PENDING_MEAN_S = 2.0  # time constant of the mean of pending tokens that hosts report
CACHED_PART_TTL_S = 120.0
MAX_CACHED_PARTS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportedLoad:
    """What an upstream says of its load in the head of an answer.

    :param running: the requests that it runs.
    :param waiting: the requests that wait for a slot.
    :param slots: how many requests it runs at once.
    :param pace: how many times as long as usual work takes there at this moment; None if not said.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PeerReport:
    """What another host has at an upstream, as it last reported.

    :param at: when the report came, in monotonic seconds.
    :param pending_tokens: the prompt tokens of its requests that wait to be prefilled.
    :param pending_mean: the mean of ``pending_tokens`` over its reports.
    """

    at: float
    requests: int
    pending_tokens: int
    pending_mean: float


class EngineLoad:
    """The load of one upstream, as far as this host knows it.

    This host's own requests are counted exactly, and those of other hosts as last reported. The
    prompt parts in the upstream's cache are inferred from the requests that this host sent.

    ``reported`` is the last load that the upstream reported itself, and ``reported_at`` is when it
    came, in monotonic seconds. ``link_free_at`` is when the fetches that this host has caused from
    or to the upstream are expected to end.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._prefilling: dict[RequestId, int] = {}
        self._running: set[RequestId] = set()
        self._peers: dict[HostId, _PeerReport] = {}
        self._cached_at: dict[PartId, float] = {}
        self.reported: ReportedLoad | None = None
        self.reported_at = 0.0
        self.link_free_at = 0.0
        self._others_reported = 0

    @property
    def own(self) -> int:
        """Return the number of this host's requests at the upstream."""
        return len(self._prefilling) + len(self._running)

    @property
    def own_pending_tokens(self) -> int:
        """Return the pending prefill tokens of this host's requests."""
        return sum(self._prefilling.values())

    @property
    def others(self) -> int:
        """Return the number of other hosts' requests at the upstream."""
        return sum(report.requests for report in self._recent_peer_reports())

    @property
    def others_pending_tokens(self) -> int:
        """Return the pending prefill tokens of other hosts' requests."""
        return sum(report.pending_tokens for report in self._recent_peer_reports())

    @property
    def others_expected(self) -> float:
        """Return the number of other hosts' requests, with what the upstream reported itself.

        The older its report, the more counts what the other hosts have reported. Each host has
        reports of its own answers only, so not all hosts see the same upstream as idle at once.
        """
        others = self.others
        if self.reported is None:
            return others
        weight = 1.0 - self.report_age_s / LOAD_REPORT_MAX_AGE_S
        return others + max(0.0, weight) * (self._others_reported - others)

    @property
    def report_age_s(self) -> float:
        """Return the age of ``reported`` in seconds."""
        return self._clock.monotonic() - self.reported_at

    @property
    def pace(self) -> float:
        """Return how many times as long as usual work takes there now; 1.0 if not known."""
        if self.reported is None or self.reported.pace is None:
            return 1.0
        return self.reported.pace if self.report_age_s <= PACE_MAX_AGE_S else 1.0

    def others_pending_left(self, tokens_per_s: float) -> float:
        """Return what is left of the pending prefill tokens that other hosts have reported.

        The upstream has gone on with them since. What has been sent there since is unknown, and
        about the same for all upstreams.

        :param tokens_per_s: how fast the upstream prefills.
        """
        now = self._clock.monotonic()
        pending = drained_s = 0.0
        for report in self._recent_peer_reports():
            pending += report.pending_tokens
            drained_s += report.pending_tokens * (now - report.at + PEER_REPORT_DELAY_S)
        return max(0.0, pending - tokens_per_s * drained_s / pending) if pending else 0.0

    @property
    def others_pending_mean(self) -> float:
        """Return the mean of the pending prefill tokens that other hosts have reported.

        It tells of an upstream that gets more than it can prefill, however old the reports are.
        """
        return sum(report.pending_mean for report in self._recent_peer_reports())

    @property
    def others_age_s(self) -> float | None:
        """Return the age of the oldest report that counts; None if there is none."""
        reports = self._recent_peer_reports()
        if not reports:
            return None
        return self._clock.monotonic() - min(report.at for report in reports)

    @property
    def total(self) -> int:
        """Return the estimated number of requests at the upstream."""
        return self.own + self.others

    def note_sent(self, request_id: RequestId, prefill_tokens: int) -> None:
        """Note that a request was sent to the upstream."""
        self._prefilling[request_id] = prefill_tokens

    def note_first_token(self, request_id: RequestId) -> None:
        """Note that the first token of a request's answer arrived."""
        if self._prefilling.pop(request_id, None) is not None:
            self._running.add(request_id)

    def note_ended(self, request_id: RequestId) -> None:
        """Note that an attempt ended."""
        self._prefilling.pop(request_id, None)
        self._running.discard(request_id)

    def note_reported_load(self, note: ReportedLoad) -> None:
        """Store the load that the upstream reports itself."""
        self.reported = note
        self._others_reported = max(0, note.running + note.waiting - self.own)
        self.reported_at = self._clock.monotonic()

    def note_peer(self, host: HostId, requests: int, prefill_tokens: int) -> None:
        """Store another host's report of its requests and pending prefill tokens here."""
        now = self._clock.monotonic()
        known = self._peers.get(host)
        mean = float(prefill_tokens)
        if known is not None and now - known.at < PEER_REPORT_MAX_AGE_S:
            part = 1.0 - math.exp(-(now - known.at) / PENDING_MEAN_S)
            mean = known.pending_mean + part * (prefill_tokens - known.pending_mean)
        self._peers[host] = _PeerReport(
            at=now, requests=requests, pending_tokens=prefill_tokens, pending_mean=mean
        )

    def uncached_tokens(self, parts: cabc.Sequence[PromptPart]) -> int:
        """Return how many tokens of ``parts`` the upstream probably has not cached.

        They are counted from the first part that this host has not sent there recently, as a cached
        part is of use only if all parts before it are cached too.
        """
        now = self._clock.monotonic()
        for index, part in enumerate(parts):
            sent_at = self._cached_at.get(part.part_id)
            if sent_at is None or now - sent_at > CACHED_PART_TTL_S:
                return sum(left.tokens for left in parts[index:])
        return 0

    def cached_age_s(self, parts: cabc.Sequence[PromptPart]) -> float | None:
        """Return how long ago this host last sent all of ``parts`` there.

        It is None if it has not done so within ``CACHED_PART_TTL_S``.
        """
        if not parts or self.uncached_tokens(parts):
            return None
        return self._clock.monotonic() - min(self._cached_at[part.part_id] for part in parts)

    def note_cached(self, parts: cabc.Sequence[PromptPart]) -> None:
        """Assume that the upstream has ``parts`` in its cache from now on."""
        now = self._clock.monotonic()
        for part in parts:
            self._cached_at.pop(part.part_id, None)
            self._cached_at[part.part_id] = now
        while len(self._cached_at) > MAX_CACHED_PARTS:
            del self._cached_at[next(iter(self._cached_at))]

    def _recent_peer_reports(self) -> list[_PeerReport]:
        limit = self._clock.monotonic() - PEER_REPORT_MAX_AGE_S
        return [report for report in self._peers.values() if report.at > limit]
