"""Parses operators' statements."""

import dataclasses
import functools
import importlib.resources
import json
import typing as t

import lark

from cassiawalk.control import ObjectType
from cassiawalk.control import Operation
from cassiawalk.control import Verb
from cassiawalk.errors import UsageError
from cassiawalk.ids import Revision


class StatementError(UsageError):
    """A statement that can't be read; the message marks the place with a caret."""

    def __init__(self, statement: str, column: int, expected: t.Iterable[str]) -> None:
        wanted = ", ".join(sorted(expected)) or "nothing more"
        caret = " " * (column - 1) + "^"
        super().__init__(f"{statement}\n{caret}\nexpected here: {wanted}")
        self.column = column


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeStatement:
    """A statement that changes one object."""

    operation: Operation
    expected: Revision | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShowStatement:
    """A statement that asks."""

    subject: str
    name: str | None = None


Statement = ChangeStatement | ShowStatement


class _Builder(lark.Transformer[lark.Token, Statement]):
    """Builds statements from the parse tree."""

    def start(self, items: list[t.Any]) -> Statement:
        return t.cast(Statement, items[0])

    def change(self, items: list[t.Any]) -> ChangeStatement:
        verb, object_type, name, *rest = items
        fields: dict[str, object] = {}
        expected = None
        for item in rest:
            if isinstance(item, dict):
                fields = item
            else:
                expected = Revision(item)
        operation = Operation(
            verb=Verb(str(verb)),
            object_type=ObjectType(str(object_type)),
            name=name,
            fields=fields,
        )
        return ChangeStatement(operation=operation, expected=expected)

    def show(self, items: list[t.Any]) -> ShowStatement:
        return ShowStatement(subject=str(items[0]), name=items[1] if len(items) > 1 else None)

    def fields(self, items: list[t.Any]) -> dict[str, object]:
        return dict(items)

    def field(self, items: list[t.Any]) -> tuple[str, object]:
        return str(items[0]), items[1]

    def revision(self, items: list[t.Any]) -> int:
        return int(items[0])

    def name(self, items: list[t.Any]) -> str:
        return _unquote(str(items[0]))

    def text(self, items: list[t.Any]) -> str:
        return _unquote(str(items[0]))

    def word(self, items: list[t.Any]) -> str:
        return str(items[0])

    def number(self, items: list[t.Any]) -> int | float:
        text = str(items[0])
        return float(text) if "." in text else int(text)

    def true(self, items: list[t.Any]) -> bool:
        return True

    def false(self, items: list[t.Any]) -> bool:
        return False


def parse_statement(statement: str) -> Statement:
    """Return the parsed statement.

    :raises StatementError: at the first place that can't be read.
    """
    try:
        tree = _parser().parse(statement)
    except lark.exceptions.UnexpectedInput as exc:
        expected = getattr(exc, "expected", None) or getattr(exc, "allowed", None) or ()
        column = exc.column if exc.column and exc.column > 0 else len(statement) + 1
        raise StatementError(statement, column, expected) from exc
    return _Builder().transform(tree)


@functools.cache
def _parser() -> lark.Lark:
    grammar = importlib.resources.files(__package__).joinpath("language.lark").read_text("utf-8")
    return lark.Lark(grammar, parser="lalr")


def _unquote(text: str) -> str:
    return str(json.loads(text)) if text.startswith('"') else text
