"""Callers that read answers from any number of hosts, and checks of what they read."""

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
class PartialAnswer:
    """The part of its answer that one caller has read."""

    text: str = ""
    cursor: Cursor = dataclasses.field(default_factory=Cursor)
    final: Ended | Failed | UnknownRequest | None = None
    hosts: list[str] = dataclasses.field(default_factory=list)

    @property
    def indices(self) -> list[int]:
        """Return the token indices in the order in which they were read."""
        return [int(token.split("@")[0]) for token in self.text.split()]


async def read_from(
    cluster: Cluster, name: str, record: RequestRecord, partial: PartialAnswer
) -> None:
    """Attach once to a host and apply the events until the stream ends."""
    partial.hosts.append(name)
    events = cluster.hosts[name].attachments.follow(
        record.request_id, WORKSPACE, after=partial.cursor
    )
    async with contextlib.aclosing(events):
        async for item in events:
            if isinstance(item, UnknownRequest):
                partial.final = item
                return
            partial.cursor = item.cursor
            if isinstance(item.event, Text):
                partial.text += item.event.text
            elif isinstance(item.event, Rewind):
                partial.text = partial.text[: item.event.keep]
            elif isinstance(item.event, Ended | Failed):
                partial.final = item.event
            elif isinstance(item.event, HandedOver):
                return


async def read_to_the_end(
    cluster: Cluster, record: RequestRecord, partial: PartialAnswer, *, first: str
) -> PartialAnswer:
    """Read from ``first``, and after each end of a stream from the next live host in turn."""
    name, turn = first, 0
    async with asyncio.timeout(VIRTUAL_LIMIT_S):
        while partial.final is None:
            await read_from(cluster, name, record, partial)
            live = cluster.live()
            name = live[turn % len(live)]
            turn += 1
            await asyncio.sleep(0.001)
    return partial


async def until(predicate: object, *args: object) -> None:
    """Return once a predicate holds, on the loop's virtual time."""
    assert callable(predicate)
    async with asyncio.timeout(VIRTUAL_LIMIT_S):
        while not predicate(*args):
            await asyncio.sleep(0.001)


def check_complete(partial: PartialAnswer, record: RequestRecord) -> None:
    """Check that the answer has each token once and in order, and its end marker."""
    assert isinstance(partial.final, Ended), partial.final
    assert partial.indices == list(range(record.kind.max_tokens))
    assert partial.final.tokens == record.kind.max_tokens
