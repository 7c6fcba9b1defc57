"""Writes this host's record to the store, and reads those of others while one is missing."""

import abc
import collections.abc as cabc
import random

from cassiawalk.clock import Clock
from cassiawalk.fleet.hosts import HostRegistry
from cassiawalk.membership import Membership

RECORD_CHECK_INTERVAL_S = 2.5
MAX_LOOKUP_INTERVAL_S = 40.0
INITIAL_REFRESH_DELAYS_S = (1.0, 2.0)


class FleetView(abc.ABC):
    """What heartbeats tell of the completeness of the known hosts."""

    @property
    @abc.abstractmethod
    def knows_few(self) -> bool:
        """Return whether records should be read again soon after the start."""

    @property
    @abc.abstractmethod
    def may_be_unknown(self) -> bool:
        """Return whether others may not know this host."""

    @property
    @abc.abstractmethod
    def lacks_hosts(self) -> bool:
        """Return whether other hosts know hosts that this one lacks."""


class RecordKeeper:
    """Maintains this host's record, and looks up records while hosts are missing."""

    def __init__(
        self,
        *,
        view: FleetView,
        membership: Membership,
        records: HostRegistry,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._membership = membership
        self._records = records
        self._clock = clock
        self._rng = rng
        self._last_lookup_at = 0.0
        self._lookup_pause_s = 0.0

    async def start(self) -> None:
        """Write the own record and read those of the others."""
        await self._records.write_own()
        # A restarted host needs the number of hosts at once, to compute its share of the quotas.
        await self._membership.refresh()

    async def maintain(self, on_check: cabc.Callable[[], None]) -> None:
        """Write and read records while a host is missing, without end.

        :param on_check: called before each look at what is missing.
        """
        for pause_s in INITIAL_REFRESH_DELAYS_S:
            await self._clock.sleep(pause_s * (0.9 + 0.2 * self._rng.random()))
            if self._view.knows_few:
                await self._membership.refresh()
        while True:
            await self._clock.sleep(RECORD_CHECK_INTERVAL_S * (0.8 + 0.4 * self._rng.random()))
            on_check()
            await self.refresh_if_incomplete()

    async def refresh_if_incomplete(self) -> None:
        """Read the records again if this host lacks others, or others may not know this one.

        In the second case its own record is written again first.
        """
        unknown_to_others = self._view.may_be_unknown
        if unknown_to_others:
            await self._records.write_own()
        if unknown_to_others or self.should_look_up():
            await self._membership.refresh()

    def should_look_up(self) -> bool:
        """Return whether to read the records, because other hosts know hosts that this one lacks.

        While a record cannot be found, the interval between reads doubles up to
        ``MAX_LOOKUP_INTERVAL_S``.
        """
        if not self._view.lacks_hosts:
            self._lookup_pause_s = 0.0
            return False
        now = self._clock.monotonic()
        if now < self._last_lookup_at + self._lookup_pause_s:
            return False
        self._last_lookup_at = now
        self._lookup_pause_s = min(
            MAX_LOOKUP_INTERVAL_S, max(RECORD_CHECK_INTERVAL_S, 2 * self._lookup_pause_s)
        )
        return True
