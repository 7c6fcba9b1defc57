"""Chooses the hosts that aggregate the heartbeats of a large fleet."""

import collections.abc as cabc
import itertools

from cassiawalk.clock import Clock
from cassiawalk.fleet.hosts import HostRegistry
from cassiawalk.ids import HostId
from cassiawalk.membership.rendezvous import rank

MIN_HUBS = 3
HOSTS_PER_HUB = 16
PROBE_INTERVAL_S = 5.0  # from one call of a hub that failed to the next
DECLINE_S = 5.0
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
        self._declined_at: dict[HostId, float] = {}
        self._ranked: cabc.Sequence[HostId] | None = None
        self._strengths_version = 0
        self._ranking: list[HostId] = []

    def note_failure(self, host: HostId) -> None:
        """Leave a hub out until it answers, see ``due_probes``."""
        self._failed_at[host] = self._clock.monotonic()

    def note_decline(self, host: HostId) -> None:
        """Prefer other hubs for ``DECLINE_S`` s, as it answered, but not as a hub.

        It keeps its place: hosts that follow in the order do not take themselves for hubs either.
        """
        self._declined_at[host] = self._clock.monotonic()

    def note_success(self, host: HostId) -> None:
        """Take a hub back in, as it has answered."""
        self._failed_at.pop(host, None)
        self._declined_at.pop(host, None)

    def has_declined(self, host: HostId) -> bool:
        """Return whether a host has recently answered, but not as a hub."""
        limit = self._clock.monotonic() - DECLINE_S
        return self._declined_at.get(host, limit) > limit

    def ranking(self, others: cabc.Sequence[HostId]) -> list[HostId]:
        """Return this host and all others in order.

        :param others: the same object as before if no host was added or removed.
        """
        version = self._records.strengths_version
        if others is not self._ranked or version != self._strengths_version:
            self._ranked, self._strengths_version = others, version
            strengths = self._records.strengths
            by_rendezvous = rank(_HUB_KEY, (*others, self._host))
            self._ranking = sorted(by_rendezvous, key=lambda host: -strengths.get(host, 0.0))
        return self._ranking

    def hubs(self, others: cabc.Sequence[HostId]) -> list[HostId]:
        """Return the hosts that are hubs now, which may include this one.

        :param others: see ``ranking``.
        """
        ranking = self.ranking(others)
        able = (host for host in ranking if host not in self._failed_at)
        return list(itertools.islice(able, _hub_count(ranking)))

    def due_probes(self, others: cabc.Sequence[HostId]) -> list[HostId]:
        """Return the failed hosts to call now, of those that would be hubs if none had failed.

        Each is due ``PROBE_INTERVAL_S`` s after its last call.

        :param others: see ``ranking``.
        """
        if not self._failed_at:
            return []
        ranking = self.ranking(others)
        limit = self._clock.monotonic() - PROBE_INTERVAL_S
        first = ranking[: _hub_count(ranking)]
        return [host for host in first if self._failed_at.get(host, limit + 1) <= limit]


def preferred_hubs(ranking: cabc.Sequence[HostId], hosts: cabc.Container[HostId]) -> list[HostId]:
    """Return those of ``hosts`` that are hubs unless they fail; if there are none, the next ones.

    :param ranking: see ``HubRanking.ranking``.
    """
    count = _hub_count(ranking)
    preferred = [host for host in ranking[:count] if host in hosts]
    return preferred or list(itertools.islice((h for h in ranking if h in hosts), count))


def _hub_count(ranking: cabc.Sized) -> int:
    return max(MIN_HUBS, len(ranking) // HOSTS_PER_HUB)
