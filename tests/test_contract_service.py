"""The contract of plain services and of the client that calls them."""

import asyncio

import pytest

from cassiawalk.clients import CallAnswered
from cassiawalk.clients import CallFailed
from cassiawalk.clients import ServiceCall
from cassiawalk.clients.service_http import HttpPlainService
from cassiawalk.ids import RequestId
from standins.plain_service import Faults
from standins.plain_service import PlainStandIn
from tests.raw_http import asgi_server
from tests.raw_http import chunked_reply
from tests.raw_http import http_reply
from tests.raw_http import raw_server
from tests.raw_http import unused_address

CONCURRENT_CALLS = 60
HANG_TIMEOUT_S = 10.0


def make_call(key: str = "k", *, workspace: str = "family", timeout_s: float = 20.0) -> ServiceCall:
    return ServiceCall(
        request_id=RequestId("r"),
        path="/holds",
        body=b'{"bed": 1}',
        key=key,
        workspace=workspace,
        timeout_s=timeout_s,
    )


@pytest.mark.parametrize(
    ("reply", "answered"),
    [
        pytest.param(b"", False, id="closed without an answer"),
        pytest.param(None, False, id="no answer in time"),
        pytest.param(http_reply(b"{", length=99), False, id="cut"),
        pytest.param(chunked_reply(b"{", ended=False), False, id="chunk cut at its end"),
        pytest.param(chunked_reply(b"{", ended=False) + b"ff\r\n{", False, id="chunk cut inside"),
        pytest.param(chunked_reply(b"{", ended=False) + b"f", False, id="chunk size cut"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Le", False, id="head cut"),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\n{}", False, id="no length announced"),
        pytest.param(b"garbage\r\n\r\n", False, id="not HTTP"),
        pytest.param(http_reply(b"{}"), True, id="whole"),
        pytest.param(chunked_reply(b"{", b"}"), True, id="whole in chunks"),
    ],
)
async def test_call_is_sent_once_and_only_a_complete_answer_counts(
    reply: bytes | None, answered: bool
) -> None:
    async with raw_server(reply) as server:
        service = HttpPlainService(address=server.address)
        outcome = await service.call(make_call(timeout_s=0.4 if reply is None else 20.0))
    assert len(server.requests) == 1
    if answered:
        assert outcome == CallAnswered(status=200, body=b"{}")
    else:
        assert isinstance(outcome, CallFailed), outcome
        assert outcome.sent is True


@pytest.mark.parametrize("status", [400, 404, 409, 429, 500, 503])
async def test_error_status_is_an_answer(status: int) -> None:
    async with raw_server(http_reply(b"no", status=f"{status} X")) as server:
        outcome = await HttpPlainService(address=server.address).call(make_call())
    assert outcome == CallAnswered(status=status, body=b"no")
    assert len(server.requests) == 1


async def test_call_is_not_sent_if_nothing_listens() -> None:
    outcome = await HttpPlainService(address=unused_address()).call(make_call())
    assert isinstance(outcome, CallFailed)
    assert outcome.sent is False


async def test_each_call_has_a_connection_of_its_own() -> None:
    async with raw_server(http_reply(b"{}"), keep_open=True) as server:
        service = HttpPlainService(address=server.address)
        for _ in range(3):
            assert isinstance(await service.call(make_call()), CallAnswered)
    assert server.connections == 3
    assert all(b"family" in request for request in server.requests)


async def test_sixty_calls_run_concurrently() -> None:
    standin = PlainStandIn(name="plain")
    async with asgi_server(standin.asgi()) as address:
        standin._after_run.set_closed(True)
        service = HttpPlainService(address=address)
        calls = [
            asyncio.create_task(service.call(make_call(f"k{number}")))
            for number in range(CONCURRENT_CALLS)
        ]
        async with asyncio.timeout(HANG_TIMEOUT_S):
            assert await standin._after_run.wait_held(CONCURRENT_CALLS) == CONCURRENT_CALLS
        standin._after_run.set_closed(False)
        outcomes = await asyncio.gather(*calls)
    assert all(isinstance(outcome, CallAnswered) for outcome in outcomes)


@pytest.mark.looptime
async def test_default_timeouts_do_not_cut_a_long_call() -> None:
    async def answer_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(90)
        writer.write(http_reply(b"{}"))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer_late, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    service = HttpPlainService(address=f"127.0.0.1:{port}")
    began = asyncio.get_running_loop().time()
    outcome = await service.call(make_call(timeout_s=300.0))
    assert outcome == CallAnswered(status=200, body=b"{}")
    assert asyncio.get_running_loop().time() - began >= 90
    server.close()


@pytest.mark.parametrize(
    ("faults", "answered", "ran"),
    [
        pytest.param(Faults(), True, True, id="whole"),
        pytest.param(Faults(cut_after_run=1), False, True, id="cut after the run"),
        pytest.param(Faults(cut_after_run=1, cut_chunked=True), False, True, id="chunk cut"),
        pytest.param(Faults(drop_before_answer=1), None, True, id="no answer after the run"),
        pytest.param(Faults(fail_after_run=1), True, True, id="error after the run"),
        pytest.param(Faults(fail_before_run=1), True, False, id="error before the run"),
    ],
)
async def test_look_up_shows_whether_the_call_ran(
    faults: Faults, answered: bool | None, ran: bool
) -> None:
    standin = PlainStandIn(name="plain")
    async with asgi_server(standin.asgi()) as address:
        standin._faults = faults
        service = HttpPlainService(address=address)
        outcome = await service.call(make_call())
        if answered is not None:
            assert isinstance(outcome, CallAnswered) is answered
        found = await service.look_up(path="/outcomes", workspace="family", key="k")
        other = await service.look_up(path="/outcomes", workspace="yard", key="k")
    assert isinstance(found, CallAnswered)
    assert (found.status == 200) is ran
    assert isinstance(other, CallAnswered)
    assert other.status == 404


async def test_look_up_fails_if_nothing_listens() -> None:
    service = HttpPlainService(address=unused_address())
    assert isinstance(
        await service.look_up(path="/outcomes", workspace="family", key="k"), CallFailed
    )
