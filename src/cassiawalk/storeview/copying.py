"""Copies configuration and upstreams from the few hosts that read the store."""

import collections.abc as cabc
import dataclasses
import random
import zlib

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import KeyedRecord
from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeat import PeerView
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer.messages import messages
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.departurecopy import ToldDeparture
from cassiawalk.storeview.departurecopy import learn_departures
from cassiawalk.storeview.departurecopy import told_departures
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import MAX_RETRY_PAUSE_S
from cassiawalk.storeview.followers import ConfigFollower
from cassiawalk.storeview.followers import DirectoryChanges
from cassiawalk.storeview.followers import DirectoryFollower
from cassiawalk.storeview.freshness import Claims
from cassiawalk.storeview.freshness import Freshness

READER_COUNT = 2
READER_TIMEOUT_S = 1.0  # two heartbeat intervals; a reader that is silent for longer is replaced
CHECK_INTERVAL_S = 0.1
READER_COPY_DELAY_S = 0.6  # how long a reader may be behind another host before it copies from it
# A host that is behind asks another one each time; the calls before may still get an answer.
COPY_INTERVAL_S = 0.3
MAX_BEHIND_S = 0.6  # a host that copies in vain for so long reads the store itself
CALL_TIMEOUT_S = 1.0
SILENT_FOR_S = 3.0  # how long a host that did not answer is asked last
# While the store is away the reads of all hosts fail. A few hosts retry often; they tell the others
# when it is back, and these retry rarely.
PROMPT_RETRY_HOSTS = 4
LONG_RETRY_PAUSE_S = 3.0
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
    :param since: the offset through which the sender knows all upstreams.
    """

    revision: int
    since: Offset


@messages.register("copy-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyReply:
    """The changes that the called host has.

    :param config: the encoded configuration, deflated; None if it is no newer.
    :param records: the entries and removals of upstreams that changed.
    :param present: see ``DirectoryChanges``.
    :param through: see ``DirectoryChanges``.
    :param departed: the upstreams that have left since.
    """

    config: bytes | None
    records: tuple[CopiedRecord, ...]
    present: tuple[str, ...] | None = None
    through: Offset = Offset(-1)
    departed: tuple[ToldDeparture, ...] = ()


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
        config_freshness: Freshness,
        directory_freshness: Freshness,
        now_s: cabc.Callable[[], float],
    ) -> None:
        self._config_freshness = config_freshness
        self._directory_freshness = directory_freshness
        self._config_claims = Claims(freshness=config_freshness)
        self._directory_claims = Claims(freshness=directory_freshness)
        self._now_s = now_s
        self._host = host
        self._view = view
        self._directory = directory
        self._heartbeats = heartbeats
        self._links = links
        self._clock = clock
        self._rng = rng
        self._behind_since: float | None = None
        self._next_copy_at = 0.0
        self._asked: set[HostId] = set()
        self._failed_at: dict[HostId, float] = {}
        self._checks: list[cabc.Callable[[], None]] = []
        self._deflated_source: bytes | None = None
        self._deflated_config: bytes | None = None
        self.config_follower: ConfigFollower
        self.directory_follower: DirectoryFollower

    def add_check(self, check: cabc.Callable[[], None]) -> None:
        """Call ``check`` every ``CHECK_INTERVAL_S`` s, as what it depends on is known here."""
        self._checks.append(check)

    async def start(self) -> None:
        """Start checking for newer data on other hosts."""
        self.keep_running(self._run, name="copier")

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

    def max_retry_pause_s(self) -> float:
        """Return the longest pause between this host's reads of the store while they fail.

        The first ``PROMPT_RETRY_HOSTS`` live hubs of the ranking retry often, and so does a host
        that hears no other.
        """
        live = set(self._heartbeats.live_hosts)
        if not live:
            return MAX_RETRY_PAUSE_S
        if not self._heartbeats.is_hub:
            return LONG_RETRY_PAUSE_S
        hubs = [host for host in self._heartbeats.ranking() if host in live or host == self._host]
        is_prompt = self._host in hubs[:PROMPT_RETRY_HOSTS]
        return MAX_RETRY_PAUSE_S if is_prompt else LONG_RETRY_PAUSE_S

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
        changes = self.directory_follower.changes_since(call.since)
        return CopyReply(
            config=self._deflate_config() if newer else None,
            records=tuple(
                CopiedRecord(key=record.key, value=record.value, offset=record.offset)
                for record in changes.records
            ),
            present=changes.present,
            through=changes.through,
            departed=told_departures(self._directory, since=call.since),
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

    def must_know(self, freshness: Freshness) -> bool:
        """Return whether this host has to read a stream itself, though others read for all."""
        copies_in_vain = self._behind_s() > MAX_BEHIND_S
        return freshness.is_stale or (copies_in_vain and freshness.age_s > COPY_INTERVAL_S)

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record what another host knows, as old as it is on arrival here."""
        on_way_s = max(0.0, self._now_s() - heartbeat.now_s)
        host = heartbeat.host
        self._config_claims.note(
            host, heartbeat.revision, age_s=_sum(heartbeat.config_age_s, on_way_s)
        )
        self._directory_claims.note(
            host, heartbeat.directory, age_s=_sum(heartbeat.directory_age_s, on_way_s)
        )
        self._confirm()

    def _confirm(self) -> None:
        self._config_claims.confirm(self._revision())
        self._directory_claims.confirm(self.directory_follower.known_through)
        self._update_checked_at()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            self._confirm()
            for check in self._checks:
                check()
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
            if self._behind_s() >= delay_s and now >= self._next_copy_at:
                self._next_copy_at = now + COPY_INTERVAL_S
                self._ask_one_of(newer)

    def _behind_s(self) -> float:
        """Return for how long another host has had newer data, in seconds."""
        return 0.0 if self._behind_since is None else self._clock.monotonic() - self._behind_since

    def _ask_one_of(self, newer: cabc.Sequence[HostId]) -> None:
        """Copy from a host that is not being asked, and rather not from one that was silent."""
        free = [host for host in newer if host not in self._asked]
        if not free:
            return
        limit = self._clock.monotonic() - SILENT_FOR_S
        answering = [host for host in free if self._failed_at.get(host, limit) <= limit]
        host = self._rng.choice(answering or free)
        self._asked.add(host)
        self.spawn(self._copy(host), name=f"copy-{host}")

    def _recent_views(self) -> list[PeerView]:
        """Return the live hosts with a heartbeat in the last ``READER_TIMEOUT_S`` s."""
        oldest = self._clock.monotonic() - READER_TIMEOUT_S
        views = [self._heartbeats.peers[host] for host in self._heartbeats.live_hosts]
        return [view for view in views if view.received_at >= oldest]

    def _update_checked_at(self) -> None:
        """Record as of when the configuration is known to be the newest."""
        self._view.note_checked(self._clock.monotonic() - self._config_freshness.age_s)

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        known_through = self.directory_follower.known_through
        return heartbeat.revision > self._revision() or heartbeat.directory > known_through

    async def _copy(self, host: HostId) -> None:
        call = CopyCall(revision=self._revision(), since=self.directory_follower.known_through)
        try:
            reply = await self._links.call(host, call, CopyReply, timeout_s=CALL_TIMEOUT_S)
        finally:
            self._asked.discard(host)
        if isinstance(reply, PeerFailure):
            self._failed_at[host] = self._clock.monotonic()
            eliot.log_message(message_type="copier:failed", peer=host, reason=reply.reason)
            return
        if reply.config is not None:
            self._apply_config(reply.config, host)
        records = tuple(
            KeyedRecord(key=record.key, value=record.value, offset=record.offset)
            for record in reply.records
        )
        learn_departures(self._directory, reply.departed, now=self._clock.monotonic())
        self.directory_follower.apply_copy(
            DirectoryChanges(records=records, present=reply.present, through=reply.through)
        )
        self._failed_at.pop(host, None)
        self._confirm()
        eliot.log_message(
            message_type="copier:copied",
            peer=host,
            since=call.since,
            records=len(records),
            present=None if reply.present is None else len(reply.present),
            changed=self._directory.changed,
        )


def _sum(age_s: float | None, more_s: float) -> float | None:
    return None if age_s is None else age_s + more_s
