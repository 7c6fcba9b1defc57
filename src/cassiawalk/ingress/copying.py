"""Gets configuration and upstreams from the few hosts that read the store."""

import dataclasses
import random
import zlib

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import KeyedRecord
from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ingress.config import ConfigView
from cassiawalk.ingress.directory import Directory
from cassiawalk.ingress.follow import ConfigFollower
from cassiawalk.ingress.follow import DirectoryFollower
from cassiawalk.ingress.heartbeat import Heartbeat
from cassiawalk.ingress.heartbeat import PeerView
from cassiawalk.ingress.heartbeats import HeartbeatExchange
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer.messages import messages

READERS = 2
READER_HEARD_S = 1.0  # a reader that is silent for two beats is not waited for
STEP_S = 0.1
BEHIND_S = 0.6  # how long a host that reads the store may be behind another before it asks
AGAIN_S = 0.4
CALL_LIMIT_S = 1.0
NO_REVISION = -1
DEFLATE_LEVEL = 1
LONGEST_CONFIG_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class CopiedRecord:
    """One upstream's entry as it lies in the store; ``value`` is None for a removal."""

    key: str
    value: bytes | None
    offset: Offset


@messages.register("copy-call")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyCall:
    """Asks for what is newer than ``revision`` and for upstreams that changed after ``since``."""

    revision: int
    since: Offset


@messages.register("copy-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyReply:
    """What the other host has; ``config`` is deflated, and None if it has nothing newer."""

    config: bytes | None
    records: tuple[CopiedRecord, ...]


class PeerCopier(Component):
    """Decides whether this host reads the store, and asks others for what it lacks.

    A few hosts read; the others learn from beats that something is new, and ask for it.
    """

    def __init__(
        self,
        *,
        host: HostId,
        view: ConfigView,
        directory: Directory,
        heartbeats: HeartbeatExchange,
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._view = view
        self._directory = directory
        self._heartbeats = heartbeats
        self._links = links
        self._clock = clock
        self._rng = rng
        self._behind_since: float | None = None
        self._not_before = 0.0
        self._deflated_of: bytes | None = None
        self._deflated_raw: bytes | None = None
        self.config_follower: ConfigFollower
        self.directory_follower: DirectoryFollower

    async def start(self) -> None:
        """Begin to look for what is missing."""
        self.spawn(self._run(), name="copier")

    @property
    def store_ok(self) -> bool:
        """Return whether this host could read the store when it last tried."""
        away = self.config_follower.source_away or self.directory_follower.source_away
        return not away

    @property
    def reads_store(self) -> bool:
        """Return whether this host reads the store: it is among the first that can."""
        if not self.store_ok:
            return True
        if not self._heartbeats.is_hub:
            return not any(view.heartbeat.knows for view in self._fresh())
        able = {view.heartbeat.host for view in self._fresh() if view.heartbeat.reads}
        first = [host for host in self._heartbeats.ranking() if host in able or host == self._host]
        return self._host in first[:READERS]

    @property
    def is_current(self) -> bool:
        """Return whether this host reads the store, or hears one that reads it itself."""
        if self.store_ok and self.reads_store:
            return True
        return any(view.heartbeat.reads for view in self._fresh())

    async def handle(self, call: CopyCall) -> CopyReply:
        """Answer another host's call."""
        newer = self._revision() > call.revision
        changed = self.directory_follower.since(call.since)
        return CopyReply(
            config=self._deflated() if newer else None,
            records=tuple(
                CopiedRecord(key=record.key, value=record.value, offset=record.offset)
                for record in changed
            ),
        )

    def _deflated(self) -> bytes | None:
        """Return the configuration as it is sent: many hosts ask for it within a moment."""
        raw = self.config_follower.raw
        if raw is not self._deflated_of:
            self._deflated_of = raw
            self._deflated_raw = None if raw is None else zlib.compress(raw, DEFLATE_LEVEL)
        return self._deflated_raw

    def _take_config(self, deflated: bytes, host: HostId) -> None:
        inflater = zlib.decompressobj()
        try:
            raw = inflater.decompress(deflated, LONGEST_CONFIG_BYTES)
        except zlib.error as exc:
            eliot.log_message(message_type="copier:unreadable", peer=host, reason=str(exc))
            return
        if not inflater.eof:
            reason = f"longer than {LONGEST_CONFIG_BYTES} bytes, or cut"
            eliot.log_message(message_type="copier:unreadable", peer=host, reason=reason)
            return
        self.config_follower.take_value(raw, source=f"peer {host}")

    def _revision(self) -> int:
        current = self._view.current
        return NO_REVISION if current is None else current.revision

    def _heard(self) -> list[Heartbeat]:
        return [self._heartbeats.peers[host].heartbeat for host in self._heartbeats.live_hosts]

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(STEP_S)
            self._note_readers()
            newer = [beat.host for beat in self._heard() if self._is_newer(beat)]
            now = self._clock.monotonic()
            if not newer:
                self._behind_since = None
                continue
            if self._behind_since is None:
                self._behind_since = now
            patience_s = BEHIND_S if self.store_ok and self.reads_store else 0.0
            if now - self._behind_since >= patience_s and now >= self._not_before:
                self._not_before = now + AGAIN_S
                await self._copy(self._rng.choice(newer))

    def _fresh(self) -> list[PeerView]:
        """Return the hosts that were heard within the last two beats."""
        oldest = self._clock.monotonic() - READER_HEARD_S
        views = [self._heartbeats.peers[host] for host in self._heartbeats.live_hosts]
        return [view for view in views if view.heard_at >= oldest]

    def _note_readers(self) -> None:
        """Take the word of a host that knows: there was nothing newer than what it told."""
        knowing = [view.heard_at for view in self._fresh() if view.heartbeat.knows]
        told_at = max(knowing, default=None)
        known_at = self._view.checked_at
        if told_at is not None and (known_at is None or told_at > known_at):
            self._view.checked_at = told_at

    def _is_newer(self, beat: Heartbeat) -> bool:
        return beat.revision > self._revision() or beat.directory > self._directory.changed

    async def _copy(self, host: HostId) -> None:
        call = CopyCall(revision=self._revision(), since=self._directory.changed)
        reply = await self._links.call(host, call, CopyReply, timeout_s=CALL_LIMIT_S)
        if isinstance(reply, PeerFailure):
            eliot.log_message(message_type="copier:failed", peer=host, reason=reply.reason)
            return
        if reply.config is not None:
            self._take_config(reply.config, host)
        self.directory_follower.take_copy(
            KeyedRecord(key=record.key, value=record.value, offset=record.offset)
            for record in reply.records
        )
