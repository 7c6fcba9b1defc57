"""What a host takes for known, in lists of several pages, cut reads and copies of copies."""

import asyncio
import collections.abc as cabc
import contextlib
import random
import typing as t

import orjson
import pytest

from cassiawalk.clients import KeyedChanges
from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import ReadFailed
from cassiawalk.ids import Offset
from cassiawalk.platform.registrations import decode_registration
from cassiawalk.platform.store import PlatformStore as StoreClient
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.follow import StreamFollower
from cassiawalk.storeview.followers import ConfigFollower
from cassiawalk.storeview.followers import DirectoryFollower
from cassiawalk.storeview.freshness import Claims
from cassiawalk.storeview.freshness import Freshness
from cassiawalk.storeview.outages import STALE_GRACE_S
from standins.platform import PlatformStore
from tests.fakes import FakeClock
from tests.test_copying import Host
from tests.test_copying import record

PAGE = 3
SEEDS = 150
KEYS = [f"u-{number}" for number in range(8)]


class Store:
    """A keyed stream; ``changes`` is the offset of each key's last change, ``state`` its state."""

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.changes: dict[str, int] = {}
        self.state: dict[str, str | None] = {}

    def write(self, rng: random.Random) -> None:
        """Append a record of any key, mostly a renewal."""
        key = rng.choice(KEYS)
        state = rng.choice([*["ready"] * 5, "draining", None])
        found = record(key, len(self.records), state=state, sequence=len(self.records))
        if state != self.state.get(key):
            self.state[key], self.changes[key] = state, len(self.records)
        self.records.append(found)

    def page(self, after: str) -> tuple[list[KeyedRecord], bool]:
        """Return a page of the list and whether there are more."""
        newest = {found.key: found for found in self.records}
        listed = [
            newest[key] for key in sorted(newest) if key > after and newest[key].value is not None
        ]
        return listed[:PAGE], len(listed) > PAGE


class Reader(Host):
    """A host of a fleet; ``as_of`` is how many records its knowledge is known to cover."""

    def __init__(self, store: Store, clock: FakeClock) -> None:
        super().__init__()
        self.store = store
        self.freshness = Freshness(clock=clock)
        self.claims = Claims(freshness=self.freshness)
        self.pages: list[KeyedRecord] | None = None
        self.end = self.asked = 0
        self.next: int | None = None

    @property
    def as_of(self) -> int:
        """Return how many records of the store are known to hold nothing that is not known."""
        found = self.freshness.now() - self.freshness.age_s
        return 0 if found < 0 else int(found)

    def read_page(self) -> None:
        """Read a page of the list; the first one tells where changes go on."""
        if self.pages is None:
            self.pages, self.end = [], len(self.store.records)
        found, has_more = self.store.page(self.pages[-1].key if self.pages else "")
        self.pages += found
        if has_more:
            return
        batch = KeyedList(records=tuple(self.pages), end=Offset(self.end))
        self._apply(batch, as_of=self.end)
        self.pages = None

    def cut_list(self) -> None:
        """Lose the pages that were read; the list is begun again later."""
        self.pages = None

    def read_changes(self, limit: int) -> None:
        """Read changes; a batch of ``limit`` records may not be complete."""
        assert self.next is not None
        found = self.store.records[self.next : self.next + limit]
        end = self.next + len(found)
        complete = end == len(self.store.records)
        batch = KeyedChanges(records=tuple(found), end=Offset(end), complete=complete)
        self._apply(batch, as_of=end if complete else 0)

    def _apply(self, batch: KeyedList | KeyedChanges, *, as_of: int) -> None:
        self.follower._apply(batch)
        self.next = batch.end
        self.freshness.confirm(float(as_of))
        self.claims.confirm(self.follower.known_through)

    def hear(self, other: "Reader") -> None:
        """Learn from another host's heartbeat how current it is."""
        if not other.is_loaded:
            return
        age_s = other.freshness.age_s
        self.claims.note(t.cast(t.Any, id(other)), other.directory.changed, age_s=age_s)
        self.claims.confirm(self.follower.known_through)

    def copy(self, other: "Reader") -> None:
        """Copy from another host what it knows and this one does not."""
        if other.is_loaded and other.directory.changed > self.follower.known_through:
            self.follower.apply_copy(other.follower.changes_since(self.follower.known_through))
            self.claims.confirm(self.follower.known_through)

    @property
    def is_loaded(self) -> bool:
        return self.directory.loaded

    def assert_knows(self) -> None:
        """Check that nothing below a mark is missing."""
        if not self.is_loaded:
            return
        state = self.state()
        for key, changed in self.store.changes.items():
            if changed > self.directory.changed and changed >= self.as_of:
                continue
            expected = self.store.state[key]
            if expected is None:
                assert key not in state
            else:
                assert state.get(key) is (expected == "draining")


# Guards against a mark "known up to here" below which something is missing: requests went on to
# upstreams that had left between two pages of a starting host's list.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_nothing_is_missing_below_what_a_host_takes_for_known(seed: int) -> None:
    rng = random.Random(seed)
    clock, store = FakeClock(), Store()
    hosts = [Reader(store, clock) for _ in range(5)]
    for _ in range(12):
        store.write(rng)
    for _ in range(400):
        clock.now = float(len(store.records))
        number = rng.randrange(len(hosts))
        host = hosts[number]
        action = rng.random()
        if action < 0.35:
            store.write(rng)
        elif action < 0.38:
            hosts[number] = Reader(store, clock)  # also two at once
        elif action < 0.40:
            host.cut_list()
            host.next = None  # its place in the stream is gone
        elif host.next is None:
            host.read_page()
        elif action < 0.55 and number < 2:
            host.read_changes(limit=rng.choice([1, 2, 1000]))
        elif action < 0.8:
            host.copy(rng.choice(hosts))
        else:
            host.hear(rng.choice(hosts))
        for found in hosts:
            found.assert_knows()


def _entry(number: int, *, state: str = "ready", sequence: int = 1) -> dict[str, t.Any]:
    return {
        "service": "models",
        "address": f"10.0.0.{number}:80",
        "zone": "z",
        "slots": 4,
        "state": state,
        "sequence": sequence,
        "born": 1,
        "version": "v1",
        "cold_remaining_ms": 0,
    }


@contextlib.asynccontextmanager
async def _paged_store() -> cabc.AsyncIterator[tuple[PlatformStore, StoreClient]]:
    """Start a store with two pages of upstreams, and a client."""
    store = PlatformStore()
    store.page_entries = PAGE
    await store.start()
    client = StoreClient(address=store.address)
    for number in range(2 * PAGE):
        await store.put("keyed.servers", f"u-{number}", _entry(number))
    yield store, client
    await client.aclose()
    await store.stop()


async def test_list_ends_where_its_first_page_was_read() -> None:
    async def leave(keys: list[str]) -> None:
        await store.put("keyed.servers", keys[0], _entry(0, state="draining", sequence=2))

    async with _paged_store() as (store, client):
        store.between_pages = leave
        found = await client.newest(stream="keyed.servers")
    assert isinstance(found, KeyedList)
    assert found.end & 0xFFFF == 2 * PAGE
    states = [orjson.loads(entry.value or b"{}")["state"] for entry in found.records]
    assert states == ["ready"] * 2 * PAGE


# Guards against a list of two pages, one of which is of an older copy of the store.
async def test_list_across_the_return_of_an_older_copy_is_a_failure() -> None:
    async def lose(_: list[str]) -> None:
        lost.append(True)

    lost: list[bool] = []
    async with _paged_store() as (store, client):
        store.between_pages = lose
        reading = asyncio.create_task(client.newest(stream="keyed.servers"))
        while not lost:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        store.return_from_copy(age_s=0.0)
        found = await reading
        again = await client.newest(stream="keyed.servers")
    assert isinstance(found, ReadFailed)
    assert isinstance(again, KeyedList)


class _Batches(KeyedLog):
    """Answers reads with the given batches, each after ``delay_s``."""

    def __init__(self, clock: FakeClock, *batches: KeyedList | KeyedChanges) -> None:
        self._clock = clock
        self._batches = list(batches)
        self.delay_s = 0.0
        self.are_read = asyncio.Event()

    async def _next(self) -> KeyedList | KeyedChanges:
        if not self._batches:
            self.are_read.set()
            await asyncio.Event().wait()
        self._clock.now += self.delay_s
        return self._batches.pop(0)

    async def newest(self, *, stream: str) -> KeyedList | ReadFailed:
        return t.cast(KeyedList, await self._next())

    async def changes(
        self, *, stream: str, start: Offset, wait_s: float = 0.0
    ) -> KeyedChanges | ReadFailed:
        return t.cast(KeyedChanges, await self._next())

    async def put(self, *, stream: str, key: str, value: bytes | None) -> bool:
        raise NotImplementedError


OPTIONS = ReadOptions(stream="s", wait_s=0.0, pause_s=0.0)


async def _read_all(follower: StreamFollower, log: _Batches) -> None:
    await follower.start()
    async with asyncio.timeout(5):
        await log.are_read.wait()
    await follower.stop()


# Guards against upstreams that are taken for gone before all renewals have been read.
async def test_entry_whose_renewal_is_in_the_next_batch_is_not_removed() -> None:
    clock = FakeClock()
    directory = Directory(clock=clock)
    rest = KeyedChanges(records=(record("u-1", 10, sequence=2),), end=Offset(11))
    log = _Batches(
        clock,
        KeyedList(records=(record("u-1", 1, sequence=1),), end=Offset(2)),
        KeyedChanges(records=(record("u-1", 2, state=None),), end=Offset(3)),
        KeyedChanges(records=(record("u-2", 3),), end=Offset(4), complete=False),
        rest,
    )
    follower = DirectoryFollower(
        log=log,
        options=OPTIONS,
        decode=decode_registration,
        directory=directory,
        clock=clock,
        rng=random.Random(1),
    )
    gone: list[str] = []
    directory.add_departure_listener(lambda found: gone.append(found.upstream_id))

    def pass_time() -> None:
        if directory.changed == 2:
            clock.now += STALE_GRACE_S + 0.1

    directory.note_source_recovered()
    directory.add_lapse_listener(lambda _: pass_time())
    await _read_all(follower, log)
    assert gone == []
    assert {found.upstream_id for found in directory.upstreams()} == {"u-1", "u-2"}


# Guards against a configuration that counts as confirmed by a read that holds a part of the stream,
# or as of the end of a slow one.
@pytest.mark.parametrize(("complete", "expected"), [(True, 1002.0), (False, 1000.0)])
async def test_configuration_is_confirmed_as_of_the_question(
    complete: bool, expected: float
) -> None:
    clock, view = FakeClock(), ConfigView()
    clock.now = 1000.0
    log = _Batches(
        clock,
        KeyedList(records=(), end=Offset(2)),
        KeyedChanges(records=(record("other", 2),), end=Offset(3), complete=complete),
    )
    log.delay_s = 2.0
    follower = ConfigFollower(
        log=log,
        options=OPTIONS,
        key="config",
        decode=lambda _: t.cast(t.Any, None),
        view=view,
        clock=clock,
        rng=random.Random(1),
    )
    await _read_all(follower, log)
    assert clock.now == 1004.0
    assert view.checked_at == expected


# Guards against upstreams that are taken for gone by knowledge from before they were back.
def test_stale_entry_is_removed_only_by_knowledge_from_after_its_time() -> None:
    host = Host()
    host.follower.apply_record(record("u-1", 1))
    host.directory.note_source_recovered()
    host.follower.apply_record(record("u-1", 2, state=None))
    t.cast(FakeClock, host.directory._clock).now += STALE_GRACE_S + 0.1
    host.directory.remove_stale(age_s=0.2)
    assert host.state() == {"u-1": False}
    host.directory.remove_stale(age_s=0.05)
    assert host.state() == {}
