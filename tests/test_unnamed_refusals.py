"""Refusals that name no request, on connections where they may be copies of earlier ones."""

import asyncio

import pytest

from cassiawalk.storeview.config import RetryRule
from tests.ingress_bed import IngressBed
from tests.ingress_bed import UpstreamSide
from tests.ingress_bed import answer
from tests.ingress_bed import config
from tests.ingress_bed import event
from tests.ingress_bed import post
from tests.ingress_bed import route

PROMISES = (b"408", b"421", b"429", b"503")
NOT_RUN = b"X-Not-Executed: 1\r\n"
REFUSALS = [(status, NOT_RUN) for status in (*PROMISES, b"400")] + [(s, b"") for s in PROMISES]
RULES = (RetryRule.ONCE, RetryRule.REPEATABLE, RetryRule.STREAM_RESUMABLE, RetryRule.STREAM_ONCE)


def _unnamed(status: bytes, more: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b" Full\r\n" + more + b"Content-Length: 2\r\n\r\nno"


async def _sound(side: UpstreamSide) -> None:
    while True:
        arrival = await side.take()
        side.write(answer(arrival.request_id, event(1)))


def _refusal_id(value: bytes) -> str:
    """Return the id of a status or a header, without spaces."""
    return value.decode().split(":")[0].strip() or "none"


@pytest.mark.parametrize("rule", RULES)
@pytest.mark.parametrize(("status", "more"), REFUSALS, ids=_refusal_id)
async def test_unnamed_refusal_on_a_used_connection_is_not_believed(
    status: bytes, more: bytes, rule: RetryRule
) -> None:
    ran: list[bytes] = []

    async def script(side: UpstreamSide) -> None:
        first = await side.take()
        side.write(answer(first.request_id, event(1)))
        while True:
            arrival = await side.take()
            ran.append(arrival.request_id)
            side.write(_unnamed(status, more))
            await asyncio.sleep(0.02)
            side.write(answer(arrival.request_id, event(2)))

    async with IngressBed(config(route(rule, max_attempts=3))) as bed:
        await bed.add(script, "u-1")
        caller = await bed.caller()
        assert (await caller.request(post(b"q-0"))).status == 200
        second = await bed.add(_sound, "u-2")
        for number in range(1, 4):
            name = b"q-%d" % number
            got = await (await bed.caller()).request(post(name))
            both = ran + [arrival.request_id for arrival in second.arrivals]
            if name in ran:
                assert b"%d" % got.status not in PROMISES
            if rule in (RetryRule.ONCE, RetryRule.STREAM_ONCE):
                assert both.count(name) == 1
        assert ran


@pytest.mark.parametrize("rule", RULES)
@pytest.mark.parametrize("status", PROMISES)
async def test_unnamed_refusal_on_a_new_connection_is_believed(
    status: bytes, rule: RetryRule
) -> None:
    async def script(side: UpstreamSide) -> None:
        await side.take()
        side.write(_unnamed(status, NOT_RUN))

    async with IngressBed(config(route(rule))) as bed:
        await bed.add(script, "u-1")
        got = await (await bed.caller()).request(post(b"q-0"))
        assert got.status == 503
        assert b'"not run"' in got.body
