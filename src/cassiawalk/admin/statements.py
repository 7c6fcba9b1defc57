"""Syntax tree of the operators' language."""

import dataclasses
import enum

from cassiawalk.control import Operation
from cassiawalk.ids import CommandId
from cassiawalk.ids import Revision

Scalar = str | int | float | bool | None
Row = dict[str, Scalar]


class Comparison(enum.Enum):
    """Comparison of a column with the value of a condition."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="


@dataclasses.dataclass(frozen=True, kw_only=True)
class Condition:
    """A condition on a column; durations are values in seconds."""

    column: str
    comparison: Comparison
    value: Scalar


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A change of one object, refused if the object was changed after ``expected``."""

    operation: Operation
    expected: Revision | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Show:
    """A query for rows.

    ``last_s`` drops rows older than so many seconds; ``limit`` is the largest number of rows.
    """

    subject: str
    conditions: tuple[Condition, ...] = ()
    last_s: float | None = None
    limit: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Count:
    """A query for the number of rows in each group.

    ``by`` names the columns to group by; ``last_s`` drops rows older than so many seconds.
    """

    subject: str
    by: tuple[str, ...] = ()
    conditions: tuple[Condition, ...] = ()
    last_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShowConfig:
    """A query for the whole configuration, at present or at an earlier revision."""

    revision: Revision | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShowCommand:
    """A query for the outcome of a command."""

    command_id: CommandId


Statement = Change | Show | Count | ShowConfig | ShowCommand
Query = Show | Count
