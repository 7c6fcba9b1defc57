"""Upstreams whose answers bear a status that HTTP does not have."""

import asyncio
import contextlib
import json
import typing as t

import pytest

from cassiawalk.clients.engine import EngineRequest
from cassiawalk.clients.engine import Interrupted
from cassiawalk.clients.engine_http import HttpEngine
from cassiawalk.clients.service import CallFailed
from cassiawalk.clients.service import ServiceCall
from cassiawalk.clients.service_http import HttpPlainService
from cassiawalk.http1 import CallError
from cassiawalk.http1 import HttpClient
from cassiawalk.ids import RequestId
from cassiawalk.storeview.config import RetryRule
from tests.answer_ends import call
from tests.ingress_bed import IngressBed
from tests.ingress_bed import Script
from tests.ingress_bed import UpstreamSide
from tests.ingress_bed import answer
from tests.ingress_bed import config
from tests.ingress_bed import echo
from tests.ingress_bed import post
from tests.ingress_bed import route

STATUSES = [b"000", b"001", b"099", b"600", b"999", b"20", b"2", b"2000", b"0200", b"abc", b"-20"]


def _answering(status: bytes, *, kept: bool) -> Script:
    async def script(side: UpstreamSide) -> None:
        if kept:
            arrival = await side.take()
            side.write(answer(arrival.request_id, more=b"Content-Type: text/plain\r\n"))
        arrival = await side.take()
        side.write(answer(arrival.request_id, status=status + b" Trouble"))
        await asyncio.sleep(0.3)

    return script


# Guards against bytes that are no answer in the protocol, passed on as an upstream's answer.
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("rule", [RetryRule.ONCE, RetryRule.STREAM_ONCE])
@pytest.mark.parametrize("status", STATUSES)
async def test_answer_with_a_status_that_http_does_not_have_is_a_lost_one(
    status: bytes, rule: RetryRule, kept: bool
) -> None:
    async with IngressBed(config(route(rule))) as bed:
        upstream = await bed.add(_answering(status, kept=kept))
        if kept:
            assert (await call(bed, post(b"q0"))).status == 200
        got = await call(bed, post(b"q1"))
    assert (got.status, json.loads(got.body)["ran"]) == (502, "unknown")
    assert len(upstream.arrivals) == 1 + kept


@pytest.mark.parametrize("status", STATUSES)
async def test_request_that_may_run_again_goes_to_another_upstream(status: bytes) -> None:
    async with IngressBed(config(route(RetryRule.REPEATABLE))) as bed:
        await bed.add(_answering(status, kept=False), "u-1")
        await bed.add(echo, "u-2")
        for number in range(4):
            got = await call(bed, post(b"q%d" % number, b"own"))
            assert (got.status, got.body) == (200, b"own")


@contextlib.asynccontextmanager
async def _server(status: bytes) -> t.AsyncIterator[str]:
    """Run a server that gives each request one answer."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(EOFError, OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 " + status + b" Trouble\r\nContent-Length: 2\r\n\r\n{}")
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()[:2]
    async with server:
        yield f"{ip}:{port}"


@pytest.mark.parametrize("status", STATUSES)
async def test_answer_of_a_plain_service_with_such_a_status_is_a_lost_one(status: bytes) -> None:
    async with _server(status) as address:
        service = HttpPlainService(address=address)
        request = ServiceCall(
            request_id=RequestId("r"), path="/holds", body=b"{}", timeout_s=1.0, workspace="w"
        )
        outcome = await service.call(request)
        looked_up = await service.look_up(path="/outcomes", workspace="w", key="k")
    assert isinstance(outcome, CallFailed) and outcome.sent
    assert isinstance(looked_up, CallFailed)


@pytest.mark.parametrize("status", STATUSES)
async def test_answer_of_an_engine_with_such_a_status_is_a_lost_one(status: bytes) -> None:
    async with _server(status) as address:
        engine = HttpEngine(address=address)
        request = EngineRequest(request_id=RequestId("r"), attempt=1, prompt="p", max_tokens=1)
        events = [event async for event in engine.generate(request)]
        await engine.aclose()
    assert len(events) == 1
    assert isinstance(events[0], Interrupted) and events[0].sent


@pytest.mark.parametrize("status", STATUSES)
async def test_answer_of_the_store_with_such_a_status_is_no_answer(status: bytes) -> None:
    async with _server(status) as address:
        client = HttpClient(address=address)
        with pytest.raises(CallError) as found:
            await client.call("POST", "/x", body=b"{}", timeout_s=1.0)
        client.close()
    assert found.value.sent
