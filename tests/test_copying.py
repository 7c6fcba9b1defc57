"""Hosts that do not read the store learn everything from those that do."""

import asyncio
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
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ingress import copying
from cassiawalk.ingress.config import ConfigView
from cassiawalk.ingress.copying import CopyCall
from cassiawalk.ingress.copying import PeerCopier
from cassiawalk.ingress.directory import Directory
from cassiawalk.ingress.follow import OVERDUE_AFTER_S
from cassiawalk.ingress.follow import DirectoryFollower
from cassiawalk.ingress.follow import ReadOptions
from cassiawalk.ingress.heartbeat import Heartbeat
from cassiawalk.ingress.heartbeat import PeerView
from cassiawalk.ingress.heartbeats import HeartbeatExchange
from cassiawalk.peer import PeerLinks
from cassiawalk.platform.registrations import decode_registration
from tests.fakes import FakeClock

SERVICE = ServiceName("models")


class NoLog(KeyedLog):
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
            log=NoLog(),
            options=ReadOptions(stream="upstreams", wait_s=0.0, pause_s=0.0),
            decode=decode_registration,
            directory=self.directory,
            clock=clock,
            rng=random.Random(1),
        )

    def copy_from(self, other: "Host") -> None:
        if other.directory.changed > self.directory.changed:
            self.follower.apply_copy(other.follower.changes_since(self.directory.changed))

    def state(self) -> dict[str, bool]:
        return {found.upstream_id: found.leaving for found in self.directory.upstreams()}


def record(key: str, offset: int, *, state: str | None = "ready", sequence: int = 0) -> KeyedRecord:
    value = None
    if state is not None:
        entry = {"service": SERVICE, "address": "10.0.0.1:80", "zone": "z", "slots": 4}
        value = orjson.dumps({**entry, "state": state, "sequence": sequence})
    return KeyedRecord(key=key, value=value, offset=Offset(offset))


def test_copy_of_a_copy_misses_nothing() -> None:
    """Seen on a played day: a host sent to a leaving upstream that its source had learnt of."""
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


def test_beats_of_upstreams_are_no_news() -> None:
    reader = Host()
    reader.follower.apply_record(record("u-1", 1))
    for offset in range(2, 50):
        reader.follower.apply_record(record("u-1", offset, sequence=offset))
    assert reader.directory.changed == 1


@pytest.mark.parametrize("seed", range(20))
def test_chain_of_copies_ends_like_the_reader(seed: int) -> None:
    rng = random.Random(seed)
    hosts = [Host() for _ in range(5)]
    reader = hosts[0]
    for offset in range(200):
        key = f"u-{rng.randrange(6)}"
        state = rng.choice(["ready", "ready", "draining", None])
        reader.follower.apply_record(record(key, offset, state=state, sequence=offset))
        if rng.random() < 0.3:
            taker = rng.randrange(1, 5)
            hosts[taker].copy_from(hosts[rng.randrange(5)])
    for taker in range(1, 5):
        hosts[taker].copy_from(hosts[taker - 1])
        assert hosts[taker].state() == reader.state()


class FakeBeats:
    """What a copier sees of the exchange."""

    def __init__(self, *, ranking: list[HostId], is_hub: bool = True) -> None:
        self._ranking = ranking
        self.is_hub = is_hub
        self.peers: dict[HostId, PeerView] = {}

    @property
    def live_hosts(self) -> list[HostId]:
        return list(self.peers)

    def ranking(self) -> list[HostId]:
        return self._ranking

    def hear(self, host: HostId, at: float, *, reads: bool, knows: bool) -> None:
        beat = Heartbeat(
            host=host,
            incarnation="i",
            failure_domain="here",
            peer_address="127.0.0.1:1",
            now_s=at,
            revision=1,
            directory=Offset(1),
            store_ok=True,
            reads=reads,
            knows=knows,
            duty=None,
            leaving=False,
            drawn={},
            use=(),
            reading={},
            usage=(),
        )
        self.peers[host] = PeerView(heartbeat=beat, heard_at=at)


HOSTS = [HostId(f"h-{number}") for number in range(5)]


def copier(beats: FakeBeats, clock: FakeClock, *, host: HostId) -> PeerCopier:
    made = PeerCopier(
        host=host,
        view=ConfigView(),
        directory=Directory(clock=clock),
        heartbeats=t.cast(HeartbeatExchange, beats),
        links=t.cast(PeerLinks, None),
        clock=clock,
        rng=random.Random(1),
    )
    made.config_follower = made.directory_follower = t.cast(t.Any, _Source())
    return made


class _Source:
    source_unavailable = False


def test_host_reads_at_once_when_all_readers_fall_silent() -> None:
    """Seen on a played day: both readers were cut off, and the others waited 2 s to read."""
    clock, beats = FakeClock(), FakeBeats(ranking=HOSTS)
    third = copier(beats, clock, host=HOSTS[2])
    for host in HOSTS[:2]:
        beats.hear(host, clock.now, reads=True, knows=True)
    assert not third.reads_store
    assert third.is_current
    clock.now += 1.1
    assert third.reads_store


def test_host_below_a_hub_trusts_one_that_hears_a_reader() -> None:
    """Seen on a grown day: hosts whose hubs did not read themselves all read the store."""
    clock, beats = FakeClock(), FakeBeats(ranking=HOSTS, is_hub=False)
    below = copier(beats, clock, host=HOSTS[4])
    beats.hear(HOSTS[2], clock.now, reads=False, knows=True)
    assert not below.reads_store
    beats.hear(HOSTS[2], clock.now, reads=False, knows=False)
    assert below.reads_store


def test_hubs_do_not_trust_each_other_in_a_circle() -> None:
    clock, beats = FakeClock(), FakeBeats(ranking=HOSTS)
    hub = copier(beats, clock, host=HOSTS[2])
    beats.hear(HOSTS[3], clock.now, reads=False, knows=True)
    assert hub.reads_store


async def test_reader_whose_source_is_silent_says_so_before_its_read_fails() -> None:
    """Seen on a played day: both readers were cut from the store alone and beat on for 2.6 s."""
    clock = FakeClock()
    reading = asyncio.Event()

    class SilentLog(NoLog):
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


class _ConfigSide:
    """The part of a follower that copies touch."""

    source_unavailable = False

    def __init__(self, raw: bytes | None = None) -> None:
        self.raw = raw
        self.taken: list[bytes] = []

    def changes_since(self, offset: Offset) -> tuple[KeyedRecord, ...]:
        return ()

    def apply_value(self, value: bytes, *, source: str) -> None:
        self.taken.append(value)


def _config_side(raw: bytes | None = None) -> tuple[PeerCopier, _ConfigSide]:
    made = copier(FakeBeats(ranking=HOSTS), FakeClock(), host=HOSTS[0])
    side = _ConfigSide(raw)
    made.config_follower = made.directory_follower = t.cast(t.Any, side)
    return made, side


async def test_configuration_is_copied_in_few_bytes() -> None:
    routes = [{"name": f"r-{number}", "path_prefix": f"/{number}/"} for number in range(300)]
    raw = orjson.dumps({"version": 4, "routes": routes})
    made, _ = _config_side(raw)
    made._revision = lambda: 4  # type: ignore[method-assign]
    reply = await made.handle(CopyCall(revision=3, since=Offset(1)))
    assert reply.config is not None and len(reply.config) < len(raw) / 4
    taker, taken = _config_side()
    taker._apply_config(reply.config, HOSTS[1])
    assert taken.taken == [raw]


@pytest.mark.parametrize("damaged", [b"", b"no stream", zlib.compress(b"x" * 100)[:-3]])
def test_copy_that_can_not_be_read_is_left(damaged: bytes) -> None:
    taker, taken = _config_side()
    taker._apply_config(damaged, HOSTS[1])
    assert taken.taken == []


def test_copy_that_grows_without_end_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copying, "MAX_CONFIG_BYTES", 1000)
    taker, taken = _config_side()
    taker._apply_config(zlib.compress(b"x" * 5000), HOSTS[1])
    assert taken.taken == []
