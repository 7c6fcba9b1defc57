import asyncio
import dataclasses
import sys

import pytest

from cassiawalk.clients import LogEntry
from cassiawalk.clients.log import ReadOutcome
from cassiawalk.control import CommandPublisher
from cassiawalk.control import ConfigState
from cassiawalk.control import ControlFollower
from cassiawalk.control import Freshness
from cassiawalk.control import fold
from cassiawalk.control.commands import FORMAT_VERSION
from cassiawalk.control.snapshots import SNAPSHOT_STREAM
from cassiawalk.control.snapshots import SnapshotPart
from cassiawalk.control.snapshots import SnapshotStore
from cassiawalk.control.snapshots import snapshot_records
from cassiawalk.ids import Offset
from cassiawalk.results import Execution
from cassiawalk.results import ResultCode
from tests.control_support import ManualClock
from tests.control_support import MemoryLog
from tests.control_support import command
from tests.control_support import command_id
from tests.control_support import op
from tests.relay_support import RelayFleet

SNAPSHOTS = sys.modules[SnapshotStore.__module__]
PUBLISHER = sys.modules[CommandPublisher.__module__]


class SlowLog(MemoryLog):
    """Advances the clock before each reply, as if the process had been suspended."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock
        self.suspended_s = 0.0

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        outcome = await super().read(stream=stream, start=start, limit=limit)
        self.clock.now_s += self.suspended_s
        return outcome


def new_follower(log: MemoryLog, clock: ManualClock) -> ControlFollower:
    return ControlFollower(log=log, clock=clock, staleness_bound_s=20.0, outage_bound_s=100.0)


@pytest.mark.parametrize(
    ("suspended_s", "freshness"), [(19.0, Freshness.FRESH), (21.0, Freshness.STALE)]
)
async def test_age_of_a_reply_to_a_suspended_process_counts_from_its_request(
    suspended_s: float, freshness: Freshness
) -> None:
    clock = ManualClock()
    log = SlowLog(clock)
    follower = new_follower(log, clock)
    await follower.read_log()
    assert follower.freshness is Freshness.FRESH
    log.suspended_s = suspended_s
    await follower.read_log()
    assert follower.freshness is freshness


async def test_failing_listener_does_not_block_later_states() -> None:
    log = MemoryLog()
    follower = new_follower(log, ManualClock())
    seen: list[ConfigState] = []
    follower.add_listener(lambda state: 1 // 0)
    follower.add_listener(seen.append)
    for number in (1, 2):
        log.put_command(command(number, op("put", "drain a")))
        await follower.read_log(wait_s=0)
    assert [state.revision for state in seen] == [1, 2]


async def test_log_that_lost_its_newest_records_confirms_nothing() -> None:
    log, clock = MemoryLog(), ManualClock()
    follower = new_follower(log, clock)
    log.put_command(command(1, op("put", "drain a")))
    await follower.read_log(wait_s=0)
    log.streams["control"].clear()
    clock.now_s += 21
    assert not await follower.read_log(wait_s=0)
    assert follower.freshness is Freshness.STALE
    assert follower.state.revision == 1


async def test_record_of_a_newer_format_takes_the_host_out_of_service() -> None:
    log = MemoryLog()
    follower = new_follower(log, ManualClock())
    log.put_command(command(1, op("put", "drain a")))
    log.put_command(command(2, op("put", "drain b"), version=FORMAT_VERSION + 1))
    log.put_command(command(3, op("put", "drain c")))
    await follower.read_log(wait_s=0)
    assert follower.freshness is Freshness.INCOMPATIBLE
    assert set(follower.state.drains) == {"a"}


async def publish_while_reading(
    log: MemoryLog, follower: ControlFollower, number: int, **options: object
) -> tuple[ResultCode, Execution, str]:
    reader = asyncio.create_task(_read_forever(follower))
    publisher = CommandPublisher(log=log, follower=follower, clock=ManualClock())
    outcome = await publisher.publish(command(number, op("put", "drain a"), **options))
    reader.cancel()
    return outcome.code, outcome.ran, outcome.detail


async def _read_forever(follower: ControlFollower) -> None:
    while True:
        await follower.read_log(wait_s=0.05)
        await asyncio.sleep(0.01)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("lost", "dropped", "outage", "code", "ran", "records"),
    [
        (0, 0, False, ResultCode.COMMAND_ACCEPTED, Execution.RAN, 1),
        (1, 0, False, ResultCode.COMMAND_ACCEPTED, Execution.RAN, 1),
        (0, 1, False, ResultCode.COMMAND_ACCEPTED, Execution.RAN, 1),
        (0, 2, False, ResultCode.COMMAND_ACCEPTED, Execution.RAN, 1),
        (0, 3, False, ResultCode.COMMAND_UNKNOWN, Execution.UNKNOWN, 0),
        (0, 0, True, ResultCode.LOG_UNAVAILABLE, Execution.NOT_RUN, 0),
    ],
)
async def test_publishing_over_a_faulty_log(
    lost: int, dropped: int, outage: bool, code: ResultCode, ran: Execution, records: int
) -> None:
    log = MemoryLog()
    log.lose_answers, log.drop_appends, log.outage = lost, dropped, outage
    follower = new_follower(log, ManualClock())
    assert (await publish_while_reading(log, follower, 1))[:2] == (code, ran)
    assert log.end("control") == records


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("number", "options", "code", "detail"),
    [
        (1, {}, ResultCode.COMMAND_ACCEPTED, "revision 1"),
        (1, {"statement": "another"}, ResultCode.COMMAND_REJECTED, "used before"),
        (2, {"command_id": "plain"}, ResultCode.COMMAND_REJECTED, "version 7"),
        (2, {"command_id": command_id(2 * 3_600_000)}, ResultCode.COMMAND_REJECTED, "ahead"),
        (2, {"expected": 0}, ResultCode.COMMAND_CONFLICT, "by admin"),
    ],
)
async def test_repeated_and_unusable_command_ids(
    number: int, options: dict[str, object], code: ResultCode, detail: str
) -> None:
    log = MemoryLog()
    follower = new_follower(log, ManualClock())
    await publish_while_reading(log, follower, 1)
    found = await publish_while_reading(log, follower, number, **options)
    assert found[0] is code
    assert detail in found[2]


def big_state(through: int) -> ConfigState:
    state = ConfigState()
    names = [f"drain {through}-{n}" for n in range(200)]
    return fold(state, Offset(through), [command(through, *(op("create", x) for x in names))])


async def test_snapshot_in_parts_is_found_despite_faults_and_other_snapshots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SNAPSHOTS, "PART_BYTES", 100)
    log = MemoryLog()
    store = SnapshotStore(log=log)
    state = big_state(9)
    log.lose_answers = 2
    assert await store.publish(state, now_s=1.0)
    assert log.end(SNAPSHOT_STREAM) > 10
    log.drop_appends = 1
    assert await store.publish(big_state(4), now_s=2.0)
    newer = SnapshotPart(
        snapshot_id="n",
        through_offset=Offset(50),
        published_s=3.0,
        index=0,
        count=1,
        data=b"?",
        version=FORMAT_VERSION + 1,
    )
    incomplete = dataclasses.replace(
        newer, snapshot_id="incomplete", count=2, version=FORMAT_VERSION
    )
    for payload in (
        snapshot_records.encode([newer]),
        snapshot_records.encode([incomplete]),
        b"\xff",
    ):
        log.put(SNAPSHOT_STREAM, payload)
    found = await store.find(usable_from=Offset(8))
    assert found is not None
    assert found.state() == state
    assert await store.find(usable_from=Offset(11)) is None
    log.expire(SNAPSHOT_STREAM, 3)
    assert await store.find(usable_from=Offset(8)) is None


@pytest.mark.looptime
async def test_snapshots_are_published_by_count_and_age_only() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(4)
        await asyncio.sleep(30)
        assert fleet.log.end(SNAPSHOT_STREAM) == 0
        fleet.log.put_command(command(1, op("put", "drain a")))
        await asyncio.sleep(30)
        assert fleet.log.end(SNAPSHOT_STREAM) == 1
        await asyncio.sleep(1000)
        assert fleet.log.end(SNAPSHOT_STREAM) == 1
        for number in range(2, 12):
            fleet.log.put_command(command(number, op("put", "drain a")))
        await asyncio.sleep(30)
        assert fleet.log.end(SNAPSHOT_STREAM) == 2
        for node in fleet.nodes.values():
            node.housekeeper._retention_s = 4000.0
        await asyncio.sleep(1100)
        assert fleet.log.end(SNAPSHOT_STREAM) == 3
        fleet.log.expire(SNAPSHOT_STREAM, 2)
        await asyncio.sleep(30)
        assert fleet.log.end(SNAPSHOT_STREAM) == 4


@pytest.mark.looptime
async def test_expired_quarantines_are_removed_by_one_command() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(4)
        await asyncio.sleep(5)
        publisher = fleet.nodes["host-0"].publisher
        now_s = fleet.nodes["host-0"].publisher._clock.wall()
        for name, until_s in (("short", now_s + 30), ("long", now_s + 10_000)):
            put = op("put", f"quarantine {name}", until_s=until_s)
            outcome = await publisher.publish_system(put, reason="crashed two upstreams")
            assert outcome.code is ResultCode.COMMAND_ACCEPTED
        state = fleet.nodes["host-1"].follower.state
        assert state.quarantine("short", now_s=now_s + 29) is not None
        assert state.quarantine("short", now_s=now_s + 31) is None
        await asyncio.sleep(200)
        for node in fleet.nodes.values():
            assert set(node.follower.state.quarantines) == {"long"}
        assert fleet.log.end("control") == 3


async def test_entries_with_a_gap_are_not_folded() -> None:
    log = MemoryLog()
    source, follower = (new_follower(log, ManualClock()) for _ in range(2))
    for number in range(1, 6):
        log.put_command(command(number, op("put", f"drain d{number}")))
    await source.read_log(wait_s=0)
    entries = source.recent.after(Offset(1))
    assert entries is not None
    assert all(isinstance(entry, LogEntry) for entry in entries)
    assert not await follower.apply(entries, after=Offset(1))
    assert follower.state == ConfigState()
