"""Parsed statements of the operators' language."""

import dataclasses
import enum

from cassiawalk.control import Operation
from cassiawalk.ids import CommandId
from cassiawalk.ids import Revision

Scalar = str | int | float | bool | None
Row = dict[str, Scalar]


class Operator(enum.Enum):
    """How a condition compares a column with its value."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="


@dataclasses.dataclass(frozen=True, kw_only=True)
class Condition:
    """One condition on a column; durations count as seconds."""

    column: str
    operator: Operator
    value: Scalar


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """Changes one object, if nobody has changed it after ``expected``."""

    operation: Operation
    expected: Revision | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Show:
    """Asks for rows. ``last_s`` keeps rows no older than so many seconds."""

    subject: str
    conditions: tuple[Condition, ...] = ()
    last_s: float | None = None
    limit: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Count:
    """Asks for the number of rows in each group."""

    subject: str
    by: tuple[str, ...] = ()
    conditions: tuple[Condition, ...] = ()
    last_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShowConfig:
    """Asks for the whole configuration, now or at an earlier revision."""

    revision: Revision | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShowCommand:
    """Asks what became of a command."""

    command_id: CommandId


Statement = Change | Show | Count | ShowConfig | ShowCommand
Query = Show | Count
