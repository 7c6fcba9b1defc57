import asyncio

import pytest

from cassiawalk.clients import CallAnswered
from cassiawalk.clients import CallFailed
from cassiawalk.once import Claim
from cassiawalk.once import ClaimDecision
from cassiawalk.once import Unavailable
from cassiawalk.requests import Result
from cassiawalk.results import NOT_RUN_STATUSES
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from tests.once_fakes import Effect
from tests.once_gateway import ANSWER
from tests.once_gateway import DEADLINE_S
from tests.once_gateway import WINDOW_S
from tests.once_gateway import Gateway
from tests.once_gateway import OnceHarness

pytestmark = pytest.mark.looptime

NOT_SENT = CallFailed(reason="connection refused", sent=False)
CUT = CallFailed(reason="connection lost", sent=True)
ERROR = CallAnswered(status=500, body=b"")
NOT_FOUND = CallAnswered(status=404, body=b"")
FOUND = CallAnswered(status=200, body=b'{"found": true}')


def is_refusal(answer: Refusal | Result, code: ResultCode, ran: Execution) -> bool:
    return isinstance(answer, Refusal) and answer.code is code and answer.ran is ran


async def test_repeats_at_several_hosts_at_once_run_once() -> None:
    async with OnceHarness() as harness:
        answers = await asyncio.gather(
            *(gateway.send("k") for gateway in (harness.a, harness.b) for _ in range(4))
        )
    assert harness.service.runs["k"] == 1
    assert any(isinstance(answer, Result) for answer in answers)
    for answer in answers:
        if isinstance(answer, Refusal):
            assert answer.code is ResultCode.IN_PROGRESS
            assert answer.retry_after_s is not None


@pytest.mark.parametrize("finished", [True, False])
async def test_same_key_with_another_body_is_refused(finished: bool) -> None:
    async with OnceHarness() as harness:
        if not finished:
            harness.service.outcomes.append(CUT)
        await harness.a.send("k", body=b'{"bed": 1}')
        again = await harness.b.send("k", body=b'{"bed": 2}')
    assert is_refusal(again, ResultCode.KEY_REUSED, Execution.NOT_RUN)
    assert harness.service.runs["k"] == 1


async def test_repeat_gets_the_recorded_answer() -> None:
    async with OnceHarness() as harness:
        first = await harness.a.send("k")
        again = await harness.b.send("k")
    assert first == Result(status=200, body=ANSWER.body)
    assert again == Result(status=200, body=ANSWER.body, recorded=True)
    assert harness.service.runs["k"] == 1


async def test_log_outage_refuses_at_once_and_leaves_no_pending_records() -> None:
    async with OnceHarness() as harness:
        harness.log.outage = True
        began = harness.clock.monotonic()
        answer = await harness.a.send("k")
        assert harness.clock.monotonic() - began < 0.5
        assert is_refusal(answer, ResultCode.CLAIM_UNAVAILABLE, Execution.NOT_RUN)
        assert isinstance(answer, Refusal)
        assert answer.retry_after_s is not None
        assert harness.a.recorder.pending == []
        harness.log.outage = False
        await asyncio.sleep(2)
        assert isinstance(await harness.b.send("k"), Result)
    assert harness.service.runs["k"] == 1


async def test_outage_between_claim_and_dispatch() -> None:
    async with OnceHarness() as harness:

        async def begin_outage() -> None:
            harness.log.outage = True

        harness.a.scheduler.before_slot = begin_outage
        assert await harness.a.send("k") == Result(status=200, body=ANSWER.body)
        assert len(harness.a.recorder.pending) == 1
        again = await harness.b.send("k")
        assert again == Result(status=200, body=ANSWER.body, recorded=True)
        harness.log.outage = False
        await harness.a.recorder.drain()
        await harness.restart_a()
        assert isinstance(await harness.a.send("k"), Result)
    assert harness.service.runs["k"] == 1


@pytest.mark.parametrize(
    "effects",
    [
        pytest.param([Effect.LOST], id="claim's answer lost"),
        pytest.param([Effect.ANSWERED, Effect.LOST], id="outcome's answer lost"),
        pytest.param([Effect.LATE], id="claim late"),
        pytest.param([Effect.DROPPED, Effect.LOST, Effect.DROPPED, Effect.LOST], id="all lost"),
        pytest.param([Effect.LATE] * 200, id="never decided"),
    ],
)
async def test_lost_log_answers(effects: list[Effect]) -> None:
    async with OnceHarness() as harness:
        harness.log.effects.extend(effects)
        first = await harness.a.send("k")
        ran = harness.service.runs["k"]
        if isinstance(first, Refusal):
            assert is_refusal(first, ResultCode.CLAIM_UNAVAILABLE, Execution.NOT_RUN)
            assert ran == 0
        else:
            assert ran == 1
        harness.log.effects.clear()
        harness.log.deliver_late()
        await asyncio.sleep(10)
        again = await harness.b.send("k")
        assert isinstance(again, Result), again
    assert harness.service.runs["k"] == 1


async def test_call_that_was_not_sent_is_tried_elsewhere_under_its_claim() -> None:
    async with OnceHarness() as harness:
        harness.service.outcomes.extend([NOT_SENT, NOT_SENT])
        assert isinstance(await harness.a.send("k"), Result)
    assert harness.service.runs["k"] == 1


@pytest.mark.parametrize(
    ("outcome", "look_up", "found", "first", "again"),
    [
        pytest.param(CUT, "", FOUND, ResultCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_UNKNOWN),
        pytest.param(
            CUT, "/outcomes", NOT_FOUND, ResultCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_UNKNOWN
        ),
        pytest.param(CUT, "/outcomes", CUT, ResultCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_UNKNOWN),
        pytest.param(CUT, "/outcomes", FOUND, FOUND.body, FOUND.body),
        pytest.param(ERROR, "", FOUND, ResultCode.UPSTREAM_REJECTED, ResultCode.UPSTREAM_REJECTED),
        pytest.param(
            ERROR,
            "/outcomes",
            NOT_FOUND,
            ResultCode.UPSTREAM_REJECTED,
            ResultCode.UPSTREAM_REJECTED,
        ),
        pytest.param(ERROR, "/outcomes", FOUND, FOUND.body, FOUND.body),
        # Guards against a service's "not run" that is told to the caller without a proof.
        *(
            pytest.param(
                CallAnswered(status=status, body=b""),
                "",
                NOT_FOUND,
                ResultCode.UPSTREAM_REJECTED,
                ResultCode.UPSTREAM_REJECTED,
            )
            for status in sorted(NOT_RUN_STATUSES)
        ),
    ],
)
async def test_call_with_unknown_outcome_is_never_sent_again(
    outcome: CallAnswered | CallFailed,
    look_up: str,
    found: CallAnswered | CallFailed,
    first: ResultCode | bytes,
    again: ResultCode | bytes,
) -> None:
    async with OnceHarness(look_up=look_up) as harness:
        harness.service.outcomes.append(outcome)
        harness.service.found = found
        answers = [await harness.a.send("k"), await harness.b.send("k"), await harness.a.send("k")]
    for answer, expected in zip(answers, (first, again, again), strict=True):
        if isinstance(expected, bytes):
            assert isinstance(answer, Result)
            assert answer.body == expected
        else:
            assert is_refusal(answer, expected, Execution.UNKNOWN)
    assert harness.service.runs["k"] == 1
    if look_up:
        assert set(harness.service.look_ups) == {("/outcomes", "family", "k")}


async def crash_while_running(harness: OnceHarness) -> None:
    """Crash the first gateway's process between dispatch and outcome, and restart it."""
    reached = asyncio.Event()

    async def hang() -> None:
        reached.set()
        await asyncio.sleep(3600)

    harness.service.during_run = hang
    call = asyncio.create_task(harness.a.send("k"))
    await reached.wait()
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    await harness.restart_a()


@pytest.mark.parametrize("cut_off", [False, True])
async def test_lost_gateway_leaves_the_outcome_unknown(cut_off: bool) -> None:
    async with OnceHarness() as harness:
        await crash_while_running(harness)
        if cut_off:
            harness.links.cut.add("host-a")
        again = await harness.b.send("k")
    assert is_refusal(again, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN)
    assert isinstance(again, Refusal)
    assert (again.retry_after_s is not None) is cut_off
    assert harness.service.runs["k"] == 1


async def test_held_key_is_never_reported_as_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """The log becomes unavailable between two claims of a key whose request was dispatched."""
    async with OnceHarness() as harness:
        await crash_while_running(harness)
        claim = harness.b.claims.claim
        claims_made = 0

        async def claim_once(wanted: Claim) -> ClaimDecision:
            nonlocal claims_made
            claims_made += 1
            return await claim(wanted) if claims_made == 1 else Unavailable(reason="outage")

        monkeypatch.setattr(harness.b.claims, "claim", claim_once)
        again = await harness.b.send("k")
    assert claims_made == 2
    assert is_refusal(again, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN)
    assert isinstance(again, Refusal)
    assert again.retry_after_s is not None


async def test_outcome_of_a_lost_gateway_is_looked_up_at_the_service() -> None:
    async with OnceHarness(look_up="/outcomes") as harness:
        await crash_while_running(harness)
        assert is_refusal(await harness.b.send("k"), ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN)
        harness.service.found = FOUND
        answer = Result(status=200, body=FOUND.body, recorded=True)
        assert await harness.b.send("k") == answer
        harness.service.found = NOT_FOUND
        assert await harness.a.send("k") == answer
    assert harness.service.runs["k"] == 1


async def test_repeat_of_a_running_request_gets_a_retry_delay() -> None:
    async with OnceHarness() as harness:
        again: list[Refusal | Result] = []

        async def repeat() -> None:
            again.append(await harness.b.send("k"))

        harness.service.during_run = repeat
        await harness.a.send("k")
    assert is_refusal(again[0], ResultCode.IN_PROGRESS, Execution.UNKNOWN)
    assert isinstance(again[0], Refusal)
    assert again[0].retry_after_s == 1.0
    assert harness.service.runs["k"] == 1


async def test_refusal_in_the_queue_frees_the_key() -> None:
    async with OnceHarness() as harness:
        harness.a.scheduler.refusal = Refusal(code=ResultCode.QUEUE_FULL, detail="full")
        refused = await harness.a.send("k")
        assert is_refusal(refused, ResultCode.QUEUE_FULL, Execution.NOT_RUN)
        assert harness.service.runs["k"] == 0
        await harness.a.recorder.drain()
        assert isinstance(await harness.b.send("k"), Result)
    assert harness.service.runs["k"] == 1


async def test_claim_that_was_never_dispatched_is_abandoned_when_its_gateway_is_queried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A late copy of a claim may hold the key although its gateway already refused the request."""
    async with OnceHarness() as harness:
        harness.a.scheduler.refusal = Refusal(code=ResultCode.QUEUE_FULL, detail="full")
        monkeypatch.setattr(harness.a.runner, "_abandon", lambda claim: None)
        await harness.a.send("k")
        asked = await harness.b.send("k")
        assert is_refusal(asked, ResultCode.CLAIM_UNAVAILABLE, Execution.NOT_RUN)
        await harness.a.recorder.drain()
        assert isinstance(await harness.b.send("k"), Result)
    assert harness.service.runs["k"] == 1


@pytest.mark.parametrize(
    ("pause_s", "code"),
    [
        pytest.param(DEADLINE_S + 1, ResultCode.DEADLINE_PASSED_WAITING, id="past the deadline"),
        pytest.param(2 * WINDOW_S, ResultCode.DEADLINE_PASSED_WAITING, id="past the window"),
    ],
)
async def test_paused_gateway_does_not_send_when_it_resumes(
    pause_s: float, code: ResultCode
) -> None:
    async with OnceHarness() as harness:

        async def pause() -> None:
            await asyncio.sleep(pause_s)

        harness.a.scheduler.before_slot = pause
        refused = await harness.a.send("k")
        assert is_refusal(refused, code, Execution.NOT_RUN)
        assert harness.service.runs["k"] == 0
        await harness.a.recorder.drain()
        assert isinstance(await harness.b.send("k"), Result)
    assert harness.service.runs["k"] == 1


@pytest.mark.parametrize("deadline_s", [2 * WINDOW_S])
async def test_claim_older_than_half_the_window_is_abandoned(
    deadline_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.once_gateway.DEADLINE_S", deadline_s)
    async with OnceHarness() as harness:

        async def pause() -> None:
            await asyncio.sleep(WINDOW_S / 2)

        harness.a.scheduler.before_slot = pause
        refused = await harness.a.send("k")
    assert is_refusal(refused, ResultCode.CLAIM_UNAVAILABLE, Execution.NOT_RUN)
    assert harness.service.runs["k"] == 0


async def test_stop_logs_outcomes_that_it_could_not_record(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[dict[str, object]] = []
    monkeypatch.setattr("eliot.log_message", lambda **fields: lines.append(fields))
    async with OnceHarness() as harness:

        async def begin_outage() -> None:
            harness.log.outage = True

        harness.service.during_run = begin_outage
        await harness.a.send("k")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(30):
                await harness.a.recorder.drain()
        await harness.a.recorder.stop()
    found = [line for line in lines if line["message_type"] == "once:unrecorded"]
    assert [(line["key"], line["status"]) for line in found] == [("family/k", 200)]
    assert found[0]["claim_id"]


async def test_plain_key_runs_again_after_the_window() -> None:
    """A key that isn't a version 7 UUID is protected only within the idempotency window."""
    async with OnceHarness() as harness:
        await harness.a.send("k")
        for gateway in (harness.a, harness.b):
            await _claim_in_all_partitions(gateway, "before")
        await asyncio.sleep(2 * WINDOW_S)
        for gateway in (harness.a, harness.b):
            await _claim_in_all_partitions(gateway, "after")
        await harness.b.send("k")
    assert harness.service.runs["k"] == 2


async def _claim_in_all_partitions(gateway: Gateway, tag: str) -> None:
    """Claim keys in all partitions, so that their log times advance."""
    for number in range(200):
        await gateway.send(f"{tag}-{gateway.host}-{number}")


async def test_request_cancelled_before_its_dispatch_frees_the_key() -> None:
    async with OnceHarness() as harness:
        waiting = asyncio.Event()

        async def wait() -> None:
            waiting.set()
            await asyncio.Event().wait()

        harness.a.scheduler.before_slot = wait
        run = asyncio.create_task(harness.a.send("k"))
        await waiting.wait()
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
        await harness.a.recorder.drain()
        again = await harness.b.send("k")
    assert isinstance(again, Result)
    assert harness.service.runs["k"] == 1
