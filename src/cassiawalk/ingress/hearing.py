"""Takes over what other hosts tell in beats: time, usage, draws, and their use of upstreams."""

import collections.abc as cabc

from cassiawalk.duties.usage import UsageCounts
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.beat import HostBeat
from cassiawalk.ingress.beats import BeatExchange
from cassiawalk.ingress.directory import Directory
from cassiawalk.ingress.quotas import Quotas
from cassiawalk.ingress.sums import UpstreamUse
from cassiawalk.ingress.truetime import TrueTime

_REST = HostId("rest")  # all other hosts together, as a hub tells of them


class Hearing:
    """Listens to beats; of many hosts, those that are no hubs take only their hub's sums."""

    def __init__(
        self,
        *,
        beats: BeatExchange,
        time: TrueTime,
        usage: UsageCounts,
        quotas: Quotas,
        directory: Directory,
    ) -> None:
        self._beats = beats
        self._time = time
        self._usage = usage
        self._quotas = quotas
        self._directory = directory
        self._rest_teller = ""

    def take(self, beat: HostBeat) -> None:
        """Take one beat over."""
        self._time.note_peer(beat.host, beat.now_s)
        self._usage.update_from_peer(beat.host, beat.incarnation, beat.usage)
        if self._beats.meshed or (self._beats.is_hub and self._counts(beat)):
            self._quotas.note_consumed(beat.process, beat.drawn)
            self._note_use(beat.host, beat.use)
        if not self._beats.meshed:
            self._take_sums(beat)

    def _counts(self, beat: HostBeat) -> bool:
        return beat.first or beat.counted is not None

    def _take_sums(self, beat: HostBeat) -> None:
        if self._beats.is_hub:
            if beat.counted is not None:
                self._quotas.note_consumed(f"{beat.process}/counted", beat.counted.drawn)
                self._note_use(HostId(f"{beat.host}/counted"), beat.counted.use)
            return
        hub = self._beats.first_hub()
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
        for upstream in self._directory.everything():
            use = used.get(upstream.upstream_id)
            requests = 0 if use is None else use.requests
            unread = 0 if use is None else use.unread_tokens
            upstream.load.note_peer(host, requests, unread)
