"""Tells which other hosts have heard this one."""

import dataclasses

from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.ids import HostId


class Confirmations:
    """When each other host last heard this one, by what their heartbeats repeat.

    Each heartbeat tells the time at which it was made, and repeats that of the receiver's last
    heartbeat. So a host knows the age of what others have heard, also over links that are silent
    one way.

    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._made_at: dict[HostId, float] = {}
        self._heard_at: dict[HostId, float] = {}

    def add_to(self, own: Heartbeat, receiver: HostId) -> Heartbeat:
        """Return a heartbeat of this host with its time and that of the receiver's last one."""
        repeats = self._made_at.get(receiver)
        return dataclasses.replace(own, made_at=self._clock.monotonic(), repeats=repeats)

    def note(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat of another host."""
        self._made_at[heartbeat.host] = heartbeat.made_at
        heard_at = heartbeat.repeats
        # A time that is not of this process is another one's, which had this host before.
        if heard_at is None or not self._started_at <= heard_at <= self._clock.monotonic():
            return
        self._heard_at[heartbeat.host] = max(heard_at, self._heard_at.get(heartbeat.host, heard_at))

    def within(self, age_s: float) -> set[HostId]:
        """Return the hosts that have heard a heartbeat of this one that is at most so old."""
        oldest = self._clock.monotonic() - age_s
        return {host for host, at in self._heard_at.items() if at >= oldest}
