"""The client of the platform's store: valid, lost and malformed answers."""

import asyncio
import base64
import contextlib
import itertools
import struct
import typing as t

import orjson
import pytest

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendRefused
from cassiawalk.clients import AppendUnknown
from cassiawalk.clients import KeyedChanges
from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import ReadFailed
from cassiawalk.ids import Offset
from cassiawalk.platform import store as store_module
from cassiawalk.platform.store import PlatformStore
from tests.raw_http import RawServer
from tests.raw_http import raw_server

START = Offset(7)


def reply(status: str, body: bytes) -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def read_body(end: int, first: int, *payloads: bytes) -> bytes:
    records = b"".join(struct.pack(">I", len(payload)) + payload for payload in payloads)
    return struct.pack(">QQ", end, first) + records


@contextlib.asynccontextmanager
async def served(
    data: bytes | None, *, keep_open: bool = True
) -> t.AsyncIterator[tuple[PlatformStore, RawServer]]:
    async with raw_server(data, keep_open=keep_open) as server:
        store = PlatformStore(address=server.address)
        yield store, server
        await store.aclose()


@pytest.mark.parametrize(
    ("data", "outcome"),
    [
        (reply("200 OK", b'{"offset":9,"end":10}'), Appended),
        (reply("200 OK", b'{"end":10}'), AppendUnknown),
        (reply("200 OK", b"gone wrong"), AppendUnknown),
        (reply("503 Down", b""), AppendRefused),
        (reply("429 Slow", b""), AppendRefused),
        (reply("412 Moved", b'{"end":3}'), AppendRefused),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{", AppendUnknown),
        (b"no answer at all\r\n\r\n", AppendUnknown),
        (None, AppendUnknown),
    ],
)
async def test_append_outcome_matches_the_answer(
    data: bytes | None, outcome: type, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.2)
    async with served(data) as (store, server):
        found = await store.append(stream="work", payload=b"ab")
        assert isinstance(found, outcome), found
        head, _, body = server.requests[0].partition(b"\r\n\r\n")
        assert head.startswith(b"POST /cassiawalk/log-append?topic=work&part=0 HTTP/1.1")
        assert body == b"\x00\x00\x00\x02ab"


async def test_append_is_refused_if_no_store_listens() -> None:
    found = await PlatformStore(address="127.0.0.1:1").append(stream="work", payload=b"ab")
    assert isinstance(found, AppendRefused)


async def test_read_returns_records_with_their_offsets() -> None:
    async with served(reply("200 OK", read_body(9, 2, b"a", b"bc"))) as (store, server):
        found = await store.read(stream="work", start=START, limit=0, wait_s=0.05)
        assert not isinstance(found, ReadFailed)
        assert [(e.offset, e.payload) for e in found.entries] == [(7, b"a"), (8, b"bc")]
        assert (found.first_offset, found.end_offset) == (2, 9)
        assert b"from=7" in server.requests[0]
        assert b"wait_ms=50" in server.requests[0]


@pytest.mark.parametrize(
    "data",
    [
        reply("503 Down", b""),
        reply("200 OK", b"short"),
        reply("200 OK", read_body(9, 0) + b"\x00\x00"),
        reply("200 OK", read_body(9, 0) + b"\x00\x00\x00\x09ab"),
        reply("410 Gone", b"[]"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{",
    ],
)
async def test_malformed_read_is_a_failure(data: bytes) -> None:
    async with served(data) as (store, _):
        assert isinstance(await store.read(stream="work", start=START, limit=0), ReadFailed)
        assert isinstance(await store.changes(stream="keyed.op", start=START), ReadFailed)


async def test_expired_records_are_reported_as_missed() -> None:
    async with served(reply("410 Gone", b'{"first":12}')) as (store, _):
        found = await store.changes(stream="keyed.op", start=START)
        assert isinstance(found, KeyedChanges)
        assert found.missed


async def test_keyed_changes_hold_keys_values_and_removals() -> None:
    body = read_body(10, 0, b"\x03onewhole", b"\x03two", b"\x09torn")
    async with served(reply("200 OK", body)) as (store, _):
        found = await store.changes(stream="keyed.op", start=START)
        assert found == KeyedChanges(
            records=(
                KeyedRecord(key="one", value=b"whole", offset=Offset(7)),
                KeyedRecord(key="two", value=None, offset=Offset(8)),
            ),
            end=Offset(10),
        )


@pytest.mark.parametrize("names", ["a", "ab"])
async def test_list_whose_pages_go_round_is_a_failure(names: str) -> None:
    """Guards against a list that is read without end, and a host that does nothing else."""
    turns = itertools.cycle(names)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        page = {"entries": [_row(next(turns), 3)], "has_more": True, "end": 5}
        writer.write(reply("200 OK", orjson.dumps(page)))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()[:2]
    async with asyncio.timeout(2.0):
        found = await PlatformStore(address=f"{ip}:{port}").newest(stream="keyed.op")
    server.close()
    assert isinstance(found, ReadFailed)


async def test_newest_reads_all_pages() -> None:
    pages = [
        {"entries": [_row("a", 3)], "has_more": True, "end": 5},
        {"entries": [_row("b", 4)], "has_more": False, "end": 8},
    ]
    heads: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(reply("200 OK", orjson.dumps(pages[len(heads) - 1])))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()[:2]
    found = await PlatformStore(address=f"{ip}:{port}").newest(stream="keyed.op")
    server.close()
    assert len(heads) == len(pages)
    assert isinstance(found, KeyedList)
    assert [record.key for record in found.records] == ["a", "b"]
    assert found.end == 5, "records appended between two pages have to be read again"
    assert b"after=a" in heads[1]


@pytest.mark.parametrize(
    "page",
    [
        {"entries": "none", "end": 1},
        {"entries": [{"key": "a", "value": "***", "offset": 1}], "end": 1},
        {"entries": [{"key": "a", "value": "YQ=="}], "end": 1},
        {"entries": [5], "end": 1},
        {"entries": []},
    ],
)
async def test_malformed_list_is_a_failure(page: dict[str, t.Any]) -> None:
    async with served(reply("200 OK", orjson.dumps(page))) as (store, _):
        assert isinstance(await store.newest(stream="keyed.op"), ReadFailed)


async def test_connection_of_an_unanswered_call_is_not_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.2)
    async with served(None) as (store, server):
        assert isinstance(await store.append(stream="s", payload=b"1"), AppendUnknown)
        server.reply = reply("200 OK", b'{"offset":1,"end":2}')
        assert isinstance(await store.append(stream="s", payload=b"2"), Appended)
        assert server.connections == 2


def _row(key: str, offset: int) -> dict[str, t.Any]:
    return {"key": key, "value": base64.b64encode(b"x").decode(), "offset": offset}


def _era_reply(era: int, body: bytes, status: str = "200 OK") -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nStore-Era: {era}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(_era_reply(3, read_body(90, 0, b"\x01aa")), id="offset given out again"),
        pytest.param(_era_reply(3, b'{"first":0}', "410 Gone"), id="offset not there"),
    ],
)
async def test_read_from_an_offset_of_an_earlier_era_asks_for_the_whole_list(data: bytes) -> None:
    async with served(_era_reply(2, b'{"offset":7,"end":8}')) as (store, _):
        appended = await store.append(stream="work", payload=b"ab")
        assert isinstance(appended, Appended)
    async with served(data) as (store, _):
        found = await store.changes(stream="keyed.work", start=appended.offset)
        assert found == KeyedChanges(records=(), end=appended.offset, missed=True, restored=True)


async def test_offsets_rise_with_each_era_though_those_of_the_store_go_back() -> None:
    offsets = []
    for era, offset in ((1, 700), (2, 3), (2, 4), (5, 0)):
        async with served(_era_reply(era, b'{"offset":%d,"end":0}' % offset)) as (store, _):
            appended = await store.append(stream="work", payload=b"ab")
            assert isinstance(appended, Appended)
            offsets.append(appended.offset)
    assert offsets == sorted(offsets)


async def test_read_that_its_connection_cut_holds_only_whole_records() -> None:
    body = read_body(10, 0, b"\x03onewhole", b"\x03two")
    for length in range(len(body) + 1):
        data = b"HTTP/1.1 200 OK\r\n\r\n" + body[:length]
        async with served(data, keep_open=False) as (store, _):
            found = await store.changes(stream="keyed.op", start=START)
        if isinstance(found, ReadFailed):
            continue
        assert found.end == START + len(found.records)
        assert [record.key for record in found.records] == ["one", "two"][: len(found.records)]
        assert length in (16, 29, len(body))  # the ends of the records


async def test_append_is_known_only_from_a_whole_answer_without_length() -> None:
    body = b'{"offset":91,"end":92}'
    for length in range(len(body) + 1):
        data = b"HTTP/1.1 200 OK\r\n\r\n" + body[:length]
        async with served(data, keep_open=False) as (store, _):
            outcome = await store.append(stream="work", payload=b"x")
        assert isinstance(outcome, Appended if length == len(body) else AppendUnknown)


async def test_list_that_its_connection_cut_is_a_failure() -> None:
    page = {"entries": [_row("a", 3)], "has_more": False, "end": 5}
    body = orjson.dumps(page)
    for length in range(len(body) + 1):
        data = b"HTTP/1.1 200 OK\r\n\r\n" + body[:length]
        async with served(data, keep_open=False) as (store, _):
            found = await store.newest(stream="keyed.op")
        assert isinstance(found, KeyedList if length == len(body) else ReadFailed)
