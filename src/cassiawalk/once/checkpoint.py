"""Checkpoints of a partition's fold, written into its own stream in parts."""

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
    """The winning claim of a key and its outcome.

    ``since_s`` is the time that the idempotency window counts from, in wall-clock seconds.
    """

    claim: Claim
    since_s: float
    outcome: Outcome | None = None

    def __post_init__(self) -> None:
        if self.outcome is None or self.outcome.claim_id != self.claim.claim_id:
            return
        # Equal strings become the same objects, to save memory.
        object.__setattr__(self.outcome, "key", self.claim.key)
        object.__setattr__(self.outcome, "claim_id", self.claim.claim_id)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AbandonedClaim:
    """A claim id that can't win any more; ``since_s`` as in ``LedgerEntry``."""

    claim_id: ClaimId
    since_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerState:
    """The fold of a partition after the record at ``through_offset``."""

    through_offset: Offset
    stamps: tuple[Stamp, ...]
    entries: tuple[LedgerEntry, ...]
    abandoned: tuple[AbandonedClaim, ...]


@records.register("checkpoint")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckpointPart:
    """One of the ``parts`` of a checkpoint, numbered from 0.

    ``written_s`` is the writer's wall-clock time in seconds; it only decides when the next
    checkpoint is due.
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
    """Yield the parts of a checkpoint of ``state``."""
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
    """Collects parts in any order and gives the newest checkpoint that is whole."""

    def __init__(self) -> None:
        self._parts_by_id: dict[str, dict[int, CheckpointPart]] = {}

    def add(self, part: CheckpointPart) -> None:
        """Take in a part; one that is there already changes nothing."""
        self._parts_by_id.setdefault(part.checkpoint_id, {})[part.index] = part

    def newest(self, *, first_offset: Offset) -> LedgerState | None:
        """Return the whole checkpoint that reaches furthest, or None.

        :param first_offset: the oldest retained offset; a checkpoint that needs older records is
            of no use.
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
