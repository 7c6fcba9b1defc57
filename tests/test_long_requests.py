"""Requests that are longer than an upstream takes at once."""

import asyncio
import socket
import struct

import pytest

from cassiawalk.http1 import pathwatch
from cassiawalk.http1.keepalive import UNACKED_TIMEOUT_MS
from cassiawalk.http1.pathwatch import MAX_UNANSWERED
from cassiawalk.http1.pathwatch import PathWatch
from cassiawalk.storeview.config import RetryRule
from tests.ingress_bed import IngressBed
from tests.ingress_bed import UpstreamSide
from tests.ingress_bed import answer
from tests.ingress_bed import config
from tests.ingress_bed import post
from tests.ingress_bed import route

BODY = b"x" * 4_000_000
UNREAD_S = UNACKED_TIMEOUT_MS / 1000 + 1.0


# Guards against uploads that are cut though their upstream lives and their time is not over.
@pytest.mark.parametrize("reads_bytes", [0, 100_000])
async def test_upload_outlasts_an_upstream_that_takes_no_data_for_a_while(reads_bytes: int) -> None:
    async def script(side: UpstreamSide) -> None:
        head = await side.reader.readuntil(b"\r\n\r\n")
        await side.reader.readexactly(reads_bytes)
        side.reader._transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(UNREAD_S)
        side.reader._transport.resume_reading()  # type: ignore[attr-defined]
        await side.reader.readexactly(len(BODY) - reads_bytes)
        assert b"q1" in head
        side.write(answer(b"q1"))
        await asyncio.sleep(0.5)

    async with IngressBed(config(route(RetryRule.ONCE, limit_s=20.0))) as bed:
        await bed.add(script)
        caller = await bed.caller()
        request = post(b"q1", BODY).replace(b"X-Deadline-Ms: 1500", b"X-Deadline-Ms: 15000")
        got = await caller.request(request, limit_s=15.0)
    assert (got.status, got.body) == (200, b"whole")


class _Socket:
    """A socket whose kernel tells the given counts of unanswered segments, one at each question."""

    def __init__(self, *counts: tuple[int, int]) -> None:
        self._counts = list(counts)
        self.limits_ms: list[int] = []

    def getsockopt(self, level: int, name: int, size: int, /) -> bytes:
        if not self._counts:
            raise OSError("not supported")
        retransmissions, probes = self._counts.pop(0)
        return struct.pack("8B", 1, 0, retransmissions, probes, 0, 0, 0, 0)

    def setsockopt(self, level: int, name: int, value: int | bytes, /) -> None:
        assert (level, name) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert isinstance(value, int)
        self.limits_ms.append(value)


async def _watch(sock: _Socket, *, sends_for: int) -> int:
    """Watch a connection that sends for some checks; return how often it was found broken."""
    broken: list[bool] = []
    left = iter(range(sends_for))
    watch = PathWatch(
        loop=asyncio.get_running_loop(),
        sock=sock,
        is_sending=lambda: next(left, None) is not None,
        on_broken=lambda: broken.append(True),
    )
    watch.start()
    await asyncio.sleep(pathwatch.CHECK_INTERVAL_S * (sends_for + 2))
    watch.stop()
    return len(broken)


@pytest.mark.looptime
@pytest.mark.parametrize("dead", [(MAX_UNANSWERED, 0), (0, MAX_UNANSWERED)])
async def test_connection_without_acknowledgements_is_broken(dead: tuple[int, int]) -> None:
    sock = _Socket((0, 0), (2, 0), (0, 0), dead)
    assert await _watch(sock, sends_for=9) == 1
    assert sock.limits_ms == [0]


@pytest.mark.looptime
async def test_kernel_watches_again_once_all_has_been_taken() -> None:
    sock = _Socket(*[(0, 1)] * 20)
    assert await _watch(sock, sends_for=5) == 0
    assert sock.limits_ms == [0, UNACKED_TIMEOUT_MS]


@pytest.mark.looptime
async def test_kernel_goes_on_watching_if_it_does_not_tell_what_it_sees() -> None:
    sock = _Socket()
    assert await _watch(sock, sends_for=5) == 0
    assert sock.limits_ms == []
