"""Weighted fair queue over workspaces, with priorities."""

import bisect
import collections.abc as cabc
import dataclasses
import itertools
import typing as t

from cassiawalk.ids import WorkspaceName

LOW_PRIORITY_SHARE = 0.2

_T = t.TypeVar("_T")


@dataclasses.dataclass(kw_only=True, eq=False)
class _Entry(t.Generic[_T]):
    """A queued item with its virtual start and finish times.

    ``rank`` is the sort key among the items of its workspace and priority.
    """

    item: _T
    workspace: WorkspaceName
    share: float
    cost: float
    start: float
    finish: float
    rank: tuple[float, int]
    number: int

    @property
    def order(self) -> tuple[float, int]:
        """Return the sort key: virtual finish, then order of arrival."""
        return (self.finish, self.number)


@dataclasses.dataclass(kw_only=True, eq=False)
class _PriorityLane(t.Generic[_T]):
    """Entries of one priority in order.

    ``served`` is the cost served from this lane since any lane last became empty.
    """

    entries: list[_Entry[_T]] = dataclasses.field(default_factory=list)
    served: float = 0.0


class FairQueue(t.Generic[_T]):
    """Start-time fair queue: each workspace gets service in proportion to its share.

    Virtual time is the virtual start of the item served last. A workspace that was idle starts at
    the current virtual time, so it accumulates no credit. An item that is removed unserved is not
    charged. While items of a lower priority wait, each gets ``LOW_PRIORITY_SHARE`` of the cost
    served, so that a steady stream of higher priority can't starve them. Within a workspace and a
    priority, items are served by ``order``, and equal ones in order of arrival.

    :param moves_up: whether the later items of a workspace take the virtual times of one that is
        removed unserved. Without that, a workspace whose first items are often removed gets earlier
        virtual times for its new items than for those that wait, and so more than its share.
    """

    def __init__(self, *, moves_up: bool = False) -> None:
        self._moves_up = moves_up
        self._lanes: dict[int, _PriorityLane[_T]] = {}
        self._entries: dict[int, tuple[_PriorityLane[_T], _Entry[_T]]] = {}
        self._finish: dict[WorkspaceName, float] = {}
        self._virtual = 0.0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> cabc.Iterator[_T]:
        return iter([entry.item for _, entry in self._entries.values()])

    def push(
        self,
        item: _T,
        *,
        workspace: WorkspaceName,
        share: float,
        cost: float,
        priority: int,
        order: float = 0.0,
    ) -> None:
        """Add an item.

        :param share: the workspace's weight; must be above 0.
        :param cost: the expected work, in a unit common to all items.
        :param priority: a lower value is served first.
        :param order: a lower value is served first among the workspace's items of the priority.
        """
        number = next(self._numbers)
        lane = self._lane(priority)
        rank = (order, number)
        later = self._later(lane, workspace, rank)
        start = later[0].start if later else self._start(workspace)
        entry = _Entry(
            item=item,
            workspace=workspace,
            share=share,
            cost=cost,
            start=start,
            finish=start + cost / share,
            rank=rank,
            number=number,
        )
        self._entries[id(item)] = (lane, entry)
        bisect.insort(lane.entries, entry, key=_order)
        self._finish[workspace] = max(self._finish.get(workspace, 0.0), entry.finish)
        self._delay(lane, later, entry.finish)

    def cost_ahead(
        self,
        *,
        workspace: WorkspaceName,
        share: float,
        cost: float,
        priority: int,
        order: float = 0.0,
    ) -> float:
        """Return the cost of the queued items that would be served before a new item."""
        later = self._later(self._lane(priority), workspace, (order, next(self._numbers)))
        start = later[0].start if later else self._start(workspace)
        finish = start + cost / share
        total = 0.0
        for lane_priority, lane in self._lanes.items():
            if lane_priority == priority:
                end = bisect.bisect_right(lane.entries, finish, key=_finish)
                total += sum(entry.cost for entry in lane.entries[:end])
                total -= sum(entry.cost for entry in later if entry.finish <= finish)
            elif lane_priority < priority:
                total += sum(entry.cost for entry in lane.entries)
        return total

    def peek(self) -> _T | None:
        """Return the next item without removing it, or None."""
        return next(iter(self.heads()), None)

    def heads(self) -> list[_T]:
        """Return the first item of each priority; the one to serve next comes first."""
        waiting = [lane for lane in self._lanes.values() if lane.entries]
        if len(waiting) > 1:
            least_cost = LOW_PRIORITY_SHARE * sum(lane.served for lane in waiting)
            low = [lane for lane in waiting[1:] if lane.served < least_cost]
            if low:
                first = min(low, key=lambda lane: lane.served)
                waiting.remove(first)
                waiting.insert(0, first)
        return [lane.entries[0].item for lane in waiting]

    def heads_by_priority(self) -> list[tuple[int, _T]]:
        """Return each priority that has items, the highest first, with its first item."""
        return [
            (priority, lane.entries[0].item)
            for priority, lane in self._lanes.items()
            if lane.entries
        ]

    def last(self) -> tuple[int, _T] | None:
        """Return the lowest priority that has items, with the item that it serves last."""
        waiting = [found for found in self._lanes.items() if found[1].entries]
        return (waiting[-1][0], waiting[-1][1].entries[-1].item) if waiting else None

    def remove(self, item: _T, *, served: bool = False) -> None:
        """Remove an item; ignore it if it is not queued.

        :param served: whether the item is served, which charges its cost to its workspace.
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
        elif self._moves_up and (later := self._later(lane, entry.workspace, entry.rank)):
            self._finish[entry.workspace] = self._virtual
            self._delay(lane, later, max(self._virtual, entry.start))
        else:
            self._refund(entry)
        if not lane.entries:
            self._reset_served()
        if not self._entries:
            self._finish.clear()
            self._virtual = 0.0

    def _later(
        self, lane: _PriorityLane[_T], workspace: WorkspaceName, rank: tuple[float, int]
    ) -> list[_Entry[_T]]:
        """Return the workspace's entries that are served after one of this rank, in order."""
        if not lane.entries or workspace not in self._finish:
            return []
        return [
            entry for entry in lane.entries if entry.workspace == workspace and entry.rank > rank
        ]

    def _delay(
        self, lane: _PriorityLane[_T], later: cabc.Sequence[_Entry[_T]], start: float
    ) -> None:
        """Give entries of one workspace the virtual times from ``start`` on."""
        for entry in later:
            position = bisect.bisect_left(lane.entries, entry.order, key=_order)
            del lane.entries[position]
            entry.start = start
            entry.finish = start = entry.start + entry.cost / entry.share
            bisect.insort(lane.entries, entry, key=_order)
            self._finish[entry.workspace] = max(self._finish[entry.workspace], entry.finish)

    def _start(self, workspace: WorkspaceName) -> float:
        return max(self._virtual, self._finish.get(workspace, 0.0))

    def _lane(self, priority: int) -> _PriorityLane[_T]:
        lane = self._lanes.get(priority)
        if lane is None:
            lane = _PriorityLane()
            self._lanes[priority] = lane
            self._lanes = dict(sorted(self._lanes.items()))
        return lane

    def _reset_served(self) -> None:
        for lane in self._lanes.values():
            lane.served = 0.0

    def _refund(self, entry: _Entry[_T]) -> None:
        """Subtract the charge of an unserved item from its workspace's virtual finish."""
        finish = self._finish.get(entry.workspace, 0.0) - entry.cost / entry.share
        self._finish[entry.workspace] = max(self._virtual, finish)


def _order(entry: _Entry[t.Any]) -> tuple[float, int]:
    return (entry.finish, entry.number)


def _finish(entry: _Entry[t.Any]) -> float:
    return entry.finish
