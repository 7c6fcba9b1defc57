"""Estimated load of one upstream between its own lagging counts."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.ingress.codec import PartId
from cassiawalk.ingress.codec import PromptPart
from cassiawalk.ingress.codec import ReportedLoad

PEER_COUNT_AGE_S = 2.0
PART_MEMORY_S = 120.0
PARTS_KEPT = 4096


class EngineLoad:
    """Own requests exactly, those of other hosts by their last word, parts by own sends.

    ``others`` counts requests that other hosts have at the upstream, ``others_unread`` their
    prompt tokens that are still to be read.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._unread: dict[RequestId, int] = {}
        self._running: set[RequestId] = set()
        self._peers: dict[HostId, tuple[float, int, int]] = {}
        self._parts: dict[PartId, float] = {}
        self.reported: ReportedLoad | None = None
        self.reported_at = 0.0

    @property
    def own(self) -> int:
        """Return how many requests of this host are there."""
        return len(self._unread) + len(self._running)

    @property
    def own_pending_tokens(self) -> int:
        """Return the prompt tokens that this host sent and that have no first token yet."""
        return sum(self._unread.values())

    @property
    def others(self) -> int:
        """Return how many requests of other hosts are there."""
        return sum(running for _, running, _ in self._fresh_peers())

    @property
    def others_pending_tokens(self) -> int:
        """Return the prompt tokens of other hosts' requests without a first token."""
        return sum(unread for _, _, unread in self._fresh_peers())

    @property
    def total(self) -> int:
        """Return how many requests are there, by the best knowledge."""
        return self.own + self.others

    def note_sent(self, request_id: RequestId, unread_tokens: int) -> None:
        """Note that a request went there."""
        self._unread[request_id] = unread_tokens

    def note_first_token(self, request_id: RequestId) -> None:
        """Note that a request's first token came."""
        if self._unread.pop(request_id, None) is not None:
            self._running.add(request_id)

    def note_ended(self, request_id: RequestId) -> None:
        """Note that an attempt ended."""
        self._unread.pop(request_id, None)
        self._running.discard(request_id)

    def note_reported_load(self, note: ReportedLoad) -> None:
        """Keep the upstream's own count."""
        self.reported = note
        self.reported_at = self._clock.monotonic()

    def note_peer(self, host: HostId, requests: int, unread_tokens: int) -> None:
        """Keep what another host says it has there."""
        self._peers[host] = (self._clock.monotonic(), requests, unread_tokens)

    def uncached_tokens(self, parts: cabc.Sequence[PromptPart]) -> int:
        """Return the tokens of ``parts`` after the first one that was not sent there lately."""
        now = self._clock.monotonic()
        for index, part in enumerate(parts):
            sent_at = self._parts.get(part.part_id)
            if sent_at is None or now - sent_at > PART_MEMORY_S:
                return sum(left.tokens for left in parts[index:])
        return 0

    def note_cached(self, parts: cabc.Sequence[PromptPart]) -> None:
        """Note that the upstream holds ``parts`` from now on."""
        now = self._clock.monotonic()
        for part in parts:
            self._parts.pop(part.part_id, None)
            self._parts[part.part_id] = now
        while len(self._parts) > PARTS_KEPT:
            del self._parts[next(iter(self._parts))]

    def _fresh_peers(self) -> list[tuple[float, int, int]]:
        limit = self._clock.monotonic() - PEER_COUNT_AGE_S
        return [found for found in self._peers.values() if found[0] > limit]
