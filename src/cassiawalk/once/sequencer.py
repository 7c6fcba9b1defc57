"""Group commit of claims and outcomes to one partition."""

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
PENDING_LIMIT_S = 2.0
RESOLVE_LIMIT_S = 2.0
RESOLVE_DELAY_S = 0.05
SHORT_RETRY_S = 0.25
OUTAGE_HOLD_S = 1.0
STALL_S = 1.0
CHECKPOINT_RECORDS = 2000
CHECKPOINTS_PER_WINDOW = 4


@dataclasses.dataclass(kw_only=True, eq=False)
class _Pending:
    """A record that waits for the next append, and the future of its fate."""

    record: OnceRecord
    done: asyncio.Future[Unavailable | None]


class Sequencer(Component):
    """Appends the records of one partition in batches, one append at a time.

    Any number of sequencers may serve one partition: each grants a claim only after it has read
    the partition back up to its own append, and the lowest position wins.

    :param keep_s: how long the ledger keeps a claim, in seconds.
    :param append_interval_s: the shortest time between the starts of two appends, in seconds.
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
        self._pending: list[_Pending] = []
        self._parts: cabc.Iterator[CheckpointPart] | None = None
        self._part: CheckpointPart | None = None
        self._wake = asyncio.Event()
        self._last_append = -append_interval_s
        self._append_began: float | None = None
        self._down_until = 0.0
        self._down_reason = ""
        self.last_used = clock.monotonic()

    @property
    def ledger(self) -> Ledger:
        """Return the fold of the partition as far as it was read."""
        return self._reader.ledger

    @property
    def is_idle(self) -> bool:
        """Return whether nothing waits to be appended."""
        return not self._pending and self._parts is None

    async def start(self) -> None:
        """Start the append loop."""
        self.spawn(self._run(), name=f"sequencer-{self._reader.stream}")

    async def stop(self) -> None:
        """Stop the append loop; records still waiting get no decision."""
        await super().stop()
        self._settle(self._pending, Unavailable(reason="the sequencer stopped"))

    async def claim(self, claim: Claim) -> ClaimDecision:
        """Return whether the claim won its key."""
        self.last_used = self._clock.monotonic()
        known = self.ledger.entry(claim.key)
        if known is not None and known.outcome is None:
            # Another sequencer may have appended the outcome or an abandonment. In an outage the
            # old view still serves: it only ever holds a key for longer.
            await self._reader.catch_up()
            known = self.ledger.entry(claim.key)
        if known is not None:
            return _decide(self.ledger, claim)
        failure = await self._commit(claim)
        return failure or _decide(self.ledger, claim)

    async def record(self, record: OnceRecord) -> Unavailable | None:
        """Append an outcome or abandonment; None means that it is in the stream."""
        self.last_used = self._clock.monotonic()
        return await self._commit(record)

    async def keep_up(self) -> None:
        """Read on, and start a checkpoint if one is due."""
        if await self._reader.catch_up() is not None or not self._is_checkpoint_due():
            return
        self._parts = checkpoint_parts(self.ledger.state(), written_s=self._clock.wall())
        self._part = next(self._parts)
        self._wake.set()

    def _is_checkpoint_due(self) -> bool:
        if self._parts is not None or self.ledger.next_offset == 0:
            return False
        records_since = self.ledger.next_offset - self._reader.checkpoint_offset
        age_s = self._clock.wall() - self._reader.checkpoint_s
        old = age_s >= self._keep_s / CHECKPOINTS_PER_WINDOW
        return old or records_since >= CHECKPOINT_RECORDS

    async def _commit(self, record: OnceRecord) -> Unavailable | None:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        done: asyncio.Future[Unavailable | None] = asyncio.get_running_loop().create_future()
        item = _Pending(record=record, done=done)
        self._pending.append(item)
        self._wake.set()
        try:
            await asyncio.wait([done], timeout=PENDING_LIMIT_S)
            if not done.done() and item in self._pending:
                return Unavailable(reason="the log service is slow", appended=False)
            return await done
        finally:
            if item in self._pending:
                self._pending.remove(item)

    def _refusal(self) -> Unavailable | None:
        now = self._clock.monotonic()
        hold_s = self._down_until - now
        if hold_s > 0:
            return Unavailable(reason=self._down_reason, retry_after_s=hold_s, appended=False)
        if self._append_began is not None and now - self._append_began >= STALL_S:
            return Unavailable(reason="the log service does not answer", appended=False)
        if len(self._pending) >= MAX_PENDING:
            reason = f"{MAX_PENDING} records wait for the log service"
            return Unavailable(reason=reason, appended=False)
        return None

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            await self._pace()
            batch = self._pending[:BATCH_RECORDS]
            del self._pending[:BATCH_RECORDS]
            if batch:
                await self._append_batch(batch)
            else:
                await self._append_part()
            if self.is_idle:
                self._wake.clear()

    async def _pace(self) -> None:
        wait_s = self._last_append + self._append_interval_s - self._clock.monotonic()
        if wait_s > 0:
            await self._clock.sleep(wait_s)
        self._last_append = self._clock.monotonic()

    async def _append_batch(self, batch: list[_Pending]) -> None:
        failure: Unavailable | None = Unavailable(reason="the append ended early")
        self._append_began = self._clock.monotonic()
        try:
            failure = await self._append([item.record for item in batch])
            if failure is not None:
                self._hold(failure)
        except Exception as exc:
            # A fault in one append must not end the loop that all later claims need.
            eliot.log_message(message_type="once:append-failed", error=repr(exc))
        finally:
            self._append_began = None
            self._settle(batch, failure)

    def _settle(self, batch: list[_Pending], failure: Unavailable | None) -> None:
        for item in batch:
            if not item.done.done():
                item.done.set_result(failure)

    def _hold(self, failure: Unavailable) -> None:
        """Refuse at once for a while, so that nothing piles up in an outage."""
        hold_s = min(failure.retry_after_s, OUTAGE_HOLD_S)
        self._down_until = self._clock.monotonic() + hold_s
        self._down_reason = failure.reason
        waiting, self._pending = self._pending, []
        self._settle(waiting, dataclasses.replace(failure, appended=False))

    async def _append(self, batch: list[OnceRecord]) -> Unavailable | None:
        """Append a batch and fold the stream through it.

        After a lost answer the stream tells what became of the batch; appending it again is
        harmless, since only the lowest position of a claim counts.
        """
        failure = await self._reader.load()
        if failure is not None:
            return dataclasses.replace(failure, appended=False)
        payload = records.encode(batch)
        until = self._clock.monotonic() + RESOLVE_LIMIT_S
        maybe_there = False
        while True:
            appended = await self._log.append(stream=self._reader.stream, payload=payload)
            if isinstance(appended, Appended):
                return await self._read_through(appended.offset, until)
            if isinstance(appended, AppendRefused):
                wait_s = appended.retry_after_s
                failure = Unavailable(
                    reason=appended.reason, retry_after_s=wait_s, appended=maybe_there
                )
            else:
                maybe_there = True
                wait_s = RESOLVE_DELAY_S
                failure = await self._reader.catch_up()
                if failure is None and all(self.ledger.is_settled(item) for item in batch):
                    return None
                failure = Unavailable(reason=appended.reason, retry_after_s=OUTAGE_RETRY_S)
            if wait_s > SHORT_RETRY_S or self._clock.monotonic() + wait_s >= until:
                return failure
            await self._clock.sleep(wait_s)

    async def _read_through(self, offset: Offset, until: float) -> Unavailable | None:
        while True:
            failure = await self._reader.read_through(offset)
            if failure is None or self._clock.monotonic() + RESOLVE_DELAY_S >= until:
                return failure
            await self._clock.sleep(RESOLVE_DELAY_S)

    async def _append_part(self) -> None:
        """Append the next part of a checkpoint; one that fails is tried again at the next turn."""
        if self._parts is None or self._part is None:
            return
        payload = await asyncio.to_thread(records.encode, [self._part])
        appended = await self._log.append(stream=self._reader.stream, payload=payload)
        if not isinstance(appended, Appended):
            await self._clock.sleep(OUTAGE_HOLD_S)
            return
        self._reader.note_part_at(appended.offset, self._part)
        self._part = next(self._parts, None)
        if self._part is None:
            self._parts = None


def _decide(ledger: Ledger, claim: Claim) -> ClaimDecision:
    entry = ledger.entry(claim.key)
    if entry is None:
        return Unavailable(reason="the claim was abandoned, or its gateway's clock is behind")
    if entry.claim.claim_id == claim.claim_id:
        return Granted()
    return Taken(claim=entry.claim, outcome=entry.outcome)
