"""Filters, groups and merges rows."""

import collections
import collections.abc as cabc
import operator
import typing as t

from cassiawalk.admin.statements import Condition
from cassiawalk.admin.statements import Count
from cassiawalk.admin.statements import Operator
from cassiawalk.admin.statements import Query
from cassiawalk.admin.statements import Row
from cassiawalk.admin.statements import Scalar

DEFAULT_LIMIT = 200
COUNT_COLUMN = "count"
AGE_COLUMN = "age"

_COMPARISONS: cabc.Mapping[Operator, cabc.Callable[[t.Any, t.Any], bool]] = {
    Operator.LESS: operator.lt,
    Operator.LESS_OR_EQUAL: operator.le,
    Operator.GREATER: operator.gt,
    Operator.GREATER_OR_EQUAL: operator.ge,
}


def evaluate(query: Query, rows: cabc.Iterable[Row]) -> list[Row]:
    """Return one host's part of the answer."""
    kept = [row for row in rows if _matches(query, row)]
    if isinstance(query, Count):
        return _count(query.by, [{**row, COUNT_COLUMN: 1} for row in kept])
    return kept[: query.limit or DEFAULT_LIMIT]


def merge(query: Query, parts: cabc.Iterable[list[Row]]) -> list[Row]:
    """Return the whole answer from the hosts' parts."""
    rows = [row for part in parts for row in part]
    if isinstance(query, Count):
        return _count(query.by, rows)
    return rows[: query.limit or DEFAULT_LIMIT]


def _count(by: tuple[str, ...], rows: cabc.Iterable[Row]) -> list[Row]:
    totals: collections.Counter[tuple[Scalar, ...]] = collections.Counter()
    for row in rows:
        totals[tuple(row.get(column) for column in by)] += int(row[COUNT_COLUMN] or 0)
    if not by and not totals:
        return [{COUNT_COLUMN: 0}]
    return [
        {**dict(zip(by, group, strict=True)), COUNT_COLUMN: total}
        for group, total in totals.most_common()
    ]


def _matches(query: Query, row: Row) -> bool:
    age = row.get(AGE_COLUMN)
    if query.last_s is not None and isinstance(age, int | float) and age > query.last_s:
        return False
    return all(_holds(condition, row.get(condition.column)) for condition in query.conditions)


def _holds(condition: Condition, value: Scalar) -> bool:
    if condition.operator is Operator.EQUAL:
        return _same(value, condition.value)
    if condition.operator is Operator.NOT_EQUAL:
        return not _same(value, condition.value)
    comparable = isinstance(value, int | float) == isinstance(condition.value, int | float)
    if value is None or not comparable:
        return False
    return _COMPARISONS[condition.operator](value, condition.value)


def _same(value: Scalar, wanted: Scalar) -> bool:
    return value == wanted or str(value) == str(wanted)
