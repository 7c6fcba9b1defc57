"""The pure function that turns records into configuration.

Every host folds the same records in the same order, so every host reaches the same state and the
same verdict on each command. The fold reads no clock and draws no random numbers.
"""

import collections.abc as cabc
import dataclasses
import typing as t

from cassiawalk.control.commands import Command
from cassiawalk.control.commands import ObjectType
from cassiawalk.control.commands import Operation
from cassiawalk.control.commands import Verb
from cassiawalk.control.state import Change
from cassiawalk.control.state import CommandVerdict
from cassiawalk.control.state import ConfigState
from cassiawalk.control.state import Drain
from cassiawalk.control.state import Kind
from cassiawalk.control.state import Limit
from cassiawalk.control.state import Pool
from cassiawalk.control.state import Quarantine
from cassiawalk.control.state import Service
from cassiawalk.control.state import Snapshot
from cassiawalk.control.state import Verdict
from cassiawalk.control.state import Workspace
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.ids import Revision
from cassiawalk.wire import from_plain
from cassiawalk.wire import to_plain

VERDICTS_KEPT = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Table:
    """Where objects of one type live and what their fields are."""

    attribute: str
    schema: type


TABLES: t.Mapping[ObjectType, _Table] = {
    ObjectType.SERVICE: _Table(attribute="services", schema=Service),
    ObjectType.WORKSPACE: _Table(attribute="workspaces", schema=Workspace),
    ObjectType.KIND: _Table(attribute="kinds", schema=Kind),
    ObjectType.LIMIT: _Table(attribute="limits", schema=Limit),
    ObjectType.POOL: _Table(attribute="pools", schema=Pool),
    ObjectType.DRAIN: _Table(attribute="drains", schema=Drain),
    ObjectType.QUARANTINE: _Table(attribute="quarantines", schema=Quarantine),
}


class _RejectedError(Exception):
    """An operation does not fit the state."""


def fold(state: ConfigState, offset: Offset, messages: cabc.Iterable[object]) -> ConfigState:
    """Return the state after the entry at ``offset``; entries already folded change nothing."""
    if offset <= state.through_offset:
        return state
    for message in messages:
        if isinstance(message, Command):
            state = _fold_command(state, message)
    return dataclasses.replace(state, through_offset=offset)


def newest_snapshot(messages: cabc.Iterable[object]) -> ConfigState | None:
    """Return the state of the snapshot that reaches furthest, or None without any."""
    states = [message.state for message in messages if isinstance(message, Snapshot)]
    return max(states, key=lambda state: state.through_offset, default=None)


def _fold_command(state: ConfigState, command: Command) -> ConfigState:
    if command.command_id in state.verdicts:
        return state
    conflict = _conflict(state, command)
    if conflict is not None:
        return _with_verdict(state, command, Verdict.CONFLICT, conflict)
    try:
        changed = _apply_all(state, command)
    except _RejectedError as exc:
        return _with_verdict(state, command, Verdict.REJECTED, str(exc))
    return _with_verdict(changed, command, Verdict.ACCEPTED, "")


def _conflict(state: ConfigState, command: Command) -> str | None:
    """Return whose change the command did not know of, or None."""
    if command.expected is None:
        return None
    for operation in command.operations:
        change = state.changes.get(operation.target)
        if change is not None and change.revision > command.expected:
            return (
                f"{operation.target} was changed at revision {change.revision} "
                f"by {change.operator} (command {change.command_id})"
            )
    return None


def _apply_all(state: ConfigState, command: Command) -> ConfigState:
    revision = Revision(state.revision + 1)
    change = Change(revision=revision, command_id=command.command_id, operator=command.operator)
    for operation in command.operations:
        state = _apply(state, operation)
        changes = {**state.changes, operation.target: change}
        state = dataclasses.replace(state, changes=changes)
    return dataclasses.replace(state, revision=revision)


def _apply(state: ConfigState, operation: Operation) -> ConfigState:
    table = TABLES[operation.object_type]
    objects = dict(getattr(state, table.attribute))
    present = objects.get(operation.name)
    if operation.verb is Verb.CREATE and present is not None:
        raise _RejectedError(f"{operation.target} exists already")
    if operation.verb in (Verb.SET, Verb.REMOVE) and present is None:
        raise _RejectedError(f"{operation.target} does not exist")
    if operation.verb is Verb.REMOVE:
        _check_unused(state, operation)
        del objects[operation.name]
    else:
        base = to_plain(present) if operation.verb is Verb.SET else {}
        objects[operation.name] = _build(operation, table.schema, base)
        _check_references(state, operation, objects[operation.name])
    replaced: dict[str, t.Any] = {table.attribute: objects}
    return dataclasses.replace(state, **replaced)


def _build(operation: Operation, schema: type, base: dict[str, t.Any]) -> object:
    allowed = [field.name for field in dataclasses.fields(schema)]
    for name in operation.fields:
        if name not in allowed:
            raise _RejectedError(
                f"{operation.target} has no field {name!r}; allowed: {', '.join(allowed)}"
            )
    try:
        return t.cast(object, from_plain(schema, {**base, **operation.fields}))
    except WireError as exc:
        raise _RejectedError(f"{operation.target}: {exc}") from exc


def _check_references(state: ConfigState, operation: Operation, value: object) -> None:
    if isinstance(value, Service) and value.pool not in state.pools:
        raise _RejectedError(f"{operation.target}: pool {value.pool!r} does not exist")
    if isinstance(value, Kind):
        service, slash, kind = operation.name.partition("/")
        if not slash or not kind:
            raise _RejectedError(f"{operation.target}: write the name as service/kind")
        if service not in state.services:
            raise _RejectedError(f"{operation.target}: service {service!r} does not exist")
    if isinstance(value, Limit) and operation.name not in state.workspaces:
        raise _RejectedError(f"{operation.target}: workspace {operation.name!r} does not exist")


def _check_unused(state: ConfigState, operation: Operation) -> None:
    if operation.object_type is ObjectType.POOL:
        users: list[str] = [
            name for name, item in state.services.items() if item.pool == operation.name
        ]
    elif operation.object_type is ObjectType.SERVICE:
        prefix = f"{operation.name}/"
        users = [name for name in state.kinds if name.startswith(prefix)]
    else:
        users = []
    if users:
        raise _RejectedError(f"{operation.target} is used by {users[0]}")


def _with_verdict(
    state: ConfigState, command: Command, verdict: Verdict, detail: str
) -> ConfigState:
    verdicts = dict(state.verdicts)
    verdicts[command.command_id] = CommandVerdict(
        verdict=verdict,
        revision=state.revision,
        detail=detail,
        operator=command.operator,
        statement=command.statement,
        issued_s=command.issued_s,
    )
    while len(verdicts) > VERDICTS_KEPT:
        del verdicts[next(iter(verdicts))]
    return dataclasses.replace(state, verdicts=verdicts)
