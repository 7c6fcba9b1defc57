import asyncio
import random

import pytest

from cassiawalk.clients import Interrupted
from cassiawalk.clients import LoadReport
from cassiawalk.clients.engine import InterruptReason
from cassiawalk.control.state import KindMode
from cassiawalk.dispatch.retry import RetryBudget
from cassiawalk.ids import ServiceName
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing import UpstreamState
from tests.upstream_fakes import Harness
from tests.upstream_fakes import entry

pytestmark = pytest.mark.looptime

LOST = Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True)
SILENT = Interrupted(reason=InterruptReason.SILENT, sent=True)
REFUSED = Interrupted(reason=InterruptReason.REFUSED, sent=False)
LEAVING = Interrupted(reason=InterruptReason.LEAVING, sent=False)
REJECTED = Interrupted(reason=InterruptReason.REJECTED, sent=True, detail="status 400")


def _report(measured_s: float) -> LoadReport:
    return LoadReport(slots=8, running=0, waiting=0, measured_s=measured_s)


@pytest.mark.parametrize(
    ("ending", "cut_after", "state", "retries"),
    [
        pytest.param(LOST, 7, UpstreamState.SUSPECT, 1, id="cut"),
        pytest.param(LOST, 0, UpstreamState.SUSPECT, 1, id="cut-before-the-first-token"),
        pytest.param(SILENT, 7, UpstreamState.SUSPECT, 1, id="silent"),
        pytest.param(REFUSED, 0, UpstreamState.SERVING, 1, id="refused"),
        pytest.param(LEAVING, 0, UpstreamState.LEAVING, 0, id="leaving"),
    ],
)
async def test_interrupted_stream_resumes_on_another_upstream(
    ending: Interrupted, cut_after: int, state: UpstreamState, retries: int
) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    harness.engines["a"].ending = ending
    harness.engines["a"].cut_after = cut_after
    harness.allow_only("a")
    record = harness.record(max_tokens=20)
    run = asyncio.create_task(harness.runner.run(record))
    await asyncio.sleep(0)
    harness.allow_all()
    assert await run is None
    assert record.text == harness.answer(20)
    assert harness.engines["b"].requests[0].resume_tokens == cut_after
    assert harness.view("a").state is state
    assert record.retries == retries


async def test_rejected_request_is_not_retried() -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    for engine in harness.engines.values():
        engine.ending, engine.cut_after = REJECTED, 0
    refusal = await harness.runner.run(harness.record())
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.UPSTREAM_REJECTED
    assert sum(len(engine.requests) for engine in harness.engines.values()) == 1


@pytest.mark.parametrize(
    ("mode", "complete"), [(KindMode.MUST_ARRIVE, True), (KindMode.QUICK, False)]
)
async def test_request_without_retry_budget(mode: KindMode, complete: bool) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    budget = RetryBudget(clock=harness.clock, ratio=0.0, burst=1.0, min_retries_per_s=1.0)
    assert budget.take()
    harness.retries._budgets[ServiceName("enquiries")] = budget
    engine = harness.engines["a"]
    engine.ending, engine.cut_after = LOST, 3
    harness.allow_only("a")
    record = harness.record(mode=mode)
    run = asyncio.create_task(harness.runner.run(record))
    await asyncio.sleep(0)
    harness.allow_all()
    refusal = await run
    assert (refusal is None) is complete
    if refusal is not None:
        assert refusal.code is ResultCode.RETRIES_EXHAUSTED
        assert refusal.ran is Execution.RAN


@pytest.mark.parametrize(("ending", "ran"), [(LOST, Execution.RAN), (LEAVING, Execution.NOT_RUN)])
async def test_refusal_at_the_deadline_says_whether_an_attempt_ran(
    ending: Interrupted, ran: Execution
) -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    engine = harness.engines["a"]
    engine.ending, engine.cut_after = ending, 0
    refusal = await harness.runner.run(harness.record(deadline_s=5.0))
    assert refusal is not None
    assert refusal.ran is ran


@pytest.mark.parametrize(
    ("measured_s", "connected_after_s", "expected"),
    [
        pytest.param(11.0, 1.0, UpstreamState.SERVING, id="newer"),
        pytest.param(10.0, 1.0, UpstreamState.SUSPECT, id="measured-before"),
        pytest.param(11.0, -1.0, UpstreamState.SUSPECT, id="connection-opened-before"),
    ],
)
async def test_suspect_serves_again_only_after_a_report_newer_than_its_failure(
    measured_s: float, connected_after_s: float, expected: UpstreamState
) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    view = harness.view("a")
    view.note_report(_report(10.0))
    await harness.clock.sleep(5.0)
    view.fire("note_failure")
    failed_at = harness.clock.monotonic()
    await harness.clock.sleep(2.0)
    view.note_report(_report(measured_s), connected_at=failed_at + connected_after_s)
    assert view.state is expected
    assert view.takes_work is (expected is UpstreamState.SERVING)


@pytest.mark.parametrize(
    ("count", "failed", "usable"),
    [(1, 1, 1), (2, 1, 1), (2, 2, 1), (4, 2, 2), (4, 4, 2), (5, 5, 3), (10, 3, 7), (10, 10, 5)],
)
async def test_ejections_cover_at_most_half_of_a_pool(count: int, failed: int, usable: int) -> None:
    harness = Harness(upstreams=[f"e{index}" for index in range(count)], rng=random.Random(1))
    for view in harness.table.all()[:failed]:
        view.fire("note_failure")
    assert sum(view.takes_work for view in harness.table.all()) == usable


@pytest.mark.parametrize("drained_first", [True, False])
async def test_suspect_takes_work_while_operators_have_drained_the_others(
    drained_first: bool,
) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    if drained_first:
        harness.table.set_drained(frozenset(("a",)))
    harness.view("b").fire("note_failure")
    harness.table.set_drained(frozenset(("a",)))
    assert [view.upstream_id for view in harness.table.all() if view.takes_work] == ["b"]


async def test_id_listed_again_with_a_new_address_is_a_new_upstream() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    old = harness.view("a")
    harness.leave("a", notice_s=5.0)
    assert old.state is UpstreamState.LEAVING
    harness.membership.replace_entries({entry("a").host: entry("a", address="a:2")})
    new = harness.view("a")
    assert (old.state, new.state) == (UpstreamState.GONE, UpstreamState.STARTING)
    assert new.takes_work


async def test_report_does_not_count_own_requests_twice() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    runs = [asyncio.create_task(harness.runner.run(harness.record())) for _ in range(3)]
    await asyncio.sleep(0.01)
    load = harness.view("a").load
    assert load.own == 3
    now = harness.clock.wall()
    harness.view("a").note_report(LoadReport(slots=8, running=4, waiting=0, measured_s=now))
    assert (load.own, load.others) == (3, 1)
    assert await asyncio.gather(*runs) == [None, None, None]
