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
from tests.handover_hosts import running_cluster

pytestmark = pytest.mark.looptime


def reclaim(cluster: Cluster, *names: str, notice_s: float) -> None:
    """Send reclaim notices for hosts; all hosts see them at once."""
    for name in names:
        reclaim_s = cluster.clock.wall() + notice_s
        seq = len(cluster.cloud.sent_notices) + 1
        cluster.cloud.sent_notices.append(
            ReclaimNotice(seq=seq, host=HostId(name), reclaim_s=reclaim_s)
        )
    for name in names:
        for host in cluster.hosts.values():
            host.membership.mark_leaving(HostId(name), LeavingSource.CLOUD_NOTICE)


async def test_stream_continues_in_another_failure_domain() -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=400)
        partial = PartialAnswer()
        caller = asyncio.create_task(read_to_the_end(cluster, record, partial, first="a"))
        await until(lambda: record.tokens >= 100)
        reclaim(cluster, "a", notice_s=4.0)
        await until(lambda: record.is_final)
        assert record.answer.handover is not None
        assert record.answer.handover.host in ("c", "d")
        assert cluster.running(record.request_id) == [record.answer.handover.host]
        cluster.kill("a")
        check_complete(await caller, record)


async def test_short_stream_finishes_in_place_and_long_one_is_handed_over() -> None:
    async with running_cluster() as cluster:
        dossier = cluster.submit("a", tokens=1000)
        reply = cluster.submit("a", tokens=20, mode=KindMode.QUICK)
        partials = [PartialAnswer(), PartialAnswer()]
        callers = [
            asyncio.create_task(read_to_the_end(cluster, record, partial, first="a"))
            for record, partial in zip((dossier, reply), partials, strict=True)
        ]
        await until(lambda: reply.tokens >= 3)
        reclaim(cluster, "a", notice_s=4.0)
        await until(lambda: dossier.is_final and reply.is_final)
        assert dossier.state is RequestState.HANDED_OVER
        assert reply.state is RequestState.DONE
        cluster.kill("a")
        for record, caller in zip((dossier, reply), callers, strict=True):
            check_complete(await caller, record)


@pytest.mark.parametrize("event", ["killed", "reclaimed"])
async def test_target_killed_before_or_reclaimed_after_the_handover(event: str) -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=400)
        caller = asyncio.create_task(read_to_the_end(cluster, record, PartialAnswer(), first="a"))
        await until(lambda: record.tokens >= 50)
        first = cluster.hosts["a"].targets.candidates(record.request_id)[0]
        if event == "killed":
            cluster.kill(first)
        reclaim(cluster, "a", notice_s=4.0)
        await until(lambda: record.is_final)
        assert record.answer.handover is not None
        target = record.answer.handover.host
        if event == "killed":
            assert target != first
        else:
            assert target == first
            reclaim(cluster, first, notice_s=2.0)
            moved = cluster.hosts[first].store.get(record.request_id)
            assert moved is not None
            await until(lambda: moved.is_final)
            cluster.kill(first)
        cluster.kill("a")
        check_complete(await caller, record)


async def test_second_reclaim_during_the_first() -> None:
    async with running_cluster({"a": "n", "b": "n", "c": "s", "d": "s", "e": "w"}) as cluster:
        records = [cluster.submit(name, tokens=500) for name in "abab"]
        callers = [
            asyncio.create_task(
                read_to_the_end(cluster, rec, PartialAnswer(), first=rec.request_id[-1])
            )
            for rec in records
        ]
        await until(lambda: records[-1].tokens >= 20)
        reclaim(cluster, "a", "b", notice_s=4.0)
        await asyncio.sleep(0.004)
        reclaim(cluster, "c", "d", notice_s=3.0)
        for name in "abcd":
            store = cluster.hosts[name].store
            await until(lambda store=store: not store.unfinished())
        for name in "abcd":
            cluster.kill(name)
        for record, caller in zip(records, callers, strict=True):
            check_complete(await caller, record)


async def test_request_that_no_host_takes_over_in_time_fails_as_reclaimed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=400)
        caller = asyncio.create_task(read_to_the_end(cluster, record, PartialAnswer(), first="a"))
        await until(lambda: record.tokens >= 50)
        for name in "bcd":
            cluster.faults.dead.add(name)
        reclaim(cluster, "a", notice_s=0.5)
        await until(lambda: record.is_final)
        partial = await caller
        assert isinstance(partial.final, Failed)
        assert partial.final.code is ResultCode.RECLAIMED
        assert partial.final.retry_after_s == 0.0


async def test_lost_acknowledgement_leaves_one_run_and_one_whole_answer() -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=400)
        caller = asyncio.create_task(read_to_the_end(cluster, record, PartialAnswer(), first="a"))
        await until(lambda: record.tokens >= 50)
        first = cluster.hosts["a"].targets.candidates(record.request_id)[0]
        cluster.faults.lose_replies.add((first, HandoverOffer))
        reclaim(cluster, "a", notice_s=8.0)
        await until(lambda: record.is_final)
        assert record.answer.handover is not None and record.answer.handover.host != first
        cluster.kill("a")
        await until(lambda: first in cluster.running(record.request_id))
        target = record.answer.handover.host
        await until(lambda: cluster.running(record.request_id) == [target])
        check_complete(await caller, record)


async def test_reader_of_a_superseded_run_rewinds_to_where_the_runs_diverge() -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=600)
        await until(lambda: record.tokens >= 50)
        pool_type = await cluster.hosts["a"].dispatcher.suspend(record)
        assert pool_type is PoolType.ENGINE
        snapshot = take_snapshot(record, pool_type=pool_type, clock=cluster.clock)
        partial = PartialAnswer()
        for fence, name in ((1, "c"), (2, "d")):
            offer = HandoverOffer(sender=HostId("a"), fence=fence, snapshot=snapshot)
            reply = await cluster.hosts[name].handle(offer)
            assert getattr(reply, "accepted", False)
            if name == "c":
                older = asyncio.create_task(read_from(cluster, "c", record, partial))
                await until(lambda: "@c" in partial.text)
        cluster.hosts["a"].dispatcher.mark_handed_over(record, HostId("d"))
        await older
        assert "@c" in partial.text
        await read_to_the_end(cluster, record, partial, first="b")
        check_complete(partial, record)
        assert "@c" not in partial.text
        assert cluster.hosts["d"].store.get(record.request_id) is not None


async def test_attach_waits_during_a_handover() -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=100)
        await until(lambda: record.tokens >= 50)
        pool_type = await cluster.hosts["a"].dispatcher.suspend(record)
        assert pool_type is not None
        caller = asyncio.create_task(read_to_the_end(cluster, record, PartialAnswer(), first="b"))
        await asyncio.sleep(1.0)
        assert not caller.done()
        cluster.hosts["a"].dispatcher.resume(record, pool_type)
        check_complete(await caller, record)


async def test_request_is_found_from_every_host_after_repeated_handovers() -> None:
    async with running_cluster({"a": "1", "b": "2", "c": "3", "d": "4"}) as cluster:
        record = cluster.submit("a", tokens=2000)
        await until(lambda: record.tokens >= 10)
        holder = "a"
        for _ in range(2):
            reclaim(cluster, holder, notice_s=4.0)
            held = cluster.hosts[holder].store.get(record.request_id)
            assert held is not None
            await until(lambda held=held: held.is_final)
            assert held.answer.handover is not None
            await asyncio.sleep(0.1)
            cluster.kill(holder)
            holder = held.answer.handover.host
        for name in cluster.live():
            partial = PartialAnswer()
            attached = asyncio.create_task(read_from(cluster, name, record, partial))
            await until(lambda partial=partial: len(partial.text) > 0 or partial.final is not None)
            assert partial.final is None
            attached.cancel()


async def test_other_workspace_gets_the_answer_to_an_unknown_id() -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=1000)
        stranger = WorkspaceName("stranger")
        times = []
        details = []
        for request_id in (record.request_id, type(record.request_id)("0-0.a")):
            for name in ("a", "b"):
                begun = cluster.clock.monotonic()
                follow = cluster.hosts[name].attachments.follow(
                    request_id, stranger, after=PartialAnswer().cursor
                )
                items = [item async for item in follow]
                assert len(items) == 1 and isinstance(items[0], UnknownRequest)
                details.append(items[0].detail.replace(request_id, "ID"))
                times.append(round(cluster.clock.monotonic() - begun, 6))
        assert len(set(details)) == 1
        assert times[:2] == times[2:]


async def test_at_most_once_requests_are_never_offered() -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=1000, mode=KindMode.AT_MOST_ONCE)
        await until(lambda: record.tokens >= 10)
        reclaim(cluster, "a", notice_s=2.0)
        await until(lambda: record.is_final)
        assert record.state is RequestState.FAILED
        final = record.events[-1]
        assert isinstance(final, Failed) and final.code is ResultCode.OUTCOME_UNKNOWN
        assert all(cluster.hosts[name].store.get(record.request_id) is None for name in "bcd")


async def test_new_requests_are_refused_as_not_run_while_draining() -> None:
    async with running_cluster() as cluster:
        cluster.hosts["a"].drain.begin_stop(10.0)
        with pytest.raises(AssertionError):
            cluster.submit("a")
        assert cluster.hosts["a"].store.unfinished() == []


def test_offer_limits_fit_into_a_short_notice() -> None:
    assert sender_module.OFFERS_PER_HOST * sender_module.OFFER_TIMEOUT_S <= 5.0


@pytest.mark.parametrize("stop_first", [True, False])
async def test_earlier_end_of_stop_and_reclaim_counts(stop_first: bool) -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=2000)
        await until(lambda: record.tokens >= 10)
        begun = cluster.clock.monotonic()
        if stop_first:
            cluster.hosts["a"].drain.begin_stop(2.0)
        reclaim(cluster, "a", notice_s=120.0)
        if not stop_first:
            await asyncio.sleep(0.01)
            cluster.hosts["a"].drain.begin_stop(2.0)
        await until(lambda: record.is_final)
        assert record.state is RequestState.HANDED_OVER
        assert cluster.clock.monotonic() - begun < 2.0


async def test_offer_of_a_request_that_was_answered_already_starts_no_second_run() -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=60)
        await until(lambda: record.tokens >= 50)
        assert await cluster.hosts["a"].dispatcher.suspend(record) is PoolType.ENGINE
        snapshot = take_snapshot(record, pool_type=PoolType.ENGINE, clock=cluster.clock)
        held = []
        for fence in (1, 2):
            offer = HandoverOffer(sender=HostId("a"), fence=fence, snapshot=snapshot)
            reply = await cluster.hosts["c"].handle(offer)
            assert getattr(reply, "accepted", False)
            held.append(cluster.hosts["c"].store.get(record.request_id))
            await until(lambda: held[0].is_final)
        assert held[0] is held[1]
