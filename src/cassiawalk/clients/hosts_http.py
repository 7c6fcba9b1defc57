"""Clients of the host list and the cloud API over HTTP."""

import asyncio
import typing as t

import aiosonic
import orjson

from cassiawalk.clients import _http
from cassiawalk.clients.cloud import CloudApi
from cassiawalk.clients.cloud import HostStarted
from cassiawalk.clients.cloud import MachineOffer
from cassiawalk.clients.cloud import ReclaimNotice
from cassiawalk.clients.cloud import StartRefused
from cassiawalk.clients.hosts import HostEntry
from cassiawalk.clients.hosts import HostList
from cassiawalk.ids import HostId
from cassiawalk.metering import Meter
from cassiawalk.wire import from_plain
from cassiawalk.wire import to_plain

_TIMEOUT_S = 3.0
_T = t.TypeVar("_T")


async def _get(
    client: aiosonic.HTTPClient, url: str, *, timeout_s: float, traffic: Meter
) -> t.Any | None:
    """Return the JSON answer to a GET, or None if no complete answer with status 200 arrived."""
    try:
        async with asyncio.timeout(timeout_s):
            res = await client.get(url)
            body = await res.content()
        traffic.note_received(len(body))
        return orjson.loads(body) if res.status_code == 200 else None
    except _http.LOST_ANSWER_ERRORS:
        return None


def _items(answer: t.Any, name: str, schema: type[_T]) -> tuple[_T, ...] | None:
    """Return the items of a list in an answer as ``schema``, or None if the answer is malformed."""
    try:
        return tuple(from_plain(schema, item) for item in answer[name])
    except _http.UNUSABLE_ANSWER_ERRORS:
        return None


class HttpHostList(HostList):
    """Client of the host list."""

    def __init__(self, *, url: str, traffic: Meter | None = None) -> None:
        self._traffic = traffic or Meter()
        self._url = url.rstrip("/")
        self._client = _http.new_client()

    async def hosts(self) -> tuple[HostEntry, ...] | None:
        """Read the list with one GET."""
        url = f"{self._url}/hosts"
        answer = await _get(self._client, url, timeout_s=_TIMEOUT_S, traffic=self._traffic)
        return _items(answer, "hosts", HostEntry)

    async def aclose(self) -> None:
        """Close pooled connections."""
        await _http.close_client(self._client)


class HttpCloudApi(CloudApi):
    """Client of the cloud API."""

    def __init__(self, *, url: str, traffic: Meter | None = None) -> None:
        self._traffic = traffic or Meter()
        self._url = url.rstrip("/")
        self._client = _http.new_client(answer_timeout_s=None)

    async def notices(self, *, after: int, wait_s: float) -> tuple[ReclaimNotice, ...] | None:
        """Read notices with one long-polling GET."""
        url = f"{self._url}/notices?after={after}&wait={wait_s}"
        timeout_s = wait_s + _TIMEOUT_S
        answer = await _get(self._client, url, timeout_s=timeout_s, traffic=self._traffic)
        return _items(answer, "notices", ReclaimNotice)

    async def offers(self) -> tuple[MachineOffer, ...] | None:
        """Read the prices with one GET."""
        url = f"{self._url}/offers"
        answer = await _get(self._client, url, timeout_s=_TIMEOUT_S, traffic=self._traffic)
        return _items(answer, "offers", MachineOffer)

    async def start_host(self, offer: MachineOffer) -> HostStarted | StartRefused | None:
        """Start a host with one POST."""
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                data = orjson.dumps(to_plain(offer))
                res = await self._client.post(f"{self._url}/instances", data=data)
                body = await res.content()
        except _http.NOT_SENT_ERRORS as exc:
            return StartRefused(reason=repr(exc))
        except _http.LOST_ANSWER_ERRORS:
            return None
        if res.status_code == 201:
            return _started(body)
        return StartRefused(reason=f"status {res.status_code}")

    async def aclose(self) -> None:
        """Close pooled connections."""
        await _http.close_client(self._client)


def _started(body: bytes) -> HostStarted | None:
    """Return the started host, or None if the answer does not name it, though it was started."""
    try:
        host = orjson.loads(body)["host"]
    except _http.UNUSABLE_ANSWER_ERRORS:
        return None
    return HostStarted(host=HostId(host)) if isinstance(host, str) else None
