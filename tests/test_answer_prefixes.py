"""Every prefix of an upstream's answer, in every framing and end, split at random places."""

import asyncio
import dataclasses
import random

import pytest

from cassiawalk.http1 import Ending
from cassiawalk.http1 import Framing
from cassiawalk.storeview.config import RetryRule
from tests.answer_ends import answer_head
from tests.answer_ends import call
from tests.answer_ends import ends_with_empty_line
from tests.ingress_bed import IngressBed
from tests.ingress_bed import UpstreamSide
from tests.ingress_bed import chunk
from tests.ingress_bed import config
from tests.ingress_bed import post
from tests.ingress_bed import route

REQUEST_ID = b"q1"
STREAMS = {
    "LF": b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "CRLF": b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    "CR": b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
    "mixed": b": hi\r\n\nid: 1\rdata: a\n\r\nid: 2\ndata: b\r\n\n",
}
CHUNK_BYTES = 11


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Case:
    """The bytes that an upstream sends, and how much of the body they hold."""

    sent: bytes
    body: bytes
    is_all: bool


def _cases(stream: bytes, framing: Framing) -> list[_Case]:
    head = answer_head(REQUEST_ID, framing, length=len(stream))
    if framing is not Framing.CHUNKS:
        raw = head + stream
        bodies = [b""] * len(head) + [stream[:size] for size in range(len(stream) + 1)]
    else:
        pieces = [stream[at : at + CHUNK_BYTES] for at in range(0, len(stream), CHUNK_BYTES)]
        raw = head + b"".join(map(chunk, pieces)) + b"0\r\n\r\n"
        bodies = [b""] * len(head)
        for at, piece in enumerate(pieces):
            before = b"".join(pieces[:at])
            sizes = len(chunk(piece)) - len(piece) - 2
            bodies += [before] * sizes + [before + piece[:size] for size in range(len(piece))]
            bodies += [before + piece] * 2
        bodies += [stream] * 6
    return [
        _Case(sent=raw[:size], body=body, is_all=size == len(raw))
        for size, body in enumerate(bodies)
    ]


class _Sender:
    """Sends what is planned for the next request, in random pieces."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.case: _Case
        self.ending: Ending

    async def __call__(self, side: UpstreamSide) -> None:
        await side.take()
        left = self.case.sent
        while left:
            size = self._rng.randrange(1, len(left) + 1)
            side.write(left[:size])
            left = left[size:]
            await side.writer.drain()
            await asyncio.sleep(0)
        if self.ending is Ending.RESET:
            await asyncio.sleep(0.005)
            side.reset()


def _is_whole(case: _Case, framing: Framing, ending: Ending) -> bool:
    if framing is not Framing.CONNECTION:
        return case.is_all
    has_event = b"data:" in _whole_events(case.body)  # and not only a comment
    return ending is Ending.CLOSED and has_event and ends_with_empty_line(case.body)


def _whole_events(body: bytes) -> bytes:
    whole = (body[:size] for size in range(len(body), 0, -1) if ends_with_empty_line(body[:size]))
    return next(whole, b"")


@pytest.mark.parametrize("ending", [Ending.CLOSED, Ending.RESET])
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("name", STREAMS)
async def test_every_prefix_of_an_answer_is_whole_or_visibly_broken(
    name: str, framing: Framing, ending: Ending
) -> None:
    stream = STREAMS[name]
    sender = _Sender(random.Random(f"{name}/{framing}/{ending}"))
    sender.ending = ending
    async with IngressBed(config(route(RetryRule.STREAM_ONCE))) as bed:
        await bed.add(sender)
        for case in _cases(stream, framing):
            sender.case = case
            got = await call(bed, post(REQUEST_ID))
            if _is_whole(case, framing, ending):
                assert (got.status, got.body, got.looks_complete) == (200, case.body, True), case
            elif events := _whole_events(case.body):
                assert (got.status, got.body, got.looks_complete) == (200, events, False), case
            else:
                assert (got.status, got.looks_complete) == (502, True), case
