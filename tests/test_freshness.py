"""How old a host's knowledge of the store gets when other hosts fall silent."""

import asyncio
import math
import random
import typing as t

import pytest

from cassiawalk.clients import KeyedChanges
from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import ReadFailed
from cassiawalk.clock import LoopClock
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeat import PeerView
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.copying import CopyCall
from cassiawalk.storeview.copying import CopyReply
from cassiawalk.storeview.copying import PeerCopier
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.followers import DirectoryFollower
from cassiawalk.storeview.freshness import STALE_AFTER_S
from cassiawalk.storeview.freshness import Claims
from cassiawalk.storeview.freshness import Freshness
from tests.fakes import FakeClock
from tests.fakes import make_heartbeat
from tests.test_copying import UnavailableLog
from tests.test_partial_outage import _decode

HOSTS = [HostId(f"h-{number}") for number in range(4)]
OWN, READERS, OTHER = HOSTS[3], HOSTS[:2], HOSTS[2]
NEWS_OFFSET = Offset(7)
NEWS_LIMIT_S = 2.0  # from the store's acknowledgement
BUSY_MARGIN_S = 0.3  # left for a busy host


def _freshness(clock: FakeClock) -> Freshness:
    return Freshness(clock=clock)


def test_claim_counts_once_this_host_has_what_it_covers() -> None:
    clock = FakeClock()
    freshness = _freshness(clock)
    claims = Claims(freshness=freshness)
    assert math.isinf(freshness.age_s) and freshness.is_stale and freshness.gap_s == 0.0
    claims.note(OTHER, 5, age_s=0.4)
    claims.confirm(4)
    assert math.isinf(freshness.age_s)
    clock.now += 0.1
    claims.confirm(5)
    assert freshness.age_s == pytest.approx(0.5)
    assert not freshness.is_stale


def test_host_without_knowledge_confirms_nothing() -> None:
    clock = FakeClock()
    freshness = _freshness(clock)
    claims = Claims(freshness=freshness)
    claims.note(OTHER, 0, age_s=None)
    claims.confirm(9)
    assert freshness.is_stale


def test_knowledge_passed_round_between_hosts_gets_old_all_the_same() -> None:
    """Guards against hosts that confirm each other in a circle while no host reads the store."""
    clock = FakeClock()
    ages = [_freshness(clock), _freshness(clock)]
    claims = [Claims(freshness=freshness) for freshness in ages]
    ages[0].confirm(ages[0].now())
    for _ in range(40):
        clock.now += 0.1
        for number in (0, 1):
            claims[number].note(HOSTS[1 - number], 3, age_s=ages[1 - number].age_s)
            claims[number].confirm(3)
    assert all(freshness.age_s == pytest.approx(4.0) for freshness in ages)


class _Records(UnavailableLog):
    """A store whose records tests set."""

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = [
            KeyedRecord(key="u-1", value=b"entry", offset=Offset(0)),
        ]
        self.reads = 0
        self.complete = True

    async def newest(self, *, stream: str) -> KeyedList | ReadFailed:
        return KeyedList(records=tuple(self.records), end=Offset(len(self.records)))

    async def changes(
        self, *, stream: str, start: Offset, wait_s: float = 0.0
    ) -> KeyedChanges | ReadFailed:
        self.reads += 1
        if start >= len(self.records):
            await asyncio.sleep(wait_s)
        end = Offset(len(self.records))
        return KeyedChanges(records=tuple(self.records[start:]), end=end, complete=self.complete)


async def _follow(
    log: _Records, *, reads_for_all: bool, for_s: float
) -> tuple[DirectoryFollower, Freshness]:
    clock = LoopClock()
    freshness = Freshness(clock=clock)
    follower = DirectoryFollower(
        log=log,
        options=ReadOptions(
            stream="upstreams",
            wait_s=0.4,
            pause_s=0.1,
            should_read=lambda: reads_for_all,
            must_know=lambda: freshness.is_stale,
            freshness=freshness,
        ),
        decode=_decode,
        directory=Directory(clock=clock),
        clock=clock,
        rng=random.Random(1),
    )
    await follower.start()
    await asyncio.sleep(for_s)
    return follower, freshness


@pytest.mark.looptime
async def test_host_that_nobody_tells_reads_before_its_knowledge_is_too_old() -> None:
    log = _Records()
    follower, freshness = await _follow(log, reads_for_all=False, for_s=0.1)
    oldest = 0.0
    for _ in range(200):
        await asyncio.sleep(0.05)
        oldest = max(oldest, freshness.age_s)
    await follower.stop()
    assert oldest < NEWS_LIMIT_S - BUSY_MARGIN_S
    assert log.reads <= 10 / STALE_AFTER_S + 1


@pytest.mark.looptime
async def test_reader_knows_within_its_wait_that_there_is_nothing_new() -> None:
    follower, freshness = await _follow(_Records(), reads_for_all=True, for_s=3.0)
    assert freshness.age_s <= 0.6
    await follower.stop()


@pytest.mark.looptime
async def test_read_that_returns_only_part_of_the_records_confirms_nothing() -> None:
    log = _Records()
    log.complete = False
    follower, freshness = await _follow(log, reads_for_all=True, for_s=2.5)
    assert freshness.age_s > 2.0
    await follower.stop()


class _Exchange:
    """Heartbeats that tests send."""

    is_hub = True

    def __init__(self, clock: LoopClock) -> None:
        self._clock = clock
        self.peers: dict[HostId, PeerView] = {}

    @property
    def live_hosts(self) -> list[HostId]:
        return list(self.peers)

    def ranking(self) -> list[HostId]:
        return HOSTS

    def hear(self, host: HostId, *, reads: bool) -> Heartbeat:
        heartbeat = make_heartbeat(
            host,
            now_s=self._clock.monotonic(),
            directory=NEWS_OFFSET,
            reads=reads,
            knows=True,
            directory_age_s=0.0,
            config_age_s=0.0,
        )
        self.peers[host] = PeerView(heartbeat=heartbeat, received_at=self._clock.monotonic())
        return heartbeat


class _Links:
    """Links of which those to ``silent`` hosts answer nothing."""

    def __init__(self, silent: list[HostId]) -> None:
        self._silent = silent
        self.asked: list[HostId] = []

    async def call(
        self, host: HostId, message: CopyCall, reply: type[CopyReply], *, timeout_s: float
    ) -> CopyReply | PeerFailure:
        self.asked.append(host)
        if host in self._silent:
            await asyncio.sleep(timeout_s)
            return PeerFailure(reason="silent", sent=True)
        record = KeyedRecord(key="u-9", value=b"entry", offset=NEWS_OFFSET)
        reply_records = (t.cast(t.Any, record),)
        return CopyReply(config=None, records=reply_records, through=NEWS_OFFSET)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(20))
async def test_host_copies_from_one_that_answers_while_others_are_silent(seed: int) -> None:
    """Guards against two waits in a row for hosts that were stopped after they had told of news."""
    clock = LoopClock()
    exchange, links = _Exchange(clock), _Links(READERS)
    directory = Directory(clock=clock)
    freshness = Freshness(clock=clock)
    copier = PeerCopier(
        host=OWN,
        view=ConfigView(),
        directory=directory,
        heartbeats=t.cast(HeartbeatExchange, exchange),
        links=t.cast(PeerLinks, links),
        clock=clock,
        rng=random.Random(seed),
        config_freshness=Freshness(clock=clock),
        directory_freshness=freshness,
        now_s=clock.monotonic,
    )
    follower = DirectoryFollower(
        log=UnavailableLog(),
        options=ReadOptions(stream="upstreams", wait_s=0.2, pause_s=0.3, freshness=freshness),
        decode=_decode,
        directory=directory,
        clock=clock,
        rng=random.Random(seed),
    )
    copier.config_follower = copier.directory_follower = t.cast(t.Any, follower)
    await copier.start()
    for host in READERS:
        copier.note_heartbeat(exchange.hear(host, reads=True))
    await asyncio.sleep(0.4)
    copier.note_heartbeat(exchange.hear(OTHER, reads=False))
    await asyncio.sleep(0.9)
    assert directory.changed == NEWS_OFFSET
    assert OTHER in links.asked
    await copier.stop()
    await follower.stop()
