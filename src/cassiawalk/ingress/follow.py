"""Follows the platform's records of configuration and upstreams."""

import abc
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
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.config import ConfigView
from cassiawalk.ingress.config import IngressConfig
from cassiawalk.ingress.directory import Directory
from cassiawalk.ingress.directory import Registration

FAILED_PAUSE_S = 0.25
LONGEST_PAUSE_S = 1.0
REMOVALS_KEPT = 256
OVERDUE_S = 0.35  # an answer that is so late is taken for none by those who copy from here
LEAST_WAIT = 0.6  # of the longest
AWAY_AFTER_S = 0.8  # failures for so long count as an outage of the source

ConfigDecoder = cabc.Callable[[bytes], IngressConfig]
RegistrationDecoder = cabc.Callable[[str, bytes], Registration | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadOptions:
    """How a stream is read; times in seconds.

    :param wait_s: the longest that one read waits for a first record. A record that is appended
        while a read begins may be told only when that read ends, so that readers differ in how
        long they wait.
    :param pause_s: the pause after each read, in which records gather.
    :param should_read: returns whether this host reads now; the first read ignores it.
    :param on_change: called when something new was read.
    """

    stream: str
    wait_s: float
    pause_s: float
    should_read: cabc.Callable[[], bool] = lambda: True
    on_change: cabc.Callable[[], None] = lambda: None


class StreamFollower(Component, abc.ABC):
    """Reads a keyed stream whole once and then its changes."""

    def __init__(
        self, *, log: KeyedLog, options: ReadOptions, clock: Clock, rng: random.Random
    ) -> None:
        self._log = log
        self._options = options
        self._clock = clock
        self._rng = rng
        self._next: Offset | None = None
        self._reading_since: float | None = None
        self._failing_since: float | None = None
        self._failures = 0

    idle_s = 0.1

    async def start(self) -> None:
        """Start to read."""
        self.spawn(self._follow(), name=f"follow-{self._options.stream}")

    @property
    def source_away(self) -> bool:
        """Return whether the source counts as away: reads fail, or an answer is overdue."""
        now = self._clock.monotonic()
        if (
            self._reading_since is not None
            and now - self._reading_since > self._options.wait_s + OVERDUE_S
        ):
            return True
        return self._failing_since is not None and now - self._failing_since > AWAY_AFTER_S

    async def _follow(self) -> None:
        while True:
            if self._next is not None and not self._options.should_read():
                await self._clock.sleep(self.idle_s)
                continue
            began_at = self._clock.monotonic()
            self._reading_since = began_at
            batch = await self._read()
            self._reading_since = None
            if isinstance(batch, ReadFailed):
                await self._note_failed(batch, began_at)
                continue
            self._note_answered()
            self._take(batch)
            await self._clock.sleep(self._options.pause_s)

    async def _read(self) -> KeyedList | KeyedChanges | ReadFailed:
        if self._next is None:
            return await self._log.newest(stream=self._options.stream)
        wait_s = self._options.wait_s * (LEAST_WAIT + (1 - LEAST_WAIT) * self._rng.random())
        return await self._log.changes(stream=self._options.stream, start=self._next, wait_s=wait_s)

    def _take(self, batch: KeyedList | KeyedChanges) -> None:
        if isinstance(batch, KeyedChanges) and batch.missed:
            eliot.log_message(
                message_type="follow:missed", stream=self._options.stream, start=self._next
            )
            self._next = None
            return
        before = self.version()
        for record in batch.records:
            self.take_record(record)
        if isinstance(batch, KeyedList):
            self.take_list(batch)
        self._next = batch.end
        self.note_read()
        if self.version() != before:
            self._options.on_change()

    async def _note_failed(self, failed: ReadFailed, began_at: float) -> None:
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = began_at
            eliot.log_message(
                message_type="dependency:lost", stream=self._options.stream, reason=failed.reason
            )
        pause_s = min(LONGEST_PAUSE_S, FAILED_PAUSE_S * self._failures)
        await self._clock.sleep(pause_s * (0.5 + self._rng.random()))

    def _note_answered(self) -> None:
        if self._failing_since is None:
            return
        away_s = self._clock.monotonic() - self._failing_since
        eliot.log_message(
            message_type="dependency:regained", stream=self._options.stream, away_s=round(away_s, 3)
        )
        if away_s > AWAY_AFTER_S:
            self.note_returned()
        self._failing_since = None
        self._failures = 0

    @abc.abstractmethod
    def take_record(self, record: KeyedRecord) -> None:
        """Take one record over."""

    @abc.abstractmethod
    def version(self) -> int:
        """Return a number that changes when something new was read."""

    def take_list(self, batch: KeyedList) -> None:
        """Take over that a list holds nothing else."""

    def note_read(self) -> None:
        """Note that everything up to now was read."""

    def note_returned(self) -> None:
        """Note that the source answers again after it was away."""


class ConfigFollower(StreamFollower):
    """Brings the configuration into force.

    :param key: the record that holds it.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        options: ReadOptions,
        key: str,
        decode: ConfigDecoder,
        view: ConfigView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(log=log, options=options, clock=clock, rng=rng)
        self._key = key
        self._decode = decode
        self._view = view
        self.raw: bytes | None = None

    def take_record(self, record: KeyedRecord) -> None:
        """Bring a revision into force if it is newer."""
        if record.key != self._key or record.value is None:
            return
        self.take_value(record.value, source="record")

    def take_value(self, value: bytes, *, source: str) -> None:
        """Bring an encoded revision into force if it is newer; keep the old one if unreadable."""
        try:
            config = self._decode(value)
        except WireError as exc:
            eliot.log_message(message_type="config:unreadable", reason=exc.message, source=source)
            return
        if self._view.offer(config):
            eliot.log_message(
                message_type="config:in-force",
                revision=config.revision,
                routes=len(config.routes),
                quotas={space.name: space.rate_per_s for space in config.workspaces},
                source=source,
            )
            self.raw = value

    def version(self) -> int:
        """Return the revision in force."""
        return -1 if self._view.current is None else self._view.current.revision

    def note_read(self) -> None:
        """Note that there is no newer revision."""
        self._view.checked_at = self._clock.monotonic()


class DirectoryFollower(StreamFollower):
    """Keeps the directory of upstreams."""

    def __init__(
        self,
        *,
        log: KeyedLog,
        options: ReadOptions,
        decode: RegistrationDecoder,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(log=log, options=options, clock=clock, rng=rng)
        self._decode = decode
        self._directory = directory
        self._raw: dict[str, KeyedRecord] = {}
        self._removed: dict[str, Offset] = {}

    def since(self, offset: Offset) -> tuple[KeyedRecord, ...]:
        """Return what changed after ``offset``: entries as they lie in the store, and removals."""
        removed = [KeyedRecord(key=key, value=None, offset=at) for key, at in self._removed.items()]
        return tuple(record for record in [*self._raw.values(), *removed] if record.offset > offset)

    def take_copy(self, records: cabc.Iterable[KeyedRecord]) -> None:
        """Take over what another host has read; older records than known ones are left."""
        for record in sorted(records, key=lambda record: record.offset):
            newer = record.offset > self._directory.offset_of(UpstreamId(record.key))
            self.take_record(record)
            # A change there may be none here, as what lay between was not copied. It is passed
            # on all the same, with its offset.
            if newer and record.value is not None:
                self._raw[record.key] = record
                self._directory.note_change(record.offset)
        self._directory.note_loaded()
        self._directory.expire_lapsed()

    def take_record(self, record: KeyedRecord) -> None:
        """Take an upstream's entry over, or its removal."""
        upstream_id = UpstreamId(record.key)
        if record.value is None:
            if record.offset > self._directory.offset_of(upstream_id):
                self._note_removed(record.key, record.offset)
            self._directory.remove(upstream_id, record.offset)
            return
        registration = self._decode(record.key, record.value)
        if registration is None:
            return
        if self._directory.put(registration, record.offset):
            self._raw[record.key] = record
            self._removed.pop(record.key, None)

    def _note_removed(self, key: str, offset: Offset) -> None:
        self._raw.pop(key, None)
        self._removed[key] = offset
        while len(self._removed) > REMOVALS_KEPT:
            del self._removed[next(iter(self._removed))]

    def take_list(self, batch: KeyedList) -> None:
        """Remove upstreams that a whole list does not name."""
        present = {UpstreamId(record.key) for record in batch.records if record.value is not None}
        for key in [key for key in self._raw if key not in present]:
            self._note_removed(key, Offset(batch.end - 1))
        self._directory.reconcile(present, Offset(batch.end - 1))
        self._directory.note_loaded()

    def version(self) -> int:
        """Return the offset of the last change."""
        return self._directory.changed

    def note_read(self) -> None:
        """Drop what lapsed and did not come back."""
        self._directory.expire_lapsed()

    def note_returned(self) -> None:
        """Take removals that follow as possible lapses."""
        self._directory.note_source_returned()
