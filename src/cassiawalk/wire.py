"""Encodes typed dataclasses as CBOR maps and decodes them.

Records on the log and messages between processes use the same encoding. A map holds the tag of its
type under ``"t"``. The decoder ignores unknown fields, and missing fields take their defaults, so
that hosts of different versions can exchange messages during a rolling upgrade.
"""

import collections.abc as cabc
import dataclasses
import enum
import functools
import types
import typing as t

import cbor2

from cassiawalk.errors import WireError

_TAG = "t"
_OMITTED_IF_NONE = "omitted-if-none"
# Metadata of a field that is left out of the map while it is None.
OMITTED_IF_NONE = {_OMITTED_IF_NONE: True}
_T = t.TypeVar("_T")
_SCALARS = frozenset((str, int, float, bool, bytes, type(None)))
_Converter = cabc.Callable[[t.Any], t.Any]


class Registry:
    """Maps tags to the dataclasses of one family of messages."""

    def __init__(self) -> None:
        self._by_tag: dict[str, type] = {}
        self._tags: dict[type, str] = {}

    def register(self, tag: str) -> t.Callable[[type[_T]], type[_T]]:
        """Return a class decorator that registers a dataclass under ``tag``.

        :raises WireError: from the decorator, if the tag is registered already.
        """

        def decorate(cls: type[_T]) -> type[_T]:
            if tag in self._by_tag:
                raise WireError(f"tag {tag!r} is registered twice")
            self._by_tag[tag] = cls
            self._tags[cls] = tag
            return cls

        return decorate

    def to_plain(self, message: object) -> dict[str, t.Any]:
        """Return the tagged map of a registered dataclass instance."""
        plain = to_plain(message)
        plain[_TAG] = self._tags[type(message)]
        return t.cast(dict[str, t.Any], plain)

    def from_plain(self, plain: t.Any) -> object | None:
        """Return the dataclass instance of a tagged map, or None if the tag is unknown.

        :raises WireError: if ``plain`` is not a map or does not fit the dataclass.
        """
        if not isinstance(plain, dict):
            raise WireError(f"expected a map, got {type(plain).__name__}")
        cls = self._by_tag.get(str(plain.get(_TAG)))
        return None if cls is None else from_plain(cls, plain)

    def encode(self, messages: t.Iterable[object]) -> bytes:
        """Return the CBOR bytes of a batch of messages."""
        return cbor2.dumps([self.to_plain(message) for message in messages])

    def decode(self, payload: bytes) -> list[object]:
        """Return the messages of a batch; those with an unknown tag are left out.

        :raises WireError: if the payload is not a CBOR list of messages.
        """
        plain = load(payload)
        if not isinstance(plain, list):
            raise WireError("expected a list of messages")
        return [message for item in plain if (message := self.from_plain(item)) is not None]


def load(payload: bytes) -> t.Any:
    """Return the CBOR value in ``payload``.

    :raises WireError: if the bytes are not CBOR.
    """
    try:
        return cbor2.loads(payload)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as exc:
        raise WireError(f"not CBOR: {exc}") from exc


def to_plain(value: t.Any) -> t.Any:
    """Return ``value`` converted to maps, lists and scalars."""
    cls = type(value)
    if cls in _SCALARS:
        return value
    names = _field_names(t.cast(cabc.Hashable, cls))
    if names is not None:
        plain = {name: to_plain(getattr(value, name)) for name in names}
        for name in _omitted_if_none(t.cast(cabc.Hashable, cls)):
            if plain[name] is None:
                del plain[name]
        return plain
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [to_plain(item) for item in value]
    return value


@functools.cache
def _field_names(cls: t.Any) -> tuple[str, ...] | None:
    """Return the names of a dataclass's fields, None of another class."""
    if not dataclasses.is_dataclass(cls):
        return None
    return tuple(field.name for field in dataclasses.fields(cls))


@functools.cache
def _omitted_if_none(cls: t.Any) -> tuple[str, ...]:
    """Return the names of a dataclass's fields that are left out while they are None."""
    fields = dataclasses.fields(cls)
    return tuple(field.name for field in fields if field.metadata.get(_OMITTED_IF_NONE))


def from_plain(cls: type[_T], plain: t.Any) -> _T:
    """Return an instance of the dataclass ``cls`` from a map.

    :raises WireError: if a required field is missing or a value has the wrong type.
    """
    if not isinstance(plain, dict):
        raise WireError(f"{cls.__name__}: expected a map, got {type(plain).__name__}")
    converters = _field_converters(t.cast(cabc.Hashable, cls))
    try:
        return cls(**{name: to(plain[name]) for name, to in converters.items() if name in plain})
    except TypeError as exc:
        raise WireError(f"{cls.__name__}: {exc}") from exc


@functools.cache
def _field_converters(cls: t.Any) -> dict[str, _Converter]:
    return {name: _converter(hint) for name, hint in t.get_type_hints(cls).items()}


@functools.cache
def _converter(hint: t.Any) -> _Converter:
    """Return the function that converts a plain value to the type of a hint."""
    if hint is t.Any or hint is object:
        return lambda value: value
    if isinstance(hint, t.NewType):
        return _converter(hint.__supertype__)
    origin = t.get_origin(hint)
    if origin in (t.Union, types.UnionType):
        return _optional(*(arg for arg in t.get_args(hint) if arg is not type(None)))
    if origin in (tuple, list):
        to_item = _converter(t.get_args(hint)[0])
        return lambda value: origin([to_item(item) for item in value])
    if origin is dict:
        to_value = _converter(t.get_args(hint)[1])
        return lambda value: {key: to_value(item) for key, item in value.items()}
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return functools.partial(_enum_member, hint)
    if dataclasses.is_dataclass(hint):
        return functools.partial(from_plain, t.cast(type, hint))
    return functools.partial(_scalar, hint)


def _optional(hint: t.Any, *_: t.Any) -> _Converter:
    convert = _converter(hint)
    return lambda value: None if value is None else convert(value)


def _enum_member(hint: type[enum.Enum], value: t.Any) -> enum.Enum:
    try:
        return hint(value)
    except ValueError as exc:
        raise WireError(str(exc)) from exc


def _scalar(hint: t.Any, value: t.Any) -> t.Any:
    if hint is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if isinstance(hint, type) and not isinstance(value, hint):
        raise WireError(f"expected {hint.__name__}, got {type(value).__name__}")
    return value
