"""The ledger of one partition: the claim that holds each key, and its outcome."""

import collections.abc as cabc
import dataclasses

from cassiawalk.ids import ClaimId
from cassiawalk.ids import Offset
from cassiawalk.once.checkpoint import AbandonedClaim
from cassiawalk.once.checkpoint import LedgerEntry
from cassiawalk.once.checkpoint import LedgerState
from cassiawalk.once.logtime import LogTime
from cassiawalk.once.logtime import Stamp
from cassiawalk.once.records import Abandon
from cassiawalk.once.records import Claim
from cassiawalk.once.records import OnceRecord
from cassiawalk.once.records import Outcome

SWEEPS_PER_WINDOW = 8


class Ledger:
    """Folds the records of a partition in offset order.

    Expiry follows the log time, which is derived from the records, so all readers expire the same
    keys. The id of an abandoned claim is kept for as long as a late copy of the claim could be
    accepted; without this, a claim that was appended twice could win the key after its
    abandonment.

    :param keep_s: how long claims and abandoned ids are kept, in seconds of log time.
    """

    def __init__(self, *, keep_s: float) -> None:
        self._keep_s = keep_s
        self._entries: dict[str, LedgerEntry] = {}
        self._abandoned: dict[ClaimId, float] = {}
        self._time = LogTime()
        self._last_sweep_s = 0.0
        self.next_offset = Offset(0)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def now_s(self) -> float:
        """Return the log time in wall-clock seconds."""
        return self._time.now_s

    def entry(self, key: str) -> LedgerEntry | None:
        """Return the unexpired entry of a key, or None if no claim holds the key."""
        entry = self._entries.get(key)
        return None if entry is None or self._is_expired(entry.since_s) else entry

    def is_settled(self, record: OnceRecord) -> bool:
        """Return whether the records folded so far already determine the effect of ``record``."""
        entry = self.entry(record.key)
        if record.claim_id in self._abandoned:
            return True
        if isinstance(record, Claim):
            return entry is not None
        if isinstance(record, Outcome):
            return entry is None or entry.claim.claim_id != record.claim_id or bool(entry.outcome)
        return entry is not None and bool(entry.outcome)

    def fold(self, offset: Offset, messages: cabc.Iterable[object]) -> None:
        """Apply the records of one log entry. An entry that was already applied has no effect."""
        if offset < self.next_offset:
            return
        self.next_offset = Offset(offset + 1)
        for message in messages:
            if isinstance(message, Claim):
                self._fold_claim(message)
            elif isinstance(message, Outcome):
                self._fold_outcome(message)
            elif isinstance(message, Abandon):
                self._fold_abandon(message)
        if self.now_s - self._last_sweep_s > self._keep_s / SWEEPS_PER_WINDOW:
            self._sweep()

    def state(self) -> LedgerState:
        """Return the current state for a checkpoint, without expired entries."""
        self._sweep()
        abandoned = self._abandoned.items()
        return LedgerState(
            through_offset=Offset(self.next_offset - 1),
            stamps=self._time.stamps,
            entries=tuple(self._entries.values()),
            abandoned=tuple(AbandonedClaim(claim_id=c, since_s=since) for c, since in abandoned),
        )

    def restore(self, state: LedgerState) -> None:
        """Replace the state with that of a checkpoint."""
        self._entries = {entry.claim.key: entry for entry in state.entries}
        self._abandoned = {item.claim_id: item.since_s for item in state.abandoned}
        self._time = LogTime(stamps=state.stamps)
        self.next_offset = Offset(state.through_offset + 1)

    def _is_expired(self, since_s: float) -> bool:
        return since_s < self.now_s - self._keep_s

    def _fold_claim(self, claim: Claim) -> None:
        self._time.observe(Stamp(host=claim.gateway, at_s=claim.claimed_s))
        if self._is_expired(claim.claimed_s) or claim.claim_id in self._abandoned:
            return
        if self.entry(claim.key) is None:
            since_s = max(self.now_s, claim.claimed_s)
            self._entries[claim.key] = LedgerEntry(claim=claim, since_s=since_s)

    def _fold_outcome(self, outcome: Outcome) -> None:
        entry = self.entry(outcome.key)
        if entry is None or entry.claim.claim_id != outcome.claim_id:
            return
        if entry.outcome is not None:
            return
        self._entries[outcome.key] = dataclasses.replace(entry, outcome=outcome)

    def _fold_abandon(self, abandon: Abandon) -> None:
        entry = self.entry(abandon.key)
        is_holder = entry is not None and entry.claim.claim_id == abandon.claim_id
        if is_holder and entry is not None and entry.outcome is not None:
            return
        since_s = max(self.now_s, abandon.claimed_s)
        self._abandoned[abandon.claim_id] = since_s
        if is_holder:
            del self._entries[abandon.key]

    def _sweep(self) -> None:
        """Remove expired entries and abandoned ids."""
        self._last_sweep_s = self.now_s
        entries = self._entries.items()
        self._entries = {
            key: entry for key, entry in entries if not self._is_expired(entry.since_s)
        }
        abandoned = self._abandoned.items()
        self._abandoned = {c: since for c, since in abandoned if not self._is_expired(since)}
