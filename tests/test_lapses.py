"""Upstreams whose entry has expired, or was removed, while this host knew nothing of the store."""

import asyncio
import collections.abc as cabc
import contextlib
import pathlib
import signal
import time

import pytest

from cassiawalk.clock import LoopClock
from cassiawalk.http1 import UpstreamConnection
from cassiawalk.ids import Offset
from cassiawalk.ids import UpstreamId
from cassiawalk.platform.health import PlatformInquiry
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.config import RetryRule
from cassiawalk.storeview.config import ServiceConfig
from cassiawalk.storeview.directory import UNANSWERED_S
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.inquiry import UpstreamInquiry
from cassiawalk.storeview.inquiry import UpstreamReport
from cassiawalk.storeview.inquiry import UpstreamState
from cassiawalk.storeview.lapses import KEPT_S
from cassiawalk.storeview.lapses import LapseChecker
from cassiawalk.storeview.outages import STALE_GRACE_S
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration
from standins.platform_fleet import PlatformFleet
from tests.ingress_bed import IngressBed
from tests.ingress_bed import config
from tests.ingress_bed import echo
from tests.ingress_bed import post
from tests.ingress_bed import route
from tests.news_support import callers
from tests.news_support import settled_fleet
from tests.test_directory import ID
from tests.test_directory import SERVICE
from tests.test_directory import entry
from tests.test_directory import ready

OUTAGE_S = 4.0
HOSTS = 5


class _Inquiry(UpstreamInquiry):
    """Answers with the states that tests set, the last one again and again."""

    def __init__(self, *states: UpstreamState) -> None:
        self._states = list(states)
        self.asked = 0

    async def ask(self, registration: Registration, *, path: str) -> UpstreamReport:
        self.asked += 1
        await asyncio.sleep(0.01)
        state = self._states.pop(0) if len(self._states) > 1 else self._states[0]
        return UpstreamReport(state=state)


def _lapsed(inquiry: UpstreamInquiry, *, path: str | None = "/h") -> tuple[Directory, LapseChecker]:
    """Return a directory whose only upstream has just lapsed, and its checker."""
    clock = LoopClock()
    directory = Directory(clock=clock)
    view = ConfigView()
    cfg = config(route(RetryRule.ONCE))
    services = {SERVICE: ServiceConfig(name=SERVICE, max_connections=4, health_path=path)}
    object.__setattr__(cfg, "services", services)
    view.offer(cfg)
    checker = LapseChecker(directory=directory, config=view, inquiry=inquiry, clock=clock)
    directory.put(entry(), Offset(1))
    directory.note_source_recovered()
    directory.remove(ID, Offset(2))
    return directory, checker


@pytest.mark.looptime
async def test_upstream_that_says_that_it_leaves_gets_nothing_more() -> None:
    directory, checker = _lapsed(_Inquiry(UpstreamState.LEAVING))
    await asyncio.sleep(0.05)
    assert directory.upstreams() == []
    await checker.stop()


@pytest.mark.looptime
async def test_upstream_that_says_that_it_serves_is_used_until_its_time_is_over() -> None:
    directory, checker = _lapsed(_Inquiry(UpstreamState.SERVING))
    for _ in range(int(STALE_GRACE_S / 0.1) - 1):
        await asyncio.sleep(0.1)
        assert ready(directory) == [ID]
    await asyncio.sleep(0.6)
    assert directory.upstreams() == []
    await checker.stop()


@pytest.mark.looptime
async def test_upstream_that_leaves_after_its_answer_is_used_no_longer_than_that_allows() -> None:
    inquiry = _Inquiry(UpstreamState.SERVING, UpstreamState.UNKNOWN)
    directory, checker = _lapsed(inquiry)
    await asyncio.sleep(0.05 + KEPT_S - 0.1)
    assert ready(directory) == [ID]
    await asyncio.sleep(0.2)
    assert ready(directory) == []
    await checker.stop()


@pytest.mark.looptime
@pytest.mark.parametrize("path", ["/h", None], ids=["no answer", "no health check"])
async def test_upstream_that_does_not_answer_is_used_shortly(path: str | None) -> None:
    directory, checker = _lapsed(_Inquiry(UpstreamState.UNKNOWN), path=path)
    assert ready(directory) == [ID]
    await asyncio.sleep(UNANSWERED_S + 0.05)
    assert ready(directory) == []
    directory.put(entry(), Offset(3))
    assert ready(directory) == [ID]
    await asyncio.sleep(UNANSWERED_S + 1.0)
    assert ready(directory) == [ID]
    await checker.stop()


@pytest.mark.parametrize(
    ("head", "expected"),
    [
        (b"200 OK\r\nX-Instance-Id: u-1", UpstreamState.SERVING),
        (b"200 OK\r\nX-Instance-Id: u-2", UpstreamState.LEAVING),
        (b"200 OK", UpstreamState.LEAVING),
        (b"503 Leaving\r\nX-Instance-Id: u-1", UpstreamState.LEAVING),
        (b"503 Full\r\nX-Not-Executed: 1", UpstreamState.UNKNOWN),
        (b"", UpstreamState.UNKNOWN),
    ],
)
async def test_answers_of_the_health_check(head: bytes, expected: UpstreamState) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if head:
            writer.write(b"HTTP/1.1 " + head + b"\r\nContent-Length: 0\r\n\r\n")
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        ip, port = server.sockets[0].getsockname()[:2]
        registration = entry(UpstreamId("u-1"), address=f"{ip}:{port}")
        assert (await PlatformInquiry().ask(registration, path="/h")).state is expected


async def test_upstream_whose_address_refuses_connections_is_gone() -> None:
    registration = entry(address="127.0.0.1:9")
    assert (await PlatformInquiry().ask(registration, path="/h")).state is UpstreamState.LEAVING


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> cabc.AsyncIterator[PlatformFleet]:
    async with settled_fleet(tmp_path, upstreams=3, add_hosts=_add_hosts) as running:
        yield running


async def _add_hosts(fleet: PlatformFleet) -> None:
    for _ in range(HOSTS):
        await fleet.add_host()


@pytest.mark.parametrize("leavers", [0, 1])
async def test_entries_that_expire_in_an_outage_for_all_cost_callers_nothing(
    fleet: PlatformFleet, leavers: int
) -> None:
    leaving, staying = fleet.upstreams[:leavers], fleet.upstreams[leavers:]
    fleet.store.refusal = 503
    async with callers(fleet.hosts) as statuses:
        await asyncio.sleep(OUTAGE_S)
        for upstream in leaving:
            await upstream.deregister()
        for upstream in staying:
            await upstream.expire()
        fleet.store.refusal = None
        back_at = time.monotonic()
        await asyncio.sleep(1.8)
        for upstream in staying:
            await upstream.register()
        await asyncio.sleep(2.0)
    assert set(statuses) == {200}
    # Reads are tried again 1.5 s after a failed one at the latest.
    assert not [run for found in leaving for run in found.arrivals if run.at > back_at + 2.0]


@pytest.mark.parametrize("announces", [True, False])
@pytest.mark.parametrize("frozen_s", [1.0, 2.5, 4.0])
async def test_host_that_was_frozen_sends_nothing_to_an_upstream_that_left_meanwhile(
    fleet: PlatformFleet, frozen_s: float, announces: bool
) -> None:
    leaver = fleet.upstreams[0]
    frozen = fleet.hosts[:3]
    for host in frozen:
        host.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(frozen_s / 2)
    await (leaver.register("draining") if announces else leaver.deregister())
    await asyncio.sleep(frozen_s / 2)
    for host in frozen:
        host.process.send_signal(signal.SIGCONT)
    woken_at = time.monotonic()
    async with callers(fleet.hosts) as statuses:
        await asyncio.sleep(4.0)
    assert not [run for run in leaver.arrivals if run.at > woken_at + 1.0]
    assert set(statuses) == {200}


@pytest.mark.parametrize("how", ["leaves", "is gone", "is in doubt"])
async def test_upstream_that_leaves_while_its_connection_is_opened_gets_no_request(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with IngressBed(config(route(RetryRule.ONCE))) as bed:
        leaver = await bed.add(echo, "u-1")
        upstream = bed.directory.upstreams()[0]
        opening, opened = asyncio.Event(), asyncio.Event()
        acquire = upstream.pool.acquire

        async def acquire_late(**_: float) -> UpstreamConnection:
            conn = await acquire()
            opening.set()
            await opened.wait()
            return conn

        monkeypatch.setattr(upstream.pool, "acquire", acquire_late)
        request = asyncio.create_task((await bed.caller()).request(post()))
        await opening.wait()
        other = await bed.add(echo, "u-2", offset=2)
        match how:
            case "leaves":
                bed.register("u-1", leaver.address, offset=3, presence=Presence.LEAVING)
            case "is gone":
                bed.directory.remove(UpstreamId("u-1"), Offset(3))
            case "is in doubt":
                upstream.usable_until = 0.0
        opened.set()
        assert (await request).status == 200
    assert (len(leaver.arrivals), len(other.arrivals)) == (0, 1)
