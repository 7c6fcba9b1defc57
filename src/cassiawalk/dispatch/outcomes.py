"""Records outcomes and abandonments of claims, retrying for as long as the log is unavailable."""

import asyncio
import collections.abc as cabc

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.once import Abandon
from cassiawalk.once import ClaimClient
from cassiawalk.once import Outcome

RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 2.0
ANSWER_WAIT_S = 0.5


class OutcomeRecorder(Component):
    """Appends each record to its partition's stream and retries until that succeeds."""

    def __init__(self, *, claims: ClaimClient, clock: Clock) -> None:
        self._claims = claims
        self._clock = clock
        self._pending: dict[str, Outcome | Abandon] = {}
        self._settled = asyncio.Event()

    @property
    def pending(self) -> list[Outcome | Abandon]:
        """Return the records whose append has not been confirmed."""
        return list(self._pending.values())

    def pending_record(self, claim_id: str) -> Outcome | Abandon | None:
        """Return a claim's pending outcome or abandonment, or None."""
        return self._pending.get(claim_id)

    def outcome(self, claim_id: str) -> Outcome | None:
        """Return a claim's pending outcome, or None."""
        record = self._pending.get(claim_id)
        return record if isinstance(record, Outcome) else None

    def submit(self, record: Outcome | Abandon) -> asyncio.Task[None]:
        """Append the record in the background and return the task that does so."""
        self._pending[record.claim_id] = record
        self._settled.clear()
        return self.spawn(self._record(record), name=f"record-{record.claim_id}")

    def release(self, claim_ids: cabc.Iterable[str]) -> None:
        """Drop pending records that another host has taken over."""
        for claim_id in claim_ids:
            self._forget(claim_id)

    async def submit_and_wait(self, record: Outcome | Abandon) -> None:
        """Append the record and wait up to ``ANSWER_WAIT_S``; retries continue after that."""
        task = self.submit(record)
        await asyncio.wait([task], timeout=ANSWER_WAIT_S)

    async def drain(self) -> None:
        """Return once no record is pending."""
        while self._pending:
            await self._settled.wait()

    async def stop(self) -> None:
        """Stop, and log each pending record so that operators can inform the callers concerned."""
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
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
            if record.claim_id not in self._pending:
                return
        self._forget(record.claim_id)

    def _forget(self, claim_id: str) -> None:
        self._pending.pop(claim_id, None)
        if not self._pending:
            self._settled.set()
