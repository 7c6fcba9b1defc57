"""Weighted fair queueing over workspaces, with priorities between kinds."""

import bisect
import dataclasses
import itertools
import typing as t

from cassiawalk.ids import WorkspaceName

LOWER_LANE_SHARE = 0.2

_T = t.TypeVar("_T")


@dataclasses.dataclass(kw_only=True, eq=False)
class _Entry(t.Generic[_T]):
    """An item with its virtual start and finish."""

    item: _T
    workspace: WorkspaceName
    share: float
    cost: float
    start: float
    finish: float
    number: int

    @property
    def order(self) -> tuple[float, int]:
        """Return the sort key: virtual finish, then arrival."""
        return (self.finish, self.number)


@dataclasses.dataclass(kw_only=True, eq=False)
class _Lane(t.Generic[_T]):
    """The entries of one priority in their order, and the cost served while others waited."""

    entries: list[_Entry[_T]] = dataclasses.field(default_factory=list)
    served: float = 0.0


class FairQueue(t.Generic[_T]):
    """Start-time fair queue: each workspace gets service in proportion to its share.

    Virtual time is the start tag of the item served last, so an idle workspace begins at the
    present virtual time and banks no credit. An item that is withdrawn unserved is not charged.
    A lower priority gets ``LOWER_LANE_SHARE`` of the cost served while it waits, so that a steady
    stream of higher priority can't starve it.
    """

    def __init__(self) -> None:
        self._lanes: dict[int, _Lane[_T]] = {}
        self._entries: dict[int, tuple[_Lane[_T], _Entry[_T]]] = {}
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
        :param priority: lower goes first.
        """
        start = self._start(workspace)
        entry = _Entry(
            item=item,
            workspace=workspace,
            share=share,
            cost=cost,
            start=start,
            finish=start + cost / share,
            number=next(self._numbers),
        )
        self._finish[workspace] = entry.finish
        lane = self._lane(priority)
        self._entries[id(item)] = (lane, entry)
        bisect.insort(lane.entries, entry, key=_order)

    def ahead(self, *, workspace: WorkspaceName, share: float, cost: float, priority: int) -> float:
        """Return the cost that would be served before a new item, that of both lanes included."""
        finish = self._start(workspace) + cost / share
        total = 0.0
        for lane_priority, lane in self._lanes.items():
            if lane_priority == priority:
                end = bisect.bisect_right(lane.entries, finish, key=_finish)
                total += sum(entry.cost for entry in lane.entries[:end])
            elif lane_priority < priority:
                total += sum(entry.cost for entry in lane.entries)
        return total

    def peek(self) -> _T | None:
        """Return the next item without removing it, or None."""
        return next(iter(self.heads()), None)

    def heads(self) -> list[_T]:
        """Return the first item of each priority, the next one first."""
        waiting = [lane for lane in self._lanes.values() if lane.entries]
        if len(waiting) > 1:
            total = sum(lane.served for lane in waiting)
            if waiting[1].served < LOWER_LANE_SHARE * total:
                waiting[0], waiting[1] = waiting[1], waiting[0]
        return [lane.entries[0].item for lane in waiting]

    def remove(self, item: _T, *, served: bool = False) -> None:
        """Remove an item; one that is not queued is ignored.

        :param served: whether the item gets its service, which is charged to its workspace.
        """
        found = self._entries.pop(id(item), None)
        if found is None:
            return
        lane, entry = found
        position = bisect.bisect_left(lane.entries, entry.order, key=_order)
        del lane.entries[position]
        if served:
            self._virtual = max(self._virtual, entry.start)
            lane.served += entry.cost
        else:
            self._refund(entry)
        if not lane.entries:
            self._end_contest()
        if not self._entries:
            self._finish.clear()
            self._virtual = 0.0

    def _start(self, workspace: WorkspaceName) -> float:
        return max(self._virtual, self._finish.get(workspace, 0.0))

    def _lane(self, priority: int) -> _Lane[_T]:
        lane = self._lanes.get(priority)
        if lane is None:
            lane = _Lane()
            self._lanes[priority] = lane
            self._lanes = dict(sorted(self._lanes.items()))
        return lane

    def _end_contest(self) -> None:
        for lane in self._lanes.values():
            lane.served = 0.0

    def _refund(self, entry: _Entry[_T]) -> None:
        """Take the charge of an unserved item back from what its workspace owes."""
        owed = self._finish.get(entry.workspace, 0.0) - entry.cost / entry.share
        self._finish[entry.workspace] = max(self._virtual, owed)


def _order(entry: _Entry[t.Any]) -> tuple[float, int]:
    return (entry.finish, entry.number)


def _finish(entry: _Entry[t.Any]) -> float:
    return entry.finish
