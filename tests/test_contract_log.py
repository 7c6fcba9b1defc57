"""The contract of a log service, run against a fake and against the HTTP client with a stand-in."""

import collections.abc as cabc
import contextlib
import typing as t

import pytest

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendRefused
from cassiawalk.clients import AppendUnknown
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clients import ReadFailed
from cassiawalk.clients import log_http
from cassiawalk.clients.log_http import HttpLogService
from cassiawalk.ids import Offset
from standins.log_service import Faults
from standins.log_service import LogStandIn
from tests.once_fakes import FakeLog
from tests.raw_http import asgi_server
from tests.raw_http import chunked_reply
from tests.raw_http import http_reply
from tests.raw_http import raw_server
from tests.raw_http import unused_address

STREAM = "once-0"
CREATED = "201 Created"


@contextlib.asynccontextmanager
async def http_log(standin: LogStandIn) -> cabc.AsyncIterator[HttpLogService]:
    async with asgi_server(standin.asgi()) as address:
        log = HttpLogService(url=f"http://{address}")
        yield log
        await log.aclose()


@contextlib.asynccontextmanager
async def implementation(name: str) -> cabc.AsyncIterator[LogService]:
    if name == "fake":
        yield FakeLog()
        return
    async with http_log(LogStandIn()) as log:
        yield log


async def read(log: LogService, start: int = 0, limit: int = 100) -> ReadBatch:
    batch = await log.read(stream=STREAM, start=Offset(start), limit=limit)
    assert isinstance(batch, ReadBatch), batch
    return batch


@pytest.mark.parametrize("name", ["fake", "http"])
async def test_contract(name: str) -> None:
    async with implementation(name) as log:
        empty = await read(log)
        assert (empty.entries, empty.first_offset, empty.end_offset) == ((), 0, 0)
        payloads = [b"", b"\0\xff\n", b"x" * 100_000]
        for number, payload in enumerate(payloads):
            assert await log.append(stream=STREAM, payload=payload) == Appended(
                offset=Offset(number)
            )
        batch = await read(log)
        assert [entry.payload for entry in batch.entries] == payloads
        assert [entry.offset for entry in batch.entries] == [0, 1, 2]
        assert batch.end_offset == 3
        assert [entry.offset for entry in (await read(log, 1, 1)).entries] == [1]
        assert (await read(log, 3)).entries == ()
        other = await log.read(stream="once-1", start=Offset(0), limit=10)
        assert isinstance(other, ReadBatch)
        assert other.end_offset == 0


async def test_reading_starts_at_the_oldest_retained_record() -> None:
    standin = LogStandIn()
    async with http_log(standin) as log:
        for _ in range(3):
            await log.append(stream=STREAM, payload=b"p")
        standin._streams[STREAM].expire(1)
        batch = await read(log)
        assert (batch.first_offset, batch.end_offset) == (2, 3)
        assert [entry.offset for entry in batch.entries] == [2]
        assert await log.append(stream=STREAM, payload=b"p") == Appended(offset=Offset(3))


@pytest.mark.parametrize(
    ("faults", "appended", "read_back", "in_stream"),
    [
        pytest.param(Faults(outage=True), AppendRefused, ReadFailed, False, id="outage"),
        pytest.param(Faults(lose_answers=1), AppendUnknown, ReadBatch, True, id="answer lost"),
        pytest.param(Faults(drop_appends=1), AppendUnknown, ReadBatch, False, id="append lost"),
        pytest.param(Faults(late_appends=1), AppendUnknown, ReadBatch, True, id="append late"),
        pytest.param(Faults(cut_reads=1), Appended, ReadFailed, True, id="read cut"),
        pytest.param(
            Faults(outage=True, streams="control"), Appended, ReadBatch, True, id="elsewhere"
        ),
    ],
)
async def test_faults_of_the_service(
    faults: Faults, appended: type, read_back: type, in_stream: bool
) -> None:
    standin = LogStandIn()
    async with http_log(standin) as log:
        standin._faults = faults
        outcome = await log.append(stream=STREAM, payload=b"p")
        assert isinstance(outcome, appended)
        if isinstance(outcome, AppendRefused):
            assert outcome.retry_after_s == 1.0
        assert isinstance(await log.read(stream=STREAM, start=Offset(0), limit=9), read_back)
        standin._faults = Faults()
        assert bool((await read(log)).entries) is in_stream


async def test_rate_limit_refuses_with_a_short_wait() -> None:
    async with http_log(LogStandIn(appends_per_s=0.001)) as log:
        outcomes = [await log.append(stream=STREAM, payload=b"p") for _ in range(101)]
    assert isinstance(outcomes[99], Appended)
    assert outcomes[100] == AppendRefused(reason="status 429", retry_after_s=0.05)


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        pytest.param(b"", AppendUnknown, id="closed without an answer"),
        pytest.param(None, AppendUnknown, id="no answer in time"),
        pytest.param(http_reply(b'{"off', status=CREATED, length=99), AppendUnknown, id="cut"),
        pytest.param(
            chunked_reply(b'{"off', status=CREATED, ended=False), AppendUnknown, id="chunk cut"
        ),
        pytest.param(http_reply(b"{}", status=CREATED), AppendUnknown, id="no offset"),
        pytest.param(http_reply(b"[1]", status=CREATED), AppendUnknown, id="not-a-map"),
        pytest.param(http_reply(b"{", status=CREATED), AppendUnknown, id="not JSON"),
        pytest.param(b"garbage\r\n\r\n", AppendUnknown, id="not HTTP"),
        pytest.param(http_reply(b"", status="500 X"), AppendUnknown, id="status 500"),
        pytest.param(http_reply(b"", status="503 X"), AppendRefused, id="status 503"),
        pytest.param(http_reply(b'{"offset": 7}', status=CREATED), Appended, id="whole"),
        pytest.param(chunked_reply(b'{"offset"', b": 7}", status=CREATED), Appended, id="chunked"),
    ],
)
async def test_append_is_sent_once_whatever_the_answer(
    reply: bytes | None, outcome: type, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log_http, "_APPEND_TIMEOUT_S", 0.3)
    async with raw_server(reply) as server:
        log = HttpLogService(url=f"http://{server.address}")
        assert isinstance(await log.append(stream=STREAM, payload=b"p"), outcome)
        await log.aclose()
    assert len(server.requests) == 1


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(b"", id="closed without an answer"),
        pytest.param(None, id="no answer in time"),
        pytest.param(http_reply(b'{"rec', length=99), id="cut"),
        pytest.param(chunked_reply(b'{"rec', ended=False), id="chunk cut"),
        pytest.param(http_reply(b"{}"), id="no records"),
        pytest.param(http_reply(b"[]"), id="not a map"),
        pytest.param(http_reply(b'{"records": [{"offset": 0}]}'), id="no payload"),
        pytest.param(http_reply(b"", status="404 X"), id="status 404"),
    ],
)
async def test_incomplete_read_fails(reply: bytes | None, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_http, "_READ_TIMEOUT_MARGIN_S", 0.3)
    async with raw_server(reply) as server:
        log = HttpLogService(url=f"http://{server.address}")
        outcome = await log.read(stream=STREAM, start=Offset(0), limit=9)
        await log.aclose()
    assert isinstance(outcome, ReadFailed)


async def test_append_is_refused_and_read_fails_if_nothing_listens() -> None:
    log = HttpLogService(url=f"http://{unused_address()}")
    assert isinstance(await log.append(stream=STREAM, payload=b"p"), AppendRefused)
    assert isinstance(await log.read(stream=STREAM, start=Offset(0), limit=9), ReadFailed)
    await log.aclose()


async def test_closed_pooled_connection_is_not_a_refusal() -> None:
    """A closed pooled connection fails like one that was cut after sending: outcome unknown."""
    async with raw_server(http_reply(b'{"offset": 0}', status=CREATED)) as server:
        log = HttpLogService(url=f"http://{server.address}")
        outcomes: list[t.Any] = [await log.append(stream=STREAM, payload=b"p") for _ in range(4)]
        await log.aclose()
    assert not any(isinstance(outcome, AppendRefused) for outcome in outcomes)
    answered = [outcome for outcome in outcomes if isinstance(outcome, Appended)]
    assert len(server.requests) == len(answered)
