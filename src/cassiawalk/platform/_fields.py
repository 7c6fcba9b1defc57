"""Reads fields of decoded JSON objects; errors name the field."""

import collections.abc as cabc
import math
import typing as t

import orjson

from cassiawalk.errors import WireError

JsonObject = cabc.Mapping[str, t.Any]

_T = t.TypeVar("_T")


def parse_object(data: bytes) -> JsonObject:
    """Return the JSON object in ``data``.

    :raises WireError: if ``data`` is not a JSON object.
    """
    try:
        table = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise WireError(f"not JSON: {exc}") from None
    if not isinstance(table, dict):
        raise WireError(f"expected an object, got {type(table).__name__}")
    return table


def string_field(table: JsonObject, name: str, default: str | None = None) -> str:
    """Return a string field."""
    return _field(table, name, str, default)


def number_field(table: JsonObject, name: str, default: float | None = None) -> float:
    """Return a field that holds a finite number, whole or fractional."""
    value = table.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise WireError(f"field {name!r} is {value!r}, not a number")
    return float(value)


def integer_field(table: JsonObject, name: str, default: int | None = None) -> int:
    """Return a field that holds a whole number."""
    value = number_field(table, name, None if default is None else float(default))
    if value != int(value):
        raise WireError(f"field {name!r} is {value!r}, not a whole number")
    return int(value)


def number_map(table: JsonObject, name: str) -> dict[str, float]:
    """Return a field that holds an object whose values are numbers."""
    found = object_field(table, name)
    return {key: number_field(found, key) for key in found}


def string_list(table: JsonObject, name: str) -> list[str]:
    """Return a field that holds a list of strings; an empty list if it is missing."""
    found = _field(table, name, list, [])
    for value in found:
        if not isinstance(value, str):
            raise WireError(f"field {name!r} holds {value!r}, not a string")
    return found


def boolean_field(table: JsonObject, name: str, default: bool = False) -> bool:
    """Return a field that is true or false."""
    return _field(table, name, bool, default)


def object_field(table: JsonObject, name: str) -> JsonObject:
    """Return a field that holds an object."""
    return _field(table, name, dict, None)


def object_list(table: JsonObject, name: str) -> list[JsonObject]:
    """Return a field that holds a list of objects; an empty list if it is missing."""
    found = _field(table, name, list, [])
    for row in found:
        if not isinstance(row, dict):
            raise WireError(f"field {name!r} holds {row!r}, not an object")
    return found


def _field(table: JsonObject, name: str, kind: type[_T], default: _T | None) -> _T:
    value = table.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, kind):
        raise WireError(f"field {name!r} is {value!r}, not of type {kind.__name__}")
    return value
