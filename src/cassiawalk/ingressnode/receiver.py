"""Applies heartbeats of other hosts: time, usage, quotas, upstream use and number of hosts."""

import collections.abc as cabc

from cassiawalk.duties.usage import UsageCounts
from cassiawalk.fleet.aggregates import UpstreamUse
from cassiawalk.fleet.census import HostCensus
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.quotas import Quotas
from cassiawalk.storeview.directory import Directory

_OTHER_HOSTS = HostId("rest")  # stands for all other hosts, as a hub aggregates them


class HeartbeatReceiver:
    """Applies each heartbeat to this host's state.

    Unless the hosts are a full mesh, a host that is not a hub takes quota consumption and upstream
    use only from the aggregate of its primary hub.
    """

    def __init__(
        self,
        *,
        heartbeats: HeartbeatExchange,
        time: CorrectedTime,
        usage: UsageCounts,
        quotas: Quotas,
        directory: Directory,
        census: HostCensus,
    ) -> None:
        self._census = census
        self._heartbeats = heartbeats
        self._time = time
        self._usage = usage
        self._quotas = quotas
        self._directory = directory
        self._aggregate_source = ""

    def receive(self, heartbeat: Heartbeat) -> None:
        """Apply one heartbeat."""
        self._time.note_peer(heartbeat.host, heartbeat.now_s)
        below = () if heartbeat.counted is None else heartbeat.counted.hosts
        self._census.note_alive((heartbeat.host, *below))
        self._census.note_count(heartbeat.host, heartbeat.census)
        self._usage.update_from_peer(heartbeat.host, heartbeat.incarnation, heartbeat.usage)
        if self._heartbeats.full_mesh or (
            self._heartbeats.is_hub and self._counts_sender(heartbeat)
        ):
            self._quotas.note_consumed(heartbeat.process, heartbeat.drawn)
            self._note_use(heartbeat.host, heartbeat.use)
        if not self._heartbeats.full_mesh:
            self._receive_aggregate(heartbeat)

    def _counts_sender(self, heartbeat: Heartbeat) -> bool:
        """Return whether this hub counts the sender itself: one it aggregates, or a hub."""
        return heartbeat.first or heartbeat.counted is not None

    def _receive_aggregate(self, heartbeat: Heartbeat) -> None:
        if self._heartbeats.is_hub:
            if heartbeat.counted is not None:
                self._quotas.note_consumed(f"{heartbeat.process}/counted", heartbeat.counted.drawn)
                self._note_use(HostId(f"{heartbeat.host}/counted"), heartbeat.counted.use)
            return
        hub = self._heartbeats.primary_hub()
        if heartbeat.rest is not None and hub is not None and hub.host == heartbeat.host:
            self._note_others(f"{heartbeat.process}/rest", heartbeat.rest.drawn)
            self._note_use(_OTHER_HOSTS, heartbeat.rest.use)

    def _note_others(self, source: str, consumed: cabc.Mapping[WorkspaceName, float]) -> None:
        """Record the consumption of all other hosts, in place of what the previous hub reported.

        :param source: the process of the hub that reports it.
        """
        if source != self._aggregate_source:
            self._quotas.forget(self._aggregate_source)
            self._aggregate_source = source
        self._quotas.note_consumed(source, consumed)

    def _note_use(self, host: HostId, uses: cabc.Iterable[UpstreamUse]) -> None:
        """Record a host's load on every upstream, which is 0 on those that it does not list."""
        used = {use.upstream_id: use for use in uses}
        for upstream in self._directory.upstreams():
            use = used.get(upstream.upstream_id)
            requests = 0 if use is None else use.requests
            pending_tokens = 0 if use is None else use.unread_tokens
            upstream.load.note_peer(host, requests, pending_tokens)
