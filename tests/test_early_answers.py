"""Upstreams that answer a long request before they have read it, and then end the connection."""

import asyncio
import collections.abc as cabc
import enum
import json

import pytest
import uvloop

from cassiawalk.http1 import Framing
from cassiawalk.storeview.config import RetryRule
from tests.answer_ends import answer_head
from tests.answer_ends import call
from tests.ingress_bed import IngressBed
from tests.ingress_bed import Script
from tests.ingress_bed import UpstreamSide
from tests.ingress_bed import answer
from tests.ingress_bed import chunk
from tests.ingress_bed import config
from tests.ingress_bed import event
from tests.ingress_bed import post
from tests.ingress_bed import route

LONG = b"x" * 3_000_000
MEDIUM = b"x" * 300_000  # the connection takes all of it, but the upstream does not
LIMIT_S = 3.0
PIECE_S = 0.02
FULL_S = 0.2  # until the connection takes no more of the request
PARTS = (b"all ", b"of it")


@pytest.fixture(params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy])
def event_loop_policy(request: pytest.FixtureRequest) -> asyncio.AbstractEventLoopPolicy:
    """Return the policy of either event loop: they tell of resets each in its own way."""
    policy: asyncio.AbstractEventLoopPolicy = request.param()
    return policy


class End(enum.Enum):
    """What the upstream does after the part of its answer that it sends.

    - RESET: it resets the connection.
    - CLOSE: it closes the connection, with bytes of the request unread, which resets it.
    - EOF_RESET: it ends its stream, and resets the connection a little later.
    - EOF_CLOSE: it ends its stream, and closes the connection a little later, as CLOSE does.
    """

    RESET = "reset"
    CLOSE = "close"
    EOF_RESET = "eof, then reset"
    EOF_CLOSE = "eof, then close"


async def _take_head(side: UpstreamSide) -> bytes:
    """Read the head of a request and return its id; its body stays unread."""
    head = await side.reader.readuntil(b"\r\n\r\n")
    return head.lower().split(b"x-request-id: ")[1].split(b"\r\n")[0]


def _early(
    parts: cabc.Sequence[bytes], framing: Framing, end: End, *, media_type: bytes, kept: bool
) -> Script:
    async def script(side: UpstreamSide) -> None:
        if kept:
            arrival = await side.take()
            side.write(answer(arrival.request_id, more=b"Content-Type: text/plain\r\n"))
        request_id = await _take_head(side)
        more = b"Content-Type: " + media_type + b"\r\n"
        side.write(answer_head(request_id, framing, length=1000, more=more))
        for part in parts:
            side.write(chunk(part) if framing is Framing.CHUNKS else part)
            await side.writer.drain()
            await asyncio.sleep(PIECE_S)
        await _end(side, end)

    return script


async def _end(side: UpstreamSide, end: End) -> None:
    if end in (End.EOF_RESET, End.EOF_CLOSE):
        side.writer.write_eof()
        await asyncio.sleep(PIECE_S)
    if end in (End.RESET, End.EOF_RESET):
        side.reset()


# Guards against a part of an answer that looks whole, as its connection ended during an upload.
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("framing", Framing)
async def test_early_answer_that_breaks_off_is_no_complete_answer(
    framing: Framing, end: End, kept: bool
) -> None:
    script = _early(PARTS, framing, end, media_type=b"text/plain", kept=kept)
    async with IngressBed(config(route(RetryRule.ONCE))) as bed:
        await bed.add(script)
        if kept:
            assert (await call(bed, post(b"q0"))).status == 200
        got = await call(bed, post(b"q1", LONG), limit_s=LIMIT_S)
    assert (got.status, json.loads(got.body)["ran"]) == (502, "unknown")


@pytest.mark.parametrize("end", [End.RESET, End.CLOSE])
@pytest.mark.parametrize("framing", Framing)
async def test_answer_that_is_reset_with_a_request_unread_is_no_complete_answer(
    framing: Framing, end: End
) -> None:
    script = _early(PARTS, framing, end, media_type=b"text/plain", kept=False)
    async with IngressBed(config(route(RetryRule.ONCE))) as bed:
        await bed.add(script)
        got = await call(bed, post(b"q1", MEDIUM), limit_s=LIMIT_S)
    assert (got.status, json.loads(got.body)["ran"]) == (502, "unknown")


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("framing", Framing)
async def test_early_stream_that_breaks_off_does_not_look_complete(
    framing: Framing, end: End, kept: bool
) -> None:
    script = _early([event(1)], framing, end, media_type=b"text/event-stream", kept=kept)
    async with IngressBed(config(route(RetryRule.STREAM_ONCE))) as bed:
        await bed.add(script)
        if kept:
            assert (await call(bed, post(b"q0"))).status == 200
        got = await call(bed, post(b"q1", LONG), limit_s=LIMIT_S)
    if got.status == 200:
        assert (got.body, got.looks_complete) in [(event(1), False), (b"", False)]
    else:
        assert (got.status, json.loads(got.body)["ran"]) == (502, "unknown")


@pytest.mark.parametrize("reads_on", [True, False])
@pytest.mark.parametrize("framing", Framing)
async def test_early_answer_is_passed_on_whole_if_the_upstream_goes_on_to_read(
    framing: Framing, reads_on: bool
) -> None:
    async def script(side: UpstreamSide) -> None:
        request_id = await _take_head(side)
        whole = b"".join(PARTS)
        more = b"Content-Type: text/plain\r\n"
        side.write(answer_head(request_id, framing, length=len(whole), more=more))
        for part in PARTS:
            side.write(chunk(part) if framing is Framing.CHUNKS else part)
        if framing is Framing.CHUNKS:
            side.write(b"0\r\n\r\n")
        if framing is Framing.CONNECTION:
            side.writer.write_eof()
        if reads_on:
            await side.reader.read(-1)
        else:
            await asyncio.sleep(FULL_S)

    async with IngressBed(config(route(RetryRule.ONCE))) as bed:
        await bed.add(script)
        got = await call(bed, post(b"q1", LONG), limit_s=LIMIT_S)
    if framing is Framing.CONNECTION and not reads_on:
        assert got.status == 502  # nothing tells that it is not reset with the next byte
    else:
        assert (got.status, got.body, got.looks_complete) == (200, b"all of it", True)
