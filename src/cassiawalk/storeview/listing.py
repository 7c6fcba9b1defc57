"""Whether the store lists a process of an upstream, or a later one under its id.

A process that starts again may have the id that it had before, and says no more than its id when it
is asked. The start in its entry tells the two apart.
"""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.upstream import Upstream

CHECK_INTERVAL_S = 0.02
MAX_WAIT_S = 1.5  # for the newest entries; a host that was stopped reads them within this time


class ProcessListing:
    """Compares processes with the directory, once that is known as of the question.

    :param age_s: returns how old this host's knowledge of the upstreams' entries is, in seconds.
    :param clock: the clock of that age.
    """

    def __init__(
        self, *, directory: Directory, age_s: cabc.Callable[[], float], clock: Clock
    ) -> None:
        self._directory = directory
        self._age_s = age_s
        self._clock = clock

    async def is_current(self, upstream: Upstream) -> bool | None:
        """Return whether no later process has the upstream's id; None if that is not known."""
        asked_at = self._clock.monotonic()
        while not self._is_replaced(upstream):
            waited_s = self._clock.monotonic() - asked_at
            if self._age_s() < waited_s:
                return True
            if waited_s >= MAX_WAIT_S:
                return None
            await self._clock.sleep(CHECK_INTERVAL_S)
        return False

    def _is_replaced(self, upstream: Upstream) -> bool:
        found = self._directory.get(upstream.upstream_id)
        return found is not None and found.process != upstream.process
