"""Reports usage once for each window; the counts are appended to the log before the report.

The log may lose a record, if its store returns from an older copy. So a report is sent only once
other hosts know of it, see ``ReportProgress``, and a window that may have been reported is not
counted anew: its report is then missing, but no second one with other counts is sent.
"""

import collections
import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.clients import Appended
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadFailed
from cassiawalk.duties.api import DutyApi
from cassiawalk.duties.api import DutyOutcome
from cassiawalk.duties.api import FencingToken
from cassiawalk.duties.api import UsageWindow
from cassiawalk.duties.holder import Duty
from cassiawalk.duties.progress import NO_WINDOW
from cassiawalk.duties.progress import ReportProgress
from cassiawalk.duties.usage import UsageCounts
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.ids import WorkspaceName
from cassiawalk.wire import Registry

USAGE_STREAM = "usage"
# Time after the duties were acquired until all hosts have sent this host their counts.
TAKEOVER_DELAY_S = 2.5
# Time after the end of a window until all hosts have sent their final counts of it.
WINDOW_SETTLE_S = 1.6
READ_LIMIT_ENTRIES = 256
WINDOWS_KEPT = 16

_registry = Registry()


@_registry.register("usage")
@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageRecord:
    """The counts that are reported for a window. Only a window's first record is valid."""

    window: int
    counts: dict[WorkspaceName, int]


class UsageReporter(Duty):
    """Reports each window after it has ended.

    The counts are appended to the ``usage`` stream before they are reported, so that a later holder
    that repeats a report sends the same counts.

    :param now: returns the corrected time in seconds since the epoch.
    :param takeover_delay: returns for how many seconds after it took the duties this host does not
        have all hosts' counts yet.
    :param max_delay_s: how long after the end of a window it is still reported, in seconds.
    """

    def __init__(
        self,
        *,
        api: DutyApi,
        log: LogService,
        counts: UsageCounts,
        progress: ReportProgress,
        now: cabc.Callable[[], float],
        max_delay_s: float,
        takeover_delay: cabc.Callable[[], float] = lambda: TAKEOVER_DELAY_S,
    ) -> None:
        self._api = api
        self._log = log
        self._counts = counts
        self._progress = progress
        self._now = now
        self._max_delay_s = max_delay_s
        self._takeover_delay = takeover_delay
        self._next_offset = Offset(0)
        self._loaded_fence: Offset | None = None
        self._acquired_fence: Offset | None = None
        self._acquired_s = 0.0
        self._recorded: dict[int, UsageRecord] = {}
        self._reported: collections.deque[int] = collections.deque(maxlen=WINDOWS_KEPT)

    async def step(self, by: FencingToken) -> DutyOutcome:
        """Append the counts of each window that is due to the log, then report them."""
        due = self._due()
        if not due:
            return DutyOutcome.DONE
        if not await self._load_records(by.fence):
            return DutyOutcome.UNKNOWN
        records, last_outcome = await self._ensure_records(due)
        known = self._progress.announce(records[-1].window) if records else NO_WINDOW
        for record in records:
            if record.window > known:
                return last_outcome
            if not by.may_send():
                return DutyOutcome.UNKNOWN
            outcome = await self._report(record, by)
            if outcome is not DutyOutcome.DONE:
                return outcome
        return last_outcome

    async def _ensure_records(
        self, due: cabc.Iterable[int]
    ) -> tuple[list[UsageRecord], DutyOutcome]:
        """Return the records of the windows that can be reported now, and whether one failed."""
        records: list[UsageRecord] = []
        for window in due:
            if window not in self._recorded and not self._has_all_counts():
                break
            if window not in self._recorded and not self._may_count(window):
                self._skip(window)
                continue
            record = await self._ensure_record(window)
            if record is None:
                return records, DutyOutcome.UNKNOWN
            records.append(record)
        return records, DutyOutcome.DONE

    async def _load_records(self, fence: Offset) -> bool:
        """Read the records of earlier holders, once each time the duties are acquired."""
        if self._loaded_fence == fence:
            return True
        if self._acquired_fence != fence:
            self._acquired_fence, self._acquired_s = fence, self._now()
        if not await self._read():
            return False
        self._loaded_fence = fence
        return True

    def _due(self) -> list[int]:
        now = self._now()
        newest = self._counts.window_at(now - WINDOW_SETTLE_S) - 1
        oldest = self._counts.window_at(now - self._max_delay_s) - 1
        return [window for window in range(oldest, newest + 1) if window not in self._reported]

    def _has_all_counts(self) -> bool:
        return self._now() - self._acquired_s >= self._takeover_delay()

    def _may_count(self, window: int) -> bool:
        """Return whether no host can have reported a window that has no record."""
        return window > self._progress.last and self._counts.covers(window)

    def _skip(self, window: int) -> None:
        self._reported.append(window)
        eliot.log_message(
            message_type="usage:skipped",
            window=window,
            announced=self._progress.last,
            covered=self._counts.covers(window),
        )

    async def _ensure_record(self, window: int) -> UsageRecord | None:
        """Return a window's first record on the log, or append one; None if the log fails."""
        known = self._recorded.get(window)
        if known is not None:
            return known
        record = UsageRecord(window=window, counts=self._counts.total(window))
        outcome = await self._log.append(stream=USAGE_STREAM, payload=_registry.encode([record]))
        if not isinstance(outcome, Appended):
            eliot.log_message(
                message_type="usage:not-recorded", window=window, reason=repr(outcome)
            )
            self._loaded_fence = None
            return None
        if outcome.offset == self._next_offset:
            self._fold(outcome.offset, record)
            return record
        return self._recorded.get(window) if await self._read() else None

    async def _report(self, record: UsageRecord, by: FencingToken) -> DutyOutcome:
        window = UsageWindow(number=record.window, counts=record.counts)
        outcome = await self._api.report_usage(window, by)
        if outcome is DutyOutcome.DONE:
            self._reported.append(record.window)
        eliot.log_message(
            message_type="usage:reported",
            window=record.window,
            counts=dict(record.counts),
            fence=by.fence,
            outcome=outcome.value,
        )
        return outcome

    async def _read(self) -> bool:
        while True:
            batch = await self._log.read(
                stream=USAGE_STREAM, start=self._next_offset, limit=READ_LIMIT_ENTRIES
            )
            if isinstance(batch, ReadFailed):
                return False
            self._next_offset = max(self._next_offset, batch.first_offset)
            for entry in batch.entries:
                self._apply_entry(entry.offset, entry.payload)
            if self._next_offset >= batch.end_offset:
                return True

    def _apply_entry(self, offset: Offset, payload: bytes) -> None:
        self._next_offset = Offset(offset + 1)
        try:
            records = _registry.decode(payload)
        except (WireError, TypeError, ValueError) as exc:
            eliot.log_message(message_type="usage:unreadable", offset=offset, reason=str(exc))
            return
        for record in records:
            if isinstance(record, UsageRecord):
                self._fold(offset, record)

    def _fold(self, offset: Offset, record: UsageRecord) -> None:
        self._next_offset = Offset(max(self._next_offset, offset + 1))
        self._recorded.setdefault(record.window, record)
        while len(self._recorded) > WINDOWS_KEPT:
            del self._recorded[min(self._recorded)]
