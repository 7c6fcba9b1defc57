"""Checkpoints of a partition's ledger, appended in parts to the partition's own stream."""

import collections.abc as cabc
import dataclasses

from cassiawalk.ids import ClaimId
from cassiawalk.ids import Offset
from cassiawalk.ids import new_uuid7
from cassiawalk.once.logtime import Stamp
from cassiawalk.once.records import Claim
from cassiawalk.once.records import Outcome
from cassiawalk.once.records import records

ENTRIES_PER_PART = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerEntry:
    """The claim that holds a key, and its outcome once it is recorded.

    ``since_s`` is the start of the idempotency window of the key, in wall-clock seconds.
    """

    claim: Claim
    since_s: float
    outcome: Outcome | None = None

    def __post_init__(self) -> None:
        if self.outcome is None or self.outcome.claim_id != self.claim.claim_id:
            return
        # Shares the string objects with the claim to save memory.
        object.__setattr__(self.outcome, "key", self.claim.key)
        object.__setattr__(self.outcome, "claim_id", self.claim.claim_id)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AbandonedClaim:
    """A claim id that can no longer win a key; ``since_s`` as in ``LedgerEntry``."""

    claim_id: ClaimId
    since_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerState:
    """The state of a partition's ledger after the record at ``through_offset``."""

    through_offset: Offset
    stamps: tuple[Stamp, ...]
    entries: tuple[LedgerEntry, ...]
    abandoned: tuple[AbandonedClaim, ...]


@records.register("checkpoint")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckpointPart:
    """One part of a checkpoint.

    ``parts`` is the number of parts and ``index`` the number of this one, from 0. ``written_s`` is
    the writer's wall-clock time in seconds; it only decides when the next checkpoint is due.
    """

    checkpoint_id: str
    index: int
    parts: int
    written_s: float
    through_offset: Offset
    stamps: tuple[Stamp, ...]
    entries: tuple[LedgerEntry, ...]
    abandoned: tuple[AbandonedClaim, ...]


def checkpoint_parts(state: LedgerState, *, written_s: float) -> cabc.Iterator[CheckpointPart]:
    """Yield the parts of a new checkpoint of ``state``."""
    checkpoint_id = new_uuid7(wall_s=written_s)
    longest = max(len(state.entries), len(state.abandoned))
    parts = max(1, -(-longest // ENTRIES_PER_PART))
    for index in range(parts):
        chunk = slice(index * ENTRIES_PER_PART, (index + 1) * ENTRIES_PER_PART)
        yield CheckpointPart(
            checkpoint_id=checkpoint_id,
            index=index,
            parts=parts,
            written_s=written_s,
            through_offset=state.through_offset,
            stamps=state.stamps,
            entries=state.entries[chunk],
            abandoned=state.abandoned[chunk],
        )


class CheckpointAssembler:
    """Collects checkpoint parts in any order and joins those of complete checkpoints."""

    def __init__(self) -> None:
        self._parts_by_id: dict[str, dict[int, CheckpointPart]] = {}

    def add(self, part: CheckpointPart) -> None:
        """Add a part. Adding the same part again has no effect."""
        self._parts_by_id.setdefault(part.checkpoint_id, {})[part.index] = part

    def newest(self, *, first_offset: Offset) -> LedgerState | None:
        """Return the complete checkpoint with the highest offset, or None.

        :param first_offset: the oldest retained offset. A checkpoint that ends more than one
            offset before it is ignored, because the records in between are lost.
        """
        states = [
            _join_parts(parts)
            for parts in self._parts_by_id.values()
            if len(parts) == next(iter(parts.values())).parts
        ]
        usable = [state for state in states if state.through_offset + 1 >= first_offset]
        return max(usable, key=lambda state: state.through_offset, default=None)


def _join_parts(parts: dict[int, CheckpointPart]) -> LedgerState:
    ordered = [parts[index] for index in sorted(parts)]
    return LedgerState(
        through_offset=ordered[0].through_offset,
        stamps=ordered[0].stamps,
        entries=tuple(entry for part in ordered for entry in part.entries),
        abandoned=tuple(item for part in ordered for item in part.abandoned),
    )
