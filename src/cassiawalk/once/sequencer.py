"""Group commit of claims and outcomes to one partition."""

import asyncio
import dataclasses

import eliot

from cassiawalk.app import Component
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.ids import Partition
from cassiawalk.once.decisions import ClaimDecision
from cassiawalk.once.decisions import Granted
from cassiawalk.once.decisions import Taken
from cassiawalk.once.decisions import Unavailable
from cassiawalk.once.ledger import Ledger
from cassiawalk.once.records import Claim
from cassiawalk.once.records import OnceRecord
from cassiawalk.once.records import records
from cassiawalk.once.records import stream_of
from cassiawalk.platform import Appended
from cassiawalk.platform import AppendRefused
from cassiawalk.platform import LogEntry
from cassiawalk.platform import LogService
from cassiawalk.platform import ReadFailed

READ_LIMIT = 512
BATCH_RECORDS = 1000
OUTAGE_RETRY_S = 2.0


@dataclasses.dataclass(kw_only=True)
class _Pending:
    """A record that waits for the next append, and the future of its fate."""

    record: OnceRecord
    done: asyncio.Future[Unavailable | None]


class Sequencer(Component):
    """Appends the records of one partition in batches, one append at a time.

    Any number of sequencers may serve one partition: each grants a claim only after it has read
    the partition back up to its own append, and the lowest position wins.
    """

    def __init__(self, *, log: LogService, partition: Partition) -> None:
        self._log = log
        self._stream = stream_of(partition)
        self._ledger = Ledger()
        self._pending: list[_Pending] = []
        self._wake = asyncio.Event()

    @property
    def ledger(self) -> Ledger:
        """Return the fold of the partition as far as it was read."""
        return self._ledger

    async def start(self) -> None:
        """Start the append loop."""
        self.spawn(self._run(), name=f"sequencer-{self._stream}")

    async def claim(self, claim: Claim) -> ClaimDecision:
        """Return whether the claim won its key."""
        known = self._ledger.entry(claim.key)
        if known is not None:
            return _decide(self._ledger, claim)
        failure = await self._commit(claim)
        return failure or _decide(self._ledger, claim)

    async def record(self, record: OnceRecord) -> Unavailable | None:
        """Append an outcome or abandonment; None means that it is in the stream."""
        return await self._commit(record)

    async def _commit(self, record: OnceRecord) -> Unavailable | None:
        done: asyncio.Future[Unavailable | None] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(record=record, done=done))
        self._wake.set()
        return await done

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            batch = self._pending[:BATCH_RECORDS]
            del self._pending[:BATCH_RECORDS]
            if not self._pending:
                self._wake.clear()
            failure = await self._append(batch)
            for item in batch:
                if not item.done.done():
                    item.done.set_result(failure)

    async def _append(self, batch: list[_Pending]) -> Unavailable | None:
        payload = records.encode([item.record for item in batch])
        appended = await self._log.append(stream=self._stream, payload=payload)
        if isinstance(appended, AppendRefused):
            return Unavailable(reason=appended.reason, retry_after_s=appended.retry_after_s)
        if not isinstance(appended, Appended):
            return Unavailable(reason=appended.reason, retry_after_s=OUTAGE_RETRY_S)
        return await self._read_through(appended.offset)

    async def _read_through(self, offset: Offset) -> Unavailable | None:
        """Fold the partition up to and including ``offset``."""
        while self._ledger.next_offset <= offset:
            batch = await self._log.read(
                stream=self._stream, start=self._ledger.next_offset, limit=READ_LIMIT
            )
            if isinstance(batch, ReadFailed):
                return Unavailable(reason=batch.reason, retry_after_s=OUTAGE_RETRY_S)
            for entry in batch.entries:
                self._ledger.fold(entry.offset, _decode(entry))
        return None


class SequencerPool(Component):
    """The sequencers that this host runs, one for each partition that it was asked for."""

    def __init__(self, *, log: LogService) -> None:
        self._log = log
        self._sequencers: dict[Partition, Sequencer] = {}

    async def sequencer(self, partition: Partition) -> Sequencer:
        """Return the partition's sequencer, started on first use."""
        sequencer = self._sequencers.get(partition)
        if sequencer is None:
            sequencer = Sequencer(log=self._log, partition=partition)
            self._sequencers[partition] = sequencer
            await sequencer.start()
        return sequencer

    async def stop(self) -> None:
        """Stop all sequencers."""
        for sequencer in self._sequencers.values():
            await sequencer.stop()
        await super().stop()


def _decide(ledger: Ledger, claim: Claim) -> ClaimDecision:
    entry = ledger.entry(claim.key)
    if entry is None:
        return Unavailable(reason="the claim was abandoned")
    if entry.claim.claim_id == claim.claim_id:
        return Granted()
    return Taken(claim=entry.claim, outcome=entry.outcome)


def _decode(entry: LogEntry) -> list[object]:
    try:
        return records.decode(entry.payload)
    except WireError as exc:
        eliot.log_message(message_type="once:bad-entry", offset=entry.offset, fault=str(exc))
        return []
