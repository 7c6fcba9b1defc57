"""Callers that read answers over any number of hosts, and the check of what they read."""

import asyncio
import contextlib
import dataclasses

from cassiawalk.caller.attach import UnknownRequest
from cassiawalk.requests import Cursor
from cassiawalk.requests import Ended
from cassiawalk.requests import Failed
from cassiawalk.requests import HandedOver
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import Rewind
from cassiawalk.requests import Text
from tests.handover_hosts import WORKSPACE
from tests.handover_hosts import Cluster

VIRTUAL_LIMIT_S = 60.0


@dataclasses.dataclass(kw_only=True)
class Reading:
    """What one caller has of its answer."""

    text: str = ""
    cursor: Cursor = dataclasses.field(default_factory=Cursor)
    final: Ended | Failed | UnknownRequest | None = None
    hosts: list[str] = dataclasses.field(default_factory=list)

    @property
    def indices(self) -> list[int]:
        """Return the token indices in the order in which they were read."""
        return [int(token.split("@")[0]) for token in self.text.split()]


async def read_from(cluster: Cluster, name: str, record: RequestRecord, reading: Reading) -> None:
    """Attach once at a host and take what comes until the stream ends."""
    reading.hosts.append(name)
    events = cluster.hosts[name].attachments.follow(
        record.request_id, WORKSPACE, after=reading.cursor
    )
    async with contextlib.aclosing(events):
        async for item in events:
            if isinstance(item, UnknownRequest):
                reading.final = item
                return
            reading.cursor = item.cursor
            if isinstance(item.event, Text):
                reading.text += item.event.text
            elif isinstance(item.event, Rewind):
                reading.text = reading.text[: item.event.keep]
            elif isinstance(item.event, Ended | Failed):
                reading.final = item.event
            elif isinstance(item.event, HandedOver):
                return


async def read_to_the_end(
    cluster: Cluster, record: RequestRecord, reading: Reading, *, first: str
) -> Reading:
    """Read at ``first``, and after each handover at the next live host behind the balancer."""
    name, turn = first, 0
    async with asyncio.timeout(VIRTUAL_LIMIT_S):
        while reading.final is None:
            await read_from(cluster, name, record, reading)
            live = cluster.live()
            name = live[turn % len(live)]
            turn += 1
            await asyncio.sleep(0.001)
    return reading


async def until(predicate: object, *args: object) -> None:
    """Return once a predicate holds, on the loop's virtual time."""
    assert callable(predicate)
    async with asyncio.timeout(VIRTUAL_LIMIT_S):
        while not predicate(*args):
            await asyncio.sleep(0.001)


def check_whole(reading: Reading, record: RequestRecord) -> None:
    """Check that the answer has each token once, in order, and its end marker."""
    assert isinstance(reading.final, Ended), reading.final
    assert reading.indices == list(range(record.kind.max_tokens))
    assert reading.final.tokens == record.kind.max_tokens
