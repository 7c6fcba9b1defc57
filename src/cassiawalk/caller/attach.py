"""Finds the events of a request on this host or at a peer."""

import collections.abc as cabc
import contextlib
import dataclasses

from cassiawalk.caller.events import follow
from cassiawalk.handover import Locator
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.ids import WorkspaceName
from cassiawalk.peer import AttachCall
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import StreamPart
from cassiawalk.requests import AnswerEvent
from cassiawalk.requests import Cursor
from cassiawalk.requests import HandedOver
from cassiawalk.requests import PositionedEvent
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestStore
from cassiawalk.requests import answers
from cassiawalk.requests import parse_cursor
from cassiawalk.requests.answer import FINAL_EVENTS

LOOKS_LIMIT = 14
HOPS_LIMIT = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnknownRequest:
    """No host that could be asked holds the request."""

    detail: str


class AttachService:
    """Follows requests wherever they run. A workspace never sees another's request."""

    def __init__(
        self, *, host: HostId, store: RequestStore, links: PeerLinks, locator: Locator
    ) -> None:
        self._host = host
        self._store = store
        self._links = links
        self._locator = locator

    async def follow(
        self, request_id: RequestId, workspace: WorkspaceName, *, after: Cursor
    ) -> cabc.AsyncGenerator[PositionedEvent | UnknownRequest, None]:
        """Yield a request's events after a reader's place, or ``Unknown`` as the last item.

        A request that is handed over while it is read ends with ``HandedOver``; one that had
        moved before is followed to where it is.
        """
        record = self._own(request_id, workspace)
        if record is not None and record.answer.handover is None:
            async with contextlib.aclosing(follow(record, after=after)) as events:
                async for numbered in events:
                    yield numbered
            return
        moved = record.answer.handover if record is not None else None
        hosts = [moved.host] if moved is not None else []
        remote = self._follow_remote(request_id, workspace, after, hosts)
        async with contextlib.aclosing(remote) as items:
            async for item in items:
                yield item

    async def serve(self, call: AttachCall) -> cabc.AsyncIterator[object]:
        """Serve a peer's caller with the events of a request held here."""
        record = self._own(call.request_id, call.workspace)
        cursor = parse_cursor(call.after)
        if record is None or cursor is None:
            return
        async with contextlib.aclosing(follow(record, after=cursor)) as events:
            async for numbered in events:
                event = answers.to_plain(numbered.event)
                yield StreamPart(item={"cursor": str(numbered.cursor), "event": event})

    def _own(self, request_id: RequestId, workspace: WorkspaceName) -> RequestRecord | None:
        record = self._store.get(request_id)
        return record if record is not None and record.workspace == workspace else None

    async def _follow_remote(
        self,
        request_id: RequestId,
        workspace: WorkspaceName,
        cursor: Cursor,
        hosts: list[HostId],
    ) -> cabc.AsyncGenerator[PositionedEvent | UnknownRequest, None]:
        """Go from host to host until the final event; the reader's place goes along."""
        looks, hops = 0, 0
        while hops < HOPS_LIMIT and (hosts or self._may_look(request_id, looks)):
            if not hosts:
                await self._locator.wait_before_lookup(looks)
                looks += 1
                hosts = await self._locator.find(request_id, workspace)
                continue
            hops += 1
            host, hosts = hosts[0], hosts[1:]
            call = AttachCall(request_id=request_id, workspace=workspace, after=str(cursor))
            async with contextlib.aclosing(self._read(host, call)) as events:
                async for numbered in events:
                    if isinstance(numbered.event, HandedOver):
                        hosts = [numbered.event.host]
                        break
                    looks, hops = 0, 0
                    cursor = numbered.cursor
                    yield numbered
                    if isinstance(numbered.event, FINAL_EVENTS):
                        return
        yield UnknownRequest(detail=f"no live host knows request {request_id!r}")

    def _may_look(self, request_id: RequestId, looks: int) -> bool:
        """Return whether another look-up may find the request.

        After the first one only if its first host is gone: the announcement of the host that took
        it over may still be on its way.
        """
        if looks == 0:
            return True
        return looks < LOOKS_LIMIT and self._locator.may_have_moved(request_id)

    async def _read(
        self, host: HostId, call: AttachCall
    ) -> cabc.AsyncGenerator[PositionedEvent, None]:
        async with contextlib.aclosing(self._links.stream(host, call)) as items:
            async for item in items:
                if isinstance(item, PeerFailure):
                    return
                cursor = parse_cursor(item["cursor"])
                event = answers.from_plain(item["event"])
                if cursor is None or not isinstance(event, AnswerEvent):
                    return
                yield PositionedEvent(cursor=cursor, event=event)
