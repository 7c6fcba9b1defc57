"""The clients of the host list, the cloud API and the load of plain services."""

import asyncio
import collections.abc as cabc
import contextlib
import time
import typing as t

import orjson
import pytest

from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostRole
from cassiawalk.clients import HostState
from cassiawalk.clients.cloud import HostStarted
from cassiawalk.clients.cloud import MachineOffer
from cassiawalk.clients.cloud import StartRefused
from cassiawalk.clients.hosts_http import HttpCloudApi
from cassiawalk.clients.hosts_http import HttpHostList
from cassiawalk.clients.service_http import HttpPlainService
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.wire import to_plain
from standins.cloud import CloudStandIn
from standins.cloud import Faults
from standins.plain_service import PlainStandIn
from tests.contract_servers import Script
from tests.contract_servers import refused_address
from tests.contract_servers import scripted
from tests.contract_servers import served

ENTRY = HostEntry(
    host=HostId("engine-0"),
    role=HostRole.ENGINE,
    failure_domain=FailureDomain("Howrah"),
    address="127.0.0.1:1",
    price=2.5,
    reclaimable=False,
)
OFFER = MachineOffer(
    failure_domain=FailureDomain("Howrah"), machine_class="large", reclaimable=True, price=1.5
)
BAD_BODIES = [
    pytest.param(b"{nonsense", id="bad-json"),
    pytest.param(b"7", id="number"),
    pytest.param(b"[]", id="list"),
    pytest.param(b"{}", id="empty"),
    pytest.param(b'{"hosts": 7, "notices": 7, "offers": 7}', id="not-lists"),
    pytest.param(b'{"hosts": [7], "notices": [7], "offers": [7]}', id="not-maps"),
    pytest.param(b'{"hosts": [{}], "notices": [{}], "offers": [{}]}', id="fields-missing"),
]
INCOMPLETE_ANSWERS = [
    pytest.param([], id="no-answer"),
    pytest.param([b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{"], id="cut"),
    pytest.param([b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n"], id="outage"),
    pytest.param([b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"], id="empty-body"),
    pytest.param([b'HTTP/1.1 200 OK\r\n\r\n{"hosts":[],"notices":[],"offers":[]}'], id="unframed"),
]


class Clients:
    """The clients of one platform address."""

    def __init__(self, address: str) -> None:
        self.hosts = HttpHostList(url=f"http://{address}/")
        self.cloud = HttpCloudApi(url=f"http://{address}/")

    async def aclose(self) -> None:
        await self.hosts.aclose()
        await self.cloud.aclose()


@contextlib.asynccontextmanager
async def _clients(address: str) -> cabc.AsyncIterator[Clients]:
    clients = Clients(address)
    try:
        yield clients
    finally:
        await clients.aclose()


@contextlib.asynccontextmanager
async def _standin() -> cabc.AsyncIterator[tuple[CloudStandIn, Clients]]:
    standin = CloudStandIn()
    async with served(standin.asgi()) as address, _clients(address) as clients:
        yield standin, clients


async def test_listed_host_keeps_all_its_fields() -> None:
    async with _standin() as (standin, clients):
        standin.publish([to_plain(ENTRY)])
        assert await clients.hosts.hosts() == (ENTRY,)


async def test_reclaim_is_a_notice_and_a_leaving_entry() -> None:
    async with _standin() as (standin, clients):
        standin.publish([to_plain(ENTRY)])
        waiting = asyncio.create_task(clients.cloud.notices(after=0, wait_s=5.0))
        reclaim_s = time.time() + 30.0
        standin.give_notice([ENTRY.host], reclaim_s)
        notices = await waiting
        assert notices is not None
        assert [(n.seq, n.host, n.reclaim_s) for n in notices] == [(1, ENTRY.host, reclaim_s)]
        assert await clients.cloud.notices(after=1, wait_s=0.0) == ()
        listed = await clients.hosts.hosts()
        assert listed is not None
        assert listed[0].state is HostState.LEAVING


@pytest.mark.parametrize(
    ("faults", "notices", "state"),
    [
        ({"lose_notices": True}, 0, HostState.LEAVING),
        ({"list_frozen": True}, 1, HostState.LIVE),
    ],
    ids=["notice-lost", "list-lags"],
)
async def test_each_source_may_miss_a_reclaim(
    faults: dict[str, t.Any], notices: int, state: HostState
) -> None:
    async with _standin() as (standin, clients):
        standin.publish([to_plain(ENTRY)])
        standin.apply_faults(Faults(**faults))
        standin.give_notice([ENTRY.host], time.time() + 30.0)
        found = await clients.cloud.notices(after=0, wait_s=0.0)
        listed = await clients.hosts.hosts()
        assert found is not None and listed is not None
        assert (len(found), listed[0].state) == (notices, state)


async def test_started_and_refused_hosts() -> None:
    async with _standin() as (standin, clients):
        assert await clients.cloud.start_host(OFFER) == HostStarted(host=HostId("started-1"))
        standin.apply_faults(Faults(refuse_starts=True))
        assert isinstance(await clients.cloud.start_host(OFFER), StartRefused)


async def test_prices() -> None:
    async with _standin() as (standin, clients):
        assert await clients.cloud.offers() == ()
        standin.offers = [to_plain(OFFER)]
        assert await clients.cloud.offers() == (OFFER,)


@pytest.mark.parametrize("body", BAD_BODIES)
async def test_malformed_answer_is_an_outage(body: bytes) -> None:
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    async with (
        scripted(Script(parts=[head + body])) as server,
        _clients(server.address) as clients,
    ):
        assert await clients.hosts.hosts() is None
        assert await clients.cloud.notices(after=0, wait_s=0.0) is None
        assert await clients.cloud.offers() is None


@pytest.mark.parametrize("script", INCOMPLETE_ANSWERS)
async def test_incomplete_answer_is_an_outage(script: list[bytes]) -> None:
    async with scripted(Script(parts=script)) as server, _clients(server.address) as clients:
        assert await clients.hosts.hosts() is None
        assert await clients.cloud.notices(after=0, wait_s=0.0) is None
        assert await clients.cloud.offers() is None


@pytest.mark.parametrize(
    ("script", "refused"),
    [
        pytest.param([], False, id="lost"),
        pytest.param([b"HTTP/1.1 201 X\r\ncontent-length: 9\r\n\r\n{"], False, id="cut"),
        pytest.param([b"HTTP/1.1 201 X\r\ncontent-length: 2\r\n\r\n{}"], False, id="nameless"),
        pytest.param([b'HTTP/1.1 201 X\r\n\r\n{"host":"h-1'], False, id="unframed"),
        pytest.param([b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n"], True, id="refused"),
    ],
)
async def test_host_may_have_started_if_the_answer_is_lost(
    script: list[bytes], refused: bool
) -> None:
    async with scripted(Script(parts=script)) as server, _clients(server.address) as clients:
        outcome = await clients.cloud.start_host(OFFER)
    assert isinstance(outcome, StartRefused) if refused else outcome is None
    assert server.requests == 1


async def test_refused_connection_is_an_outage() -> None:
    async with _clients(refused_address()) as clients:
        assert await clients.hosts.hosts() is None
        assert await clients.cloud.notices(after=0, wait_s=0.0) is None
        assert await clients.cloud.offers() is None
        assert isinstance(await clients.cloud.start_host(OFFER), StartRefused)


async def test_plain_service_reports_its_load() -> None:
    async with served(PlainStandIn(name="beds").asgi()) as address:
        report = await HttpPlainService(address=address).load()
    assert report is not None
    assert (report.slots, report.running, report.waiting) == (16, 0, 0)
    assert report.measured_s > 0


@pytest.mark.parametrize(
    "answer", [b"{nonsense", b"7", b"{}", orjson.dumps({"slots": None})], ids=repr
)
async def test_malformed_load_is_ignored(answer: bytes) -> None:
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(answer)
    async with scripted(Script(parts=[head + answer])) as server:
        assert await HttpPlainService(address=server.address).load() is None
    assert await HttpPlainService(address=refused_address()).load() is None
