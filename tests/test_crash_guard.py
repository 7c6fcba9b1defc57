import asyncio
import dataclasses
import random

import pytest

from cassiawalk.crashes import Death
from cassiawalk.crashes import DeathLog
from cassiawalk.crashes import IsolationLeaseCall
from cassiawalk.crashes import IsolationLeases
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import HostId
from cassiawalk.ids import KindName
from cassiawalk.ids import RequestId
from cassiawalk.peer import NoteTopic
from cassiawalk.peer import PeerLinks
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from tests.upstream_fakes import Harness

pytestmark = pytest.mark.looptime

Run = asyncio.Task[Refusal | None]


def _start(harness: Harness, record: RequestRecord) -> Run:
    return asyncio.create_task(harness.runner.run(record))


async def _engine_of(harness: Harness, record: RequestRecord, attempt: int) -> str:
    """Return the engine that runs a request's attempt, once the attempt has begun."""
    while True:
        for name, engine in harness.engines.items():
            for req in engine.requests:
                if (req.request_id, req.attempt) == (record.request_id, attempt):
                    return name
        await asyncio.sleep(0.01)


def _death(upstream: str, domain: str, at: float, *running: str) -> Death:
    return Death(
        process=upstream,
        failure_domain=FailureDomain(domain),
        at=at,
        running=frozenset(Fingerprint(name) for name in running),
    )


@pytest.mark.parametrize(
    ("other", "related"),
    [
        pytest.param(_death("b", "north", 14.0, "y"), 1, id="domain-within-seconds"),
        pytest.param(_death("b", "north", 16.0, "y"), 0, id="domain-long-after"),
        pytest.param(_death("b", "south", 10.0, "y"), 0, id="other-domain"),
        pytest.param(_death("a", "north", 11.0, "y"), 0, id="same-upstream-again"),
        pytest.param(_death("b", "north", 11.0, "x"), 0, id="one-request-on-both"),
        pytest.param(_death("b", "north", 11.0), 1, id="nothing-running"),
    ],
)
def test_deaths_explained_by_a_failure_of_the_domain(other: Death, related: int) -> None:
    log = DeathLog()
    log.add(_death("a", "north", 10.0, "x"))
    log.add(other)
    assert len(log.related(other)) == related


async def test_fingerprint_depends_on_service_kind_and_body_only() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    first, again = harness.record(prompt="x"), harness.record(prompt="x")
    again.key = "key"
    other_body, other_kind = harness.record(prompt="y"), harness.record(prompt="x")
    other_kind.kind_name = KindName("quick")
    assert first.fingerprint == again.fingerprint
    assert len({r.fingerprint for r in (first, other_body, other_kind)}) == 3


async def test_request_that_crashes_two_upstreams_is_quarantined() -> None:
    harness = Harness(upstreams=("a", "b", "c"), rng=random.Random(1), domains="nsn")
    record = harness.record(max_tokens=1000)
    run = _start(harness, record)
    first = await _engine_of(harness, record, 1)
    harness.kill(first)
    second = await _engine_of(harness, record, 2)
    assert second != first
    assert harness.view(second).reserved_for == record.request_id
    harness.kill(second)
    refusal = await run
    assert refusal is not None
    assert (refusal.code, refusal.ran) == (ResultCode.CRASHED_UPSTREAM, Execution.RAN)
    again = harness.record(max_tokens=1000)
    refused = harness.guard.refusal(again)
    assert refused is not None
    assert (refused.code, refused.ran) == (ResultCode.QUARANTINED, Execution.NOT_RUN)
    await asyncio.sleep(0)
    assert record.fingerprint in harness.quarantines.ends_s


async def test_quarantine_expires_and_an_operator_may_remove_it() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    record = harness.record()
    fingerprint = record.fingerprint
    now_s = harness.clock.wall()
    for until_s, refused in ((now_s + 60.0, True), (now_s - 1.0, False), (0.0, False)):
        harness.quarantines.ends_s[fingerprint] = until_s
        assert (harness.guard.refusal(record) is not None) is refused


async def test_suspect_request_that_completes_is_cleared() -> None:
    harness = Harness(upstreams=("a", "b", "c"), rng=random.Random(1), domains="nsn")
    harness.allow_only("a")
    records = [harness.record(prompt=f"prompt {i}", max_tokens=100) for i in range(3)]
    tasks = [_start(harness, record) for record in records]
    await asyncio.sleep(0.5)
    harness.allow_all()
    harness.kill("a")
    await asyncio.sleep(0.25)
    assert all(harness.guard.is_suspect(record.fingerprint) for record in records)
    assert await asyncio.gather(*tasks) == [None, None, None]
    assert [record.text for record in records] == [harness.answer(100)] * 3
    await asyncio.sleep(0.1)
    assert not any(harness.guard.is_suspect(record.fingerprint) for record in records)
    assert not harness.quarantines.ends_s
    assert all(view.reserved_for is None for view in harness.table.all())


async def test_suspect_requests_run_in_isolation_one_at_a_time() -> None:
    harness = Harness(upstreams=("a", "b", "c"), rng=random.Random(1), domains="nsn")
    harness.allow_only("a")
    suspects = [harness.record(prompt=f"prompt {i}", max_tokens=100) for i in range(2)]
    tasks = [_start(harness, record) for record in suspects]
    await asyncio.sleep(0.5)
    harness.allow_all()
    harness.kill("a")
    await asyncio.sleep(0.5)
    reserved = [view for view in harness.table.all() if view.reserved_for is not None]
    assert len(reserved) == 1
    others = [harness.record(prompt=f"other {i}") for i in range(4)]
    tasks += [_start(harness, record) for record in others]
    await asyncio.sleep(0.1)
    assert reserved[0].own_running == {reserved[0].reserved_for}
    assert await asyncio.gather(*tasks) == [None] * 6


@pytest.mark.parametrize("when", ["before the death", "after the death"])
async def test_death_of_a_leaving_upstream_makes_no_request_suspect(when: str) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1), domains="ns")
    harness.allow_only("a")
    record = harness.record(max_tokens=200)
    run = _start(harness, record)
    await asyncio.sleep(0.5)
    harness.allow_all()
    if when == "before the death":
        harness.leave("a", notice_s=0.0)
        harness.kill("a")
    else:
        harness.kill("a")
        await asyncio.sleep(0.3)
        harness.leave("a", notice_s=0.0)
    await asyncio.sleep(0.3)
    assert not harness.guard.is_suspect(record.fingerprint)
    assert await run is None
    assert record.text == harness.answer(200)


@pytest.mark.parametrize(
    ("isolated", "suspect"),
    [
        pytest.param((), False, id="domain-failure"),
        pytest.param(("f",), True, id="second-death-of-a-request-that-other-hosts-run"),
    ],
)
async def test_death_in_an_isolated_run_of_another_host_is_no_domain_failure(
    isolated: tuple[str, ...], suspect: bool
) -> None:
    harness = Harness(upstreams=("a", "b", "c"), rng=random.Random(1), domains="nns")
    harness.kill("a")
    await asyncio.sleep(0.5)
    harness.receive_note(NoteTopic.SUSPECT_REQUEST, "f a", ("n", "host-1"))
    harness.receive_note(NoteTopic.ISOLATED_RUN, "b", isolated)
    harness.kill("b")
    await asyncio.sleep(0.5)
    assert harness.guard.is_suspect(Fingerprint("f")) is suspect


async def test_slow_failure_of_a_domain_leaves_no_request_suspect() -> None:
    harness = Harness(upstreams=("a", "b", "c", "d"), rng=random.Random(1), domains="nnss")
    records = [harness.record(prompt=f"prompt {i}", max_tokens=300) for i in range(8)]
    tasks = [_start(harness, record) for record in records]
    await asyncio.sleep(0.5)
    harness.kill("a")
    await asyncio.sleep(1.0)
    assert any(harness.guard.is_suspect(record.fingerprint) for record in records)
    harness.kill("b")
    await asyncio.sleep(0.5)
    assert not any(harness.guard.is_suspect(record.fingerprint) for record in records)
    assert await asyncio.gather(*tasks) == [None] * 8
    assert not harness.quarantines.ends_s


async def test_reclaim_during_the_isolated_run_does_not_quarantine() -> None:
    harness = Harness(upstreams=("a", "b", "c"), rng=random.Random(1), domains="nsn")
    record = harness.record(max_tokens=200)
    run = _start(harness, record)
    harness.kill(await _engine_of(harness, record, 1))
    second = await _engine_of(harness, record, 2)
    harness.leave(second, notice_s=0.0)
    harness.kill(second)
    assert await run is None
    assert record.text == harness.answer(200)
    assert not harness.quarantines.ends_s


async def test_death_under_two_isolated_runs_quarantines_neither() -> None:
    harness = Harness(upstreams=("a", "b", "c"), rng=random.Random(1), domains="nsn")
    record = harness.record(max_tokens=200)
    run = _start(harness, record)
    harness.kill(await _engine_of(harness, record, 1))
    second = await _engine_of(harness, record, 2)
    harness.receive_note(NoteTopic.ISOLATED_RUN, second, ("another suspect",))
    harness.kill(second)
    assert await run is None
    assert record.text == harness.answer(200)
    assert not harness.quarantines.ends_s


async def test_cut_stream_of_a_live_upstream_makes_no_request_suspect() -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1))
    record = harness.record(max_tokens=100)
    run = _start(harness, record)
    name = await _engine_of(harness, record, 1)
    harness.engines[name].die()
    assert await run is None
    assert not harness.note_store.notes()


# Guards against a death that counts for nothing, as the caller had left long before it.
@pytest.mark.parametrize(("runs_for_s", "suspect"), [(15.0, True), (0.0, False)])
async def test_death_counts_against_a_request_as_long_as_it_may_have_run(
    runs_for_s: float, suspect: bool
) -> None:
    harness = Harness(upstreams=("a", "b"), rng=random.Random(1), domains="ns")
    lost, other = harness.record(prompt="x"), harness.record(prompt="y")
    harness.guard.note_lost(lost, harness.view("a"), runs_for_s=runs_for_s)
    await asyncio.sleep(12.0)
    harness.guard.note_lost(other, harness.view("b"))
    harness.guard.note_death(harness.view("a"))
    await asyncio.sleep(1.0)
    assert harness.guard.is_suspect(lost.fingerprint) is suspect
    assert not harness.guard.is_suspect(other.fingerprint)


async def test_lease_is_held_by_one_request_at_a_time() -> None:
    harness = Harness(upstreams=("a",), rng=random.Random(1))
    isolation_leases = IsolationLeases(
        host=HostId("host-0"),
        membership=harness.membership,
        links=PeerLinks(membership=harness.membership, secret="secret"),
        clock=harness.clock,
    )
    first = IsolationLeaseCall(fingerprint=Fingerprint("f"), request_id=RequestId("1"))
    second = dataclasses.replace(first, request_id=RequestId("2"))

    async def granted(call: IsolationLeaseCall) -> bool:
        return (await isolation_leases.request(call)).granted

    assert await granted(first)
    assert not await granted(second)
    assert await granted(first)
    await asyncio.sleep(9.0)
    assert not await granted(second)
    await isolation_leases.request(dataclasses.replace(second, release=True))
    assert not await granted(second)
    await isolation_leases.request(dataclasses.replace(first, release=True))
    assert await granted(second)
    await asyncio.sleep(11.0)
    assert await granted(first)
    await isolation_leases.request(dataclasses.replace(first, release=True, convicted=True))
    reply = await isolation_leases.request(second)
    assert (reply.granted, reply.convicted) == (False, True)


async def test_waiting_suspect_is_refused_once_an_identical_request_is_quarantined() -> None:
    harness = Harness(upstreams=("a", "b", "c", "d"), rng=random.Random(1), domains="nsns")
    identical = [harness.record(max_tokens=1000) for _ in range(2)]
    harness.allow_only("a")
    runs = [_start(harness, record) for record in identical]
    await asyncio.sleep(0.5)
    harness.allow_all()
    harness.kill("a")
    await asyncio.sleep(0.5)
    reserved = [view for view in harness.table.all() if view.reserved_for is not None]
    assert len(reserved) == 1
    harness.kill(reserved[0].upstream_id)
    refusals = await asyncio.gather(*runs)
    assert [r.code for r in refusals if r is not None] == [ResultCode.CRASHED_UPSTREAM] * 2
    assert sum(len(engine.requests) for engine in harness.engines.values()) == 3
