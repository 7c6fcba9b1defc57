"""The client of model engines, against the stand-in and against scripted answers."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import socket
import typing as t

import orjson
import pytest

from cassiawalk.clients import Engine
from cassiawalk.clients import EngineEvent
from cassiawalk.clients import EngineRequest
from cassiawalk.clients import Finished
from cassiawalk.clients import Interrupted
from cassiawalk.clients import LoadReport
from cassiawalk.clients import Tokens
from cassiawalk.clients.engine import CacheStored
from cassiawalk.clients.engine import EngineOrder
from cassiawalk.clients.engine import InterruptReason
from cassiawalk.clients.engine import OrderOutcome
from cassiawalk.clients.engine_http import HttpEngine
from cassiawalk.ids import RequestId
from standins import engine as standin
from standins.answers import answer_length
from standins.answers import full_answer
from tests.contract_servers import Script
from tests.contract_servers import refused_address
from tests.contract_servers import scripted
from tests.contract_servers import served
from tests.raw_http import raw_server

MAX_TOKENS = 40
PROMPT = "which beds are open in Howrah?"
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
TOKEN = b'data: {"choices": [{"index": 0, "text": " a", "finish_reason": null}]}\n\n'
USAGE = (
    b'data: {"choices": [{"index": 0, "text": "", "finish_reason": "stop"}], "usage": '
    b'{"completion_tokens": 1, "computed_tokens": 5, "cached_tokens": 2}}\n\n'
)
DONE = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _request(name: str = "request", **changes: t.Any) -> EngineRequest:
    req = EngineRequest(request_id=RequestId(name), attempt=1, prompt=PROMPT, max_tokens=MAX_TOKENS)
    return dataclasses.replace(req, **changes)


async def _events(engine: Engine, req: EngineRequest) -> list[EngineEvent]:
    stream = engine.generate(req)
    async with contextlib.aclosing(stream):
        return [event async for event in stream]


def _text(events: cabc.Iterable[EngineEvent]) -> str:
    return "".join(event.text for event in events if isinstance(event, Tokens))


@contextlib.asynccontextmanager
async def _standin(
    **spec: t.Any,
) -> cabc.AsyncIterator[tuple[standin.EngineStandIn, HttpEngine]]:
    engine_standin = standin.EngineStandIn(spec=standin.EngineSpec(**spec))
    async with served(engine_standin.asgi()) as address:
        engine = HttpEngine(address=address, silence_limit_s=5.0)
        try:
            yield engine_standin, engine
        finally:
            await engine.aclose()


async def test_complete_answer_ends_with_its_token_count() -> None:
    async with _standin(token_s=0.0) as (_, engine):
        events = await _events(engine, _request())
    length = answer_length(PROMPT, MAX_TOKENS)
    assert _text(events) == full_answer(PROMPT, MAX_TOKENS)
    assert isinstance(events[-1], Finished)
    assert events[-1].completion_tokens == length
    assert sum(event.count for event in events if isinstance(event, Tokens)) == length


async def test_resumed_answer_continues_after_the_resumed_tokens() -> None:
    async with _standin(token_s=0.0) as (_, engine):
        events = await _events(engine, _request(resume_tokens=3, resume_text="as before"))
    words = full_answer(PROMPT, MAX_TOKENS).split()
    assert _text(events).split() == words[3:]
    assert isinstance(events[-1], Finished)
    assert events[-1].completion_tokens == len(words)
    assert events[-1].computed_tokens == len(PROMPT.split()) + 3


async def test_imported_cache_avoids_recomputation() -> None:
    async with _standin(token_s=0.01) as (_, old), _standin(token_s=0.0) as (_, new):
        stream = old.generate(_request())
        async with contextlib.aclosing(stream):
            await anext(stream)
            blob = await old.export_kv(RequestId("request"))
        assert blob is not None
        handle = await new.import_kv(blob)
        assert handle is not None
        events = await _events(new, _request(attempt=2, resume_tokens=1, kv_handle=handle))
    assert isinstance(events[-1], Finished)
    assert events[-1].computed_tokens == 0


@pytest.mark.parametrize(
    "blob", [b"", b"nonsense", b'{"tokens": 9}\n123'], ids=["empty", "no-head", "wrong-size"]
)
async def test_unusable_cache_is_refused(blob: bytes) -> None:
    async with _standin() as (_, engine):
        assert await engine.import_kv(blob) is None


@pytest.mark.parametrize("fault", ["refuse_kv", "cut_export"])
async def test_failed_export_returns_no_cache(fault: str) -> None:
    async with _standin(token_s=0.01) as (engine_standin, engine):
        engine_standin.faults = standin.Faults(**{fault: True})
        stream = engine.generate(_request())
        async with contextlib.aclosing(stream):
            await anext(stream)
            assert await engine.export_kv(RequestId("request")) is None


async def test_unknown_request_has_no_cache() -> None:
    async with _standin() as (_, engine):
        assert await engine.export_kv(RequestId("nobody")) is None


async def test_sixty_streams_run_concurrently() -> None:
    async with _standin(token_s=0.01, slots=64) as (engine_standin, engine):
        streams = [engine.generate(_request(f"request-{index}")) for index in range(60)]
        async with asyncio.timeout(10.0):
            first = await asyncio.gather(*(anext(stream) for stream in streams))
        assert engine_standin.running == 60
        assert all(isinstance(event, Tokens) for event in first)
        for stream in streams:
            await stream.aclose()


async def test_closing_a_stream_early_cancels_it_on_the_engine() -> None:
    async with _standin(token_s=0.01) as (engine_standin, engine):
        stream = engine.generate(_request(max_tokens=100_000))
        await anext(stream)
        assert engine_standin.running == 1
        await stream.aclose()
        async with asyncio.timeout(5.0):
            while engine_standin.running:
                await asyncio.sleep(0.01)


async def test_notices_are_reports_and_cache_events() -> None:
    async with _standin(token_s=0.0, report_lag_s=0.01) as (_, engine):
        notices = engine.notices()
        async with contextlib.aclosing(notices):
            assert isinstance(await anext(notices), LoadReport)
            await _events(engine, _request(prompt="word " * 40))
            async with asyncio.timeout(5.0):
                async for notice in notices:
                    if isinstance(notice, CacheStored):
                        assert len(notice.blocks) == 2
                        return


@pytest.mark.parametrize(
    ("checks", "expected"),
    [(True, OrderOutcome.STALE_FENCE), (False, OrderOutcome.DONE)],
    ids=["checks-fencing", "ignores-fencing"],
)
async def test_orders(checks: bool, expected: OrderOutcome) -> None:
    async with _standin(checks_fencing=checks) as (_, engine):
        order = EngineOrder(fence=7, action="load", argument="model")
        assert await engine.order(order) is OrderOutcome.DONE
        assert await engine.order(dataclasses.replace(order, fence=6)) is expected


@pytest.mark.parametrize(
    ("script", "reason", "sent", "text"),
    [
        pytest.param([HEAD, _chunk(TOKEN)], InterruptReason.CONNECTION_LOST, True, " a", id="cut"),
        pytest.param(
            [HEAD, _chunk(TOKEN), b"5\r\nda"],
            InterruptReason.CONNECTION_LOST,
            True,
            " a",
            id="cut-in-a-chunk",
        ),
        pytest.param(
            [HEAD, _chunk(TOKEN), _chunk(TOKEN[:20])],
            InterruptReason.CONNECTION_LOST,
            True,
            " a",
            id="cut-in-an-event",
        ),
        pytest.param(
            [HEAD, _chunk(TOKEN), _chunk(USAGE)],
            InterruptReason.CONNECTION_LOST,
            True,
            " a",
            id="cut-before-the-end-marker",
        ),
        pytest.param(
            [HEAD, _chunk(TOKEN), _chunk(USAGE), LAST_CHUNK],
            InterruptReason.CONNECTION_LOST,
            True,
            " a",
            id="ends-without-the-end-marker",
        ),
        pytest.param(
            [HEAD, _chunk(TOKEN), _chunk(DONE), LAST_CHUNK],
            InterruptReason.CONNECTION_LOST,
            True,
            " a",
            id="end-marker-without-a-count",
        ),
        pytest.param(
            [HEAD, _chunk(b"data: {nonsense\n\n"), LAST_CHUNK],
            InterruptReason.CONNECTION_LOST,
            True,
            "",
            id="bad-json",
        ),
        pytest.param(
            [HEAD, _chunk(b'data: {"choices": []}\n\n'), LAST_CHUNK],
            InterruptReason.CONNECTION_LOST,
            True,
            "",
            id="json-of-another-shape",
        ),
        pytest.param([], InterruptReason.CONNECTION_LOST, True, "", id="cut-before-the-head"),
        pytest.param(
            [b"HTTP/1.1 503 X\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n"],
            InterruptReason.LEAVING,
            False,
            "",
            id="leaving",
        ),
        pytest.param(
            [b"HTTP/1.1 503 X\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n"],
            InterruptReason.REFUSED,
            False,
            "",
            id="refused-503",
        ),
        pytest.param(
            [b"HTTP/1.1 429 X\r\ncontent-length: 0\r\n\r\n"],
            InterruptReason.REFUSED,
            False,
            "",
            id="refused-429",
        ),
        pytest.param(
            [b"HTTP/1.1 400 X\r\ncontent-length: 0\r\n\r\n"],
            InterruptReason.REJECTED,
            True,
            "",
            id="rejected",
        ),
        pytest.param(
            [b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n"],
            InterruptReason.CONNECTION_LOST,
            True,
            "",
            id="server-error",
        ),
        pytest.param(
            [b"nonsense\r\n\r\n"], InterruptReason.CONNECTION_LOST, True, "", id="not-http"
        ),
    ],
)
async def test_answer_without_its_end_marker_is_interrupted(
    script: list[bytes], reason: InterruptReason, sent: bool, text: str
) -> None:
    async with scripted(Script(parts=script)) as server:
        engine = HttpEngine(address=server.address, silence_limit_s=5.0)
        events = await _events(engine, _request())
        await engine.aclose()
    last = events[-1]
    assert isinstance(last, Interrupted)
    assert (last.reason, last.sent) == (reason, sent)
    assert _text(events) == text
    assert server.requests == 1


@pytest.mark.parametrize(
    "script", [[], [HEAD], [HEAD, _chunk(TOKEN)]], ids=["no-head", "no-event", "mid-stream"]
)
async def test_silent_engine_is_interrupted(script: list[bytes]) -> None:
    async with scripted(Script(parts=script, hold=True)) as server:
        engine = HttpEngine(address=server.address, silence_limit_s=0.05)
        events = await _events(engine, _request())
        await engine.aclose()
    assert isinstance(events[-1], Interrupted)
    assert events[-1].reason is InterruptReason.SILENT


async def test_whole_answer_in_one_chunk() -> None:
    script = Script(parts=[HEAD, _chunk(TOKEN + USAGE + DONE), LAST_CHUNK])
    async with scripted(script) as server:
        engine = HttpEngine(address=server.address)
        events = await _events(engine, _request())
        await engine.aclose()
    assert [type(event) for event in events] == [Tokens, Finished]


async def test_refused_connection_counts_as_not_sent() -> None:
    engine = HttpEngine(address=refused_address())
    events = await _events(engine, _request())
    assert events == [
        Interrupted(
            reason=InterruptReason.CONNECT_FAILED,
            sent=False,
            detail=events[0].detail if isinstance(events[0], Interrupted) else "",
        )
    ]
    assert await engine.export_kv(RequestId("request")) is None
    assert await engine.import_kv(b"x") is None
    order = EngineOrder(fence=1, action="load", argument="model")
    assert await engine.order(order) is OrderOutcome.REFUSED
    assert [notice async for notice in engine.notices()] == []
    await engine.aclose()


@pytest.mark.parametrize(
    "payload", [b"data: {nonsense\n\n", b'data: {"type": "load"}\n\n', b"data: 7\n\n"]
)
async def test_malformed_notices_end_the_notice_stream(payload: bytes) -> None:
    async with scripted(Script(parts=[HEAD, _chunk(payload)])) as server:
        engine = HttpEngine(address=server.address)
        assert [notice async for notice in engine.notices()] == []
        await engine.aclose()


@pytest.mark.parametrize(
    "body", [b"{}", b"[]", b"{nonsense", b'{"handle": null}'], ids=["no", "list", "bad", "null"]
)
async def test_import_answer_without_a_handle_is_a_refusal(body: bytes) -> None:
    head = b"HTTP/1.1 201 Created\r\ncontent-length: %d\r\n\r\n" % len(body)
    async with scripted(Script(parts=[head + body])) as server:
        engine = HttpEngine(address=server.address)
        assert await engine.import_kv(b"x") is None
        await engine.aclose()


async def test_lost_answer_to_an_order_is_unknown_and_sent_once() -> None:
    async with scripted(Script(parts=[])) as server:
        engine = HttpEngine(address=server.address)
        order = EngineOrder(fence=1, action="load", argument="model")
        assert await engine.order(order) is OrderOutcome.UNKNOWN
        await engine.aclose()
    assert server.requests == 1


def test_refused_address_is_free() -> None:
    with socket.socket() as sock:
        assert sock.connect_ex(("127.0.0.1", int(refused_address().split(":")[1]))) != 0


async def test_surplus_answer_is_not_taken_for_that_of_a_later_request() -> None:
    """Bytes after a complete answer belong to no request, so their connection is closed."""

    def whole(text: str) -> bytes:
        usage = {"completion_tokens": 1, "computed_tokens": 1, "cached_tokens": 0}
        items = [{"choices": [{"text": text}]}, {"choices": [{"text": ""}], "usage": usage}]
        data = b"".join(b"data: " + orjson.dumps(item) + b"\n\n" for item in items)
        data += b"data: [DONE]\n\n"
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data

    async with raw_server(None, keep_open=True) as server:
        engine = HttpEngine(address=server.address)
        for text in ("one", "two", "three"):
            server.reply = whole(text) + whole("ghost")
            events = [event async for event in engine.generate(_request())]
            assert [event.text for event in events if isinstance(event, Tokens)] == [text]
        await engine.aclose()
