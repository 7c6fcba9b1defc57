"""Shares what hosts know of upstreams' speeds in their heartbeats.

A host states its last samples, about 20 bytes for each upstream that has answered it in the last
second. A hub learns from the samples that it receives and states the upstreams that differ from the
others, 13 bytes each. Of these a host takes what its primary hub states. In a full mesh each host
learns from the samples of all. Nothing is summed up, so no sample counts twice.
"""

import math

from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import UpstreamId
from cassiawalk.storeview.directory import Directory

# A hub states nothing before: it knows too few samples to tell that an upstream is as fast as the
# others.
SETTLE_S = 10.0
CACHED_FOR_S = 0.2  # a hub composes a heartbeat for each host, several times in this time


class SpeedSharing:
    """Composes and applies the fields of heartbeats that concern speeds.

    ``timings`` and ``slowness`` are those fields of this host's heartbeat as last composed.
    """

    def __init__(
        self, *, directory: Directory, heartbeats: HeartbeatExchange, clock: Clock
    ) -> None:
        self._directory = directory
        self._heartbeats = heartbeats
        self._clock = clock
        self._started_at = clock.monotonic()
        self._composed_at = -math.inf
        self.timings: dict[UpstreamId, tuple[int, ...]] = {}
        self.slowness: dict[UpstreamId, int] | None = None

    def compose(self) -> None:
        """Bring ``timings`` and ``slowness`` up to date, if they are too old."""
        now = self._clock.monotonic()
        if now - self._composed_at < CACHED_FOR_S:
            return
        self._composed_at = now
        self.timings = {}
        differing: dict[UpstreamId, int] = {}
        for upstream in self._directory.upstreams():
            sample = upstream.speed.shared_sample()
            if sample is not None:
                self.timings[upstream.upstream_id] = sample
            learned = upstream.speed.learned
            if learned != 1.0:
                differing[upstream.upstream_id] = round(100 * learned)
        heartbeats = self._heartbeats
        is_known = now - self._started_at >= SETTLE_S
        states = is_known and heartbeats.is_hub and not heartbeats.full_mesh
        self.slowness = differing if states else None

    def receive(self, heartbeat: Heartbeat) -> None:
        """Learn from another host's heartbeat."""
        for upstream_id, sample in heartbeat.timings.items():
            upstream = self._directory.get(upstream_id)
            if upstream is not None and len(sample) == 2:
                upstream.speed.note_shared(heartbeat.process, *sample)
        if heartbeat.slowness is None or self._heartbeats.is_hub:
            return
        hub = self._heartbeats.primary_hub()
        if hub is not None and hub.host == heartbeat.host:
            for upstream in self._directory.upstreams():
                percent = heartbeat.slowness.get(upstream.upstream_id, 100)
                upstream.speed.note_published(percent / 100)
