"""Reads fields of decoded JSON, with an error that names the field."""

import collections.abc as cabc
import math
import typing as t

import orjson

from cassiawalk.errors import WireError

Table = cabc.Mapping[str, t.Any]

_T = t.TypeVar("_T")


def parse_table(data: bytes) -> Table:
    """Return the JSON object in ``data``.

    :raises WireError: if it is none.
    """
    try:
        table = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise WireError(f"not JSON: {exc}") from None
    if not isinstance(table, dict):
        raise WireError(f"expected an object, got {type(table).__name__}")
    return table


def text(table: Table, name: str, default: str | None = None) -> str:
    """Return a string field."""
    return _field(table, name, str, default)


def number(table: Table, name: str, default: float | None = None) -> float:
    """Return a field that is a whole number or a fraction."""
    value = table.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise WireError(f"field {name!r} is {value!r}, not a number")
    return float(value)


def whole(table: Table, name: str, default: int | None = None) -> int:
    """Return a field that is a whole number."""
    value = number(table, name, None if default is None else float(default))
    if value != int(value):
        raise WireError(f"field {name!r} is {value!r}, not a whole number")
    return int(value)


def numbers(table: Table, name: str) -> dict[str, float]:
    """Return a field that is an object of numbers."""
    found = table_of(table, name)
    return {key: number(found, key) for key in found}


def texts(table: Table, name: str) -> list[str]:
    """Return a field that is a list of strings; none if it is missing."""
    found = _field(table, name, list, [])
    for value in found:
        if not isinstance(value, str):
            raise WireError(f"field {name!r} holds {value!r}, not a string")
    return found


def flag(table: Table, name: str, default: bool = False) -> bool:
    """Return a field that is true or false."""
    return _field(table, name, bool, default)


def table_of(table: Table, name: str) -> Table:
    """Return a field that is an object."""
    return _field(table, name, dict, None)


def rows(table: Table, name: str) -> list[Table]:
    """Return a field that is a list of objects; none if it is missing."""
    found = _field(table, name, list, [])
    for row in found:
        if not isinstance(row, dict):
            raise WireError(f"field {name!r} holds {row!r}, not an object")
    return found


def _field(table: Table, name: str, kind: type[_T], default: _T | None) -> _T:
    value = table.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, kind):
        raise WireError(f"field {name!r} is {value!r}, not of type {kind.__name__}")
    return value
