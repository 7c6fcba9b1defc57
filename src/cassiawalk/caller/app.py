"""Routes of the callers' HTTP interface."""

import asyncio
import collections.abc as cabc
import contextlib

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.responses import StreamingResponse
from starlette.routing import Route

from cassiawalk.caller.attach import AttachService
from cassiawalk.caller.attach import UnknownRequest
from cassiawalk.caller.events import CollectedAnswer
from cassiawalk.caller.events import sse_frame
from cassiawalk.caller.parsing import RecordBuilder
from cassiawalk.caller.parsing import authenticate
from cassiawalk.caller.parsing import check_head
from cassiawalk.caller.parsing import read_body
from cassiawalk.caller.problem import problem_response
from cassiawalk.control import ControlFollower
from cassiawalk.control.follower import Freshness
from cassiawalk.dispatch import Dispatcher
from cassiawalk.ids import RequestId
from cassiawalk.ids import WorkspaceName
from cassiawalk.requests import Cursor
from cassiawalk.requests import Ended
from cassiawalk.requests import Failed
from cassiawalk.requests import HandedOver
from cassiawalk.requests import PositionedEvent
from cassiawalk.requests import parse_cursor
from cassiawalk.requests.answer import failed_event
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

SSE_MEDIA_TYPE = "text/event-stream"
REQUEST_ID_HEADER = "x-request-id"
CLIENT_CLOSED_REQUEST_STATUS = 499
_EventStream = cabc.AsyncGenerator[PositionedEvent | UnknownRequest, None]


class CallerApp:
    """Serves new requests, and lets callers attach to accepted ones again."""

    def __init__(
        self,
        *,
        builder: RecordBuilder,
        control: ControlFollower,
        dispatcher: Dispatcher,
        attachments: AttachService,
    ) -> None:
        self._builder = builder
        self._control = control
        self._dispatcher = dispatcher
        self._attachments = attachments

    def routes(self) -> list[Route]:
        """Return the routes for a Starlette application."""
        return [
            Route("/v1/services/{service}/{kind}", self.create, methods=["POST"]),
            Route("/v1/requests/{request_id}", self.attach, methods=["GET"]),
            Route("/healthz", self.healthz, methods=["GET"]),
            Route("/readyz", self.readyz, methods=["GET"]),
        ]

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(routes=self.routes())

    async def create(self, req: Request) -> Response:
        """Accept a new request and return its answer, streamed or as one JSON document."""
        too_large = check_head(req)
        if too_large is not None:
            return _refusal_response(too_large)
        if self._control.freshness is not Freshness.FRESH:
            return _refusal_response(
                Refusal(
                    code=ResultCode.CONFIGURATION_STALE,
                    detail=f"the configuration is {self._control.freshness.value}",
                    retry_after_s=1.0,
                )
            )
        state = self._control.state
        identity = authenticate(req, state)
        if isinstance(identity, Refusal):
            return _refusal_response(identity)
        body = await read_body(req)
        if isinstance(body, Refusal):
            return _refusal_response(body)
        record = self._builder.build(req, body, identity, state)
        if isinstance(record, Refusal):
            return _refusal_response(record)
        pool_type = state.pools[record.pool].type
        refusal = self._dispatcher.submit(record, pool_type)
        if refusal is not None:
            return _refusal_response(refusal, record.request_id)
        return await self._answer(req, record.request_id, record.workspace, after=Cursor())

    async def attach(self, req: Request) -> Response:
        """Return the answer of an accepted request after the caller's last event."""
        too_large = check_head(req)
        if too_large is not None:
            return _refusal_response(too_large)
        identity = authenticate(req, self._control.state)
        if isinstance(identity, Refusal):
            return _refusal_response(identity)
        last_event_id = req.headers.get("last-event-id", "0")
        after = parse_cursor(last_event_id)
        if after is None:
            detail = f"Last-Event-ID is {last_event_id!r}; allowed: an id of this request's events"
            return _refusal_response(Refusal(code=ResultCode.BAD_REQUEST, detail=detail))
        request_id = RequestId(req.path_params["request_id"])
        return await self._answer(req, request_id, identity.name, after=after)

    async def healthz(self, req: Request) -> Response:
        """Report that the process is alive."""
        return JSONResponse({"status": "ok"})

    async def readyz(self, req: Request) -> Response:
        """Report whether this host takes new requests; the status is 503 if it does not."""
        freshness = self._control.freshness
        accepts_requests = self._dispatcher.accepts_requests
        ready = freshness is Freshness.FRESH and accepts_requests
        body = {
            "ready": ready,
            "configuration": freshness.value,
            "draining": not accepts_requests,
            "revision": self._control.state.revision,
        }
        return JSONResponse(body, status_code=200 if ready else 503)

    async def _answer(
        self, req: Request, request_id: RequestId, workspace: WorkspaceName, *, after: Cursor
    ) -> Response:
        events = self._attachments.follow(request_id, workspace, after=after)
        if SSE_MEDIA_TYPE in req.headers.get("accept", ""):
            return await _streaming_response(events, request_id)
        return await _document_response(req, events, request_id)


def _refusal_response(refusal: Refusal, request_id: str | None = None) -> Response:
    return problem_response(failed_event(refusal), request_id)


def _unknown_request_response(unknown: UnknownRequest, request_id: str) -> Response:
    refusal = Refusal(code=ResultCode.UNKNOWN_REQUEST, detail=unknown.detail)
    return _refusal_response(refusal, request_id)


def _redirect_to_request(request_id: str) -> Response:
    headers = {REQUEST_ID_HEADER: request_id, "location": f"/v1/requests/{request_id}"}
    return Response(status_code=303, headers=headers)


async def _streaming_response(events: _EventStream, request_id: str) -> Response:
    first = await anext(events)
    if isinstance(first, UnknownRequest):
        return _unknown_request_response(first, request_id)
    if isinstance(first.event, Failed):
        return problem_response(first.event, request_id)
    if isinstance(first.event, HandedOver):
        return _redirect_to_request(request_id)

    async def frames() -> cabc.AsyncIterator[bytes]:
        async with contextlib.aclosing(events):
            yield sse_frame(first, request_id)
            async for positioned in events:
                if isinstance(positioned, PositionedEvent):
                    yield sse_frame(positioned, request_id)

    headers = {REQUEST_ID_HEADER: request_id, "cache-control": "no-store"}
    return StreamingResponse(frames(), media_type=SSE_MEDIA_TYPE, headers=headers)


async def _document_response(req: Request, events: _EventStream, request_id: str) -> Response:
    collect_task = asyncio.ensure_future(_collect(events))
    disconnect_task = asyncio.ensure_future(_disconnected(req))
    try:
        await asyncio.wait([collect_task, disconnect_task], return_when=asyncio.FIRST_COMPLETED)
        if not collect_task.done():
            return Response(status_code=CLIENT_CLOSED_REQUEST_STATUS)
        answer = collect_task.result()
    finally:
        collect_task.cancel()
        disconnect_task.cancel()
        await asyncio.gather(collect_task, disconnect_task, return_exceptions=True)
        await events.aclose()
    if isinstance(answer, UnknownRequest):
        return _unknown_request_response(answer, request_id)
    if isinstance(answer.final, Failed):
        return problem_response(answer.final, request_id)
    if not isinstance(answer.final, Ended):
        return _redirect_to_request(request_id)
    headers = {REQUEST_ID_HEADER: request_id}
    status = answer.result.status if answer.result is not None else 200
    return JSONResponse(answer.body(request_id), status_code=status, headers=headers)


async def _collect(events: _EventStream) -> CollectedAnswer | UnknownRequest:
    answer = CollectedAnswer()
    async for positioned in events:
        if isinstance(positioned, UnknownRequest):
            return positioned
        answer.add(positioned.event)
    return answer


async def _disconnected(req: Request) -> None:
    """Return once the caller has closed its connection."""
    while (await req.receive())["type"] != "http.disconnect":
        pass
