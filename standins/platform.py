"""Stand-ins for the platform: its store and the service that duties call."""

import asyncio
import base64
import collections
import collections.abc as cabc
import dataclasses
import gc
import socket
import struct
import time
import typing as t
import urllib.parse

import orjson

from cassiawalk.http1 import Exchange
from cassiawalk.http1 import ExchangeHandler
from cassiawalk.http1 import HttpListener
from cassiawalk.http1.heads import header_value
from cassiawalk.settings import Address
from cassiawalk.sockets import bound_address
from cassiawalk.sockets import listen

JSON = [(b"Content-Type", b"application/json")]
KEYED_PREFIX = "keyed."
UPSTREAM_TOPIC = "keyed.servers"
PAGE_ENTRIES = 500
LOOPBACK = Address(ip="127.0.0.1", port=0)


class StandIn(ExchangeHandler):
    """A stand-in that listens on a free loopback port; ``address`` is ``IP:port``."""

    def __init__(self) -> None:
        sock = listen(LOOPBACK)
        self.address = bound_address(sock)
        self._listener = self._new_listener(sock)

    async def start(self) -> None:
        """Start to accept connections."""
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._listener.stop()
        for conn in list(self._listener.connections):
            conn.close_idle()

    async def restart(self, *, down_s: float, reset: bool = True) -> None:
        """End all connections, and listen again at the same address after ``down_s`` s.

        :param reset: whether the connections are reset; else they are closed in order.
        """
        for conn in list(self._listener.connections):
            self._end_connection(conn, reset=reset)
        await self._listener.stop()
        await asyncio.sleep(0)
        # asyncio leaves open, until it is collected, what it accepted in the step of the close.
        gc.collect()
        await asyncio.sleep(down_s)
        for conn in list(self._listener.connections):  # what it had accepted ends with it
            self._end_connection(conn, reset=True)
        ip, _, port = self.address.rpartition(":")
        sock = listen(Address(ip=ip, port=int(port)))
        self._listener = self._new_listener(sock)
        await self._listener.start()

    def _new_listener(self, sock: socket.socket) -> t.Any:
        return HttpListener(sock=sock, handler=self)

    def _end_connection(self, conn: t.Any, *, reset: bool) -> None:
        conn.abort()


class PlatformStore(StandIn):
    """Topics of records, with one partition each.

    While ``refusal`` is set, every call is answered with that status. ``calls`` counts the calls
    by name. ``era`` counts the returns from an older copy. A page of a list holds ``page_entries``
    at most. ``between_pages``, if set, is called once after the first page of the next list of
    upstreams that has more pages, with the keys on that page.
    """

    def __init__(self) -> None:
        super().__init__()
        self._topics: dict[str, list[bytes]] = collections.defaultdict(list)
        self._appended_at: dict[str, list[float]] = collections.defaultdict(list)
        self.era = 1
        self._appended = asyncio.Condition()
        self.refusal: int | None = None
        self.calls: collections.Counter[str] = collections.Counter()
        self.page_entries = PAGE_ENTRIES
        self.between_pages: cabc.Callable[[list[str]], cabc.Awaitable[None]] | None = None

    async def put(self, topic: str, key: str, value: dict[str, t.Any] | None) -> int:
        """Append a keyed record, as the operator and upstreams do, and return its offset.

        :param value: the record's JSON value; None deletes the key.
        """
        data = b"" if value is None else orjson.dumps(value)
        return await self.put_raw(topic, key.encode(), data)

    async def put_raw(self, topic: str, key: bytes, value: bytes) -> int:
        """Append a keyed record of any bytes, and return its offset; no value deletes the key."""
        return await self._append(topic, [bytes((len(key),)) + key + value])

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key of a topic that has one."""
        found: dict[str, bytes] = {}
        for record in self._topics[topic]:
            split = 1 + record[0]
            found[record[1:split].decode()] = record[split:]
        return {key: value for key, value in found.items() if value}

    def return_from_copy(self, *, age_s: float) -> None:
        """Lose all records of the last ``age_s`` s; their offsets are given out again."""
        oldest = time.monotonic() - age_s
        for topic, times in self._appended_at.items():
            kept = sum(at <= oldest for at in times)
            del self._topics[topic][kept:]
            del times[kept:]
        self.era += 1

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        path, _, text = exchange.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        name = path.rpartition("/")[2]
        self.calls[name] += 1
        if self.refusal is not None:
            self._answer(exchange, self.refusal, [], b"")
        elif name == "log-append":
            await self._serve_append(exchange, query)
        elif name == "log-read":
            await self._serve_read(exchange, query)
        elif name == "log-newest":
            await self._serve_newest(exchange, query)
        else:
            self._answer(exchange, 404, [], b"")

    def _answer(
        self, exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        exchange.answer(status, [*headers, (b"Store-Era", str(self.era).encode())], body)

    async def _append(self, topic: str, records: list[bytes]) -> int:
        async with self._appended:
            offset = len(self._topics[topic])
            self._topics[topic].extend(records)
            self._appended_at[topic].extend([time.monotonic()] * len(records))
            self._appended.notify_all()
        return offset

    async def _serve_append(self, exchange: Exchange, query: dict[str, str]) -> None:
        records, position = [], 0
        while position < len(exchange.body):
            (length,) = struct.unpack_from(">I", exchange.body, position)
            records.append(exchange.body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = await self._append(query["topic"], records)
        self._answer(
            exchange, 200, JSON, orjson.dumps({"offset": offset, "end": offset + len(records)})
        )

    async def _serve_read(self, exchange: Exchange, query: dict[str, str]) -> None:
        topic, start = self._topics[query["topic"]], int(query["from"])
        if start > len(topic):
            self._answer(exchange, 410, JSON, orjson.dumps({"first": 0}))
            return
        wait_s = int(query.get("wait_ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s), self._appended:
                await self._appended.wait_for(lambda: len(topic) > start)
        except TimeoutError:
            pass
        records = topic[start:]
        body = struct.pack(">QQ", len(topic), 0)
        body += b"".join(struct.pack(">I", len(record)) + record for record in records)
        self._answer(exchange, 200, [], body)

    async def _serve_newest(self, exchange: Exchange, query: dict[str, str]) -> None:
        page = self._newest(query)
        between = self.between_pages
        if query["topic"] == UPSTREAM_TOPIC and page["has_more"] and between is not None:
            self.between_pages = None
            await between([entry["key"] for entry in page["entries"]])
        self._answer(exchange, 200, JSON, orjson.dumps(page))

    def _newest(self, query: dict[str, str]) -> dict[str, t.Any]:
        newest: dict[str, tuple[int, bytes]] = {}
        topic = self._topics[query["topic"]]
        for offset, record in enumerate(topic):
            key_end = 1 + record[0]
            key = record[1:key_end].decode(errors="replace")
            newest.pop(key, None)
            if record[key_end:]:
                newest[key] = (offset, record[key_end:])
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if key > query.get("after", "")
        ]
        more = len(entries) > self.page_entries
        return {"entries": entries[: self.page_entries], "has_more": more, "end": len(topic)}


@dataclasses.dataclass(frozen=True, kw_only=True)
class DutyCall:
    """One accepted call of a duty; ``at`` is its arrival, in monotonic seconds."""

    path: str
    holder: str
    fencing_token: int
    body: dict[str, t.Any]
    at: float = 0.0


class DutyService(StandIn):
    """Records the calls of duties in the order of their arrival.

    With ``checks_fencing``, it refuses those with a lower fencing token than an earlier one.
    ``delay_s`` delays all answers, and ``loses_answers`` withholds them.
    """

    def __init__(self, *, checks_fencing: bool = True) -> None:
        super().__init__()
        self._checks_fencing = checks_fencing
        self.delay_s = 0.0
        self.loses_answers = False
        self.calls: list[DutyCall] = []
        self._highest_token = -1

    async def handle(self, exchange: Exchange) -> None:
        """Record or refuse one call."""
        token = int(header_value(exchange.headers, b"x-fencing-token") or b"-1")
        if self._checks_fencing and token < self._highest_token:
            exchange.answer(409, JSON, b'{"reason":"fenced"}')
            return
        self._highest_token = token
        holder = (header_value(exchange.headers, b"x-duty-holder") or b"").decode()
        self.calls.append(
            DutyCall(
                path=exchange.target.decode(),
                holder=holder,
                fencing_token=token,
                body=orjson.loads(exchange.body),
                at=time.monotonic(),
            )
        )
        await asyncio.sleep(self.delay_s)
        if self.loses_answers:
            await asyncio.Event().wait()
        exchange.answer(200, JSON, b"{}")
