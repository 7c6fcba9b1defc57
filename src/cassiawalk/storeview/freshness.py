"""How old this host's knowledge of a stream of the store is, and when it must read for itself.

A host that does not read the store relies on others. What it relies on has an age: the time since
the store is known to have held no more than this host has. That age counts across all hosts in
between, whatever makes them silent, so one limit on it bounds how late a change can be here:

    STALE_AFTER_S + the interval of checks + one read of the store
"""

import dataclasses
import math

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId

STALE_AFTER_S = 1.3  # changes have to be in force 2 s after the store has acknowledged them


class Freshness:
    """As of when this host is known to hold all changes of one stream.

    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._as_of = -math.inf

    def confirm(self, as_of: float) -> None:
        """Record that the store held no more than this host has now, as of a time of ``now``."""
        self._as_of = max(self._as_of, as_of)

    def now(self) -> float:
        """Return the time of this clock, in monotonic seconds."""
        return self._clock.monotonic()

    @property
    def age_s(self) -> float:
        """Return for how many seconds nothing has been confirmed; infinite if nothing ever was."""
        return self._clock.monotonic() - self._as_of

    @property
    def gap_s(self) -> float:
        """Return the same as ``age_s``, but 0 if nothing was ever confirmed: nothing is missing."""
        return self.age_s if math.isfinite(self._as_of) else 0.0

    @property
    def is_stale(self) -> bool:
        """Return whether this host must read the store itself."""
        return self.age_s > STALE_AFTER_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """What another host said of one stream: the store held no more than ``version`` as of then."""

    version: int
    as_of: float


class Claims:
    """The last claim of each other host on one stream.

    A claim confirms this host's knowledge once it has all that the claim covers.
    """

    def __init__(self, *, freshness: Freshness) -> None:
        self._freshness = freshness
        self._by_host: dict[HostId, Claim] = {}

    def note(self, host: HostId, version: int, *, age_s: float | None) -> None:
        """Record a host's claim; without an age it knows nothing.

        :param age_s: the age of its knowledge, with the time that the message took, in seconds.
        """
        if age_s is not None:
            self._by_host[host] = Claim(version=version, as_of=self._freshness.now() - age_s)

    def confirm(self, own_version: int) -> None:
        """Apply all claims that cover no more than ``own_version``, and drop them."""
        covered = [host for host, claim in self._by_host.items() if claim.version <= own_version]
        for host in covered:
            self._freshness.confirm(self._by_host.pop(host).as_of)
