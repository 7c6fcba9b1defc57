"""Upstreams whose answers end with their connection and that crash, against host processes."""

import asyncio
import collections.abc as cabc
import itertools
import pathlib
import signal
import typing as t

import pytest

from standins.platform import PlatformStore
from standins.platform_fleet import ONCE
from standins.platform_fleet import SAFE
from standins.platform_fleet import STREAM
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import wait_until
from standins.platform_upstream import PlatformUpstream
from standins.unframed_upstream import EVENT_BYTES
from standins.unframed_upstream import Cut
from standins.unframed_upstream import UnframedUpstream
from tests.answer_ends import WatchingCaller
from tests.answer_ends import ends_with_empty_line
from tests.answer_ends import exchange
from tests.crash_callers import CRASH
from tests.crash_callers import MAX_LATE_RETRIES
from tests.crash_callers import CrashCallers

UPSTREAMS = 5
REPEAT_S = 9.0
FROZEN_S = 2.0  # past the end of the streams that are under way
AT_ONCE = 4  # so that every upstream is used
CUT_AT_ONCE = 8
EVENTS = 5
WHOLE = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, EVENTS + 1)
)
CUT_OFFSETS = (0, 3, 7, EVENT_BYTES - 1, EVENT_BYTES, EVENT_BYTES + 4, 2 * EVENT_BYTES - 1)
CUTS = [
    Cut(after_bytes=offset, reset=reset)
    for offset, reset in itertools.product(CUT_OFFSETS, (True, False))
]

REPEAT_WINDOW_S = 1  # a new process has no repeats of the fixed part for so long


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> t.AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path, bounds={"budget_window_s": REPEAT_WINDOW_S}) as running:
        await running.add_host()
        await wait_until(running.hosts[0].ready)
        await asyncio.sleep(REPEAT_WINDOW_S)
        yield running


async def _upstream(fleet: PlatformFleet, **settings: t.Any) -> UnframedUpstream:
    upstream = await fleet.add_unframed_upstream(down_s=0.3, **settings)
    await _until_served(fleet)
    return upstream


async def _until_served(fleet: PlatformFleet) -> None:
    async def served() -> bool:
        got = await exchange(fleet.hosts[0].caller_address, build_request("calm", SAFE))
        return got.status == 200

    await wait_until(served)


async def _until_known(fleet: PlatformFleet, upstream: PlatformUpstream) -> None:
    def joined() -> bool:
        lines = fleet.lines(fleet.hosts[0])
        known = {line["upstream"] for line in lines if line["event"] == "directory:joined"}
        return upstream.upstream_id in known

    await wait_until(joined)


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_whole_answers_that_end_with_their_connection_are_delivered(
    fleet: PlatformFleet, version: bytes
) -> None:
    await _upstream(fleet)
    for path, body in ((ONCE, b"hello"), (SAFE, b"hello"), (STREAM, WHOLE)):
        data = build_request("q", path).replace(b"HTTP/1.1", version)
        got = await exchange(fleet.hosts[0].caller_address, data)
        assert (got.status, got.body, got.looks_complete) == (200, body, True)


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_crash_at_any_byte_of_a_stream_shows(fleet: PlatformFleet, version: bytes) -> None:
    upstream = await _upstream(fleet)
    for number, cut in enumerate(CUTS):
        await _until_served(fleet)
        upstream.cuts.append(cut)
        data = build_request(f"q{number}", STREAM, body=b"%d" % number)
        data = data.replace(b"HTTP/1.1", version)
        got = await exchange(fleet.hosts[0].caller_address, data)
        assert not upstream.cuts
        if got.status == 200:
            assert not got.looks_complete, cut
            assert WHOLE.startswith(got.body) and ends_with_empty_line(got.body)
        else:
            assert (got.status, got.looks_complete) == (502, True), cut


async def test_crash_at_any_byte_of_a_stream_is_resumed_elsewhere(fleet: PlatformFleet) -> None:
    upstream = await _upstream(fleet)
    other = await fleet.add_upstream()
    await _until_known(fleet, other)
    numbers = itertools.count()

    async def stream() -> WatchingCaller:
        name = f"q{next(numbers)}"
        data = build_request(name, STREAM, body=name.encode())
        return await exchange(fleet.hosts[0].caller_address, data)

    for cut in CUTS:
        await wait_until(lambda: upstream.is_up)
        await _until_known(fleet, upstream)
        upstream.cuts.append(cut)
        async with asyncio.timeout(10.0):
            while upstream.cuts:
                for got in await asyncio.gather(*(stream() for _ in range(AT_ONCE))):
                    assert (got.body, got.looks_complete, got.heads) == (WHOLE, True, 1), cut


@pytest.mark.parametrize("cut", [Cut(after_bytes=2, reset=True), Cut(after_bytes=2, reset=False)])
async def test_plain_answer_whose_upstream_crashed_is_no_success(
    fleet: PlatformFleet, cut: Cut
) -> None:
    upstream = await _upstream(fleet)
    upstream.cuts.append(cut)
    got = await exchange(fleet.hosts[0].caller_address, build_request("q", ONCE))
    assert (got.status, upstream.executed_ids.count("q")) == (502, 1)


async def _cut_by(
    fleet: PlatformFleet, trouble: cabc.Callable[[UnframedUpstream], cabc.Awaitable[None]]
) -> list[WatchingCaller]:
    """Return the answers to streams that are under way when something happens."""
    upstream = await _upstream(fleet, event_s=0.3)
    ids = [f"q{number}" for number in range(CUT_AT_ONCE)]
    calls = [
        asyncio.create_task(exchange(fleet.hosts[0].caller_address, build_request(name, STREAM)))
        for name in ids
    ]
    await wait_until(lambda: set(ids) <= set(upstream.executed_ids))
    await asyncio.sleep(0.5)
    await trouble(upstream)
    return await asyncio.gather(*calls)


async def test_streams_of_a_reclaimed_upstream_do_not_end_as_complete(
    fleet: PlatformFleet,
) -> None:
    """Guards against streams that a reclaim cuts and that their callers take for whole (ORDER)."""

    async def reclaim(upstream: UnframedUpstream) -> None:
        await upstream.register("draining")
        await asyncio.sleep(0.3)
        upstream.crash(reset=False)

    for got in await _cut_by(fleet, reclaim):
        assert got.body == WHOLE or not got.looks_complete


# Guards against a new process at the address, also under the id, that answers for the dead one.
@pytest.mark.parametrize("keeps_id", [False, True])
@pytest.mark.parametrize("down_s", [0.1, 0.3, 1.0])
async def test_streams_that_a_crash_cut_while_the_host_was_frozen_do_not_end_as_complete(
    fleet: PlatformFleet, down_s: float, keeps_id: bool
) -> None:
    host = fleet.hosts[0]

    async def crash(upstream: UnframedUpstream) -> None:
        host.process.send_signal(signal.SIGSTOP)
        upstream.down_s = down_s
        upstream.keeps_id = keeps_id
        upstream.crash(reset=False)
        await wait_until(lambda: upstream.is_up)
        host.process.send_signal(signal.SIGCONT)

    for got in await _cut_by(fleet, crash):
        assert got.body == WHOLE or not got.looks_complete


async def test_streams_that_ended_while_the_host_was_frozen_are_whole(
    fleet: PlatformFleet,
) -> None:
    host = fleet.hosts[0]

    async def freeze(_: UnframedUpstream) -> None:
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S)
        host.process.send_signal(signal.SIGCONT)

    for got in await _cut_by(fleet, freeze):
        assert (got.body, got.looks_complete) == (WHOLE, True)


@pytest.mark.parametrize("announces", [True, False])
async def test_whole_answers_of_an_upstream_that_leaves_in_order_are_delivered(
    fleet: PlatformFleet, announces: bool
) -> None:
    async def leave(upstream: UnframedUpstream) -> None:
        await (upstream.register("draining") if announces else upstream.deregister())

    for got in await _cut_by(fleet, leave):
        assert (got.body, got.looks_complete) == (WHOLE, True)


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_stream_that_is_cut_by_the_death_of_the_host_shows(
    fleet: PlatformFleet, version: bytes
) -> None:
    await _upstream(fleet, event_s=0.3)
    data = build_request("q", STREAM).replace(b"HTTP/1.1", version)
    answered = asyncio.create_task(exchange(fleet.hosts[0].caller_address, data))
    await asyncio.sleep(0.5)
    fleet.hosts[0].process.kill()
    got = await answered
    assert got.body and not got.looks_complete


async def test_request_that_crashes_upstreams_after_an_event_is_not_sent_on_after_the_third(
    fleet: PlatformFleet,
) -> None:
    for _ in range(UPSTREAMS):
        await fleet.add_unframed_upstream(dies_after_event_on=CRASH)
    await _until_served(fleet)
    callers = CrashCallers(fleet)
    await callers.repeat_crashing(STREAM, for_s=REPEAT_S)
    assert len(callers.crashes_at()) >= 3
    assert callers.late_retries() <= MAX_LATE_RETRIES


# Guards against a crash that ends with an error of the stand-in, which then goes on listening.
async def test_stand_in_crashes_though_a_connection_has_just_been_closed() -> None:
    upstream = UnframedUpstream(store=PlatformStore(), service="models", down_s=0.05)
    await upstream.start()
    ip, _, port = upstream.address.rpartition(":")
    _, writer = await asyncio.open_connection(ip, int(port))
    connections = upstream._listener.connections
    await wait_until(lambda: connections)
    (conn,) = connections
    conn.abort()
    await wait_until(lambda: not connections)
    connections.add(conn)  # as in the step in which its answer ends
    former_id = upstream.upstream_id
    upstream.crash()
    await wait_until(lambda: upstream.is_up)
    assert upstream.upstream_id != former_id
    writer.close()
    await upstream.stop()
