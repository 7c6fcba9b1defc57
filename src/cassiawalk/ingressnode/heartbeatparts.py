"""Values of a host's heartbeat that are worked out for it."""

import math

from cassiawalk.clock import Clock
from cassiawalk.fleet.aggregates import UpstreamUse
from cassiawalk.fleet.census import HostCensus
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.fleet.hosts import HostRegistry
from cassiawalk.membership import Membership
from cassiawalk.storeview.directory import Directory

# A new host has no share of the repeats for longer than this, so it need not be counted at once.
RECOUNT_INTERVAL_S = 1.0


class HostCounter:
    """Counts the hosts by the census, into which it takes the hosts' records."""

    def __init__(
        self,
        *,
        census: HostCensus,
        membership: Membership,
        records: HostRegistry,
        time: CorrectedTime,
        clock: Clock,
    ) -> None:
        self._census = census
        self._membership = membership
        self._records = records
        self._time = time
        self._clock = clock
        self._recount_at = 0.0
        self._count = 1

    def count(self) -> int:
        """Return how many hosts this one counts, as of ``RECOUNT_INTERVAL_S`` s ago or less."""
        now = self._clock.monotonic()
        if now >= self._recount_at:
            self._recount_at = now + RECOUNT_INTERVAL_S
            self._count = self._recount()
        return self._count

    def _recount(self) -> int:
        self._census.note_listed(self._membership.all_entries())
        now_s = self._time.now()
        for host, written_s in self._records.written_s.items():
            self._census.note_alive((host,), age_s=max(0.0, now_s - written_s))
        return self._census.count()


def upstream_use(directory: Directory) -> tuple[UpstreamUse, ...]:
    """Return this host's load on each upstream that runs requests of it."""
    return tuple(
        UpstreamUse(
            upstream_id=found.upstream_id,
            requests=found.load.own,
            unread_tokens=found.load.own_pending_tokens,
        )
        for found in directory.upstreams()
        if found.load.own
    )


def finite_age(age_s: float) -> float | None:
    """Return an age in seconds, or None if it is infinite: nothing is known yet."""
    return age_s if math.isfinite(age_s) else None
