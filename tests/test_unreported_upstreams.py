"""Upstreams that are silent to the store for a while keep the requests that run there."""

import asyncio
import collections.abc as cabc

import pytest

from cassiawalk.ids import Offset
from cassiawalk.ids import UpstreamId
from cassiawalk.storeview.config import RetryRule
from cassiawalk.storeview.upstream import Presence
from tests.ingress_bed import IngressBed
from tests.ingress_bed import ScriptedUpstream
from tests.ingress_bed import UpstreamSide
from tests.ingress_bed import answer
from tests.ingress_bed import chunk
from tests.ingress_bed import config
from tests.ingress_bed import echo
from tests.ingress_bed import event
from tests.ingress_bed import post
from tests.ingress_bed import route
from tests.ingress_bed import stream_head

Change = cabc.Callable[[IngressBed, ScriptedUpstream], None]


def _removed(bed: IngressBed, _: ScriptedUpstream) -> None:
    bed.directory.remove(UpstreamId("u-1"), Offset(9))


def _lapsed(bed: IngressBed, _: ScriptedUpstream) -> None:
    bed.directory.note_source_recovered()
    bed.directory.remove(UpstreamId("u-1"), Offset(9))


def _leaving(bed: IngressBed, upstream: ScriptedUpstream) -> None:
    bed.register("u-1", upstream.address, offset=9, presence=Presence.LEAVING)


def _failing(bed: IngressBed, _: ScriptedUpstream) -> None:
    for upstream in bed.directory.upstreams():
        for _number in range(5):
            upstream.health.note_failure()


@pytest.mark.parametrize("change", [_removed, _lapsed, _leaving, _failing])
@pytest.mark.parametrize("rule", list(RetryRule))
async def test_running_request_is_neither_given_up_nor_run_again(
    rule: RetryRule, change: Change
) -> None:
    silent = asyncio.Event()

    async def slow(side: UpstreamSide) -> None:
        arrival = await side.take()
        if rule in (RetryRule.STREAM_ONCE, RetryRule.STREAM_RESUMABLE):
            side.write(stream_head(arrival.request_id) + chunk(event(1)))
            await silent.wait()
            side.write(chunk(event(2)) + b"0\r\n\r\n")
        else:
            await silent.wait()
            side.write(answer(arrival.request_id, b"whole"))
        await side.writer.drain()
        await asyncio.sleep(0.1)

    async with IngressBed(config(route(rule))) as bed:
        first = await bed.add(slow)
        caller = await bed.caller()
        asking = asyncio.ensure_future(caller.request(post()))
        while not first.arrivals:
            await asyncio.sleep(0.01)
        second = await bed.add(echo, "u-2")
        change(bed, first)
        await asyncio.sleep(0.3)
        assert not asking.done()
        silent.set()
        answered = await asking
        assert answered.status == 200
        assert answered.body in (b"whole", event(1) + event(2))
        assert (len(first.arrivals), len(second.arrivals)) == (1, 0)
