import asyncio

import pytest

from cassiawalk.caller.attach import UnknownRequest
from cassiawalk.clients.cloud import ReclaimNotice
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import PoolType
from cassiawalk.handover import HandoverOffer
from cassiawalk.handover import sender as sender_module
from cassiawalk.handover.snapshot import take_snapshot
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.membership import LeavingSource
from cassiawalk.requests import Failed
from cassiawalk.requests import RequestState
from cassiawalk.results import ResultCode
from tests.handover_callers import PartialAnswer
from tests.handover_callers import check_complete
from tests.handover_callers import read_from
from tests.handover_callers import read_to_the_end
from tests.handover_callers import until
from tests.handover_hosts import Cluster
from tests.handover_hosts import cluster

pytestmark = pytest.mark.looptime


def reclaim(hosts: Cluster, *names: str, notice_s: float) -> None:
    """Send reclaim notices for hosts; all hosts see them at once."""
    for name in names:
        reclaim_s = hosts.clock.wall() + notice_s
        seq = len(hosts.cloud.given) + 1
        hosts.cloud.given.append(ReclaimNotice(seq=seq, host=HostId(name), reclaim_s=reclaim_s))
    for name in names:
        for host in hosts.hosts.values():
            host.membership.mark_leaving(HostId(name), LeavingSource.CLOUD_NOTICE)


async def test_dossier_goes_on_in_another_failure_domain() -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=400)
        partial = PartialAnswer()
        caller = asyncio.create_task(read_to_the_end(hosts, record, partial, first="a"))
        await until(lambda: record.tokens >= 100)
        reclaim(hosts, "a", notice_s=4.0)
        await until(lambda: record.is_final)
        assert record.answer.handover is not None
        assert record.answer.handover.host in ("c", "d")
        assert hosts.running(record.request_id) == [record.answer.handover.host]
        hosts.kill("a")
        check_complete(await caller, record)


async def test_quick_reply_finishes_in_place_and_the_dossier_moves() -> None:
    async with cluster() as hosts:
        dossier = hosts.submit("a", tokens=1000)
        reply = hosts.submit("a", tokens=20, mode=KindMode.QUICK)
        partials = [PartialAnswer(), PartialAnswer()]
        callers = [
            asyncio.create_task(read_to_the_end(hosts, record, partial, first="a"))
            for record, partial in zip((dossier, reply), partials, strict=True)
        ]
        await until(lambda: reply.tokens >= 3)
        reclaim(hosts, "a", notice_s=4.0)
        await until(lambda: dossier.is_final and reply.is_final)
        assert dossier.state is RequestState.HANDED_OVER
        assert reply.state is RequestState.DONE
        hosts.kill("a")
        for record, caller in zip((dossier, reply), callers, strict=True):
            check_complete(await caller, record)


@pytest.mark.parametrize("fate", ["killed", "reclaimed"])
async def test_target_that_leaves_in_the_middle(fate: str) -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=400)
        caller = asyncio.create_task(read_to_the_end(hosts, record, PartialAnswer(), first="a"))
        await until(lambda: record.tokens >= 50)
        first = hosts.hosts["a"].targets.candidates(record.request_id)[0]
        if fate == "killed":
            hosts.kill(first)
        reclaim(hosts, "a", notice_s=4.0)
        await until(lambda: record.is_final)
        assert record.answer.handover is not None
        target = record.answer.handover.host
        if fate == "killed":
            assert target != first
        else:
            assert target == first
            reclaim(hosts, first, notice_s=2.0)
            moved = hosts.hosts[first].store.get(record.request_id)
            assert moved is not None
            await until(lambda: moved.is_final)
            hosts.kill(first)
        hosts.kill("a")
        check_complete(await caller, record)


async def test_second_wave_during_the_first() -> None:
    async with cluster({"a": "n", "b": "n", "c": "s", "d": "s", "e": "w"}) as hosts:
        records = [hosts.submit(name, tokens=500) for name in "abab"]
        callers = [
            asyncio.create_task(
                read_to_the_end(hosts, rec, PartialAnswer(), first=rec.request_id[-1])
            )
            for rec in records
        ]
        await until(lambda: records[-1].tokens >= 20)
        reclaim(hosts, "a", "b", notice_s=4.0)
        await asyncio.sleep(0.004)
        reclaim(hosts, "c", "d", notice_s=3.0)
        for name in "abcd":
            store = hosts.hosts[name].store
            await until(lambda store=store: not store.unfinished())
        for name in "abcd":
            hosts.kill(name)
        for record, caller in zip(records, callers, strict=True):
            check_complete(await caller, record)


async def test_notice_shorter_than_the_transfer_says_what_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=400)
        caller = asyncio.create_task(read_to_the_end(hosts, record, PartialAnswer(), first="a"))
        await until(lambda: record.tokens >= 50)
        for name in "bcd":
            hosts.faults.dead.add(name)
        reclaim(hosts, "a", notice_s=0.5)
        await until(lambda: record.is_final)
        partial = await caller
        assert isinstance(partial.final, Failed)
        assert partial.final.code is ResultCode.RECLAIMED
        assert partial.final.retry_after_s == 0.0


async def test_lost_acknowledgement_leaves_one_run_and_one_whole_answer() -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=400)
        caller = asyncio.create_task(read_to_the_end(hosts, record, PartialAnswer(), first="a"))
        await until(lambda: record.tokens >= 50)
        first = hosts.hosts["a"].targets.candidates(record.request_id)[0]
        hosts.faults.lose_replies.add((first, HandoverOffer))
        reclaim(hosts, "a", notice_s=8.0)
        await until(lambda: record.is_final)
        assert record.answer.handover is not None and record.answer.handover.host != first
        hosts.kill("a")
        await until(lambda: first in hosts.running(record.request_id))
        target = record.answer.handover.host
        await until(lambda: hosts.running(record.request_id) == [target])
        check_complete(await caller, record)


async def test_reader_of_a_superseded_run_starts_again_where_the_runs_part() -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=600)
        await until(lambda: record.tokens >= 50)
        pool_type = await hosts.hosts["a"].dispatcher.suspend(record)
        assert pool_type is PoolType.ENGINE
        snapshot = take_snapshot(record, pool_type=pool_type, clock=hosts.clock)
        partial = PartialAnswer()
        for fence, name in ((1, "c"), (2, "d")):
            offer = HandoverOffer(sender=HostId("a"), fence=fence, snapshot=snapshot)
            reply = await hosts.hosts[name].handle(offer)
            assert getattr(reply, "accepted", False)
            if name == "c":
                older = asyncio.create_task(read_from(hosts, "c", record, partial))
                await until(lambda: "@c" in partial.text)
        hosts.hosts["a"].dispatcher.mark_handed_over(record, HostId("d"))
        await older
        assert "@c" in partial.text
        await read_to_the_end(hosts, record, partial, first="b")
        check_complete(partial, record)
        assert "@c" not in partial.text
        assert hosts.hosts["d"].store.get(record.request_id) is not None


async def test_attach_waits_during_a_handover() -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=100)
        await until(lambda: record.tokens >= 50)
        pool_type = await hosts.hosts["a"].dispatcher.suspend(record)
        assert pool_type is not None
        caller = asyncio.create_task(read_to_the_end(hosts, record, PartialAnswer(), first="b"))
        await asyncio.sleep(1.0)
        assert not caller.done()
        hosts.hosts["a"].dispatcher.resume(record, pool_type)
        check_complete(await caller, record)


async def test_request_is_found_from_every_host_after_repeated_handovers() -> None:
    async with cluster({"a": "1", "b": "2", "c": "3", "d": "4"}) as hosts:
        record = hosts.submit("a", tokens=2000)
        await until(lambda: record.tokens >= 10)
        holder = "a"
        for _ in range(2):
            reclaim(hosts, holder, notice_s=4.0)
            held = hosts.hosts[holder].store.get(record.request_id)
            assert held is not None
            await until(lambda held=held: held.is_final)
            assert held.answer.handover is not None
            await asyncio.sleep(0.1)
            hosts.kill(holder)
            holder = held.answer.handover.host
        for name in hosts.live():
            partial = PartialAnswer()
            attached = asyncio.create_task(read_from(hosts, name, record, partial))
            await until(lambda partial=partial: len(partial.text) > 0 or partial.final is not None)
            assert partial.final is None
            attached.cancel()


async def test_other_workspace_gets_the_answer_to_an_unknown_id() -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=1000)
        stranger = WorkspaceName("stranger")
        times = []
        details = []
        for request_id in (record.request_id, type(record.request_id)("0-0.a")):
            for name in ("a", "b"):
                begun = hosts.clock.monotonic()
                follow = hosts.hosts[name].attachments.follow(
                    request_id, stranger, after=PartialAnswer().cursor
                )
                items = [item async for item in follow]
                assert len(items) == 1 and isinstance(items[0], UnknownRequest)
                details.append(items[0].detail.replace(request_id, "ID"))
                times.append(round(hosts.clock.monotonic() - begun, 6))
        assert len(set(details)) == 1
        assert times[:2] == times[2:]


async def test_at_most_once_requests_are_never_offered() -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=1000, mode=KindMode.AT_MOST_ONCE)
        await until(lambda: record.tokens >= 10)
        reclaim(hosts, "a", notice_s=2.0)
        await until(lambda: record.is_final)
        assert record.state is RequestState.FAILED
        final = record.events[-1]
        assert isinstance(final, Failed) and final.code is ResultCode.OUTCOME_UNKNOWN
        assert all(hosts.hosts[name].store.get(record.request_id) is None for name in "bcd")


async def test_new_requests_are_refused_as_not_run_while_draining() -> None:
    async with cluster() as hosts:
        hosts.hosts["a"].drain.begin_stop(10.0)
        with pytest.raises(AssertionError):
            hosts.submit("a")
        assert hosts.hosts["a"].store.unfinished() == []


def test_offer_limits_fit_into_a_short_notice() -> None:
    assert sender_module.OFFERS_PER_HOST * sender_module.OFFER_TIMEOUT_S <= 5.0


@pytest.mark.parametrize("stop_first", [True, False])
async def test_earlier_end_of_stop_and_reclaim_counts(stop_first: bool) -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=2000)
        await until(lambda: record.tokens >= 10)
        begun = hosts.clock.monotonic()
        if stop_first:
            hosts.hosts["a"].drain.begin_stop(2.0)
        reclaim(hosts, "a", notice_s=120.0)
        if not stop_first:
            await asyncio.sleep(0.01)
            hosts.hosts["a"].drain.begin_stop(2.0)
        await until(lambda: record.is_final)
        assert record.state is RequestState.HANDED_OVER
        assert hosts.clock.monotonic() - begun < 2.0


async def test_offer_of_a_request_that_was_answered_already_starts_no_second_run() -> None:
    async with cluster() as hosts:
        record = hosts.submit("a", tokens=60)
        await until(lambda: record.tokens >= 50)
        assert await hosts.hosts["a"].dispatcher.suspend(record) is PoolType.ENGINE
        snapshot = take_snapshot(record, pool_type=PoolType.ENGINE, clock=hosts.clock)
        held = []
        for fence in (1, 2):
            offer = HandoverOffer(sender=HostId("a"), fence=fence, snapshot=snapshot)
            reply = await hosts.hosts["c"].handle(offer)
            assert getattr(reply, "accepted", False)
            held.append(hosts.hosts["c"].store.get(record.request_id))
            await until(lambda: held[0].is_final)
        assert held[0] is held[1]
