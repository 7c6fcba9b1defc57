"""Metrics, exposed at ``/metrics`` in the Prometheus text format."""

import dataclasses

from aioprometheus import collectors
from aioprometheus import histogram
from aioprometheus import renderer

from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal

LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0, 60.0]
INTERVAL_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.25, 1.0, 5.0]


@dataclasses.dataclass(kw_only=True, eq=False)
class _TokenMeter:
    """What is noted for each token of one kind, without a look-up by labels.

    ``tokens`` counts those since the last scrape.
    """

    labels: dict[str, str]
    between: histogram.Histogram
    tokens: int = 0


class Metrics:
    """Histograms and counters of one process; request metrics by workspace and kind."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self._first = self._histogram(
            "cassiawalk_first_token_seconds", "Time to the first token.", LATENCY_BUCKETS_S
        )
        self._between = self._histogram(
            "cassiawalk_between_tokens_seconds", "Time between tokens.", INTERVAL_BUCKETS_S
        )
        self._whole = self._histogram(
            "cassiawalk_whole_answer_seconds", "Time to the whole answer.", LATENCY_BUCKETS_S
        )
        self._queue = self._histogram(
            "cassiawalk_queue_wait_seconds", "Wait for a slot.", LATENCY_BUCKETS_S
        )
        self._refused = self._counter("cassiawalk_refusals", "Final answers without a result.")
        self._retries = self._counter("cassiawalk_retries", "Attempts after a failed one.")
        self._recomputed = self._counter("cassiawalk_recomputed_tokens", "Tokens computed again.")
        self._saved = self._counter("cassiawalk_saved_tokens", "Tokens found in engine caches.")
        self._tokens = self._counter("cassiawalk_tokens", "Tokens forwarded.")
        self._handovers = self._counter("cassiawalk_handovers", "Requests moved to another host.")
        self._meters: dict[tuple[str, str, str], _TokenMeter] = {}
        self._last_text: dict[str, float] = {}

    def note_tokens(self, record: RequestRecord, count: int, now: float) -> None:
        """Note that tokens came; ``now`` is in monotonic seconds."""
        meter = self._meters.get((record.workspace, record.service, record.kind_name))
        if meter is None:
            meter = self._new_meter(record)
        meter.tokens += count
        last = self._last_text.get(record.request_id)
        if record.first_text_at is None:
            record.first_text_at = now
            self._first.observe(meter.labels, now - record.accepted_at)
        elif last is not None:
            meter.between.observe((now - last) / count)
        self._last_text[record.request_id] = now

    def note_computed(self, record: RequestRecord, computed: int, cached: int) -> None:
        """Note what the engine computed and what its caches saved."""
        self._saved.add(_labels(record), cached)
        if record.attempt > 1:
            self._recomputed.add(_labels(record), computed)

    def note_queue_wait(self, record: RequestRecord, wait_s: float) -> None:
        """Note how long a request waited for a slot, in seconds."""
        self._queue.observe(_labels(record), wait_s)

    def note_complete(self, record: RequestRecord, now: float) -> None:
        """Note a whole answer; ``now`` is in monotonic seconds."""
        self._whole.observe(_labels(record), now - record.accepted_at)
        self._last_text.pop(record.request_id, None)

    def note_refusal(self, record: RequestRecord, refusal: Refusal) -> None:
        """Note a final answer without a result."""
        self._refused.inc({**_labels(record), "code": str(int(refusal.code))})
        self._last_text.pop(record.request_id, None)

    def note_retry(self, record: RequestRecord) -> None:
        """Note another attempt."""
        self._retries.inc(_labels(record))

    def note_handover(self, record: RequestRecord) -> None:
        """Note that a request goes on at another host."""
        self._handovers.inc(_labels(record))
        self._last_text.pop(record.request_id, None)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a scrape."""
        for meter in self._meters.values():
            self._tokens.add(meter.labels, meter.tokens)
            meter.tokens = 0
        return renderer.render(self.registry, ["text/plain"])

    def _new_meter(self, record: RequestRecord) -> "_TokenMeter":
        between = histogram.Histogram(*INTERVAL_BUCKETS_S, float("inf"))
        meter = _TokenMeter(labels=_labels(record), between=between)
        self._between.set_value(meter.labels, between)
        self._meters[record.workspace, record.service, record.kind_name] = meter
        return meter

    def _histogram(self, name: str, doc: str, buckets: list[float]) -> collectors.Histogram:
        return collectors.Histogram(
            name, doc, registry=self.registry, buckets=[*buckets, float("inf")]
        )

    def _counter(self, name: str, doc: str) -> collectors.Counter:
        return collectors.Counter(name, doc, registry=self.registry)


def _labels(record: RequestRecord) -> dict[str, str]:
    return {"workspace": record.workspace, "kind": f"{record.service}/{record.kind_name}"}
