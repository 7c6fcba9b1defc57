"""What the HTTP server accepts from callers, and its answers to malformed requests."""

import asyncio

import pytest

from cassiawalk.http1 import CallerLimits
from cassiawalk.sockets import set_reset_on_close
from cassiawalk.storeview.config import RetryRule
from tests.ingress_bed import HOST
from tests.ingress_bed import KEY
from tests.ingress_bed import IngressBed
from tests.ingress_bed import config
from tests.ingress_bed import echo
from tests.ingress_bed import post
from tests.ingress_bed import route

ROUTE = route(RetryRule.REPEATABLE)
LIMITS = CallerLimits(
    max_head_bytes=2048, max_body_bytes=4096, head_timeout_s=0.2, idle_timeout_s=0.5
)
LINES = b"Host: care.example\r\nX-Request-Id: q1\r\nX-Deadline-Ms: 1500\r\nApi-Key: key-1\r\n"


def _head(*lines: bytes, start: bytes = b"POST /r/x HTTP/1.1") -> bytes:
    return start + b"\r\n" + LINES + b"".join(line + b"\r\n" for line in lines) + b"\r\n"


AMBIGUOUS_REQUESTS = {
    "two lengths": _head(b"Content-Length: 5", b"Content-Length: 6") + b"hello",
    "two equal lengths": _head(b"Content-Length: 5", b"Content-Length: 5") + b"hello",
    "length and chunks": _head(b"Content-Length: 5", b"Transfer-Encoding: chunked") + b"0\r\n\r\n",
    "another coding": _head(b"Transfer-Encoding: xchunked") + b"hello",
    "two codings": _head(b"Transfer-Encoding: gzip, chunked") + b"0\r\n\r\n",
    "two coding headers": _head(b"Transfer-Encoding: chunked", b"Transfer-Encoding: identity")
    + b"0\r\n\r\n",
    "signed length": _head(b"Content-Length: +5") + b"hello",
    "space before colon": _head(b"Content-Length : 5") + b"hello",
    "folded line": _head(b"X-A: b", b" Content-Length: 5") + b"hello",
    "bare line feed": _head(b"X-A: b\nX-B: c") + b"",
    "bare line feeds only": b"GET /r/x HTTP/1.1\nHost: care.example\n\n",
    "bare carriage return": _head(b"X-A: b\rX-B: c"),
    "NUL byte": _head(b"X-A: b\0c"),
    "two hosts": _head(b"Host: other.example"),
    "no host": b"GET /r/x HTTP/1.1\r\nX-Request-Id: q1\r\n\r\n",
    "absolute target": _head(start=b"GET http://care.example/r/x HTTP/1.1"),
    "two request ids": _head(b"X-Request-Id: q2"),
    "two keys": _head(b"Api-Key: key-2"),
    "bad deadline": _head().replace(b"1500", b"soon"),
    "bad token counts": _head(b"X-Token-Usage: many"),
    "bad prompt parts": _head(b"X-Prompt-Prefix: ab-12"),
    "not HTTP": b"\x16\x03\x01\x02\x00\r\n\r\n",
}


@pytest.mark.parametrize("name", AMBIGUOUS_REQUESTS)
async def test_ambiguous_request_is_refused_and_reaches_no_upstream(name: str) -> None:
    async with IngressBed(config(ROUTE, limits=LIMITS)) as bed:
        upstream = await bed.add(echo)
        caller = await bed.caller()
        caller.send(AMBIGUOUS_REQUESTS[name])
        got = await caller.read_to_end()
        assert 400 <= int(got.split(b" ", 2)[1]) < 502, got
        assert upstream.arrivals == []


async def test_request_is_forwarded_unchanged() -> None:
    async with IngressBed(config(ROUTE)) as bed:
        upstream = await bed.add(echo)
        caller = await bed.caller()
        more = b"X-MiXed-Case: Value\r\nConnection: keep-alive, X-Hop\r\nX-Hop: gone\r\n"
        answer = await caller.request(post(path=b"/r/a%20b//c?d=%2F&e", more=more))
        assert (answer.status, answer.body) == (200, b"hello")
        head = upstream.arrivals[0].head
        assert head.startswith(b"POST /r/a%20b//c?d=%2F&e HTTP/1.1\r\nHost: " + HOST + b"\r\n")
        assert b"X-MiXed-Case: Value\r\n" in head
        assert b"X-Hop" not in head
        assert KEY not in head
        assert upstream.arrivals[0].header(b"x-tenant") == b"family"


async def test_chunked_body_is_forwarded_completely() -> None:
    async with IngressBed(config(ROUTE)) as bed:
        upstream = await bed.add(echo)
        caller = await bed.caller()
        body = b"4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\n\r\n"
        answer = await caller.request(_head(b"Transfer-Encoding: chunked") + body)
        assert answer.body == b"abcdefg"
        assert upstream.arrivals[0].header(b"content-length") == b"7"
        assert upstream.arrivals[0].header(b"transfer-encoding") is None


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "upload",
    [
        _head(b"Content-Length: 5") + b"hello",
        _head(b"Transfer-Encoding: chunked") + b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
    ],
)
async def test_upload_that_breaks_off_reaches_no_upstream(upload: bytes, reset: bool) -> None:
    async with IngressBed(config(route(RetryRule.ONCE))) as bed:
        upstream = await bed.add(echo)
        for size in range(1, len(upload)):
            caller = await bed.caller()
            caller.send(upload[:size])
            await asyncio.sleep(0.001)
            if reset:
                set_reset_on_close(caller.writer.get_extra_info("socket"))
                caller.writer.transport.abort()
            else:
                caller.writer.write_eof()
        await asyncio.sleep(0.1)
        assert upstream.arrivals == []
        assert (await (await bed.caller()).request(upload)).body == b"hello"


async def test_long_body_is_forwarded_completely() -> None:
    async with IngressBed(config(ROUTE)) as bed:
        await bed.add(echo)
        caller = await bed.caller()
        body = bytes(range(256)) * 4096
        answer = await caller.request(post(body=body))
        assert answer.body == body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (_head(b"X-Long: " + b"a" * 4000), 431),
        (b"GET /r/x HTTP/1.1\r\nX-Long: " + b"a" * 4000, 431),
        (_head(b"Content-Length: 5000"), 413),
        (_head(b"Transfer-Encoding: chunked") + b"1400\r\n" + b"a" * 5120 + b"\r\n0\r\n\r\n", 413),
        (b"GET /r/x HTTP/1.1\r\nHost: ca", 408),
        (_head(b"Content-Length: 5") + b"he", 408),
    ],
)
async def test_requests_beyond_the_limits_are_refused(data: bytes, status: int) -> None:
    async with IngressBed(config(ROUTE, limits=LIMITS)) as bed:
        upstream = await bed.add(echo)
        caller = await bed.caller()
        caller.send(data)
        got = await caller.read_to_end()
        assert got.startswith(b"HTTP/1.1 %d " % status), got
        assert b"connection: close" in got.lower()
        assert upstream.arrivals == []


async def test_slow_head_times_out_even_if_bytes_keep_arriving() -> None:
    async with IngressBed(config(ROUTE, limits=LIMITS)) as bed:
        caller = await bed.caller()
        began = asyncio.get_running_loop().time()
        for byte in b"GET /r/x HTTP/1.1\r\n":
            caller.send(bytes((byte,)))
            await asyncio.sleep(0.03)
        got = await caller.read_to_end()
        assert got.startswith(b"HTTP/1.1 408 ")
        assert asyncio.get_running_loop().time() - began < 1.5


async def test_idle_connection_is_closed_in_time_and_not_before() -> None:
    async with IngressBed(config(ROUTE, limits=LIMITS)) as bed:
        await bed.add(echo)
        caller = await bed.caller()
        for _ in range(3):
            assert (await caller.request(post())).status == 200
            await asyncio.sleep(LIMITS.idle_timeout_s * 0.8)
        assert await caller.read_to_end(limit_s=LIMITS.idle_timeout_s) == b""


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with IngressBed(config(ROUTE)) as bed:
        await bed.add(echo)
        caller = await bed.caller()
        caller.send(post(b"q1", b"first") + post(b"q2", b"second") + post(b"q3", b"third"))
        got = [(await caller.read_answer()).body for _ in range(3)]
        assert got == [b"first", b"second", b"third"]


async def test_drain_answers_requests_sent_before_the_close() -> None:
    async with IngressBed(config(ROUTE)) as bed:
        await bed.add(echo)
        caller, idle = await bed.caller(), await bed.caller()
        assert (await caller.request(post())).header(b"connection") is None
        await bed.listener.begin_drain()
        last = await caller.request(post(b"q2"))
        assert last.status == 200
        assert last.header(b"connection") == b"close"
        async with asyncio.timeout(2):
            await bed.listener.drain()
        assert await idle.read_to_end() == b""


async def test_error_in_the_handler_is_answered_with_500(monkeypatch: pytest.MonkeyPatch) -> None:
    async with IngressBed(config(ROUTE)) as bed:

        def fail(*_: object) -> None:
            raise RuntimeError("broken")

        monkeypatch.setattr(bed.forwarder, "_refuse", fail)
        caller = await bed.caller()
        answer = await caller.request(post(path=b"/unknown/"))
        assert answer.status == 500
