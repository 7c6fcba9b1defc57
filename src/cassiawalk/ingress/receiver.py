"""Takes over what other hosts tell in beats: time, usage, draws, and their use of upstreams."""

import collections.abc as cabc

from cassiawalk.duties.usage import UsageCounts
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.aggregates import UpstreamUse
from cassiawalk.ingress.correctedtime import CorrectedTime
from cassiawalk.ingress.directory import Directory
from cassiawalk.ingress.heartbeat import Heartbeat
from cassiawalk.ingress.heartbeats import HeartbeatExchange
from cassiawalk.ingress.quotas import Quotas

_REST = HostId("rest")  # all other hosts together, as a hub tells of them


class HeartbeatReceiver:
    """Listens to beats; of many hosts, those that are no hubs take only their hub's sums."""

    def __init__(
        self,
        *,
        heartbeats: HeartbeatExchange,
        time: CorrectedTime,
        usage: UsageCounts,
        quotas: Quotas,
        directory: Directory,
    ) -> None:
        self._heartbeats = heartbeats
        self._time = time
        self._usage = usage
        self._quotas = quotas
        self._directory = directory
        self._rest_teller = ""

    def receive(self, beat: Heartbeat) -> None:
        """Take one beat over."""
        self._time.note_peer(beat.host, beat.now_s)
        self._usage.update_from_peer(beat.host, beat.incarnation, beat.usage)
        if self._heartbeats.full_mesh or (self._heartbeats.is_hub and self._counts(beat)):
            self._quotas.note_consumed(beat.process, beat.drawn)
            self._note_use(beat.host, beat.use)
        if not self._heartbeats.full_mesh:
            self._take_sums(beat)

    def _counts(self, beat: Heartbeat) -> bool:
        return beat.first or beat.counted is not None

    def _take_sums(self, beat: Heartbeat) -> None:
        if self._heartbeats.is_hub:
            if beat.counted is not None:
                self._quotas.note_consumed(f"{beat.process}/counted", beat.counted.drawn)
                self._note_use(HostId(f"{beat.host}/counted"), beat.counted.use)
            return
        hub = self._heartbeats.primary_hub()
        if beat.rest is not None and hub is not None and hub.host == beat.host:
            self._note_rest(f"{beat.process}/rest", beat.rest.drawn)
            self._note_use(_REST, beat.rest.use)

    def _note_rest(self, teller: str, drawn: cabc.Mapping[WorkspaceName, float]) -> None:
        """Take a hub's word of all other hosts, which replaces that of the hub before."""
        if teller != self._rest_teller:
            self._quotas.forget(self._rest_teller)
            self._rest_teller = teller
        self._quotas.note_consumed(teller, drawn)

    def _note_use(self, host: HostId, uses: cabc.Iterable[UpstreamUse]) -> None:
        used = {use.upstream_id: use for use in uses}
        for upstream in self._directory.upstreams():
            use = used.get(upstream.upstream_id)
            requests = 0 if use is None else use.requests
            unread = 0 if use is None else use.unread_tokens
            upstream.load.note_peer(host, requests, unread)
