"""Filters, groups and merges rows."""

import collections
import collections.abc as cabc
import operator
import typing as t

from cassiawalk.admin.statements import Comparison
from cassiawalk.admin.statements import Condition
from cassiawalk.admin.statements import Count
from cassiawalk.admin.statements import Query
from cassiawalk.admin.statements import Row
from cassiawalk.admin.statements import Scalar

DEFAULT_LIMIT_ROWS = 200
COUNT_COLUMN = "count"
AGE_COLUMN = "age"

_ORDER_FUNCTIONS: cabc.Mapping[Comparison, cabc.Callable[[t.Any, t.Any], bool]] = {
    Comparison.LESS: operator.lt,
    Comparison.LESS_OR_EQUAL: operator.le,
    Comparison.GREATER: operator.gt,
    Comparison.GREATER_OR_EQUAL: operator.ge,
}


def evaluate(query: Query, rows: cabc.Iterable[Row]) -> list[Row]:
    """Return the rows of one host that match a query, or their counts."""
    matching = [row for row in rows if _matches(query, row)]
    if isinstance(query, Count):
        return _count(query.by, [{**row, COUNT_COLUMN: 1} for row in matching])
    return matching[: query.limit or DEFAULT_LIMIT_ROWS]


def merge(query: Query, results: cabc.Iterable[list[Row]]) -> list[Row]:
    """Combine the results of several hosts into the result of the query.

    :param results: for each host, what ``evaluate`` returned there.
    """
    rows = [row for result in results for row in result]
    if isinstance(query, Count):
        return _count(query.by, rows)
    return rows[: query.limit or DEFAULT_LIMIT_ROWS]


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
    return all(_is_met(condition, row.get(condition.column)) for condition in query.conditions)


def _is_met(condition: Condition, value: Scalar) -> bool:
    if condition.comparison is Comparison.EQUAL:
        return _is_equal(value, condition.value)
    if condition.comparison is Comparison.NOT_EQUAL:
        return not _is_equal(value, condition.value)
    comparable = isinstance(value, int | float) == isinstance(condition.value, int | float)
    if value is None or not comparable:
        return False
    return _ORDER_FUNCTIONS[condition.comparison](value, condition.value)


def _is_equal(value: Scalar, expected: Scalar) -> bool:
    return value == expected or str(value) == str(expected)
