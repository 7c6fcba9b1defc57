"""Finds the events of a request on this host or at a peer."""

import collections.abc as cabc
import dataclasses

from cassiawalk.caller.events import NumberedEvent
from cassiawalk.caller.events import follow
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ids import request_origin
from cassiawalk.peer import AttachCall
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import StreamPart
from cassiawalk.requests import AnswerEvent
from cassiawalk.requests import RequestStore
from cassiawalk.requests import answers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """No host that could be asked holds the request."""

    detail: str


class Attachments:
    """Follows requests wherever they run. A workspace never sees another's request."""

    def __init__(self, *, host: HostId, store: RequestStore, links: PeerLinks) -> None:
        self._host = host
        self._store = store
        self._links = links

    async def follow(
        self, request_id: RequestId, workspace: WorkspaceName, *, after: int
    ) -> cabc.AsyncGenerator[NumberedEvent | Unknown, None]:
        """Yield a request's events after a sequence number, or ``Unknown`` as the only item."""
        record = self._store.get(request_id)
        if record is not None and record.workspace == workspace:
            async for numbered in follow(record, after=after):
                yield numbered
            return
        origin = request_origin(request_id)
        if record is not None or origin is None or origin == self._host:
            yield Unknown(detail=f"no request {request_id!r}")
            return
        call = AttachCall(request_id=request_id, workspace=workspace, after=after)
        found = False
        async for item in self._links.stream(origin, call):
            if isinstance(item, PeerFailure):
                break
            found = True
            event = answers.from_plain(item["event"])
            if isinstance(event, AnswerEvent):
                yield NumberedEvent(seq=item["seq"], event=event)
        if not found:
            yield Unknown(detail=f"no live host knows request {request_id!r}")

    async def serve(self, call: AttachCall) -> cabc.AsyncIterator[object]:
        """Serve a peer's caller with the events of a request held here."""
        record = self._store.get(call.request_id)
        if record is None or record.workspace != call.workspace:
            return
        async for numbered in follow(record, after=call.after):
            event = answers.to_plain(numbered.event)
            yield StreamPart(item={"seq": numbered.seq, "event": event})
