import asyncio
import random

import pytest

from cassiawalk.clients import CallAnswered
from cassiawalk.clients import CallFailed
from cassiawalk.clients import CallOutcome
from cassiawalk.results import NOT_RUN_STATUSES
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing import UpstreamState
from tests.upstream_fakes import Harness

pytestmark = pytest.mark.looptime

OK = CallAnswered(status=200, body=b"{}")
NOT_FOUND = CallAnswered(status=404, body=b"{}")
BROKEN = CallAnswered(status=500, body=b"")
LOST = CallFailed(reason="cut", sent=True)
NOT_SENT = CallFailed(reason="refused", sent=False)


@pytest.mark.parametrize(
    ("outcome", "state", "calls"),
    [
        pytest.param(OK, UpstreamState.SERVING, (1, 0), id="answered"),
        pytest.param(NOT_FOUND, UpstreamState.SERVING, (1, 0), id="answered-with-a-client-error"),
        pytest.param(BROKEN, UpstreamState.SERVING, (1, 1), id="server-error"),
        # Guards against a service's "not run" that is told to the caller without a proof.
        *(
            pytest.param(CallAnswered(status=status, body=b""), UpstreamState.SERVING, (1, 1))
            for status in sorted(NOT_RUN_STATUSES)
        ),
        pytest.param(LOST, UpstreamState.SUSPECT, (1, 1), id="answer-lost"),
        pytest.param(NOT_SENT, UpstreamState.SUSPECT, (1, 1), id="not-sent"),
    ],
)
async def test_failed_idempotent_call_is_repeated_on_another_upstream(
    outcome: CallOutcome, state: UpstreamState, calls: tuple[int, int]
) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    harness.plains["a"].outcomes = [outcome]
    harness.allow_only("a")
    run = asyncio.create_task(harness.call_runner.run(harness.record()))
    await asyncio.sleep(0)
    harness.allow_all()
    assert await run is None
    assert (harness.plains["a"].calls, harness.plains["b"].calls) == calls
    assert harness.view("a").state is state


@pytest.mark.parametrize(
    ("outcome", "code", "ran"),
    [
        (BROKEN, ResultCode.UPSTREAM_REJECTED, Execution.RAN),
        *(
            (
                CallAnswered(status=status, body=b""),
                ResultCode.UPSTREAM_REJECTED,
                Execution.RAN,
            )
            for status in sorted(NOT_RUN_STATUSES)
        ),
        (LOST, ResultCode.RETRIES_EXHAUSTED, Execution.RAN),
        (NOT_SENT, ResultCode.RETRIES_EXHAUSTED, Execution.NOT_RUN),
    ],
)
async def test_refusal_of_a_failed_call_says_whether_it_ran(
    outcome: CallOutcome, code: ResultCode, ran: Execution
) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    for plain in harness.plains.values():
        plain.outcomes = [outcome]
    refusal = await harness.call_runner.run(harness.record())
    assert isinstance(refusal, Refusal)
    assert (refusal.code, refusal.ran) == (code, ran)


async def test_call_at_its_deadline_does_not_make_the_upstream_suspect() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    harness.plains["a"].delay_s = 100.0
    refusal = await harness.call_runner.run(harness.record(deadline_s=2.0))
    assert refusal is not None
    assert (refusal.code, refusal.ran) == (ResultCode.DEADLINE_PASSED_RUNNING, Execution.RAN)
    assert harness.view("a").state is UpstreamState.SERVING


async def test_call_lost_by_a_reclaim_uses_no_retry_budget() -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    harness.plains["a"].outcomes = [LOST]
    harness.plains["a"].delay_s = 1.0
    harness.allow_only("a")
    record = harness.record()
    run = asyncio.create_task(harness.call_runner.run(record))
    await asyncio.sleep(0.5)
    harness.leave("a", notice_s=0.5)
    assert await run is None
    assert (record.retries, harness.plains["b"].calls) == (0, 1)
