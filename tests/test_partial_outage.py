"""Upstreams that leave while the store turns a single host away, or is away for all."""

import asyncio
import random

import pytest

from cassiawalk.clients import KeyedChanges
from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import ReadFailed
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.followers import DirectoryFollower
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration
from tests.fakes import FakeClock

SERVICE = ServiceName("models")
LEAVER, STAYER = "u-1", "u-2"


def _decode(key: str, value: bytes) -> Registration:
    return Registration(
        upstream_id=UpstreamId(key),
        service=SERVICE,
        address=f"{key}:1",
        failure_domain=FailureDomain("here"),
        slots=4,
        presence=Presence.READY,
        started_ms=1,
    )


class PartialLog(KeyedLog):
    """Refuses reads for ``outage_s`` after the first one, while ``meanwhile`` is appended."""

    def __init__(self, clock: FakeClock, outage_s: float) -> None:
        self._clock = clock
        self._ends_at = clock.now + outage_s
        self.records: list[KeyedRecord] = []
        self.meanwhile: list[tuple[str, bytes | None]] = []

    def append(self, key: str, value: bytes | None = b"entry") -> None:
        self.records.append(KeyedRecord(key=key, value=value, offset=Offset(len(self.records))))

    async def newest(self, *, stream: str) -> KeyedList | ReadFailed:
        listed = KeyedList(records=tuple(self.records), end=Offset(len(self.records)))
        for key, value in self.meanwhile:
            self.append(key, value)
        return listed

    async def changes(
        self, *, stream: str, start: Offset, wait_s: float = 0.0
    ) -> KeyedChanges | ReadFailed:
        if self._clock.now < self._ends_at:
            return ReadFailed(reason="503", service_outage=True)
        if start == len(self.records):
            await asyncio.Event().wait()
        end = Offset(len(self.records))
        return KeyedChanges(records=tuple(self.records[start:]), end=end)

    async def put(self, *, stream: str, key: str, value: bytes | None) -> bool:
        raise NotImplementedError


async def _upstreams_after(outage_s: float, *, leaver: int, stayer: int) -> list[str]:
    """Return the upstreams that take work when an outage has ended in which one entry was removed.

    :param leaver: how often its upstream had renewed this entry before.
    :param stayer: how often the other upstream had renewed its own.
    """
    clock = FakeClock()
    log = PartialLog(clock, outage_s)
    log.append(LEAVER)
    log.append(STAYER)
    log.meanwhile = [(STAYER, b"entry")] * stayer
    log.meanwhile += [*[(LEAVER, b"entry")] * leaver, (LEAVER, None)]
    directory = Directory(clock=clock)
    follower = DirectoryFollower(
        log=log,
        options=ReadOptions(stream="upstreams", wait_s=0.2, pause_s=0.0),
        decode=_decode,
        directory=directory,
        clock=clock,
        rng=random.Random(1),
    )
    await follower.start()
    for _ in range(20):
        await asyncio.sleep(0)
    await follower.stop()
    return [found.upstream_id for found in directory.available_for(SERVICE)]


@pytest.mark.parametrize(
    ("outage_s", "leaver", "stayer"),
    [
        pytest.param(7.0, 7, 7, id="long"),
        pytest.param(7.0, 1, 7, id="long, the leaver joined late"),
        pytest.param(2.0, 2, 2, id="short"),
    ],
)
async def test_upstream_that_left_while_one_host_was_turned_away_gets_no_request(
    outage_s: float, leaver: int, stayer: int
) -> None:
    assert await _upstreams_after(outage_s, leaver=leaver, stayer=stayer) == [STAYER]


@pytest.mark.parametrize(("leaver", "stayer"), [(0, 0), (1, 1), (0, 3)])
async def test_entry_that_expired_in_an_outage_for_all_is_kept(leaver: int, stayer: int) -> None:
    assert await _upstreams_after(7.0, leaver=leaver, stayer=stayer) == [LEAVER, STAYER]
