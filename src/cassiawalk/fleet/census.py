"""Counts the hosts that share the limit on retries, and decides this host's share of it.

All hosts together may send a fixed number of retries in a window. The shares of the processes that
run within one window must not add up to more than the whole, whatever each of them knows:

- A new process has no share for its first window, as it does not know what the one before it used.
- A host that is silent is counted for ``FORGET_AFTER_S``, as it may only be cut off from this one.
- A host counts as many hosts as any host that it hears counts.
- A host that hears neither another host nor the store for ``CONTACT_LIMIT_S`` has no share, as the
  others will stop counting it.
"""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId

FORGET_AFTER_S = 60.0
CONTACT_LIMIT_S = 20.0


class HostCensus:
    """The hosts with a sign of life in the last ``FORGET_AFTER_S`` s, this one included.

    :param window_s: the window of the limit, in seconds.
    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(self, *, host: HostId, window_s: float, clock: Clock) -> None:
        self._host = host
        self._window_s = window_s
        self._clock = clock
        self._started_at = clock.monotonic()
        self._contact_at = self._started_at
        self._seen_at: dict[HostId, float] = {}
        self._counted_by: dict[HostId, tuple[float, int]] = {}

    def note_listed(self, hosts: cabc.Collection[HostId]) -> None:
        """Record all hosts that are listed; being listed again is no sign of life."""
        now = self._clock.monotonic()
        gone = [host for host, at in self._seen_at.items() if at < now - FORGET_AFTER_S]
        for host in gone:
            if host not in hosts:
                del self._seen_at[host]
        for host in hosts:
            self._seen_at.setdefault(host, now)

    def note_alive(self, hosts: cabc.Iterable[HostId], *, age_s: float = 0.0) -> None:
        """Record signs of life that are ``age_s`` s old."""
        at = self._clock.monotonic() - age_s
        for host in hosts:
            self._seen_at[host] = max(at, self._seen_at.get(host, at))

    def note_count(self, host: HostId, count: int) -> None:
        """Record how many hosts another host counts, and that this one hears it."""
        now = self._clock.monotonic()
        self._counted_by[host] = (now, count)
        self._contact_at = now

    def note_store(self) -> None:
        """Record that the store has answered this host."""
        self._contact_at = self._clock.monotonic()

    def count(self) -> int:
        """Return the number of hosts, from this host's own observations."""
        oldest = self._clock.monotonic() - FORGET_AFTER_S
        recent = {host for host, at in self._seen_at.items() if at > oldest}
        return len(recent | {self._host})

    def share(self) -> float:
        """Return this host's share of what all hosts together may send, from 0 to 1."""
        now = self._clock.monotonic()
        if now - self._started_at < self._window_s or now - self._contact_at > CONTACT_LIMIT_S:
            return 0.0
        return 1.0 / self.total()

    def total(self) -> int:
        """Return the number of hosts, as the host that counts most counts them."""
        oldest = self._clock.monotonic() - CONTACT_LIMIT_S
        reported = [count for at, count in self._counted_by.values() if at > oldest]
        return max(self.count(), *reported, 1)
