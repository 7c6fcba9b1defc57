"""Metrics, exposed at ``/metrics`` in the Prometheus text format."""

import dataclasses
import pathlib
import resource
import time

from aioprometheus import collectors
from aioprometheus import renderer

from cassiawalk._histogram import BisectHistogram
from cassiawalk._histogram import LabelledHistogram
from cassiawalk.clock import Clock
from cassiawalk.http1 import Closure
from cassiawalk.metering import Meter
from cassiawalk.refusals import LoggedRefusal
from cassiawalk.refusals import RefusalLog
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal

LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0, 60.0]
INTERVAL_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.25, 1.0, 5.0]


@dataclasses.dataclass(kw_only=True)
class _Series:
    """The metrics of one workspace and kind, kept so that no token needs a look-up by labels."""

    labels: dict[str, str]
    first_token: BisectHistogram
    between_tokens: BisectHistogram
    whole_answer: BisectHistogram
    queue_wait: BisectHistogram
    tokens: int = 0


class Metrics:
    """The metrics of one process; those of requests are labelled with workspace and kind."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.refusals = RefusalLog()
        self.registry = collectors.Registry()
        self._first_token = self._histogram(
            "cassiawalk_first_token_seconds", "Time to the first token.", LATENCY_BUCKETS_S
        )
        self._between_tokens = self._histogram(
            "cassiawalk_between_tokens_seconds", "Time between tokens.", INTERVAL_BUCKETS_S
        )
        self._whole_answer = self._histogram(
            "cassiawalk_whole_answer_seconds", "Time to the whole answer.", LATENCY_BUCKETS_S
        )
        self._queue_wait = self._histogram(
            "cassiawalk_queue_wait_seconds", "Wait for a slot.", LATENCY_BUCKETS_S
        )
        self._refused = self._counter("cassiawalk_refusals", "Final answers without a result.")
        self._retries = self._counter("cassiawalk_retries", "Attempts after a failed one.")
        self._recomputed = self._counter("cassiawalk_recomputed_tokens", "Tokens computed again.")
        self._saved = self._counter("cassiawalk_saved_tokens", "Tokens found in engine caches.")
        self._tokens = self._counter("cassiawalk_tokens", "Tokens forwarded.")
        self._cost = self._counter(
            "cassiawalk_cost_units", "Upstreams' price for the slots and time of all attempts."
        )
        self._handovers = self._counter("cassiawalk_handovers", "Requests moved to another host.")
        self._closures = self._counter(
            "cassiawalk_connections_closed",
            "Clients' connections refused or ended by a limit, by listener and cause.",
        )
        self._last_token_at: dict[str, float] = {}
        self._series: dict[tuple[str, str, str], _Series] = {}
        self.control_meter = Meter()
        self._control_cpu = self._gauge(
            "cassiawalk_control_cpu_seconds", "Processor time of the control work."
        )
        self._control_sent = self._gauge(
            "cassiawalk_control_sent_bytes", "Payload bytes sent to peers and the platform."
        )
        self._control_received = self._gauge(
            "cassiawalk_control_received_bytes",
            "Payload bytes received from peers and the platform.",
        )
        self._process_cpu = self._gauge(
            "cassiawalk_process_cpu_seconds", "Processor time of the process."
        )
        self._resident = self._gauge("cassiawalk_resident_bytes", "Resident memory of the process.")

    def note_tokens(self, record: RequestRecord, count: int, now: float) -> None:
        """Count forwarded tokens, and record the time to the first token or between tokens.

        :param now: monotonic time in seconds.
        """
        series = self._series_of(record)
        series.tokens += count
        last = self._last_token_at.get(record.request_id)
        if record.first_text_at is None:
            record.first_text_at = now
            series.first_token.observe(now - record.accepted_at)
        elif last is not None:
            series.between_tokens.observe(now - last)
            series.between_tokens.observe_zeros(count - 1)
        self._last_token_at[record.request_id] = now

    def note_computed(self, record: RequestRecord, computed: int, cached: int) -> None:
        """Count tokens found in caches and, from the second attempt on, tokens computed again."""
        self._saved.add(_labels(record), cached)
        if record.attempt > 1:
            self._recomputed.add(_labels(record), computed)

    def note_cost(self, record: RequestRecord, units: float) -> None:
        """Add the cost of an attempt, in cost units."""
        self._cost.add(_labels(record), units)

    def note_queue_wait(self, record: RequestRecord, wait_s: float) -> None:
        """Record how long a request waited for a slot, in seconds."""
        self._series_of(record).queue_wait.observe(wait_s)

    def note_complete(self, record: RequestRecord, now: float) -> None:
        """Record the time to a complete answer; ``now`` is monotonic time in seconds."""
        self._series_of(record).whole_answer.observe(now - record.accepted_at)
        self._last_token_at.pop(record.request_id, None)

    def note_refusal(self, record: RequestRecord, refusal: Refusal) -> None:
        """Count a refusal, and add it to the log of refusals."""
        self._refused.inc({**_labels(record), "code": str(int(refusal.code))})
        self.refusals.add(
            LoggedRefusal(
                workspace=record.workspace,
                service=record.service,
                kind=record.kind_name,
                refusal=refusal,
                at_s=self._clock.monotonic(),
            )
        )
        self._last_token_at.pop(record.request_id, None)

    def note_closure(self, listener: str, closure: Closure) -> None:
        """Count a connection that was refused, or ended by a limit."""
        self._closures.inc({"listener": listener, "cause": closure.value})

    def note_retry(self, record: RequestRecord) -> None:
        """Count an attempt that follows a failed one."""
        self._retries.inc(_labels(record))

    def _series_of(self, record: RequestRecord) -> _Series:
        key = (record.workspace, record.service, record.kind_name)
        series = self._series.get(key)
        if series is None:
            labels = _labels(record)
            series = _Series(
                labels=labels,
                first_token=self._first_token.with_labels(labels),
                between_tokens=self._between_tokens.with_labels(labels),
                whole_answer=self._whole_answer.with_labels(labels),
                queue_wait=self._queue_wait.with_labels(labels),
            )
            self._series[key] = series
        return series

    def note_handover(self, record: RequestRecord) -> None:
        """Count a request that was handed over to another host."""
        self._handovers.inc(_labels(record))
        self._last_token_at.pop(record.request_id, None)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of the response to a scrape."""
        for series in self._series.values():
            self._tokens.set(series.labels, series.tokens)
        self._control_cpu.set({}, self.control_meter.cpu_s)
        self._control_sent.set({}, self.control_meter.bytes_sent)
        self._control_received.set({}, self.control_meter.bytes_received)
        self._process_cpu.set({}, time.process_time())
        self._resident.set({}, _resident_bytes())
        return renderer.render(self.registry, ["text/plain"])

    def _histogram(self, name: str, doc: str, buckets: list[float]) -> LabelledHistogram:
        return LabelledHistogram(
            name, doc, registry=self.registry, buckets=[*buckets, float("inf")]
        )

    def _gauge(self, name: str, doc: str) -> collectors.Gauge:
        return collectors.Gauge(name, doc, registry=self.registry)

    def _counter(self, name: str, doc: str) -> collectors.Counter:
        return collectors.Counter(name, doc, registry=self.registry)


def _resident_bytes() -> int:
    """Return the resident memory in bytes, or its peak if the current value is not available."""
    try:
        pages = int(pathlib.Path("/proc/self/statm").read_text("ascii").split()[1])
        return pages * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def _labels(record: RequestRecord) -> dict[str, str]:
    return {"workspace": record.workspace, "kind": f"{record.service}/{record.kind_name}"}
