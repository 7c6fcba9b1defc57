"""HTTP clients for the admin and caller interfaces of a host."""

import collections.abc as cabc
import dataclasses
import typing as t

import aiosonic
import orjson

from cassiawalk.cli.errors import UnreachableError
from cassiawalk.clients import _http

STATEMENT_TIMEOUT_S = 30.0
REQUEST_ID_HEADER = "x-request-id"
FIRST_EVENT_ID = "0"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """The status and the JSON body of an HTTP response."""

    status: int
    body: t.Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerEvent:
    """A server-sent event of an answer."""

    event_id: str
    name: str
    data: dict[str, t.Any]


class AdminClient:
    """Sends statements to one host."""

    def __init__(self, *, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"authorization": f"Bearer {token}", "content-type": "application/json"}
        self._client = _http.new_client(answer_timeout_s=STATEMENT_TIMEOUT_S)

    async def run(self, statement: str, *, wait: bool) -> Reply:
        """Send a statement and return the reply.

        :param wait: whether to wait until a change is in force on all live hosts.
        :raises UnreachableError: if no complete reply was received.
        """
        try:
            res = await self._client.post(
                f"{self._url}/admin/v1/statements",
                data=orjson.dumps({"statement": statement, "wait": wait}),
                headers=self._headers,
            )
            return Reply(status=res.status_code, body=orjson.loads(await res.content()))
        except _http.LOST_ANSWER_ERRORS as exc:
            raise UnreachableError(f"no answer from {self._url}: {exc!r}") from exc

    async def aclose(self) -> None:
        """Close all connections."""
        await _http.close_client(self._client)


class CallerClient:
    """Sends requests to one host and reads their events."""

    def __init__(self, *, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._token = token
        self._client = _http.new_client(answer_timeout_s=None)

    async def submit(
        self, path: str, body: bytes, *, key: str | None
    ) -> cabc.AsyncGenerator[ServerEvent | Reply, None]:
        """Send a request and yield its events, or one ``Reply`` if it was refused.

        :param path: service and request kind, as in ``SERVICE/KIND``.
        :param key: value of the ``Idempotency-Key`` header.
        :raises UnreachableError: if the host did not answer.
        """
        headers = self._headers()
        if key is not None:
            headers["idempotency-key"] = key
        url = f"{self._url}/v1/services/{path}"
        res = await self._send(self._client.post(url, data=body, headers=headers))
        async for item in _events(res):
            yield item

    async def attach(
        self, request_id: str, *, after: str
    ) -> cabc.AsyncGenerator[ServerEvent | Reply, None]:
        """Yield the events of an accepted request, or one ``Reply`` if it was refused.

        :param after: id of the last event that was read.
        :raises UnreachableError: if the host did not answer.
        """
        headers = {**self._headers(), "last-event-id": after}
        url = f"{self._url}/v1/requests/{request_id}"
        res = await self._send(self._client.get(url, headers=headers))
        async for item in _events(res, after=after):
            yield item

    async def aclose(self) -> None:
        """Close all connections."""
        await _http.close_client(self._client)

    def _headers(self) -> dict[str, str]:
        return {
            "authorization": f"Bearer {self._token}",
            "content-type": "application/json",
            "accept": "text/event-stream",
        }

    async def _send(self, exchange: cabc.Awaitable[aiosonic.HttpResponse]) -> aiosonic.HttpResponse:
        try:
            return await exchange
        except _http.LOST_ANSWER_ERRORS as exc:
            raise UnreachableError(f"no answer from {self._url}: {exc!r}") from exc


async def _events(
    res: aiosonic.HttpResponse, *, after: str = FIRST_EVENT_ID
) -> cabc.AsyncGenerator[ServerEvent | Reply, None]:
    if res.status_code != 200:
        yield Reply(status=res.status_code, body=orjson.loads(await res.content()))
        return
    accepted = {"request_id": res.headers.get(REQUEST_ID_HEADER)}
    yield ServerEvent(event_id=after, name="accepted", data=accepted)
    incomplete = b""
    try:
        async for chunk in res.read_chunks():
            *frames, incomplete = (incomplete + chunk).split(b"\n\n")
            for frame in frames:
                yield _server_event(frame)
    except _http.LOST_ANSWER_ERRORS:
        # An interrupted stream has no end event; the caller attaches again after its last event id.
        return


def _server_event(frame: bytes) -> ServerEvent:
    fields = dict(line.split(": ", 1) for line in frame.decode().splitlines())
    return ServerEvent(
        event_id=fields["id"], name=fields["event"], data=orjson.loads(fields["data"])
    )
