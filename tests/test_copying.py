"""Hosts that do not read the store copy everything from those that do."""

import asyncio
import dataclasses
import random
import typing as t
import zlib

import orjson
import pytest

from cassiawalk.clients import KeyedChanges
from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import ReadFailed
from cassiawalk.fleet.heartbeat import PeerView
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.peer import PeerLinks
from cassiawalk.platform.registrations import decode_registration
from cassiawalk.storeview import copying
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.copying import CopyCall
from cassiawalk.storeview.copying import PeerCopier
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import MAX_RETRY_PAUSE_S
from cassiawalk.storeview.follow import OVERDUE_AFTER_S
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.followers import MAX_REMOVALS_KEPT
from cassiawalk.storeview.followers import DirectoryChanges
from cassiawalk.storeview.followers import DirectoryFollower
from cassiawalk.storeview.freshness import Freshness
from tests.fakes import FakeClock
from tests.fakes import make_heartbeat

SERVICE = ServiceName("models")


class UnavailableLog(KeyedLog):
    async def newest(self, *, stream: str) -> KeyedList | ReadFailed:
        return ReadFailed(reason="not read here")

    async def changes(
        self, *, stream: str, start: Offset, wait_s: float = 0.0
    ) -> KeyedChanges | ReadFailed:
        return ReadFailed(reason="not read here")

    async def put(self, *, stream: str, key: str, value: bytes | None) -> bool:
        return False


class Host:
    """A directory and its follower."""

    def __init__(self) -> None:
        clock = FakeClock()
        self.directory = Directory(clock=clock)
        self.follower = DirectoryFollower(
            log=UnavailableLog(),
            options=ReadOptions(stream="upstreams", wait_s=0.0, pause_s=0.0),
            decode=decode_registration,
            directory=self.directory,
            clock=clock,
            rng=random.Random(1),
        )

    def copy_from(self, other: "Host") -> None:
        if other.directory.changed > self.directory.changed:
            self.follower.apply_copy(other.follower.changes_since(self.follower.known_through))

    def read_list(self, records: list[KeyedRecord], *, end: int) -> None:
        for found in records:
            self.follower.apply_record(found)
        self.follower.apply_list(KeyedList(records=tuple(records), end=Offset(end)))

    def state(self) -> dict[str, bool]:
        return {found.upstream_id: found.leaving for found in self.directory.upstreams()}


def record(key: str, offset: int, *, state: str | None = "ready", sequence: int = 0) -> KeyedRecord:
    value = None
    if state is not None:
        entry = {"service": SERVICE, "address": "10.0.0.1:80", "zone": "z", "slots": 4}
        entry |= {"version": "v1", "cold_remaining_ms": 0}
        value = orjson.dumps({**entry, "state": state, "sequence": sequence})
    return KeyedRecord(key=key, value=value, offset=Offset(offset))


def test_copy_of_a_copy_misses_nothing() -> None:
    """Guards against a change that is lost between two copies.

    A host sent requests to an upstream although the host it copies from knew that it was leaving.
    """
    reader, second, third = Host(), Host(), Host()
    for offset, key in enumerate(("u-1", "u-2")):
        reader.follower.apply_record(record(key, offset))
    second.copy_from(reader)
    third.copy_from(second)
    reader.follower.apply_record(record("u-2", 10, state="draining"))
    reader.follower.apply_record(record("u-1", 11, state="draining"))
    second.copy_from(reader)
    third.copy_from(second)
    assert reader.state() == second.state() == third.state() == {"u-1": True, "u-2": True}


def test_renewed_entries_are_no_changes() -> None:
    reader = Host()
    reader.follower.apply_record(record("u-1", 1))
    for offset in range(2, 50):
        reader.follower.apply_record(record("u-1", offset, sequence=offset))
    assert reader.directory.changed == 1


@pytest.mark.parametrize("seed", range(20))
def test_chain_of_copies_ends_in_the_state_of_the_reader(seed: int) -> None:
    rng = random.Random(seed)
    hosts = [Host() for _ in range(5)]
    reader = hosts[0]
    for offset in range(200):
        key = f"u-{rng.randrange(6)}"
        state = rng.choice(["ready", "ready", "draining", None])
        reader.follower.apply_record(record(key, offset, state=state, sequence=offset))
        if rng.random() < 0.3:
            target = rng.randrange(1, 5)
            hosts[target].copy_from(hosts[rng.randrange(5)])
    for target in range(1, 5):
        hosts[target].copy_from(hosts[target - 1])
        assert hosts[target].state() == reader.state()


def test_removal_before_a_host_started_reaches_hosts_that_copy_from_it() -> None:
    """Guards against upstreams that are kept because a copy's source never knew of them.

    While two fifths of 195 hosts were restarted, one sent requests to upstreams for 4 s after they
    had left: it had copied from a host that had read its first list after they had.
    """
    reader, behind, started = Host(), Host(), Host()
    for offset, key in enumerate(("u-1", "u-2")):
        reader.follower.apply_record(record(key, offset))
    behind.copy_from(reader)
    reader.follower.apply_record(record("u-1", 10, state=None))
    started.read_list([record("u-2", 12, sequence=5)], end=13)
    behind.copy_from(started)
    assert behind.state() == {"u-2": False}


def test_removals_that_are_no_longer_kept_reach_hosts_that_copy() -> None:
    reader, behind = Host(), Host()
    for offset in range(MAX_REMOVALS_KEPT + 20):
        reader.follower.apply_record(record(f"u-{offset}", offset))
    behind.copy_from(reader)
    for offset in range(MAX_REMOVALS_KEPT + 20):
        reader.follower.apply_record(record(f"u-{offset}", 1000 + offset, state=None))
    behind.copy_from(reader)
    assert behind.state() == {}


def test_whole_list_takes_back_nothing_that_is_newer() -> None:
    reader, ahead, started = Host(), Host(), Host()
    reader.follower.apply_record(record("u-1", 1))
    ahead.copy_from(reader)
    started.read_list([record("u-1", 5, sequence=5)], end=6)
    ahead.follower.apply_record(record("u-2", 9))
    ahead.follower.apply_copy(started.follower.changes_since(Offset(0)))
    assert ahead.state() == {"u-1": False, "u-2": False}


@pytest.mark.parametrize("seed", range(40))
def test_host_that_knows_a_change_knows_all_before_it(seed: int) -> None:
    """Hosts copy from any host with newer knowledge, and are restarted with the store's list."""
    rng = random.Random(seed)
    hosts = [Host() for _ in range(5)]
    newest: dict[str, KeyedRecord] = {}
    state: dict[str, str | None] = {}
    last_change = -1
    for offset in range(300):
        key = f"u-{rng.randrange(6)}"
        found = record(
            key, offset, state=rng.choice([*["ready"] * 4, "draining", None]), sequence=offset
        )
        newest[key] = found
        new_state = None if found.value is None else str(orjson.loads(found.value)["state"])
        if new_state != state.get(key):
            state[key], last_change = new_state, offset
        hosts[0].follower.apply_record(found)
        if rng.random() < 0.05:
            number = rng.randrange(1, 5)
            hosts[number] = Host()
            listed = [found for found in newest.values() if found.value is not None]
            hosts[number].read_list(listed, end=offset + 1)
        if rng.random() < 0.4:
            target, source = rng.sample(range(5), 2)
            if target:
                hosts[target].copy_from(hosts[source])
        truth = {key: found == "draining" for key, found in state.items() if found is not None}
        for host in hosts:
            if host.directory.changed >= last_change:
                assert host.state() == truth


def test_entry_that_is_back_after_an_outage_is_back_at_hosts_that_copy() -> None:
    reader, before, after = (Host() for _ in range(3))
    reader.follower.apply_record(record("u-1", 1))
    before.copy_from(reader)
    reader.directory.note_source_recovered()
    reader.follower.apply_record(record("u-1", 10, state=None))
    before.copy_from(reader)
    reader.follower.apply_record(record("u-1", 20, sequence=9))
    for host in (before, after):
        host.copy_from(reader)
        assert host.state() == {"u-1": False}


class FakeExchange:
    """The part of the heartbeat exchange that a copier uses."""

    def __init__(self, *, ranking: list[HostId], is_hub: bool = True) -> None:
        self._ranking = ranking
        self.is_hub = is_hub
        self.peers: dict[HostId, PeerView] = {}

    @property
    def live_hosts(self) -> list[HostId]:
        return list(self.peers)

    def ranking(self) -> list[HostId]:
        return self._ranking

    def receive(self, host: HostId, at: float, *, reads: bool, knows: bool) -> None:
        heartbeat = make_heartbeat(host, now_s=at, reads=reads, knows=knows)
        self.peers[host] = PeerView(heartbeat=heartbeat, received_at=at)


HOSTS = [HostId(f"h-{number}") for number in range(5)]


def copier(exchange: FakeExchange, clock: FakeClock, *, host: HostId) -> PeerCopier:
    peer_copier = PeerCopier(
        host=host,
        view=ConfigView(),
        directory=Directory(clock=clock),
        heartbeats=t.cast(HeartbeatExchange, exchange),
        links=t.cast(PeerLinks, None),
        clock=clock,
        rng=random.Random(1),
        config_freshness=Freshness(clock=clock),
        directory_freshness=Freshness(clock=clock),
        now_s=clock.wall,
    )
    peer_copier.config_follower = peer_copier.directory_follower = t.cast(t.Any, _Source())
    return peer_copier


class _Source:
    source_unavailable = False


def test_host_that_has_copied_all_entries_is_not_behind_their_source() -> None:
    """Guards against hosts that go on copying and read the store, as nothing is ever new."""
    clock, exchange = FakeClock(), FakeExchange(ranking=HOSTS)
    behind, started = Host(), Host()
    behind.follower.apply_record(record("u-1", 1))
    started.read_list([record("u-1", 5, sequence=5), record("u-2", 6)], end=20)
    started.follower.apply_record(record("u-2", 30, state=None))
    peer_copier = copier(exchange, clock, host=HOSTS[2])
    peer_copier.directory_follower = behind.follower
    exchange.receive(HOSTS[0], clock.now, reads=True, knows=True)
    heartbeat = dataclasses.replace(
        exchange.peers[HOSTS[0]].heartbeat, revision=-1, directory=started.directory.changed
    )
    assert peer_copier._is_newer(heartbeat)
    behind.follower.apply_copy(started.follower.changes_since(behind.follower.known_through))
    assert not peer_copier._is_newer(heartbeat)


def test_host_reads_at_once_when_all_readers_are_silent() -> None:
    """Guards against a wait of 2 s before others read the store when both readers are cut off."""
    clock, exchange = FakeClock(), FakeExchange(ranking=HOSTS)
    third = copier(exchange, clock, host=HOSTS[2])
    for host in HOSTS[:2]:
        exchange.receive(host, clock.now, reads=True, knows=True)
    assert not third.reads_store
    assert third.is_current
    clock.now += 1.1
    assert third.reads_store


def test_host_below_a_hub_relies_on_a_hub_with_a_live_reader() -> None:
    """Guards against reads of the store by all hosts whose hubs are not readers themselves."""
    clock, exchange = FakeClock(), FakeExchange(ranking=HOSTS, is_hub=False)
    below = copier(exchange, clock, host=HOSTS[4])
    exchange.receive(HOSTS[2], clock.now, reads=False, knows=True)
    assert not below.reads_store
    exchange.receive(HOSTS[2], clock.now, reads=False, knows=False)
    assert below.reads_store


def test_hubs_do_not_rely_on_each_other_in_a_circle() -> None:
    clock, exchange = FakeClock(), FakeExchange(ranking=HOSTS)
    hub = copier(exchange, clock, host=HOSTS[2])
    exchange.receive(HOSTS[3], clock.now, reads=False, knows=True)
    assert hub.reads_store


async def test_overdue_read_counts_as_an_outage_before_it_fails() -> None:
    """Guards against hosts that still report themselves as readers 2.6 s after losing the store.

    Both readers were cut off from the store, but not from the other hosts.
    """
    clock = FakeClock()
    reading = asyncio.Event()

    class SilentLog(UnavailableLog):
        async def newest(self, *, stream: str) -> KeyedList | ReadFailed:
            reading.set()
            await asyncio.Event().wait()
            raise AssertionError

    follower = DirectoryFollower(
        log=SilentLog(),
        options=ReadOptions(stream="upstreams", wait_s=0.2, pause_s=0.3),
        decode=decode_registration,
        directory=Directory(clock=clock),
        clock=clock,
        rng=random.Random(1),
    )
    await follower.start()
    await reading.wait()
    clock.now += 0.2 + OVERDUE_AFTER_S - 0.05
    assert not follower.source_unavailable
    clock.now += 0.1
    assert follower.source_unavailable
    await follower.stop()


class _FakeFollower:
    """The part of a follower that a copier uses."""

    source_unavailable = False

    def __init__(self, raw: bytes | None = None) -> None:
        self.raw = raw
        self.applied: list[bytes] = []

    def changes_since(self, offset: Offset) -> DirectoryChanges:
        return DirectoryChanges(records=())

    def apply_value(self, value: bytes, *, source: str) -> None:
        self.applied.append(value)


def _copier_with_follower(raw: bytes | None = None) -> tuple[PeerCopier, _FakeFollower]:
    peer_copier = copier(FakeExchange(ranking=HOSTS), FakeClock(), host=HOSTS[0])
    follower = _FakeFollower(raw)
    peer_copier.config_follower = peer_copier.directory_follower = t.cast(t.Any, follower)
    return peer_copier, follower


async def test_configuration_is_copied_compressed() -> None:
    routes = [{"name": f"r-{number}", "path_prefix": f"/{number}/"} for number in range(300)]
    raw = orjson.dumps({"version": 4, "routes": routes})
    sender, _ = _copier_with_follower(raw)
    sender._revision = lambda: 4  # type: ignore[method-assign]
    reply = await sender.handle(CopyCall(revision=3, since=Offset(1)))
    assert reply.config is not None and len(reply.config) < len(raw) / 4
    target, follower = _copier_with_follower()
    target._apply_config(reply.config, HOSTS[1])
    assert follower.applied == [raw]


@pytest.mark.parametrize("damaged", [b"", b"no stream", zlib.compress(b"x" * 100)[:-3]])
def test_unreadable_copy_is_ignored(damaged: bytes) -> None:
    target, follower = _copier_with_follower()
    target._apply_config(damaged, HOSTS[1])
    assert follower.applied == []


def test_copy_that_inflates_beyond_the_limit_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copying, "MAX_CONFIG_BYTES", 1000)
    target, follower = _copier_with_follower()
    target._apply_config(zlib.compress(b"x" * 5000), HOSTS[1])
    assert follower.applied == []


@pytest.mark.parametrize(
    ("is_hub", "host", "hears", "is_prompt"),
    [
        (True, "h1", ["h2", "h3", "h4", "h5", "h6"], True),
        (True, "h5", ["h1", "h2", "h3", "h4", "h6"], False),
        (True, "h5", ["h1", "h2", "h6"], True),
        (False, "h9", ["h1", "h2"], False),
        (False, "h9", [], True),
    ],
    ids=["first hub", "fifth hub", "fifth hub, two are gone", "below a hub", "hears nobody"],
)
def test_few_hosts_retry_often_while_the_store_is_away(
    is_hub: bool, host: str, hears: list[str], is_prompt: bool
) -> None:
    """Guards against reads of all hosts at once, of which most were refused and paid for."""
    clock = FakeClock()
    ranking = [HostId(f"h{number}") for number in range(1, 7)]
    exchange = FakeExchange(ranking=ranking, is_hub=is_hub)
    for name in hears:
        exchange.receive(HostId(name), clock.now, reads=False, knows=False)
    pause_s = copier(exchange, clock, host=HostId(host)).max_retry_pause_s()
    expected_s = MAX_RETRY_PAUSE_S if is_prompt else copying.LONG_RETRY_PAUSE_S
    assert pause_s == expected_s
