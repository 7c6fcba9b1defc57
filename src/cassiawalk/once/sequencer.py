"""Group commit of claims, outcomes and abandonments to one partition."""

import asyncio
import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import Appended
from cassiawalk.clients import AppendRefused
from cassiawalk.clients import LogService
from cassiawalk.clock import Clock
from cassiawalk.ids import Offset
from cassiawalk.ids import Partition
from cassiawalk.once.checkpoint import CheckpointPart
from cassiawalk.once.checkpoint import checkpoint_parts
from cassiawalk.once.decisions import ClaimDecision
from cassiawalk.once.decisions import Granted
from cassiawalk.once.decisions import Taken
from cassiawalk.once.decisions import Unavailable
from cassiawalk.once.ledger import Ledger
from cassiawalk.once.reader import OUTAGE_RETRY_S
from cassiawalk.once.reader import PartitionReader
from cassiawalk.once.records import Claim
from cassiawalk.once.records import OnceRecord
from cassiawalk.once.records import records

BATCH_RECORDS = 500
MAX_PENDING = 4000
PENDING_TIMEOUT_S = 2.0
RESOLVE_TIMEOUT_S = 2.0
RESOLVE_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.25
OUTAGE_REFUSAL_S = 1.0
STALL_TIMEOUT_S = 1.0
CHECKPOINT_RECORDS = 2000
CHECKPOINTS_PER_WINDOW = 4


@dataclasses.dataclass(kw_only=True, eq=False)
class _PendingRecord:
    """A record that waits to be appended; ``done`` gets None or the failure."""

    record: OnceRecord
    done: asyncio.Future[Unavailable | None]


class Sequencer(Component):
    """Appends the records of one partition in batches, one append at a time.

    Several sequencers may serve the same partition: each decides a claim only after it has read
    the stream up to and including its own append, and the claim with the lowest offset wins.

    :param keep_s: how long the ledger keeps a claim, in seconds.
    :param append_interval_s: the minimum time between the starts of two appends, in seconds.
    """

    def __init__(
        self,
        *,
        log: LogService,
        partition: Partition,
        clock: Clock,
        keep_s: float,
        append_interval_s: float = 0.0,
    ) -> None:
        self._log = log
        self._clock = clock
        self._keep_s = keep_s
        self._append_interval_s = append_interval_s
        self._reader = PartitionReader(log=log, partition=partition, clock=clock, keep_s=keep_s)
        self._pending: list[_PendingRecord] = []
        self._checkpoint_parts: cabc.Iterator[CheckpointPart] | None = None
        self._next_part: CheckpointPart | None = None
        self._wake = asyncio.Event()
        self._last_append_at = -append_interval_s
        self._append_started_at: float | None = None
        self._refuse_until = 0.0
        self._refuse_reason = ""
        self.last_used_at = clock.monotonic()

    @property
    def ledger(self) -> Ledger:
        """Return the partition's ledger, up to the last record that was read."""
        return self._reader.ledger

    @property
    def is_idle(self) -> bool:
        """Return whether no record or checkpoint part waits to be appended."""
        return not self._pending and self._checkpoint_parts is None

    async def start(self) -> None:
        """Start the append loop."""
        self.keep_running(self._run, name=f"sequencer-{self._reader.stream}")

    async def stop(self) -> None:
        """Stop the append loop; pending records fail with ``Unavailable``."""
        await super().stop()
        self._settle(self._pending, Unavailable(reason="the sequencer stopped"))

    async def claim(self, claim: Claim) -> ClaimDecision:
        """Append a claim if its key is free, and return the decision."""
        self.last_used_at = self._clock.monotonic()
        known = self.ledger.entry(claim.key)
        if known is not None and known.outcome is None:
            # Another sequencer may have appended the outcome or an abandonment. If the read fails,
            # the stale entry is still safe to use: at worst it blocks the key for longer.
            await self._reader.catch_up()
            known = self.ledger.entry(claim.key)
        if known is not None:
            return _decide(self.ledger, claim)
        failure = await self._commit(claim)
        return failure or _decide(self.ledger, claim)

    async def record(self, record: OnceRecord) -> Unavailable | None:
        """Append an outcome or abandonment; return None if it is in the stream."""
        self.last_used_at = self._clock.monotonic()
        return await self._commit(record)

    async def maintain(self) -> None:
        """Catch up with the stream and start a checkpoint if one is due."""
        if await self._reader.catch_up() is not None or not self._is_checkpoint_due():
            return
        self._checkpoint_parts = checkpoint_parts(self.ledger.state(), written_s=self._clock.wall())
        self._next_part = next(self._checkpoint_parts)
        self._wake.set()

    def _is_checkpoint_due(self) -> bool:
        if self._checkpoint_parts is not None or self.ledger.next_offset == 0:
            return False
        records_since = self.ledger.next_offset - self._reader.checkpoint_offset
        age_s = self._clock.wall() - self._reader.checkpoint_written_s
        is_old = age_s >= self._keep_s / CHECKPOINTS_PER_WINDOW
        return is_old or records_since >= CHECKPOINT_RECORDS

    async def _commit(self, record: OnceRecord) -> Unavailable | None:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        done: asyncio.Future[Unavailable | None] = asyncio.get_running_loop().create_future()
        item = _PendingRecord(record=record, done=done)
        self._pending.append(item)
        self._wake.set()
        try:
            await asyncio.wait([done], timeout=PENDING_TIMEOUT_S)
            if not done.done() and item in self._pending:
                return Unavailable(
                    reason="the record was not appended in time; the log service is slow",
                    appended=False,
                )
            return await done
        finally:
            if item in self._pending:
                self._pending.remove(item)

    def _refusal(self) -> Unavailable | None:
        now = self._clock.monotonic()
        refuse_s = self._refuse_until - now
        if refuse_s > 0:
            return Unavailable(reason=self._refuse_reason, retry_after_s=refuse_s, appended=False)
        if self._append_started_at is not None and now - self._append_started_at >= STALL_TIMEOUT_S:
            return Unavailable(reason="the log service does not answer", appended=False)
        if len(self._pending) >= MAX_PENDING:
            reason = f"{MAX_PENDING} records wait for the log service"
            return Unavailable(reason=reason, appended=False)
        return None

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            await self._wait_for_interval()
            batch = self._pending[:BATCH_RECORDS]
            del self._pending[:BATCH_RECORDS]
            if batch:
                await self._append_batch(batch)
            else:
                await self._append_part()
            if self.is_idle:
                self._wake.clear()

    async def _wait_for_interval(self) -> None:
        wait_s = self._last_append_at + self._append_interval_s - self._clock.monotonic()
        if wait_s > 0:
            await self._clock.sleep(wait_s)
        self._last_append_at = self._clock.monotonic()

    async def _append_batch(self, batch: list[_PendingRecord]) -> None:
        failure: Unavailable | None = Unavailable(reason="the append failed with an exception")
        self._append_started_at = self._clock.monotonic()
        try:
            failure = await self._append([item.record for item in batch])
            if failure is not None:
                self._refuse_for_a_while(failure)
        except Exception as exc:
            # An exception in one append must not end the loop, which all later claims need.
            eliot.log_message(message_type="once:append-failed", error=repr(exc))
        finally:
            self._append_started_at = None
            self._settle(batch, failure)

    def _settle(self, batch: list[_PendingRecord], failure: Unavailable | None) -> None:
        for item in batch:
            if not item.done.done():
                item.done.set_result(failure)

    def _refuse_for_a_while(self, failure: Unavailable) -> None:
        """Refuse records for a short time, so that no backlog builds up in a log outage."""
        refuse_s = min(failure.retry_after_s, OUTAGE_REFUSAL_S)
        self._refuse_until = self._clock.monotonic() + refuse_s
        self._refuse_reason = failure.reason
        waiting, self._pending = self._pending, []
        self._settle(waiting, dataclasses.replace(failure, appended=False))

    async def _append(self, batch: list[OnceRecord]) -> Unavailable | None:
        """Append a batch and read the stream up to and including it.

        If the answer to an append is lost, the stream is read to find out whether the batch is in
        it. Appending a batch twice is harmless, because only the lowest offset of a claim counts.
        """
        failure = await self._reader.load()
        if failure is not None:
            return dataclasses.replace(failure, appended=False)
        payload = records.encode(batch)
        give_up_at = self._clock.monotonic() + RESOLVE_TIMEOUT_S
        maybe_appended = False
        while True:
            appended = await self._log.append(stream=self._reader.stream, payload=payload)
            if isinstance(appended, Appended):
                return await self._read_through(appended.offset, give_up_at)
            if isinstance(appended, AppendRefused):
                wait_s = appended.retry_after_s
                failure = Unavailable(
                    reason=appended.reason, retry_after_s=wait_s, appended=maybe_appended
                )
            else:
                maybe_appended = True
                wait_s = RESOLVE_DELAY_S
                failure = await self._reader.catch_up()
                if failure is None and all(self.ledger.is_settled(item) for item in batch):
                    return None
                failure = Unavailable(reason=appended.reason, retry_after_s=OUTAGE_RETRY_S)
            if wait_s > MAX_RETRY_DELAY_S or self._clock.monotonic() + wait_s >= give_up_at:
                return failure
            await self._clock.sleep(wait_s)

    async def _read_through(self, offset: Offset, give_up_at: float) -> Unavailable | None:
        while True:
            failure = await self._reader.read_through(offset)
            if failure is None or self._clock.monotonic() + RESOLVE_DELAY_S >= give_up_at:
                return failure
            await self._clock.sleep(RESOLVE_DELAY_S)

    async def _append_part(self) -> None:
        """Append the next checkpoint part; a failed append is retried on the next iteration."""
        if self._checkpoint_parts is None or self._next_part is None:
            return
        payload = await asyncio.to_thread(records.encode, [self._next_part])
        appended = await self._log.append(stream=self._reader.stream, payload=payload)
        if not isinstance(appended, Appended):
            await self._clock.sleep(OUTAGE_REFUSAL_S)
            return
        self._reader.register_part(appended.offset, self._next_part)
        self._next_part = next(self._checkpoint_parts, None)
        if self._next_part is None:
            self._checkpoint_parts = None


def _decide(ledger: Ledger, claim: Claim) -> ClaimDecision:
    entry = ledger.entry(claim.key)
    if entry is None:
        return Unavailable(reason="the claim was abandoned, or its gateway's clock is behind")
    if entry.claim.claim_id == claim.claim_id:
        return Granted()
    return Taken(claim=entry.claim, outcome=entry.outcome)
