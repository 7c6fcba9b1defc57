"""Reads the events of a request from this host or from a peer."""

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

# Both limits count from the last event that was received.
MAX_LOOKUPS = 14
MAX_HOPS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnknownRequest:
    """The last item of a stream if no reachable host holds the request."""

    detail: str


class AttachService:
    """Reads the answers of requests on any host.

    A workspace can't read the requests of another; they are unknown to it.
    """

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
        """Yield the events of a request after a cursor.

        The last item is ``UnknownRequest`` if no reachable host holds the request. If the request
        is handed over while this host streams it, the last item is ``HandedOver``; if it was handed
        over before, its events are read from the host that has it now.
        """
        record = self._local_record(request_id, workspace)
        if record is not None and record.answer.handover is None:
            async with contextlib.aclosing(follow(record, after=after)) as events:
                async for positioned in events:
                    yield positioned
            return
        handover = record.answer.handover if record is not None else None
        hosts = [handover.host] if handover is not None else []
        remote = self._follow_remote(request_id, workspace, after, hosts)
        async with contextlib.aclosing(remote) as items:
            async for item in items:
                yield item

    async def serve(self, call: AttachCall) -> cabc.AsyncIterator[object]:
        """Stream the events of a request on this host to a peer, for one of its callers."""
        record = self._local_record(call.request_id, call.workspace)
        cursor = parse_cursor(call.after)
        if record is None or cursor is None:
            return
        async with contextlib.aclosing(follow(record, after=cursor)) as events:
            async for positioned in events:
                event = answers.to_plain(positioned.event)
                yield StreamPart(item={"cursor": str(positioned.cursor), "event": event})

    def _local_record(
        self, request_id: RequestId, workspace: WorkspaceName
    ) -> RequestRecord | None:
        record = self._store.get(request_id)
        return record if record is not None and record.workspace == workspace else None

    async def _follow_remote(
        self,
        request_id: RequestId,
        workspace: WorkspaceName,
        cursor: Cursor,
        hosts: list[HostId],
    ) -> cabc.AsyncGenerator[PositionedEvent | UnknownRequest, None]:
        """Yield events from one host after another until the final event.

        Tries ``hosts`` first, then the hosts that a look-up finds. Each host continues after the
        last event that was yielded.
        """
        lookups, hops = 0, 0
        while hops < MAX_HOPS and (hosts or self._can_look_up(request_id, lookups)):
            if not hosts:
                await self._locator.wait_before_lookup(lookups)
                lookups += 1
                hosts = await self._locator.find(request_id, workspace)
                continue
            hops += 1
            host, hosts = hosts[0], hosts[1:]
            call = AttachCall(request_id=request_id, workspace=workspace, after=str(cursor))
            async with contextlib.aclosing(self._read_from_peer(host, call)) as events:
                async for positioned in events:
                    if isinstance(positioned.event, HandedOver):
                        hosts = [positioned.event.host]
                        break
                    lookups, hops = 0, 0
                    cursor = positioned.cursor
                    yield positioned
                    if isinstance(positioned.event, FINAL_EVENTS):
                        return
        yield UnknownRequest(detail=f"no live host knows request {request_id!r}")

    def _can_look_up(self, request_id: RequestId, lookups: int) -> bool:
        """Return whether another look-up can find the request.

        Repeating it helps only if the host that accepted the request is no longer live: the host
        that took the request over may not have announced it yet.
        """
        if lookups == 0:
            return True
        return lookups < MAX_LOOKUPS and self._locator.may_have_moved(request_id)

    async def _read_from_peer(
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
