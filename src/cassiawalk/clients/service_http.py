"""Client of plain services over HTTP and JSON."""

import asyncio
import time

import orjson

from cassiawalk.clients import _http
from cassiawalk.clients.engine import LoadReport
from cassiawalk.clients.service import CallAnswered
from cassiawalk.clients.service import CallFailed
from cassiawalk.clients.service import CallOutcome
from cassiawalk.clients.service import PlainService
from cassiawalk.clients.service import ServiceCall

_LOOK_UP_TIMEOUT_S = 5.0
_LOAD_TIMEOUT_S = 2.0


class HttpPlainService(PlainService):
    """Client of one plain service.

    Every call opens a new connection. On a pooled connection that the server has closed, a call
    that was never sent fails like one that was cut after sending, and the two must be told apart.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}"

    async def call(self, call: ServiceCall) -> CallOutcome:
        """Send one POST, which aiosonic never repeats by itself."""
        headers = {
            "content-type": "application/json",
            "x-request-id": call.request_id,
            "connection": "close",
        }
        if call.key is not None:
            headers["idempotency-key"] = call.key
        if call.workspace:
            headers["x-workspace"] = call.workspace
        client = _http.new_client(answer_timeout_s=None)
        try:
            async with asyncio.timeout(call.timeout_s):
                res = await client.post(self._url + call.path, data=call.body, headers=headers)
                body = await _http.complete_body(res)
        except _http.NOT_SENT_ERRORS as exc:
            return CallFailed(reason=repr(exc), sent=False)
        except _http.LOST_ANSWER_ERRORS as exc:
            return CallFailed(reason=repr(exc), sent=True)
        finally:
            await _http.close_client(client)
        return CallAnswered(status=res.status_code, body=body)

    async def look_up(self, *, path: str, workspace: str, key: str) -> CallOutcome:
        """Look up with one GET, which may safely be repeated."""
        client = _http.new_client(answer_timeout_s=None)
        try:
            async with asyncio.timeout(_LOOK_UP_TIMEOUT_S):
                res = await client.get(f"{self._url}{path}/{key}", params={"workspace": workspace})
                body = await _http.complete_body(res)
        except _http.LOST_ANSWER_ERRORS as exc:
            return CallFailed(reason=repr(exc), sent=True)
        finally:
            await _http.close_client(client)
        return CallAnswered(status=res.status_code, body=body)

    async def load(self) -> LoadReport | None:
        """Read the load with one GET; a report without a time counts as measured now."""
        client = _http.new_client(answer_timeout_s=None)
        try:
            async with asyncio.timeout(_LOAD_TIMEOUT_S):
                res = await client.get(f"{self._url}/load")
                answer = orjson.loads(await res.content())
            if res.status_code != 200:
                return None
            return LoadReport(
                slots=int(answer["slots"]),
                running=int(answer["running"]),
                waiting=int(answer["waiting"]),
                measured_s=float(answer.get("measured_s", time.time())),
            )
        except _http.UNUSABLE_ANSWER_ERRORS:
            return None
        finally:
            await _http.close_client(client)
