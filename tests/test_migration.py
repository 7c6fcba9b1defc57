import asyncio
import collections.abc as cabc
import random

import pytest

from cassiawalk.dispatch.migration import MigrationAction
from cassiawalk.dispatch.migration import StreamState
from cassiawalk.dispatch.migration import TransferRates
from cassiawalk.dispatch.migration import finishes_in_place
from cassiawalk.dispatch.migration import plan_migrations
from cassiawalk.ids import RequestId
from cassiawalk.requests import RequestRecord
from tests.upstream_fakes import FakeEngine
from tests.upstream_fakes import Harness

pytestmark = pytest.mark.looptime

FINISH = MigrationAction.FINISH
TRANSFER = MigrationAction.TRANSFER
RECOMPUTE = MigrationAction.RECOMPUTE
# A transfer of 1,000 tokens takes 2.02 s: 0.02 s of overhead, 1 s each for export and import.
RATES = TransferRates(bytes_per_token=1000.0, bytes_per_s=1e6)


def _stream(name: str, context: int, remaining: int, weight: float = 1.0) -> StreamState:
    return StreamState(
        request_id=RequestId(name),
        context_tokens=context,
        remaining_tokens=remaining,
        weight=weight,
    )


@pytest.mark.parametrize(
    ("remaining", "interval_s", "notice_s", "expected"),
    [
        (0, 0.036, 0.5, True),
        (0, 0.036, 0.4, False),
        (100, 0.036, 5.0, True),
        (100, 0.036, 4.9, False),
        (100, 0.036, -1.0, False),
    ],
)
def test_finishing_in_place_requires_a_margin(
    remaining: int, interval_s: float, notice_s: float, expected: bool
) -> None:
    assert finishes_in_place(remaining, interval_s, notice_s) is expected


@pytest.mark.parametrize(
    ("streams", "notice_s", "expected"),
    [
        pytest.param([], 10.0, [], id="nothing"),
        pytest.param([_stream("a", 500, 10)], 10.0, [("a", FINISH)], id="short-finishes"),
        pytest.param([_stream("a", 500, 900)], 10.0, [("a", TRANSFER)], id="long-is-transferred"),
        pytest.param([_stream("a", 500, 900)], 1.0, [("a", RECOMPUTE)], id="notice-too-short"),
        pytest.param([_stream("a", 500, 900)], -3.0, [("a", RECOMPUTE)], id="notice-over"),
        pytest.param([_stream("a", 10, 900)], 10.0, [("a", RECOMPUTE)], id="context-too-small"),
        pytest.param(
            [_stream("small", 400, 900), _stream("large", 1500, 900)],
            4.0,
            [("large", TRANSFER), ("small", RECOMPUTE)],
            id="largest-context-first-while-the-notice-lasts",
        ),
        pytest.param(
            [_stream("large", 4000, 900), _stream("small", 400, 900)],
            4.0,
            [("large", RECOMPUTE), ("small", TRANSFER)],
            id="one-that-does-not-fit-is-passed-over",
        ),
        pytest.param(
            [_stream("cheap", 1500, 900), _stream("expensive", 1500, 900, weight=3.0)],
            4.0,
            [("expensive", TRANSFER), ("cheap", RECOMPUTE)],
            id="weight-decides-between-equals",
        ),
        pytest.param(
            [_stream("dossier", 1500, 900), _stream("quick", 60, 20)],
            4.0,
            [("quick", FINISH), ("dossier", TRANSFER)],
            id="dossier-and-quick-reply-together",
        ),
    ],
)
def test_plan(
    streams: list[StreamState], notice_s: float, expected: list[tuple[str, MigrationAction]]
) -> None:
    decisions = plan_migrations(streams, notice_s=notice_s, token_interval_s=0.036, rates=RATES)
    assert [(item.request_id, item.action) for item in decisions] == expected


EngineSetup = cabc.Callable[[dict[str, FakeEngine]], None]


def _refuses_export(engines: dict[str, FakeEngine]) -> None:
    engines["a"].kv = None


def _refuses_import(engines: dict[str, FakeEngine]) -> None:
    engines["b"].takes_kv = False


def _never_exports(engines: dict[str, FakeEngine]) -> None:
    engines["a"].export_s = 1000.0


def _transfers(engines: dict[str, FakeEngine]) -> None:
    """Leave the engines as they are."""


async def wait_tokens(record: RequestRecord, count: int) -> None:
    """Return once there are more than ``count`` tokens."""
    while record.tokens <= count:
        await record.wait_past(record.answer.end)


@pytest.mark.parametrize(
    ("setup", "with_kv"),
    [
        pytest.param(_transfers, True, id="transfer"),
        pytest.param(_refuses_export, False, id="export-refused"),
        pytest.param(_refuses_import, False, id="import-refused"),
        pytest.param(_never_exports, False, id="export-too-slow"),
    ],
)
async def test_migrated_stream_continues_after_its_last_token(
    setup: EngineSetup, with_kv: bool
) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    setup(harness.engines)
    record = harness.record(prompt="word " * 200, max_tokens=400)
    harness.allow_only("a")
    run = asyncio.create_task(harness.runner.run(record))
    await wait_tokens(record, 20)
    harness.leave("a", notice_s=5.0)
    assert await run is None
    assert record.text == harness.answer(400)
    assert record.tokens == 400
    assert record.retries == 0
    first, second = harness.engines["a"].requests[0], harness.engines["b"].requests[0]
    assert second.attempt == first.attempt + 1
    assert second.resume_tokens >= 20
    assert (second.kv_handle is not None) is with_kv
    assert harness.engines["a"].closed == 1


async def test_old_attempt_continues_while_no_other_upstream_has_a_free_slot() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    record = harness.record(prompt="beds?", max_tokens=100)
    run = asyncio.create_task(harness.runner.run(record))
    await wait_tokens(record, 5)
    harness.leave("a", notice_s=0.1)
    assert await run is None
    assert record.text == harness.answer(100)
    assert record.attempt == 1


async def test_accepted_request_waits_if_all_upstreams_have_left() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    record = harness.record(prompt="beds?", max_tokens=100)
    run = asyncio.create_task(harness.runner.run(record))
    await wait_tokens(record, 5)
    harness.leave("a", notice_s=0.1)
    harness.engines["a"].die()
    await wait_tokens(record, 5)
    await harness.clock.sleep(3.0)
    assert not run.done()
    harness.join("b")
    assert await run is None
    assert record.text == harness.answer(100)
    assert record.retries == 0


async def test_slots_are_released_when_a_migrating_request_is_cancelled() -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    harness.engines["b"].import_s = 1000.0
    harness.allow_only("a")
    record = harness.record(prompt="word " * 200, max_tokens=4000)
    run = asyncio.create_task(harness.runner.run(record))
    await wait_tokens(record, 20)
    harness.leave("a", notice_s=60.0)
    await harness.engines["b"].importing.wait()
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    assert [view.own_running for view in harness.table.all()] == [set(), set()]


async def test_slot_granted_while_its_waiter_is_cancelled_is_released() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    harness.view("a").reserved_for = RequestId("other")
    waiting = asyncio.create_task(harness.scheduler.acquire(harness.record()))
    await asyncio.sleep(0.1)
    harness.allow_all()
    assert harness.view("a").own_running
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert not harness.view("a").own_running
