"""Deterministic fold of log records into the configuration.

All hosts fold the same records in the same order and so reach the same state and the same verdict
on each command. The fold reads no clock and uses no random numbers.
"""

import collections.abc as cabc
import dataclasses
import math
import typing as t

from cassiawalk.control.commands import Command
from cassiawalk.control.commands import Operation
from cassiawalk.control.commands import Verb
from cassiawalk.control.draft import Draft
from cassiawalk.control.rules import TABLES
from cassiawalk.control.rules import RejectedError
from cassiawalk.control.rules import check_fields
from cassiawalk.control.rules import check_name
from cassiawalk.control.rules import check_references
from cassiawalk.control.rules import check_unused
from cassiawalk.control.state import Change
from cassiawalk.control.state import CommandVerdict
from cassiawalk.control.state import ConfigState
from cassiawalk.control.state import Verdict
from cassiawalk.errors import WireError
from cassiawalk.ids import CommandId
from cassiawalk.ids import Offset
from cassiawalk.ids import Revision
from cassiawalk.ids import uuid7_time_s
from cassiawalk.wire import from_plain
from cassiawalk.wire import to_plain

VERDICTS_KEPT = 4096
REMOVALS_KEPT = 4096
TRIM_BATCH = 256
OPERATIONS_LIMIT = 256
MAX_STATEMENT_CHARS = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecodedEntry:
    """The decoded messages of one entry of the stream."""

    offset: Offset
    messages: cabc.Sequence[object]


def fold(state: ConfigState, offset: Offset, messages: cabc.Sequence[object]) -> ConfigState:
    """Return the state after the entry at ``offset``; an entry folded before has no effect."""
    return fold_entries(state, [DecodedEntry(offset=offset, messages=messages)])


def fold_entries(state: ConfigState, entries: cabc.Iterable[DecodedEntry]) -> ConfigState:
    """Return the state after entries in offset order; entries folded before have no effect."""
    draft = Draft(state=state)
    through = state.through_offset
    for entry in entries:
        if entry.offset <= through:
            continue
        for message in entry.messages:
            if isinstance(message, Command):
                _fold_command(draft, message)
        through = entry.offset
    return state if through == state.through_offset else draft.finish(through_offset=through)


def is_before_verdict_floor(state: ConfigState, command_id: CommandId) -> bool:
    """Return whether the verdict on a command id may already have been dropped."""
    issued_s = uuid7_time_s(command_id)
    return issued_s is not None and issued_s <= state.verdict_floor_s


def _fold_command(draft: Draft, command: Command) -> None:
    if command.command_id in draft.table("verdicts"):
        return
    issued_s = uuid7_time_s(command.command_id)
    if issued_s is not None and issued_s <= draft.verdict_floor_s:
        # May repeat a command whose verdict was dropped, which must not take effect twice.
        return
    try:
        conflict = _conflict(draft, command)
        if conflict is None:
            _apply_all(draft, command)
    except RejectedError as exc:
        draft.rollback()
        _add_verdict(draft, command, Verdict.REJECTED, str(exc))
        return
    if conflict is not None:
        _add_verdict(draft, command, Verdict.CONFLICT, conflict)
        return
    _add_verdict(draft, command, Verdict.ACCEPTED, "")


def _conflict(draft: Draft, command: Command) -> str | None:
    """Return a description of the conflict with a change after ``expected``, or None.

    :raises RejectedError: if the command itself is invalid.
    """
    if uuid7_time_s(command.command_id) is None:
        raise RejectedError(f"command id {command.command_id!r} is not a version 7 UUID")
    if not 1 <= len(command.operations) <= OPERATIONS_LIMIT:
        raise RejectedError(f"a command has from 1 to {OPERATIONS_LIMIT} operations")
    if command.expected is None:
        return None
    if command.expected > draft.revision:
        raise RejectedError(
            f"revision {command.expected} was expected, but only {draft.revision} is reached"
        )
    for operation in command.operations:
        conflict = _conflict_on(draft, operation.target, command.expected)
        if conflict is not None:
            return conflict
    return None


def _conflict_on(draft: Draft, target: str, expected: Revision) -> str | None:
    change = draft.table("changes").get(target) or draft.table("removals").get(target)
    if change is None and expected < draft.removal_floor:
        return f"{target} may have been removed after revision {expected}; read it again"
    if change is None or change.revision <= expected:
        return None
    return (
        f"{target} was changed at revision {change.revision} "
        f"by {change.operator} (command {change.command_id})"
    )


def _apply_all(draft: Draft, command: Command) -> None:
    revision = Revision(draft.revision + 1)
    change = Change(revision=revision, command_id=command.command_id, operator=command.operator)
    for operation in command.operations:
        _apply(draft, operation)
        _note_change(draft, operation, change)
    draft.commit()
    draft.revision = revision
    _trim_removals(draft)


def _apply(draft: Draft, operation: Operation) -> None:
    table = TABLES[operation.object_type]
    present = draft.table(table.attribute).get(operation.name)
    if operation.verb is Verb.CREATE and present is not None:
        raise RejectedError(f"{operation.target} exists already")
    if operation.verb in (Verb.SET, Verb.REMOVE) and present is None:
        raise RejectedError(f"{operation.target} does not exist")
    if operation.verb is Verb.REMOVE:
        check_unused(draft, operation)
        draft.remove(table.attribute, operation.name)
        return
    check_name(operation)
    base = to_plain(present) if operation.verb is Verb.SET else {}
    value = _build(operation, table.schema, base)
    check_fields(operation, value)
    check_references(draft, operation, value)
    draft.put(table.attribute, operation.name, value)


def _note_change(draft: Draft, operation: Operation, change: Change) -> None:
    removed = operation.verb is Verb.REMOVE
    kept, cleared = ("removals", "changes") if removed else ("changes", "removals")
    draft.remove(cleared, operation.target)
    draft.put(kept, operation.target, change)


def _build(operation: Operation, schema: type, base: dict[str, t.Any]) -> object:
    allowed = [field.name for field in dataclasses.fields(schema)]
    for name in operation.fields:
        if name not in allowed:
            raise RejectedError(
                f"{operation.target} has no field {name!r}; allowed: {', '.join(allowed)}"
            )
    try:
        return t.cast(object, from_plain(schema, {**base, **operation.fields}))
    except (WireError, ArithmeticError, AttributeError, TypeError, ValueError) as exc:
        raise RejectedError(f"{operation.target}: {exc}") from exc


def _trim_removals(draft: Draft) -> None:
    removals = draft.table("removals")
    if len(removals) < REMOVALS_KEPT + TRIM_BATCH:
        return
    oldest = sorted(removals, key=lambda target: (removals[target].revision, target))
    for target in oldest[: len(removals) - REMOVALS_KEPT]:
        draft.removal_floor = max(draft.removal_floor, removals[target].revision)
        draft.remove("removals", target)
    draft.commit()


def _add_verdict(draft: Draft, command: Command, verdict: Verdict, detail: str) -> None:
    decided = CommandVerdict(
        verdict=verdict,
        revision=draft.revision,
        detail=detail[:MAX_STATEMENT_CHARS],
        operator=command.operator,
        statement=command.statement[:MAX_STATEMENT_CHARS],
        issued_s=command.issued_s if math.isfinite(command.issued_s) else 0.0,
    )
    draft.put("verdicts", command.command_id, decided)
    _trim_verdicts(draft)
    draft.commit()


def _trim_verdicts(draft: Draft) -> None:
    """Drop the verdicts with the oldest command ids.

    The order is that of the times in the ids, not that of arrival. Otherwise one id from a clock
    that is ahead would raise ``verdict_floor_s`` above the ids of all other operators, whose
    commands would then be ignored.
    """
    verdicts = draft.table("verdicts")
    if len(verdicts) < VERDICTS_KEPT + TRIM_BATCH:
        return
    oldest = sorted(verdicts, key=lambda command_id: (_id_time_s(command_id), command_id))
    for command_id in oldest[: len(verdicts) - VERDICTS_KEPT]:
        draft.verdict_floor_s = max(draft.verdict_floor_s, _id_time_s(command_id))
        draft.remove("verdicts", command_id)


def _id_time_s(command_id: str) -> float:
    return uuid7_time_s(command_id) or 0.0
