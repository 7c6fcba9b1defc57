"""Streams of engines that are slow but sound, and streams that stall but send a byte at times."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

import orjson
import pytest

from cassiawalk.clients.engine import EngineEvent
from cassiawalk.clients.engine import EngineRequest
from cassiawalk.clients.engine import Finished
from cassiawalk.clients.engine import Interrupted
from cassiawalk.clients.engine import InterruptReason
from cassiawalk.clients.engine import Tokens
from cassiawalk.clients.engine_http import HttpEngine
from cassiawalk.ids import RequestId

SILENCE_LIMIT_S = 0.5
BYTE_INTERVAL_S = 0.1
MAX_BYTES = 100  # far more than fit into the limit
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
USAGE = dict.fromkeys(("completion_tokens", "computed_tokens", "cached_tokens"), 1)

Pieces = cabc.Callable[[], cabc.Iterator[tuple[float, bytes]]]


def _event(text: str, **more: t.Any) -> bytes:
    return b"data: " + orjson.dumps({"choices": [{"text": text}], **more}) + b"\n\n"


def _slow() -> cabc.Iterator[tuple[float, bytes]]:
    for number in range(6):
        yield 0.6 * SILENCE_LIMIT_S, _event(f"t{number}")
    yield 0.0, _event("", usage=USAGE) + b"data: [DONE]\n\n"


def _stalled(first: bytes, more: bytes) -> Pieces:
    def pieces() -> cabc.Iterator[tuple[float, bytes]]:
        yield 0.0, _event("t0") + first
        for _ in range(MAX_BYTES):
            yield BYTE_INTERVAL_S, more

    return pieces


async def _events(pieces: Pieces) -> tuple[list[EngineEvent], float]:
    """Return the events of one completion, and how long they took in all."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            for pause_s, data in pieces():
                await asyncio.sleep(pause_s)
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        ip, port = server.sockets[0].getsockname()[:2]
        engine = HttpEngine(address=f"{ip}:{port}", silence_limit_s=SILENCE_LIMIT_S)
        request = EngineRequest(request_id=RequestId("r"), attempt=1, prompt="p", max_tokens=9)
        began_at = asyncio.get_running_loop().time()
        events = [event async for event in engine.generate(request)]
        took_s = asyncio.get_running_loop().time() - began_at
        await engine.aclose()
        server.close()
    return events, took_s


async def test_stream_that_is_slow_but_moves_arrives_whole() -> None:
    events, took_s = await _events(_slow)
    assert took_s > 2 * SILENCE_LIMIT_S
    text = "".join(event.text for event in events if isinstance(event, Tokens))
    assert text == "t0t1t2t3t4t5"
    assert isinstance(events[-1], Finished)


@pytest.mark.parametrize(
    ("first", "more"),
    [
        (b"", b":\n\n"),
        (b"", b"\n"),
        (b"data: ", b" "),
        (b"", b"event: ping\n\n"),
        (b"", _event("")),
    ],
    ids=["comments", "blank lines", "half an event", "events without data", "events without text"],
)
async def test_stalled_stream_ends_though_a_byte_comes_now_and_then(
    first: bytes, more: bytes
) -> None:
    events, took_s = await _events(_stalled(first, more))
    last = events[-1]
    assert isinstance(last, Interrupted)
    assert last.reason is InterruptReason.SILENT
    assert took_s < 3 * SILENCE_LIMIT_S
