"""A mutable copy of the configuration to which a batch of commands is applied."""

import collections.abc as cabc
import dataclasses
import types
import typing as t

from cassiawalk.control.state import ConfigState
from cassiawalk.ids import Offset

_MISSING = object()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Undo:
    """The value of a table entry before a change, or ``_MISSING`` if there was none."""

    attribute: str
    key: str
    value: object


class Draft:
    """Collects changes to a state, copying each table on its first change.

    The original state is not modified. ``commit`` and ``rollback`` cover changes to tables; the
    other attributes are set directly.
    """

    def __init__(self, *, state: ConfigState) -> None:
        self._state = state
        self._tables: dict[str, dict[str, t.Any]] = {}
        self._undo: list[_Undo] = []
        self.revision = state.revision
        self.removal_floor = state.removal_floor
        self.verdict_floor_s = state.verdict_floor_s

    def table(self, attribute: str) -> cabc.Mapping[str, t.Any]:
        """Return a read-only view of a table that includes the changes made so far."""
        copied = self._tables.get(attribute)
        return types.MappingProxyType(getattr(self._state, attribute) if copied is None else copied)

    def put(self, attribute: str, key: str, value: object) -> None:
        """Set an entry of a table."""
        table = self._writable(attribute)
        self._undo.append(_Undo(attribute=attribute, key=key, value=table.get(key, _MISSING)))
        table[key] = value

    def remove(self, attribute: str, key: str) -> None:
        """Remove an entry of a table, if it exists."""
        if key not in self.table(attribute):
            return
        table = self._writable(attribute)
        self._undo.append(_Undo(attribute=attribute, key=key, value=table.pop(key)))

    def commit(self) -> None:
        """Make all table changes so far permanent."""
        self._undo.clear()

    def rollback(self) -> None:
        """Undo all table changes since the last commit."""
        while self._undo:
            undo = self._undo.pop()
            if undo.value is _MISSING:
                self._tables[undo.attribute].pop(undo.key, None)
            else:
                self._tables[undo.attribute][undo.key] = undo.value

    def finish(self, *, through_offset: Offset) -> ConfigState:
        """Return the changed state. The draft must not be used afterwards."""
        changed: dict[str, t.Any] = dict(self._tables)
        return dataclasses.replace(
            self._state,
            revision=self.revision,
            through_offset=through_offset,
            removal_floor=self.removal_floor,
            verdict_floor_s=self.verdict_floor_s,
            **changed,
        )

    def _writable(self, attribute: str) -> dict[str, t.Any]:
        if attribute not in self._tables:
            self._tables[attribute] = dict(getattr(self._state, attribute))
        return self._tables[attribute]
