"""Reads the records of one partition from the log into its ledger."""

import asyncio

import eliot

from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clients import ReadFailed
from cassiawalk.clock import Clock
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.ids import Partition
from cassiawalk.once.checkpoint import CheckpointAssembler
from cassiawalk.once.checkpoint import CheckpointPart
from cassiawalk.once.checkpoint import LedgerState
from cassiawalk.once.decisions import Unavailable
from cassiawalk.once.ledger import Ledger
from cassiawalk.once.records import records
from cassiawalk.once.records import stream_of

READ_LIMIT = 64
LARGE_ENTRY_BYTES = 32 * 1024
OUTAGE_RETRY_S = 2.0


class PartitionReader:
    """Keeps a ledger of a partition, loaded from the newest checkpoint.

    A partition whose first records have expired and that has no complete checkpoint can't be used
    at once: the expired records may include claims that are still inside the window. The reader
    reports it as unavailable until ``keep_s`` has passed since it first saw the gap; by then all
    lost claims have expired too.

    :param keep_s: how long the ledger keeps a claim, in seconds.
    """

    def __init__(
        self, *, log: LogService, partition: Partition, clock: Clock, keep_s: float
    ) -> None:
        self.stream = stream_of(partition)
        self.ledger = Ledger(keep_s=keep_s)
        self.checkpoint_written_s = 0.0
        self.checkpoint_offset = Offset(0)
        self._log = log
        self._clock = clock
        self._keep_s = keep_s
        self._loaded = False
        self._known_part_offsets: set[Offset] = set()
        self._gap_seen_at: float | None = None
        self._lock = asyncio.Lock()

    @property
    def is_loaded(self) -> bool:
        """Return whether the ledger has been loaded, so that reading can continue from it."""
        return self._loaded

    async def load(self) -> Unavailable | None:
        """Load the newest checkpoint if none is loaded yet; return None on success."""
        async with self._lock:
            return None if self._loaded else await self._load()

    async def read_through(self, offset: Offset) -> Unavailable | None:
        """Read and fold entries up to and including ``offset``; return None on success."""
        async with self._lock:
            while self.ledger.next_offset <= offset:
                batch = await self._read_next()
                if isinstance(batch, Unavailable):
                    return batch
            return None

    async def catch_up(self) -> Unavailable | None:
        """Read and fold entries up to the current end of the stream; return None on success."""
        async with self._lock:
            while True:
                batch = await self._read_next()
                if isinstance(batch, Unavailable):
                    return batch
                if self.ledger.next_offset >= batch.end_offset:
                    return None

    def register_part(self, offset: Offset, part: CheckpointPart) -> None:
        """Register a checkpoint part at ``offset``, so that the read need not decode it again."""
        self._update_checkpoint_info(part)
        if offset >= self.ledger.next_offset:
            self._known_part_offsets.add(offset)

    async def _read_next(self) -> ReadBatch | Unavailable:
        if not self._loaded:
            failure = await self._load()
            if failure is not None:
                return failure
        batch = await self._read(self.ledger.next_offset)
        if isinstance(batch, Unavailable):
            return batch
        if batch.first_offset > self.ledger.next_offset:
            self._loaded = False
            return Unavailable(reason=f"{self.stream}: records expired before they were read")
        if batch.end_offset < self.ledger.next_offset:
            return Unavailable(
                reason=f"{self.stream} ends at offset {batch.end_offset}, but records before "
                f"{self.ledger.next_offset} were already read"
            )
        for entry in batch.entries:
            if entry.offset in self._known_part_offsets:
                self._known_part_offsets.discard(entry.offset)
                self.ledger.fold(entry.offset, ())
                continue
            messages = await _decode(entry)
            for message in messages:
                if isinstance(message, CheckpointPart):
                    self._update_checkpoint_info(message)
            self.ledger.fold(entry.offset, messages)
        return batch

    async def _load(self) -> Unavailable | None:
        head = await self._read(Offset(0), limit=1)
        if isinstance(head, Unavailable):
            return head
        state = await self._find_checkpoint(head)
        if isinstance(state, Unavailable):
            return state
        if state is not None:
            self.ledger.restore(state)
        elif head.first_offset > 0:
            failure = self._check_gap()
            if failure is not None:
                return failure
            self.ledger = Ledger(keep_s=self._keep_s)
            self.ledger.next_offset = head.first_offset
        self._loaded = True
        self._gap_seen_at = None
        return None

    async def _find_checkpoint(self, head: ReadBatch) -> LedgerState | None | Unavailable:
        """Return the newest complete checkpoint, searched from the end of the stream, or None."""
        assembler = CheckpointAssembler()
        self._known_part_offsets.clear()
        end = head.end_offset
        while end > head.first_offset:
            start = Offset(max(head.first_offset, end - READ_LIMIT))
            batch = await self._read(start, limit=end - start)
            if isinstance(batch, Unavailable):
                return batch
            if batch.first_offset > start or not batch.entries:
                break
            for entry in batch.entries:
                part = _single_part(await _decode(entry))
                if part is not None:
                    assembler.add(part)
                    self.register_part(entry.offset, part)
            state = assembler.newest(first_offset=batch.first_offset)
            if state is not None:
                return state
            end = start
        return None

    def _check_gap(self) -> Unavailable | None:
        now = self._clock.monotonic()
        if self._gap_seen_at is None:
            self._gap_seen_at = now
            eliot.log_message(message_type="once:gap", stream=self.stream, wait_s=self._keep_s)
        left_s = self._gap_seen_at + self._keep_s - now
        if left_s <= 0:
            return None
        return Unavailable(
            reason=f"the first records of {self.stream} expired and it has no complete checkpoint",
            retry_after_s=left_s,
            appended=False,
        )

    async def _read(self, start: Offset, *, limit: int = READ_LIMIT) -> ReadBatch | Unavailable:
        batch = await self._log.read(stream=self.stream, start=start, limit=limit)
        if isinstance(batch, ReadFailed):
            return Unavailable(reason=batch.reason, retry_after_s=OUTAGE_RETRY_S)
        return batch

    def _update_checkpoint_info(self, part: CheckpointPart) -> None:
        if part.index != part.parts - 1:
            return
        # A writer whose clock is ahead must not delay the next checkpoint.
        written_s = min(part.written_s, self._clock.wall())
        self.checkpoint_written_s = max(self.checkpoint_written_s, written_s)
        self.checkpoint_offset = max(self.checkpoint_offset, part.through_offset)


def _single_part(messages: list[object]) -> CheckpointPart | None:
    """Return the checkpoint part of an entry with exactly one message, or None."""
    first = messages[0] if len(messages) == 1 else None
    return first if isinstance(first, CheckpointPart) else None


async def _decode(entry: LogEntry) -> list[object]:
    """Return the records of an entry, or none if it can't be decoded.

    Large entries are decoded in a thread, so that the event loop keeps serving streams.
    """
    try:
        if len(entry.payload) > LARGE_ENTRY_BYTES:
            return await asyncio.to_thread(records.decode, entry.payload)
        return records.decode(entry.payload)
    except WireError as exc:
        eliot.log_message(message_type="once:bad-entry", offset=entry.offset, fault=str(exc))
        return []
