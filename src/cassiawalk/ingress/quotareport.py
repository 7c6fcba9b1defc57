"""Metrics and log lines for decisions about quotas."""

import eliot
from aioprometheus import collectors

from cassiawalk._histogram import LabelledHistogram
from cassiawalk.clock import Clock
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.fleetquotas import QuotaListener
from cassiawalk.ingress.fleetquotas import QuotaReason

CALL_BUCKETS_S = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, float("inf")]
LOG_INTERVAL_S = 5.0  # between two lines about one workspace


class QuotaReport(QuotaListener):
    """Counts decisions about quotas by workspace and reason, and the calls to the lender."""

    def __init__(self, *, registry: collectors.Registry, clock: Clock) -> None:
        self._clock = clock
        self._decisions = collectors.Counter(
            "cassiawalk_quota_decisions",
            "Decisions about workspaces' quotas, by workspace, reason and whether admitted.",
            registry=registry,
        )
        self._call_seconds = LabelledHistogram(
            "cassiawalk_quota_call_seconds",
            "Time of calls to the lender of the fleet's quotas, by outcome.",
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self._lends = collectors.Gauge(
            "cassiawalk_quota_lends",
            "Whether this host lends the fleet's quotas: 1 or 0.",
            registry=registry,
        )
        self._lends.set({}, 0)
        self._rejected: dict[WorkspaceName, dict[str, int]] = {}
        self._logged_at: dict[WorkspaceName, float] = {}

    def note_quota(self, name: WorkspaceName, reason: QuotaReason, *, admitted: bool) -> None:
        """Count a decision; log the rejections of a workspace from time to time."""
        self._decisions.inc(
            {"workspace": name, "reason": reason.value, "admitted": "yes" if admitted else "no"}
        )
        if not admitted:
            self._note_rejected(name, reason)

    def note_call(self, outcome: str, took_s: float) -> None:
        """Record a call to the lender."""
        self._call_seconds.with_labels({"outcome": outcome}).observe(took_s)

    def note_lends(self, lends: bool) -> None:
        """Record whether this host lends."""
        self._lends.set({}, int(lends))

    def _note_rejected(self, name: WorkspaceName, reason: QuotaReason) -> None:
        counts = self._rejected.setdefault(name, {})
        counts[reason.value] = counts.get(reason.value, 0) + 1
        now = self._clock.monotonic()
        if now - self._logged_at.get(name, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at[name] = now
        eliot.log_message(message_type="quota:rejected", workspace=name, counts=dict(counts))
        counts.clear()
