"""Client of the log service over HTTP."""

import asyncio
import base64

import orjson

from cassiawalk.clients import _http
from cassiawalk.clients.log import Appended
from cassiawalk.clients.log import AppendOutcome
from cassiawalk.clients.log import AppendRefused
from cassiawalk.clients.log import AppendUnknown
from cassiawalk.clients.log import LogEntry
from cassiawalk.clients.log import LogService
from cassiawalk.clients.log import ReadBatch
from cassiawalk.clients.log import ReadFailed
from cassiawalk.clients.log import ReadOutcome
from cassiawalk.ids import Offset
from cassiawalk.metering import Meter

_DEFAULT_RETRY_S = 1.0
_APPEND_TIMEOUT_S = 3.0
_READ_TIMEOUT_MARGIN_S = 3.0
_LOST_OR_MALFORMED_ERRORS: tuple[type[BaseException], ...] = (
    *_http.LOST_ANSWER_ERRORS,
    KeyError,
    TypeError,
)


class HttpLogService(LogService):
    """Client of a log service with JSON answers and base64 payloads."""

    def __init__(self, *, url: str, traffic: Meter | None = None) -> None:
        self._traffic = traffic or Meter()
        self._url = url.rstrip("/")
        self._client = _http.new_client(answer_timeout_s=None)

    async def append(self, *, stream: str, payload: bytes) -> AppendOutcome:
        """Append with one POST, which aiosonic never repeats by itself."""
        url = f"{self._url}/streams/{stream}/records"
        self._traffic.note_sent(len(payload))
        try:
            async with asyncio.timeout(_APPEND_TIMEOUT_S):
                res = await self._client.post(url, data=payload)
                body = await _http.complete_body(res)
            if res.status_code == 201:
                return Appended(offset=Offset(int(orjson.loads(body)["offset"])))
        except _http.NOT_SENT_ERRORS as exc:
            return AppendRefused(reason=repr(exc), retry_after_s=_DEFAULT_RETRY_S)
        except _LOST_OR_MALFORMED_ERRORS as exc:
            return AppendUnknown(reason=repr(exc))
        if res.status_code in (429, 503):
            retry_s = _http.header_float(res.headers, "retry-after") or _DEFAULT_RETRY_S
            return AppendRefused(reason=f"status {res.status_code}", retry_after_s=retry_s)
        return AppendUnknown(reason=f"status {res.status_code}")

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        """Read with one long-polling GET."""
        url = f"{self._url}/streams/{stream}/records"
        params = {"start": str(start), "limit": str(limit), "wait": str(wait_s)}
        try:
            async with asyncio.timeout(wait_s + _READ_TIMEOUT_MARGIN_S):
                res = await self._client.get(url, params=params)
                body = await _http.complete_body(res)
            self._traffic.note_received(len(body))
            if res.status_code != 200:
                outage = res.status_code == 503
                return ReadFailed(reason=f"status {res.status_code}", service_outage=outage)
            return _read_batch(body)
        except _LOST_OR_MALFORMED_ERRORS as exc:
            return ReadFailed(reason=repr(exc))

    async def aclose(self) -> None:
        """Close pooled connections."""
        await _http.close_client(self._client)


def _read_batch(body: bytes) -> ReadBatch:
    answer = orjson.loads(body)
    entries = tuple(
        LogEntry(offset=Offset(item["offset"]), payload=base64.b64decode(item["payload"]))
        for item in answer["records"]
    )
    return ReadBatch(
        entries=entries,
        first_offset=Offset(answer["first_offset"]),
        end_offset=Offset(answer["end_offset"]),
    )
