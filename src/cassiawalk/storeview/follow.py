"""Reads a keyed stream of the store: its complete list once, from then on its changes."""

import abc
import asyncio
import collections.abc as cabc
import dataclasses
import random

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import KeyedChanges
from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import ReadFailed
from cassiawalk.clock import Clock
from cassiawalk.ids import Offset
from cassiawalk.storeview.freshness import Freshness

RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 1.0
FAILURES_BEFORE_LONG_PAUSE = 2  # a single failure may be a lost connection
# A read that has no answer this long after ``wait_s`` counts as an outage. So hosts that copy from
# this one stop relying on it before the read itself fails.
OVERDUE_AFTER_S = 0.35
MIN_WAIT_RATIO = 0.6  # the shortest wait of a read, as a ratio of ``wait_s``
OUTAGE_AFTER_S = 0.8  # reads that fail for longer count as an outage of the source


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadOptions:
    """Options for reading a stream; times in seconds.

    A host that reads for all follows the stream. Another one reads just once when it must know.

    :param wait_s: the maximum wait of one read for a first record. A record that is appended
        as a read begins may be returned only when that read ends. So each read waits for a random
        time up to this, and the reads of several hosts do not coincide.
    :param pause_s: the pause after each read, in which new records accumulate.
    :param should_read: returns whether this host reads for all; the first read ignores it.
    :param must_know: returns whether this host must read, though others read for all.
    :param is_woken: whether ``check_turn`` is called often, so that the follower itself need not
        look again and again whether it has to read.
    :param freshness: as of when this host knows the stream; by default only its reads tell.
    :param max_retry_pause_s: returns the longest pause between reads that fail, from 0.5 to 1.5
        times that.
    :param on_change: called after a read that changed something.
    :param on_read: called after each read that the source answered.
    """

    stream: str
    wait_s: float
    pause_s: float
    should_read: cabc.Callable[[], bool] = lambda: True
    must_know: cabc.Callable[[], bool] = lambda: False
    is_woken: bool = False
    freshness: Freshness | None = None
    max_retry_pause_s: cabc.Callable[[], float] = lambda: MAX_RETRY_PAUSE_S
    on_change: cabc.Callable[[], None] = lambda: None
    on_read: cabc.Callable[[], None] = lambda: None


class StreamFollower(Component, abc.ABC):
    """Reads the complete list of a keyed stream once, and from then on its changes."""

    def __init__(
        self, *, log: KeyedLog, options: ReadOptions, clock: Clock, rng: random.Random
    ) -> None:
        self._log = log
        self._options = options
        self._clock = clock
        self._rng = rng
        self._next: Offset | None = None
        self._read_started_at: float | None = None
        self._failing_since: float | None = None
        self._failures = 0
        self._wait_s = 0.0
        self._awaits_turn = False
        self._turn = asyncio.Event()
        self.freshness = options.freshness or Freshness(clock=clock)

    poll_interval_s = 0.1

    async def start(self) -> None:
        """Start reading."""
        self.keep_running(self._follow, name=f"follow-{self._options.stream}")

    @property
    def source_unavailable(self) -> bool:
        """Return whether reads have failed for ``OUTAGE_AFTER_S`` s, or an answer is overdue."""
        now = self._clock.monotonic()
        if (
            self._read_started_at is not None
            and now - self._read_started_at > self._options.wait_s + OVERDUE_AFTER_S
        ):
            return True
        return self._failing_since is not None and now - self._failing_since > OUTAGE_AFTER_S

    async def _follow(self) -> None:
        while True:
            reads_for_all = self._options.should_read()
            if self._next is not None and not reads_for_all and not self._options.must_know():
                await self._wait_for_turn()
                continue
            asked_at = self.freshness.now()
            started_at = self._clock.monotonic()
            self._read_started_at = started_at
            self._wait_s = self._random_wait_s() if reads_for_all else 0.0
            if self._next is not None and not reads_for_all:
                eliot.log_message(
                    message_type="follow:must-know",
                    stream=self._options.stream,
                    age_s=round(self.freshness.age_s, 3),
                )
            batch = await self._read()
            self._read_started_at = None
            if isinstance(batch, ReadFailed):
                await self._handle_failure(batch, started_at)
                continue
            self._handle_recovery(batch)
            self._options.on_read()
            self._apply(batch)
            if _is_complete(batch):
                self._confirm(batch, asked_at)
                self.on_caught_up()
            await self._clock.sleep(self._options.pause_s)

    def check_turn(self) -> None:
        """Begin to read if this host has to and does not read yet."""
        if self._awaits_turn and (self._options.should_read() or self._options.must_know()):
            self._turn.set()

    async def _wait_for_turn(self) -> None:
        if not self._options.is_woken:
            await self._clock.sleep(self.poll_interval_s)
            return
        self._awaits_turn = True
        await self._turn.wait()
        self._awaits_turn = False
        self._turn.clear()

    async def _read(self) -> KeyedList | KeyedChanges | ReadFailed:
        if self._next is None:
            return await self._log.newest(stream=self._options.stream)
        return await self._log.changes(
            stream=self._options.stream, start=self._next, wait_s=self._wait_s
        )

    def _random_wait_s(self) -> float:
        return self._options.wait_s * (MIN_WAIT_RATIO + (1 - MIN_WAIT_RATIO) * self._rng.random())

    def _confirm(self, batch: KeyedList | KeyedChanges, asked_at: float) -> None:
        """Record as of when all records are known: a read that waited shows that none came."""
        if isinstance(batch, KeyedChanges) and not batch.records:
            self.freshness.confirm(min(self.freshness.now(), asked_at + self._wait_s))
            return
        self.freshness.confirm(asked_at)

    def _apply(self, batch: KeyedList | KeyedChanges) -> None:
        if isinstance(batch, KeyedChanges) and batch.missed:
            eliot.log_message(
                message_type="follow:missed",
                stream=self._options.stream,
                start=self._next,
                restored=batch.restored,
            )
            self._next = None
            if batch.restored:
                self.on_restored()
            return
        before = self.version()
        self.on_batch(batch)
        for record in batch.records:
            self._apply_record(record)
        if isinstance(batch, KeyedList):
            self.apply_list(batch)
        else:
            self.on_read_before(batch.end)
        self._next = batch.end
        if self.version() != before:
            self._options.on_change()

    def _apply_record(self, record: KeyedRecord) -> None:
        """Apply a record; one that causes an unexpected error must not keep back all others."""
        try:
            self.apply_record(record)
        except Exception as exc:
            eliot.log_message(
                message_type="follow:record-failed",
                stream=self._options.stream,
                key=record.key,
                error=repr(exc),
            )

    async def _handle_failure(self, failed: ReadFailed, started_at: float) -> None:
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = started_at
            eliot.log_message(
                message_type="dependency:lost", stream=self._options.stream, reason=failed.reason
            )
        limit_s = self._options.max_retry_pause_s()
        pause_s = min(limit_s, RETRY_PAUSE_S * self._failures)
        if limit_s > MAX_RETRY_PAUSE_S and self._failures >= FAILURES_BEFORE_LONG_PAUSE:
            pause_s = limit_s
        await self._clock.sleep(pause_s * (0.5 + self._rng.random()))

    def _handle_recovery(self, batch: KeyedList | KeyedChanges) -> None:
        if self._failing_since is None:
            return
        outage_s = self._clock.monotonic() - self._failing_since
        eliot.log_message(
            message_type="dependency:regained",
            stream=self._options.stream,
            away_s=round(outage_s, 3),
        )
        if outage_s > OUTAGE_AFTER_S:
            self.on_source_recovered(batch)
        self._failing_since = None
        self._failures = 0

    @abc.abstractmethod
    def apply_record(self, record: KeyedRecord) -> None:
        """Apply one record."""

    @abc.abstractmethod
    def version(self) -> int:
        """Return a number that changes when a read has changed something."""

    def on_batch(self, batch: KeyedList | KeyedChanges) -> None:
        """Called before the records of a read are applied."""

    def on_read_before(self, end: Offset) -> None:
        """Called after changes have been applied, all of which were read up to ``end``."""

    def apply_list(self, batch: KeyedList) -> None:
        """Called after the records of a complete list; entries that it lacks no longer exist."""

    def on_restored(self) -> None:
        """Called when the source has returned from an older copy, before its list is read."""

    def on_caught_up(self) -> None:
        """Called after a complete read has been applied, and ``freshness`` tells as of when."""

    def on_source_recovered(self, batch: KeyedList | KeyedChanges) -> None:
        """Called when the source answers again after an outage, before ``batch`` is applied."""


def _is_complete(batch: KeyedList | KeyedChanges) -> bool:
    """Return whether a read held all records that there were when the source answered it."""
    return isinstance(batch, KeyedList) or (batch.complete and not batch.missed)
