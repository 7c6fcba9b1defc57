"""Copies configuration and upstreams from the few hosts that read the store."""

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

READER_COUNT = 2
READER_TIMEOUT_S = 1.0  # two heartbeat intervals; a reader that is silent for longer is replaced
CHECK_INTERVAL_S = 0.1
READER_COPY_DELAY_S = 0.6  # how long a reader may be behind another host before it copies from it
COPY_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 1.0
NO_REVISION = -1
DEFLATE_LEVEL = 1
MAX_CONFIG_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class CopiedRecord:
    """One upstream's entry, encoded as in the store; ``value`` is None for a removal."""

    key: str
    value: bytes | None
    offset: Offset


@messages.register("copy-call")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyCall:
    """Asks for a configuration newer than ``revision`` and for upstreams changed after ``since``.

    :param revision: the configuration revision in force at the sender, -1 if there is none.
    :param since: the offset of the last upstream change that the sender has applied.
    """

    revision: int
    since: Offset


@messages.register("copy-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyReply:
    """The changes that the called host has.

    :param config: the encoded configuration, deflated; None if it is no newer.
    :param records: the entries and removals of upstreams that changed.
    """

    config: bytes | None
    records: tuple[CopiedRecord, ...]


class PeerCopier(Component):
    """Decides whether this host reads the store, and copies what it lacks from other hosts.

    A few hosts, the readers, read the store. The others see from heartbeats that a host has newer
    data, and copy it from there.
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
        self._next_copy_at = 0.0
        self._deflated_source: bytes | None = None
        self._deflated_config: bytes | None = None
        self.config_follower: ConfigFollower
        self.directory_follower: DirectoryFollower

    async def start(self) -> None:
        """Start checking for newer data on other hosts."""
        self.spawn(self._run(), name="copier")

    @property
    def store_ok(self) -> bool:
        """Return whether the store answers this host's reads of both streams."""
        failed = (
            self.config_follower.source_unavailable or self.directory_follower.source_unavailable
        )
        return not failed

    @property
    def reads_store(self) -> bool:
        """Return whether this host is to read the store.

        Among hubs, the first ``READER_COUNT`` of the ranking that can read it do. Any other host
        reads it only if no host that it has recent heartbeats from is current. A host whose own
        reads fail keeps trying.
        """
        if not self.store_ok:
            return True
        if not self._heartbeats.is_hub:
            return not any(view.heartbeat.knows for view in self._recent_views())
        able = {view.heartbeat.host for view in self._recent_views() if view.heartbeat.reads}
        first = [host for host in self._heartbeats.ranking() if host in able or host == self._host]
        return self._host in first[:READER_COUNT]

    @property
    def is_current(self) -> bool:
        """Return whether this host reads the store or has recent heartbeats from a reader.

        Hosts that are current only through others do not count, so that hubs cannot rely on each
        other in a circle.
        """
        if self.store_ok and self.reads_store:
            return True
        return any(view.heartbeat.reads for view in self._recent_views())

    async def handle(self, call: CopyCall) -> CopyReply:
        """Answer another host's call."""
        newer = self._revision() > call.revision
        changed = self.directory_follower.changes_since(call.since)
        return CopyReply(
            config=self._deflate_config() if newer else None,
            records=tuple(
                CopiedRecord(key=record.key, value=record.value, offset=record.offset)
                for record in changed
            ),
        )

    def _deflate_config(self) -> bytes | None:
        """Return the deflated configuration; cached, as many hosts ask for it at the same time."""
        raw = self.config_follower.raw
        if raw is not self._deflated_source:
            self._deflated_source = raw
            self._deflated_config = None if raw is None else zlib.compress(raw, DEFLATE_LEVEL)
        return self._deflated_config

    def _apply_config(self, deflated: bytes, host: HostId) -> None:
        inflater = zlib.decompressobj()
        try:
            raw = inflater.decompress(deflated, MAX_CONFIG_BYTES)
        except zlib.error as exc:
            eliot.log_message(message_type="copier:unreadable", peer=host, reason=str(exc))
            return
        if not inflater.eof:
            reason = f"longer than {MAX_CONFIG_BYTES} bytes, or truncated"
            eliot.log_message(message_type="copier:unreadable", peer=host, reason=reason)
            return
        self.config_follower.apply_value(raw, source=f"peer {host}")

    def _revision(self) -> int:
        current = self._view.current
        return NO_REVISION if current is None else current.revision

    def _live_heartbeats(self) -> list[Heartbeat]:
        return [self._heartbeats.peers[host].heartbeat for host in self._heartbeats.live_hosts]

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            self._update_checked_at()
            newer = [
                heartbeat.host for heartbeat in self._live_heartbeats() if self._is_newer(heartbeat)
            ]
            now = self._clock.monotonic()
            if not newer:
                self._behind_since = None
                continue
            if self._behind_since is None:
                self._behind_since = now
            delay_s = READER_COPY_DELAY_S if self.store_ok and self.reads_store else 0.0
            if now - self._behind_since >= delay_s and now >= self._next_copy_at:
                self._next_copy_at = now + COPY_INTERVAL_S
                await self._copy(self._rng.choice(newer))

    def _recent_views(self) -> list[PeerView]:
        """Return the live hosts with a heartbeat in the last ``READER_TIMEOUT_S`` s."""
        oldest = self._clock.monotonic() - READER_TIMEOUT_S
        views = [self._heartbeats.peers[host] for host in self._heartbeats.live_hosts]
        return [view for view in views if view.received_at >= oldest]

    def _update_checked_at(self) -> None:
        """Take a current host's heartbeat as confirmation: it would show a newer revision."""
        current = [view.received_at for view in self._recent_views() if view.heartbeat.knows]
        confirmed_at = max(current, default=None)
        checked_at = self._view.checked_at
        if confirmed_at is not None and (checked_at is None or confirmed_at > checked_at):
            self._view.checked_at = confirmed_at

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.revision > self._revision() or heartbeat.directory > self._directory.changed
        )

    async def _copy(self, host: HostId) -> None:
        call = CopyCall(revision=self._revision(), since=self._directory.changed)
        reply = await self._links.call(host, call, CopyReply, timeout_s=CALL_TIMEOUT_S)
        if isinstance(reply, PeerFailure):
            eliot.log_message(message_type="copier:failed", peer=host, reason=reply.reason)
            return
        if reply.config is not None:
            self._apply_config(reply.config, host)
        self.directory_follower.apply_copy(
            KeyedRecord(key=record.key, value=record.value, offset=record.offset)
            for record in reply.records
        )
