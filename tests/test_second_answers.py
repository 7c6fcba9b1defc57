"""Servers that send a second copy of an answer, late, on a connection that is in use again."""

import asyncio
import base64
import collections.abc as cabc
import contextlib
import struct
import typing as t

import orjson
import pytest

from cassiawalk.clients import KeyedList
from cassiawalk.clients import ReadFailed
from cassiawalk.clients.engine import EngineRequest
from cassiawalk.clients.engine import Tokens
from cassiawalk.clients.engine_http import HttpEngine
from cassiawalk.clients.hosts_http import HttpHostList
from cassiawalk.clients.log import Appended
from cassiawalk.clients.log import ReadBatch
from cassiawalk.clients.log_http import HttpLogService
from cassiawalk.duties import DutyOutcome
from cassiawalk.duties import FencingToken
from cassiawalk.duties import UsageWindow
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import RequestId
from cassiawalk.platform.duties import PlatformDuties
from cassiawalk.platform.store import PlatformStore

USAGE = ("completion_tokens", "computed_tokens", "cached_tokens")
Answers = cabc.Callable[[bytes, bytes], tuple[int, bytes]]


def _completion(head: bytes, body: bytes) -> tuple[int, bytes]:
    events: list[dict[str, t.Any]] = [
        {"choices": [{"text": orjson.loads(body)["prompt"]}]},
        {"choices": [{"text": ""}], "usage": dict.fromkeys(USAGE, 1)},
    ]
    lines = [b"data: " + orjson.dumps(event) for event in events]
    return 200, b"\n\n".join([*lines, b"data: [DONE]", b""])


def _log(head: bytes, body: bytes) -> tuple[int, bytes]:
    if head.startswith(b"POST"):
        return 201, orjson.dumps({"offset": int(body)})
    start = int(head.partition(b"start=")[2].partition(b"&")[0])
    record = {"offset": start, "payload": base64.b64encode(b"%d" % start).decode()}
    found = {"records": [record], "first_offset": 0, "end_offset": start + 1}
    return 200, orjson.dumps(found)


class RepeatingServer:
    """Sends its last answer on a connection again, before the answer to the next request there."""

    def __init__(self, answers: Answers) -> None:
        self._answers = answers
        self.address = ""
        self.requests = 0

    @contextlib.asynccontextmanager
    async def running(self) -> t.AsyncIterator[str]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()[:2]
        async with server:
            yield f"{ip}:{port}"
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last = b""
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
                body = await reader.readexactly(int(length or 0))
                self.requests += 1
                writer.write(last)
                status, content = self._answers(head, body)
                last = b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(content))
                last += content
                writer.write(last)
                await writer.drain()
        writer.close()


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_completion_is_not_that_of_the_request_before(pause_s: float) -> None:
    server = RepeatingServer(_completion)
    async with server.running() as address:
        engine = HttpEngine(address=address)
        for number in range(4):
            request = EngineRequest(
                request_id=RequestId(f"r-{number}"), attempt=1, prompt=f"p-{number}", max_tokens=1
            )
            events = [event async for event in engine.generate(request)]
            texts = [event.text for event in events if isinstance(event, Tokens)]
            assert texts == [f"p-{number}"]
            await asyncio.sleep(pause_s)
        await engine.aclose()
    assert server.requests == 4


async def test_offsets_and_records_are_not_those_of_the_call_before() -> None:
    server = RepeatingServer(_log)
    async with server.running() as address:
        log = HttpLogService(url=f"http://{address}")
        for number in range(3, 7):
            appended = await log.append(stream="s", payload=b"%d" % number)
            assert appended == Appended(offset=Offset(number))
            batch = await log.read(stream="s", start=Offset(10 * number), limit=1)
            assert isinstance(batch, ReadBatch)
            assert [entry.offset for entry in batch.entries] == [10 * number]
        await log.aclose()


async def test_list_of_hosts_is_the_newest() -> None:
    numbers = iter(range(10))

    def answers(head: bytes, body: bytes) -> tuple[int, bytes]:
        entry = {
            "host": f"h-{next(numbers)}",
            "role": "entry",
            "failure_domain": "north",
            "address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2",
        }
        return 200, orjson.dumps({"hosts": [entry]})

    async with RepeatingServer(answers).running() as address:
        hosts = HttpHostList(url=f"http://{address}")
        for number in range(3):
            found = await hosts.hosts()
            assert found is not None
            assert [entry.host for entry in found] == [f"h-{number}"]
        await hosts.aclose()


async def test_records_of_the_store_keep_their_offsets() -> None:
    def answers(head: bytes, body: bytes) -> tuple[int, bytes]:
        start = int(head.partition(b"from=")[2].partition(b"&")[0])
        payload = b"%d" % start
        return 200, struct.pack(">QQI", start + 1, 0, len(payload)) + payload

    async with RepeatingServer(answers).running() as address:
        store = PlatformStore(address=address)
        read = 0
        while read < 5:
            batch = await store.read(stream="s", start=Offset(read), limit=1, wait_s=0.01)
            if isinstance(batch, ReadFailed):
                continue
            assert [entry.payload for entry in batch.entries] == [b"%d" % read]
            read += 1
        await store.aclose()


async def test_part_of_the_stores_records_is_not_taken_for_the_next_part() -> None:
    def answers(head: bytes, body: bytes) -> tuple[int, bytes]:
        start = int(head.partition(b"from=")[2].partition(b"&")[0])
        payload = b"%d" % start
        return 200, struct.pack(">QQI", 100, 0, len(payload)) + payload

    async with RepeatingServer(answers).running() as address:
        store = PlatformStore(address=address)
        for start in range(5):
            batch = await store.read(stream="s", start=Offset(start), limit=1, wait_s=0.01)
            assert isinstance(batch, ReadBatch)
            assert [entry.payload for entry in batch.entries] == [b"%d" % start]
        await store.aclose()


async def test_store_is_not_believed_to_have_nothing_new_before_it_has_waited() -> None:
    wait_s = 0.2
    async with RepeatingServer(lambda head, body: (200, struct.pack(">QQ", 3, 0))).running() as at:
        store = PlatformStore(address=at)
        loop = asyncio.get_running_loop()
        for _ in range(4):
            started_at = loop.time()
            batch = await store.read(stream="s", start=Offset(3), limit=1, wait_s=wait_s)
            assert isinstance(batch, ReadFailed) or loop.time() - started_at >= wait_s
        await store.aclose()


@pytest.mark.parametrize("wait_s", [0.0, 0.01])
async def test_records_of_one_stream_are_not_those_of_another(wait_s: float) -> None:
    def answers(head: bytes, body: bytes) -> tuple[int, bytes]:
        topic = head.partition(b"topic=")[2].partition(b"&")[0]
        return 200, struct.pack(">QQI", 1, 0, len(topic)) + topic

    async with RepeatingServer(answers).running() as address:
        store = PlatformStore(address=address)
        for stream in ("a", "b", "a", "c"):
            batch = await store.read(stream=stream, start=Offset(0), limit=1, wait_s=wait_s)
            assert isinstance(batch, ReadBatch)
            assert [entry.payload for entry in batch.entries] == [stream.encode()]
        await store.aclose()


async def test_lists_and_appends_of_the_store_are_their_own() -> None:
    numbers = iter(range(20))

    def answers(head: bytes, body: bytes) -> tuple[int, bytes]:
        number = next(numbers)
        found: dict[str, t.Any] = {"offset": number, "end": number, "has_more": False}
        return 200, orjson.dumps({**found, "entries": []})

    async with RepeatingServer(answers).running() as address:
        store = PlatformStore(address=address)
        for number in range(0, 6, 2):
            listed = await store.newest(stream="s")
            assert isinstance(listed, KeyedList)
            assert listed.end == number
            appended = await store.append(stream="s", payload=b"x")
            assert appended == Appended(offset=Offset(number + 1))
        await store.aclose()


async def test_refused_call_of_a_duty_does_not_count_as_done() -> None:
    statuses = iter([200, 429, 200, 409])
    server = RepeatingServer(lambda head, body: (next(statuses), b'{"reason":"fenced"}'))
    async with server.running() as address:
        duties = PlatformDuties(address=address)
        by = FencingToken(holder=HostId("h"), fence=Offset(1))
        window = UsageWindow(number=1, counts={})
        outcomes = [await duties.report_usage(window, by) for _ in range(4)]
        duties.close()
    assert outcomes == [
        DutyOutcome.DONE,
        DutyOutcome.BUSY,
        DutyOutcome.DONE,
        DutyOutcome.SUPERSEDED,
    ]
