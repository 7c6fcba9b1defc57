"""Chooses the hosts that aggregate the heartbeats of a large fleet."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.fleet.hosts import HostRegistry
from cassiawalk.ids import HostId
from cassiawalk.membership.rendezvous import rank

MIN_HUBS = 3
HOSTS_PER_HUB = 12
FAILED_HUB_EXCLUSION_S = 5.0
_HUB_KEY = "hubs"


class HubRanking:
    """The order of preference of hosts as hubs: the highest strength first.

    Hosts of the same strength are in rendezvous order, which is the same on every host.

    :param records: holds the strengths of the hosts.
    """

    def __init__(self, *, host: HostId, records: HostRegistry, clock: Clock) -> None:
        self._host = host
        self._records = records
        self._clock = clock
        self._failed_at: dict[HostId, float] = {}
        self._key: tuple[frozenset[HostId], int] = (frozenset(), 0)
        self._ranking: list[HostId] = []

    def note_failure(self, host: HostId) -> None:
        """Leave a hub out for ``FAILED_HUB_EXCLUSION_S`` s, as it did not answer as one."""
        self._failed_at[host] = self._clock.monotonic()

    def note_success(self, host: HostId) -> None:
        """Take a hub back in, as it has answered."""
        self._failed_at.pop(host, None)

    def ranking(self, others: cabc.Iterable[HostId]) -> list[HostId]:
        """Return this host and all others in order."""
        known = frozenset((*others, self._host))
        key = (known, self._records.strengths_version)
        if key != self._key:
            self._key = key
            strengths = self._records.strengths
            by_rendezvous = rank(_HUB_KEY, known)
            self._ranking = sorted(by_rendezvous, key=lambda host: -strengths.get(host, 0.0))
        return self._ranking

    def hubs(self, others: cabc.Iterable[HostId]) -> list[HostId]:
        """Return the hosts that are hubs now, which may include this one."""
        ranking = self.ranking(others)
        limit = self._clock.monotonic() - FAILED_HUB_EXCLUSION_S
        able = [host for host in ranking if self._failed_at.get(host, limit) <= limit]
        return able[: max(MIN_HUBS, len(ranking) // HOSTS_PER_HUB)]
