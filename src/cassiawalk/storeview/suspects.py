"""Keeps notes about crashing requests in the store, for hosts that no other host can tell."""

import asyncio
import collections
import contextlib
import dataclasses
import random

import cbor2
import eliot

from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clock import Clock
from cassiawalk.crashes.evidence import record_key
from cassiawalk.errors import WireError
from cassiawalk.fleet.notes import NoteExchange
from cassiawalk.peer import Note
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic
from cassiawalk.peer.notes import VERDICTS
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.follow import StreamFollower
from cassiawalk.wire import from_plain
from cassiawalk.wire import load
from cassiawalk.wire import to_plain

WRITE_INTERVAL_S = 1.0
MIN_DEATHS = 2  # a request with fewer is forgotten without harm

_ALWAYS_STORED = VERDICTS | {NoteTopic.LOST_PARTS, NoteTopic.NAMED_LIMIT}

NoteVersion = tuple[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectRecord:
    """All that is known about one suspect request, one death, or one verdict."""

    notes: tuple[Note, ...]


class SuspectFollower(StreamFollower):
    """Reads the records of suspects and verdicts, and writes what they lack.

    Only hosts that read the store write. A record that an outage or an older copy of the store
    lost is written again, since it is compared with this host's notes.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        options: ReadOptions,
        store: NoteStore,
        exchange: NoteExchange,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(log=log, options=options, clock=clock, rng=rng)
        self._store = store
        self._exchange = exchange
        self._stored: dict[str, frozenset[NoteVersion]] = {}
        self._reads = 0
        self._is_urgent = asyncio.Event()
        store.add_listener(self._note_changed)

    def _note_changed(self, note: Note) -> None:
        if note.topic in VERDICTS:
            self._is_urgent.set()

    async def start(self) -> None:
        """Start reading and writing."""
        await super().start()
        self.keep_running(self._write, name="suspect-records")

    def apply_record(self, record: KeyedRecord) -> None:
        """Merge the notes of a record."""
        if record.value is None:
            self._stored.pop(record.key, None)
            return
        try:
            notes = from_plain(SuspectRecord, load(record.value)).notes
        except (WireError, AttributeError, TypeError, ValueError) as exc:
            eliot.log_message(message_type="suspects:unreadable", key=record.key, reason=str(exc))
            return
        self._reads += 1
        self._stored[record.key] = _versions(notes)
        self.spawn(self._exchange.share(notes), name=f"stored-{record.key}")

    def apply_list(self, batch: KeyedList) -> None:
        """Forget what a complete list lacks, so that it is written again."""
        present = {record.key for record in batch.records}
        self._stored = {name: kept for name, kept in self._stored.items() if name in present}

    def version(self) -> int:
        """Return the number of records read."""
        return self._reads

    async def _write(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WRITE_INTERVAL_S * (0.5 + self._rng.random())):
                    await self._is_urgent.wait()
            self._is_urgent.clear()
            if self._next is not None and self._options.should_read():
                await self.write_missing()

    async def write_missing(self) -> None:
        """Write the records that lack notes of this host; remove those that have expired.

        It ends at the first write that fails: the store is away, and the next round tries again.
        """
        if self._store.is_empty() and not self._stored:
            return
        known = self._notes_by_key()
        for key in [name for name in self._stored if name not in known]:
            if not await self._log.put(stream=self._options.stream, key=key, value=None):
                return
            self._stored.pop(key, None)
        for key, notes in known.items():
            versions = _versions(notes)
            stored = self._stored.get(key)
            if versions == stored or (stored is None and not _is_worth_storing(notes)):
                continue
            record = cbor2.dumps(to_plain(SuspectRecord(notes=tuple(notes))))
            if not await self._log.put(stream=self._options.stream, key=key, value=record):
                return
            self._stored[key] = versions

    def _notes_by_key(self) -> dict[str, list[Note]]:
        found = collections.defaultdict(list)
        for note in self._store.notes().values():
            key = record_key(note)
            if key is not None:
                found[key].append(note)
        return found


def _versions(notes: tuple[Note, ...] | list[Note]) -> frozenset[NoteVersion]:
    return frozenset((f"{note.topic.value}/{note.name}", note.at_s) for note in notes)


def _is_worth_storing(notes: list[Note]) -> bool:
    """Return whether notes tell a verdict, losses by parts, or enough deaths of one request."""
    deaths = sum(note.topic is NoteTopic.SUSPECT_REQUEST and bool(note.items) for note in notes)
    return deaths >= MIN_DEATHS or any(note.topic in _ALWAYS_STORED for note in notes)
