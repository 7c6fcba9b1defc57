import asyncio
import collections.abc as cabc

import aiosonic
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.responses import Response
from starlette.responses import StreamingResponse
from starlette.routing import Route

from cassiawalk.caller import parsing
from cassiawalk.caller.parsing import read_body
from cassiawalk.httpserver import HttpServer
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.settings import Address
from cassiawalk.sockets import bound_address
from cassiawalk.sockets import listen

CHUNK_BYTES = 256 * 1024
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class StreamServer:
    """An HTTP server with a stream that ends when ``finish`` is set, and one that never ends."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.finish = asyncio.Event()
        self.produced_bytes = 0
        routes = [Route("/stream", self._stream), Route("/quick", self._quick)]
        routes.append(Route("/endless", self._endless))
        sock = listen(Address(ip="127.0.0.1", port=0))
        self.url = f"http://{bound_address(sock)}"
        self.server = HttpServer(asgi=Starlette(routes=routes), sock=sock, close_limit_s=1.0)

    async def _stream(self, req: Request) -> Response:
        async def chunks() -> cabc.AsyncIterator[bytes]:
            yield b"first "
            self.started.set()
            await self.finish.wait()
            yield b"last"

        return StreamingResponse(chunks())

    async def _endless(self, req: Request) -> Response:
        async def chunks() -> cabc.AsyncIterator[bytes]:
            while True:
                self.produced_bytes += CHUNK_BYTES
                yield b"x" * CHUNK_BYTES
                await asyncio.sleep(0)

        return StreamingResponse(chunks())

    async def _quick(self, req: Request) -> Response:
        return PlainTextResponse("quick")


async def test_drain_waits_for_responses_without_a_time_limit() -> None:
    stream_server = StreamServer()
    await stream_server.server.start()
    async with aiosonic.HTTPClient() as http:
        res = asyncio.create_task(http.get(stream_server.url + "/stream"))
        await stream_server.started.wait()
        await stream_server.server.begin_drain()
        stopping = asyncio.create_task(_drain_and_stop(stream_server.server))
        late = await http.get(stream_server.url + "/quick")
        assert late.headers["connection"] == "close"
        await asyncio.wait([stopping], timeout=2.0)
        assert not stopping.done()
        stream_server.finish.set()
        content = await (await res).content()
        assert content == b"first last"
        await stopping


async def test_caller_that_stops_reading_has_bounded_buffers_and_blocks_no_other() -> None:
    stream_server = StreamServer()
    await stream_server.server.start()
    ip, port = stream_server.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1024)
    writer.write(b"GET /endless HTTP/1.1\r\nhost: cassiawalk\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    async with aiosonic.HTTPClient() as http:
        for _ in range(100):
            res = await http.get(stream_server.url + "/quick")
            assert await res.content() == b"quick"
    assert stream_server.produced_bytes < MAX_BUFFERED_BYTES
    writer.close()
    await _drain_and_stop(stream_server.server)


async def _drain_and_stop(server: HttpServer) -> None:
    await server.drain()
    await server.stop()


@pytest.mark.parametrize("declared", [True, False])
async def test_body_over_the_limit_is_refused(
    declared: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(parsing, "MAX_BODY_BYTES", 1000)
    chunks_read = 0

    async def receive() -> dict[str, object]:
        nonlocal chunks_read
        chunks_read += 1
        return {"type": "http.request", "body": b"x" * 400, "more_body": True}

    headers = [(b"content-length", b"2000")] if declared else []
    scope = {"type": "http", "method": "POST", "path": "/", "headers": headers}
    refusal = await read_body(Request(scope, receive))
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.BODY_TOO_LARGE
    assert chunks_read == (0 if declared else 3)


@pytest.mark.parametrize(
    ("path", "headers", "refused"),
    [
        ("/v1/requests/x", [(b"a", b"x" * 1000)], False),
        ("/v1/requests/x", [(b"a", b"x" * parsing.MAX_HEADER_BYTES)], True),
        ("/v1/requests/x", [(b"a", b"x" * 100)] * 400, True),
        ("/v1/requests/" + "x" * parsing.MAX_PATH_BYTES, [], True),
    ],
)
def test_large_path_or_headers_are_refused(
    path: str, headers: list[tuple[bytes, bytes]], refused: bool
) -> None:
    scope = {"type": "http", "method": "GET", "path": path, "headers": headers, "server": None}
    refusal = parsing.check_head(Request({**scope, "query_string": b"", "scheme": "http"}))
    assert (refusal is not None) is refused
    if refusal is not None:
        assert refusal.code is ResultCode.HEAD_TOO_LARGE
        assert refusal.ran is Execution.NOT_RUN
