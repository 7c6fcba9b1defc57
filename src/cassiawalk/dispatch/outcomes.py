"""Records outcomes and abandonments of claims, however long the log is away."""

import asyncio
import collections.abc as cabc

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.once import Abandon
from cassiawalk.once import ClaimClient
from cassiawalk.once import Outcome

RETRY_DELAY_S = 0.25
RETRY_LIMIT_S = 2.0
ANSWER_WAIT_S = 0.5


class OutcomeRecorder(Component):
    """Retries each record until it is in its partition's stream."""

    def __init__(self, *, claims: ClaimClient, clock: Clock) -> None:
        self._claims = claims
        self._clock = clock
        self._pending: dict[str, Outcome | Abandon] = {}
        self._settled = asyncio.Event()

    @property
    def pending(self) -> list[Outcome | Abandon]:
        """Return the records that are not yet known to be in a stream."""
        return list(self._pending.values())

    def pending_record(self, claim_id: str) -> Outcome | Abandon | None:
        """Return a claim's record that is still to be recorded, or None."""
        return self._pending.get(claim_id)

    def outcome(self, claim_id: str) -> Outcome | None:
        """Return a claim's outcome that is still to be recorded, or None."""
        record = self._pending.get(claim_id)
        return record if isinstance(record, Outcome) else None

    def submit(self, record: Outcome | Abandon) -> asyncio.Task[None]:
        """Record in the background and return the task that does."""
        self._pending[record.claim_id] = record
        self._settled.clear()
        return self.spawn(self._record(record), name=f"record-{record.claim_id}")

    def release(self, claim_ids: cabc.Iterable[str]) -> None:
        """Forget records that another host has taken over."""
        for claim_id in claim_ids:
            self._forget(claim_id)

    async def submit_and_wait(self, record: Outcome | Abandon) -> None:
        """Record, and wait for it for ``ANSWER_WAIT_S`` at most; recording goes on after that."""
        task = self.submit(record)
        await asyncio.wait([task], timeout=ANSWER_WAIT_S)

    async def drain(self) -> None:
        """Return once all records are in their streams."""
        while self._pending:
            await self._settled.wait()

    async def stop(self) -> None:
        """Stop, and log what is not in its stream, so that operators can tell its callers."""
        await super().stop()
        for record in self._pending.values():
            eliot.log_message(
                message_type="once:unrecorded",
                record=type(record).__name__.lower(),
                key=record.key,
                claim_id=record.claim_id,
                status=getattr(record, "status", None),
            )

    async def _record(self, record: Outcome | Abandon) -> None:
        delay_s = RETRY_DELAY_S
        while await self._claims.record(record) is not None:
            await self._clock.sleep(delay_s)
            delay_s = min(RETRY_LIMIT_S, 2 * delay_s)
            if record.claim_id not in self._pending:
                return
        self._forget(record.claim_id)

    def _forget(self, claim_id: str) -> None:
        self._pending.pop(claim_id, None)
        if not self._pending:
            self._settled.set()
