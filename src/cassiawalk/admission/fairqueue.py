"""Weighted fair queueing over workspaces, with priorities between kinds."""

import dataclasses
import heapq
import itertools
import typing as t

from cassiawalk.ids import WorkspaceName

_T = t.TypeVar("_T")


@dataclasses.dataclass(order=True, kw_only=True)
class _Entry(t.Generic[_T]):
    """An item with its order: priority first, then virtual finish time, then arrival."""

    priority: int
    finish: float
    number: int
    item: _T = dataclasses.field(compare=False)
    removed: bool = dataclasses.field(default=False, compare=False)


class FairQueue(t.Generic[_T]):
    """Start-time fair queue: each workspace gets service in proportion to its share."""

    def __init__(self) -> None:
        self._heap: list[_Entry[_T]] = []
        self._entries: dict[int, _Entry[_T]] = {}
        self._finish: dict[WorkspaceName, float] = {}
        self._virtual = 0.0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def push(
        self, item: _T, *, workspace: WorkspaceName, share: float, cost: float, priority: int
    ) -> None:
        """Add an item.

        :param share: the workspace's weight; above zero.
        :param cost: the expected work, in any unit that is the same for all items.
        :param priority: lower goes first whatever the shares.
        """
        start = max(self._virtual, self._finish.get(workspace, 0.0))
        finish = start + cost / share
        self._finish[workspace] = finish
        number = next(self._numbers)
        entry = _Entry(priority=priority, finish=finish, number=number, item=item)
        self._entries[id(item)] = entry
        heapq.heappush(self._heap, entry)

    def peek(self) -> _T | None:
        """Return the next item without removing it, or None."""
        while self._heap and self._heap[0].removed:
            heapq.heappop(self._heap)
        return self._heap[0].item if self._heap else None

    def remove(self, item: _T) -> None:
        """Remove an item; one that is not queued is ignored."""
        entry = self._entries.pop(id(item), None)
        if entry is None:
            return
        entry.removed = True
        self._virtual = max(self._virtual, entry.finish) if self._is_head(entry) else self._virtual
        if not self._entries:
            self._heap.clear()
            self._finish.clear()

    def _is_head(self, entry: _Entry[_T]) -> bool:
        return bool(self._heap) and self._heap[0] is entry
