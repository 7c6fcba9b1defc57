"""Aggregates of the quota consumption and upstream use of many hosts, for one message."""

import collections.abc as cabc
import dataclasses
import typing as t

from cassiawalk.ids import HostId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.rollouts.counting import VersionCount
from cassiawalk.wire import OMITTED_IF_NONE

_K = t.TypeVar("_K", bound=str)


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamUse:
    """The load that one or more hosts have put on an upstream.

    :param requests: requests that run or wait there.
    :param unread_tokens: pending prefill tokens, which belong to requests without a first token.
    """

    upstream_id: UpstreamId
    requests: int
    unread_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostAggregate:
    """The aggregate of several hosts.

    :param drawn: their quota consumption since the sender first knew of them, by workspace.
    :param lent: how much of ``drawn`` was lent to them.
    :param use: their load on each upstream.
    :param reading: their prefill demand by service, in prompt tokens per second.
    :param responses: their counts of responses by version while a rollout runs, else None.
    """

    hosts: tuple[HostId, ...]
    drawn: dict[WorkspaceName, float]
    use: tuple[UpstreamUse, ...]
    reading: dict[ServiceName, float]
    responses: tuple[VersionCount, ...] | None = dataclasses.field(
        default=None, metadata=OMITTED_IF_NONE
    )
    lent: dict[WorkspaceName, float] = dataclasses.field(default_factory=dict)


EMPTY_AGGREGATE = HostAggregate(hosts=(), drawn={}, use=(), reading={})


class ConsumptionTotals:
    """Adds up the quota consumption of processes, also of those that have ended.

    Each is counted from its first report, or from its start if no hub has counted it before.

    If a process moves to another hub, its consumption up to then stays in the total here. The new
    hub counts only what it consumes from then on, so nothing is counted twice.
    """

    def __init__(self) -> None:
        self._last: dict[str, dict[WorkspaceName, float]] = {}
        self._increase: dict[str, dict[WorkspaceName, float]] = {}

    def note(
        self,
        process: str,
        consumed: cabc.Mapping[WorkspaceName, float],
        *,
        is_new: bool = False,
    ) -> None:
        """Record the total consumption of a process since its start.

        :param is_new: whether no hub has counted the process before, so that its first report
            counts in full.
        """
        last = self._last.get(process)
        self._last[process] = dict(consumed)
        increase = self._increase.setdefault(process, {})
        if last is None:
            if not is_new:
                return
            last = {}
        for name, total in consumed.items():
            increase[name] = increase.get(name, 0.0) + total - last.get(name, 0.0)

    def total(self, *, without: str = "") -> dict[WorkspaceName, float]:
        """Return the consumption of all processes except ``without``, since their first reports."""
        return sum_amounts(
            increase for process, increase in self._increase.items() if process != without
        )


def sum_use(parts: cabc.Iterable[cabc.Iterable[UpstreamUse]]) -> tuple[UpstreamUse, ...]:
    """Return the sum of several hosts' upstream use, one entry per upstream."""
    requests: dict[UpstreamId, int] = {}
    pending_tokens: dict[UpstreamId, int] = {}
    for part in parts:
        for use in part:
            requests[use.upstream_id] = requests.get(use.upstream_id, 0) + use.requests
            pending_tokens[use.upstream_id] = (
                pending_tokens.get(use.upstream_id, 0) + use.unread_tokens
            )
    return tuple(
        UpstreamUse(upstream_id=found, requests=count, unread_tokens=pending_tokens[found])
        for found, count in requests.items()
    )


def sum_amounts(parts: cabc.Iterable[cabc.Mapping[_K, float]]) -> dict[_K, float]:
    """Return the sum of the amounts of each key."""
    total: dict[_K, float] = {}
    for part in parts:
        for name, amount in part.items():
            total[name] = total.get(name, 0.0) + amount
    return total
