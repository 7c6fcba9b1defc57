"""What many hosts draw and use, added up, so that one message tells it."""

import collections.abc as cabc
import dataclasses

from cassiawalk.ids import HostId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamUse:
    """What hosts have at one upstream: requests, and prompt tokens without a first token."""

    upstream_id: UpstreamId
    requests: int
    unread_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostAggregate:
    """Several hosts together; ``drawn`` is what they drew since the teller knows them.

    :param reading: prompt tokens a second that their callers ask for.
    """

    hosts: tuple[HostId, ...]
    drawn: dict[WorkspaceName, float]
    use: tuple[UpstreamUse, ...]
    reading: dict[ServiceName, float]


EMPTY_AGGREGATE = HostAggregate(hosts=(), drawn={}, use=(), reading={})


class DrawnGrowth:
    """Adds up what processes draw, from the first word of each.

    A process that goes to another teller leaves what it drew here, and brings nothing with it.
    """

    def __init__(self) -> None:
        self._last: dict[str, dict[WorkspaceName, float]] = {}
        self._grown: dict[str, dict[WorkspaceName, float]] = {}

    def note(self, process: str, drawn: cabc.Mapping[WorkspaceName, float]) -> None:
        """Take what a process has drawn in all."""
        last = self._last.get(process)
        self._last[process] = dict(drawn)
        grown = self._grown.setdefault(process, {})
        if last is None:
            return
        for name, total in drawn.items():
            grown[name] = grown.get(name, 0.0) + total - last.get(name, 0.0)

    def total(self, *, without: str = "") -> dict[WorkspaceName, float]:
        """Return the growth of all processes but one."""
        total: dict[WorkspaceName, float] = {}
        for process, grown in self._grown.items():
            if process == without:
                continue
            for name, amount in grown.items():
                total[name] = total.get(name, 0.0) + amount
        return total


def add_use(parts: cabc.Iterable[cabc.Iterable[UpstreamUse]]) -> tuple[UpstreamUse, ...]:
    """Return the sum of several hosts' use, by upstream."""
    requests: dict[UpstreamId, int] = {}
    unread: dict[UpstreamId, int] = {}
    for part in parts:
        for use in part:
            requests[use.upstream_id] = requests.get(use.upstream_id, 0) + use.requests
            unread[use.upstream_id] = unread.get(use.upstream_id, 0) + use.unread_tokens
    return tuple(
        UpstreamUse(upstream_id=found, requests=count, unread_tokens=unread[found])
        for found, count in requests.items()
    )


def add_rates(
    parts: cabc.Iterable[cabc.Mapping[ServiceName, float]],
) -> dict[ServiceName, float]:
    """Return the sum of several hosts' rates, by service."""
    total: dict[ServiceName, float] = {}
    for part in parts:
        for service, rate in part.items():
            total[service] = total.get(service, 0.0) + rate
    return total
