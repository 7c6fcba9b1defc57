"""The fold of one partition: which claim holds each key, and its outcome."""

import collections.abc as cabc
import dataclasses

from cassiawalk.ids import Offset
from cassiawalk.once.records import Abandon
from cassiawalk.once.records import Claim
from cassiawalk.once.records import Outcome


@dataclasses.dataclass(kw_only=True)
class LedgerEntry:
    """The winning claim of a key and its outcome."""

    claim: Claim
    outcome: Outcome | None = None


class Ledger:
    """Folds a partition in offset order.

    An abandoned claim id stays abandoned, so a record of the same claim that was appended twice
    can't win the key again.
    """

    def __init__(self) -> None:
        self._entries: dict[str, LedgerEntry] = {}
        self._abandoned: set[str] = set()
        self.next_offset = Offset(0)

    def __len__(self) -> int:
        return len(self._entries)

    def entry(self, key: str) -> LedgerEntry | None:
        """Return the entry of a key, or None if the key is free."""
        return self._entries.get(key)

    def fold(self, offset: Offset, messages: cabc.Iterable[object]) -> None:
        """Apply the records of one log entry; entries already applied change nothing."""
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

    def _fold_claim(self, claim: Claim) -> None:
        if claim.claim_id in self._abandoned or claim.key in self._entries:
            return
        self._entries[claim.key] = LedgerEntry(claim=claim)

    def _fold_outcome(self, outcome: Outcome) -> None:
        entry = self._entries.get(outcome.key)
        if entry is None or entry.claim.claim_id != outcome.claim_id:
            return
        if entry.outcome is None:
            entry.outcome = outcome

    def _fold_abandon(self, abandon: Abandon) -> None:
        entry = self._entries.get(abandon.key)
        holds = entry is not None and entry.claim.claim_id == abandon.claim_id
        if holds and entry is not None and entry.outcome is not None:
            return
        self._abandoned.add(abandon.claim_id)
        if holds:
            del self._entries[abandon.key]
