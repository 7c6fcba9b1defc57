"""Parses operators' statements."""

import collections.abc as cabc
import functools
import importlib.resources
import json
import typing as t

import lark

from cassiawalk.admin.statements import Change
from cassiawalk.admin.statements import Comparison
from cassiawalk.admin.statements import Condition
from cassiawalk.admin.statements import Count
from cassiawalk.admin.statements import Scalar
from cassiawalk.admin.statements import Show
from cassiawalk.admin.statements import ShowCommand
from cassiawalk.admin.statements import ShowConfig
from cassiawalk.admin.statements import Statement
from cassiawalk.admin.tables import TABLES
from cassiawalk.control import ObjectType
from cassiawalk.control import Operation
from cassiawalk.control import Verb
from cassiawalk.errors import UsageError
from cassiawalk.ids import CommandId
from cassiawalk.ids import Revision

_Token = lark.Token
_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_TERMINAL_NAMES: cabc.Mapping[str, str] = {
    "VERB": "create, set, put",
    "OBJECT": "service, workspace, kind, limit, pool, drain, quarantine",
    "DRAINABLE": "host, upstream",
    "SUBJECT": ", ".join(TABLES),
    "OPERATOR": "=, !=, <, <=, >, >=",
    "NAME": "a name",
    "STRING": 'a text in "quotes"',
    "NUMBER": "a number",
    "INT": "a whole number",
    "DURATION": "a time such as 30s or 10m",
    "TRUE": "true",
    "FALSE": "false",
    "EQUAL": "=",
    "COMMA": "a comma",
    "$END": "the end",
}


class StatementError(UsageError):
    """A statement that can't be parsed; the message marks the faulty column with a caret.

    :param column: position of the fault, counted from 1.
    :param expected: what would be valid there.
    """

    def __init__(self, statement: str, column: int, expected: cabc.Iterable[str]) -> None:
        valid = ", ".join(sorted(expected)) or "the end"
        caret = " " * (column - 1) + "^"
        super().__init__(f"{statement}\n{caret}\nexpected here: {valid}")
        self.column = column


class _ColumnError(Exception):
    """A column name that the table of the statement does not have."""

    def __init__(self, token: _Token, columns: cabc.Iterable[str]) -> None:
        super().__init__(str(token))
        self.token = token
        self.columns = tuple(columns)


class _Last(float):
    """The value of a ``last`` clause, in seconds."""


class _Limit(int):
    """The value of a ``limit`` clause: a number of rows."""


class _By(tuple[_Token, ...]):
    """The columns of a ``by`` clause."""


class _Where(tuple[tuple[_Token, Condition], ...]):
    """The conditions of a ``where`` clause, each with the token of its column."""


class _Builder(lark.Transformer[_Token, Statement]):
    """Builds statements from the parse tree; each method handles the rule of the same name."""

    def start(self, items: list[t.Any]) -> Statement:
        return t.cast(Statement, items[0])

    def change(self, items: list[t.Any]) -> Change:
        verb, object_type, name, *rest = items
        fields: dict[str, object] = next((item for item in rest if isinstance(item, dict)), {})
        operation = Operation(
            verb=Verb(str(verb)), object_type=ObjectType(str(object_type)), name=name, fields=fields
        )
        return Change(operation=operation, expected=_revision(rest))

    def remove(self, items: list[t.Any]) -> Change:
        object_type, name, *rest = items
        operation = Operation(verb=Verb.REMOVE, object_type=ObjectType(str(object_type)), name=name)
        return Change(operation=operation, expected=_revision(rest))

    def drain(self, items: list[t.Any]) -> Change:
        reason = items[2] if len(items) > 2 else ""
        operation = Operation(
            verb=Verb.PUT, object_type=ObjectType.DRAIN, name=items[1], fields={"reason": reason}
        )
        return Change(operation=operation)

    def undrain(self, items: list[t.Any]) -> Change:
        operation = Operation(verb=Verb.REMOVE, object_type=ObjectType.DRAIN, name=items[1])
        return Change(operation=operation)

    def lift(self, items: list[t.Any]) -> Change:
        operation = Operation(verb=Verb.REMOVE, object_type=ObjectType.QUARANTINE, name=items[0])
        return Change(operation=operation)

    def show(self, items: list[t.Any]) -> Show:
        subject = str(items[0])
        return Show(
            subject=subject,
            conditions=_conditions(subject, items),
            last_s=next((float(item) for item in items if isinstance(item, _Last)), None),
            limit=next((int(item) for item in items if isinstance(item, _Limit)), None),
        )

    def count(self, items: list[t.Any]) -> Count:
        subject = str(items[0])
        by = next((item for item in items if isinstance(item, _By)), _By())
        for token in by:
            _check_column(subject, token)
        return Count(
            subject=subject,
            by=tuple(str(token) for token in by),
            conditions=_conditions(subject, items),
            last_s=next((float(item) for item in items if isinstance(item, _Last)), None),
        )

    def show_config(self, items: list[t.Any]) -> ShowConfig:
        return ShowConfig(revision=items[0] if items else None)

    def show_command(self, items: list[t.Any]) -> ShowCommand:
        return ShowCommand(command_id=CommandId(items[0]))

    def fields(self, items: list[t.Any]) -> dict[str, object]:
        return dict(items)

    def field(self, items: list[t.Any]) -> tuple[str, object]:
        return str(items[0]), _value(items[1])

    def revision(self, items: list[t.Any]) -> Revision:
        return Revision(int(items[0]))

    def at(self, items: list[t.Any]) -> Revision:
        return Revision(int(items[0]))

    def because(self, items: list[t.Any]) -> str:
        return _unquote(items[0])

    def name(self, items: list[t.Any]) -> str:
        return _unquote(items[0])

    def by(self, items: list[t.Any]) -> _By:
        return _By(items)

    def where(self, items: list[t.Any]) -> _Where:
        return _Where(items)

    def condition(self, items: list[t.Any]) -> tuple[_Token, Condition]:
        column, comparison, value = items
        condition = Condition(
            column=str(column), comparison=Comparison(str(comparison)), value=_value(value)
        )
        return column, condition

    def last(self, items: list[t.Any]) -> _Last:
        return _Last(_duration_s(items[0]))

    def limit(self, items: list[t.Any]) -> _Limit:
        return _Limit(items[0])


def parse_statement(statement: str) -> Statement:
    """Return the parsed statement.

    :raises StatementError: if the statement can't be parsed or names a column that its table lacks.
    """
    try:
        tree = _parser().parse(statement)
        return _Builder().transform(tree)
    except lark.exceptions.UnexpectedInput as exc:
        raise StatementError(statement, _column(exc, statement), _expected(exc)) from exc
    except lark.exceptions.VisitError as exc:
        if not isinstance(exc.orig_exc, _ColumnError):
            raise
        fault = exc.orig_exc
        raise StatementError(statement, fault.token.column or 1, fault.columns) from exc


@functools.cache
def _parser() -> lark.Lark:
    grammar = importlib.resources.files(__package__).joinpath("language.lark").read_text("utf-8")
    return lark.Lark(grammar, parser="lalr")


def _column(exc: lark.exceptions.UnexpectedInput, statement: str) -> int:
    token = getattr(exc, "token", None)
    if token is not None and token.type == "$END":
        return len(statement) + 1
    return exc.column if exc.column > 0 else len(statement) + 1


def _expected(exc: lark.exceptions.UnexpectedInput) -> set[str]:
    if isinstance(exc, lark.exceptions.UnexpectedToken):
        terminals = exc.accepts or exc.expected
    else:
        terminals = getattr(exc, "allowed", None) or set()
    return {_TERMINAL_NAMES.get(name, name.lower()) for name in terminals}


def _revision(items: cabc.Iterable[t.Any]) -> Revision | None:
    return next((Revision(item) for item in items if isinstance(item, int)), None)


def _conditions(subject: str, items: cabc.Iterable[t.Any]) -> tuple[Condition, ...]:
    where = next((item for item in items if isinstance(item, _Where)), _Where())
    for token, _ in where:
        _check_column(subject, token)
    return tuple(condition for _, condition in where)


def _check_column(subject: str, token: _Token) -> None:
    columns = TABLES[subject].columns
    if str(token) not in columns:
        raise _ColumnError(token, columns)


def _value(token: _Token) -> Scalar:
    if token.type == "STRING":
        return _unquote(token)
    if token.type == "INT":
        return int(token)
    if token.type == "NUMBER":
        return float(token) if "." in token else int(token)
    if token.type == "DURATION":
        return _duration_s(token)
    if token.type in ("TRUE", "FALSE"):
        return token.type == "TRUE"
    return str(token)


def _duration_s(token: _Token) -> float:
    unit = str(token).lstrip("0123456789")
    return int(str(token)[: -len(unit)]) * _SECONDS[unit]


def _unquote(token: str) -> str:
    return str(json.loads(token)) if token.startswith('"') else str(token)
