"""Client of model engines: the completions protocol with server-sent events."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

import orjson

from cassiawalk.clients import _http
from cassiawalk.clients.engine import CacheRemoved
from cassiawalk.clients.engine import CacheStored
from cassiawalk.clients.engine import Engine
from cassiawalk.clients.engine import EngineEvent
from cassiawalk.clients.engine import EngineNotice
from cassiawalk.clients.engine import EngineOrder
from cassiawalk.clients.engine import EngineRequest
from cassiawalk.clients.engine import Finished
from cassiawalk.clients.engine import Interrupted
from cassiawalk.clients.engine import InterruptReason
from cassiawalk.clients.engine import LoadReport
from cassiawalk.clients.engine import OrderOutcome
from cassiawalk.clients.engine import Tokens
from cassiawalk.http1 import AnswerData
from cassiawalk.http1 import AnswerEnd
from cassiawalk.http1 import AnswerHead
from cassiawalk.http1 import ConnectError
from cassiawalk.http1 import ConnectionPool
from cassiawalk.http1 import UpstreamConnection
from cassiawalk.ids import RequestId
from cassiawalk.metering import Meter

_DONE = b"[DONE]"
_KV_TIMEOUT_S = 30.0
_ORDER_TIMEOUT_S = 5.0
SILENCE_LIMIT_S = 20.0


class HttpEngine(Engine):
    """Client of one engine.

    :param silence_limit_s: the longest wait for the next event of an answer, in seconds.
    :param traffic: counts the bytes of received notices.
    """

    def __init__(
        self,
        *,
        address: str,
        silence_limit_s: float = SILENCE_LIMIT_S,
        traffic: Meter | None = None,
    ) -> None:
        self._traffic = traffic or Meter()
        self._url = f"http://{address}"
        self._address = address
        self._pool = ConnectionPool(address=address)
        self._client = _http.new_client(answer_timeout_s=None)
        self._silence_limit_s = silence_limit_s

    async def generate(self, req: EngineRequest) -> cabc.AsyncGenerator[EngineEvent, None]:
        """Yield the events of one streamed completion."""
        stream = self._stream(req)
        async with contextlib.aclosing(stream):
            while True:
                try:
                    async with asyncio.timeout(self._silence_limit_s):
                        event = await anext(stream)
                except StopAsyncIteration:
                    return
                except TimeoutError:
                    yield Interrupted(reason=InterruptReason.SILENT, sent=True)
                    return
                yield event

    async def _stream(self, req: EngineRequest) -> cabc.AsyncGenerator[EngineEvent, None]:
        try:
            conn = await self._pool.acquire(timeout_s=_http.CONNECT_TIMEOUT_S)
        except ConnectError as exc:
            yield _interrupted(InterruptReason.CONNECT_FAILED, exc, sent=False)
            return
        try:
            self._send(conn, orjson.dumps(_completion_body(req)))
            head = await conn.next_event()
            if not isinstance(head, AnswerHead):
                detail = getattr(head, "reason", "no head")
                yield Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True, detail=detail)
            elif head.status != 200:
                yield _refusal(head)
            else:
                async for event in _completion_events(_chunks(conn)):
                    yield event
        finally:
            self._pool.release(conn)

    def _send(self, conn: UpstreamConnection, body: bytes) -> None:
        """Send a request and keep the connection for it alone, as answers do not name theirs."""
        headers = [
            (b"Host", self._address.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        conn.send(
            method=b"POST",
            target=b"/v1/completions",
            headers=headers,
            body=body,
            is_foreign=lambda _: False,
        )

    async def notices(self) -> cabc.AsyncGenerator[EngineNotice, None]:
        """Yield the notices of the engine's event stream until it ends or is malformed."""
        try:
            res = await self._client.get(f"{self._url}/events")
            async for payloads in _http.sse_data(res.read_chunks()):
                for payload in payloads:
                    self._traffic.note_received(len(payload))
                    yield _notice(orjson.loads(payload))
        except _http.UNUSABLE_ANSWER_ERRORS:
            return

    async def export_kv(self, request_id: RequestId) -> bytes | None:
        """Export a cache with one POST."""
        try:
            async with asyncio.timeout(_KV_TIMEOUT_S):
                res = await self._client.post(f"{self._url}/kv/{request_id}/export")
                body = await res.content()
        except _http.LOST_ANSWER_ERRORS:
            return None
        return bytes(body) if res.status_code == 200 else None

    async def import_kv(self, blob: bytes) -> str | None:
        """Import a cache with one POST."""
        try:
            async with asyncio.timeout(_KV_TIMEOUT_S):
                res = await self._client.post(f"{self._url}/kv/import", data=blob)
                body = await res.content()
            handle = orjson.loads(body)["handle"] if res.status_code == 201 else None
            return handle if isinstance(handle, str) else None
        except _http.UNUSABLE_ANSWER_ERRORS:
            return None

    async def order(self, order: EngineOrder) -> OrderOutcome:
        """Send the order with one POST."""
        data = {"fence": order.fence, "action": order.action, "argument": order.argument}
        try:
            async with asyncio.timeout(_ORDER_TIMEOUT_S):
                res = await self._client.post(f"{self._url}/orders", data=orjson.dumps(data))
        except _http.NOT_SENT_ERRORS:
            return OrderOutcome.REFUSED
        except _http.LOST_ANSWER_ERRORS:
            return OrderOutcome.UNKNOWN
        if res.status_code == 200:
            return OrderOutcome.DONE
        return OrderOutcome.STALE_FENCE if res.status_code == 409 else OrderOutcome.REFUSED

    async def aclose(self) -> None:
        """Close pooled connections."""
        self._pool.close()
        await _http.close_client(self._client)


def _completion_body(req: EngineRequest) -> dict[str, t.Any]:
    return {
        "prompt": req.prompt,
        "max_tokens": req.max_tokens,
        "stream": True,
        "priority": req.priority,
        "request_id": f"{req.request_id}/{req.attempt}",
        "resume_text": req.resume_text,
        "resume_tokens": req.resume_tokens,
        "kv_handle": req.kv_handle,
    }


def _interrupted(reason: InterruptReason, exc: BaseException, *, sent: bool) -> Interrupted:
    return Interrupted(reason=reason, sent=sent, detail=repr(exc))


async def _chunks(conn: UpstreamConnection) -> cabc.AsyncGenerator[bytes, None]:
    """Yield the pieces of an answer's body.

    :raises EOFError: if the answer is truncated.
    """
    while True:
        event = await conn.next_event()
        if isinstance(event, AnswerEnd):
            return
        if not isinstance(event, AnswerData):
            raise EOFError(getattr(event, "reason", "answer truncated"))
        yield event.data


def _refusal(head: AnswerHead) -> Interrupted:
    """Return the event for a status other than 200.

    Only 429 and 503 state that the engine did not accept the request.
    """
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in head.headers
    }
    retry_s = _http.header_float(headers, "retry-after")
    detail = f"status {head.status}"
    if head.status in (429, 503):
        leaving = headers.get("x-leaving") == "1"
        reason = InterruptReason.LEAVING if leaving else InterruptReason.REFUSED
        return Interrupted(reason=reason, sent=False, retry_after_s=retry_s)
    if 400 <= head.status < 500:
        return Interrupted(reason=InterruptReason.REJECTED, sent=True, detail=detail)
    return Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True, detail=detail)


async def _completion_events(
    chunks: cabc.AsyncIterator[bytes],
) -> cabc.AsyncGenerator[EngineEvent, None]:
    """Yield ``Tokens`` per network chunk with text, then one ``Finished`` or ``Interrupted``."""
    finished: Finished | None = None
    try:
        async for payloads in _http.sse_data(chunks):
            ended = payloads[-1] == _DONE
            items = [orjson.loads(p) for p in payloads if p != _DONE]
            texts = [text for item in items if (text := item["choices"][0]["text"])]
            if texts:
                yield Tokens(count=len(texts), text="".join(texts))
            finished = _finished(items) or finished
            if ended and finished is not None:
                yield finished
                return
    except _http.UNUSABLE_ANSWER_ERRORS as exc:
        yield _interrupted(InterruptReason.CONNECTION_LOST, exc, sent=True)
        return
    yield Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True, detail="no end marker")


def _finished(items: list[t.Any]) -> Finished | None:
    for item in items:
        usage = item.get("usage")
        if usage:
            return Finished(
                completion_tokens=usage["completion_tokens"],
                computed_tokens=usage["computed_tokens"],
                cached_tokens=usage["cached_tokens"],
            )
    return None


def _notice(item: dict[str, t.Any]) -> EngineNotice:
    if item["type"] == "stored":
        return CacheStored(seq=item["seq"], blocks=tuple(item["blocks"]))
    if item["type"] == "removed":
        return CacheRemoved(seq=item["seq"], blocks=tuple(item["blocks"]))
    return LoadReport(
        slots=int(item["slots"]),
        running=int(item["running"]),
        waiting=int(item["waiting"]),
        measured_s=float(item["measured_s"]),
        token_interval_s=float(item.get("token_interval_s", 0.0)),
    )
