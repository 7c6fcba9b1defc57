"""Client of the platform's store, a log with topics and partitions, over HTTP.

The store's answers name no call, so a late copy of one could be taken for the next on the same
connection. Only reads that wait keep their connection, one for each stream: an answer with records
has to end where the read's records end, and one without has to come after the wait.
"""

import asyncio
import base64
import binascii
import struct
import urllib.parse

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendOutcome
from cassiawalk.clients import AppendRefused
from cassiawalk.clients import AppendUnknown
from cassiawalk.clients import KeyedChanges
from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clients import ReadFailed
from cassiawalk.clients import ReadOutcome
from cassiawalk.errors import WireError
from cassiawalk.http1 import CallError
from cassiawalk.http1 import CompleteAnswer
from cassiawalk.http1 import HttpClient
from cassiawalk.ids import Offset
from cassiawalk.platform import _fields as fields
from cassiawalk.platform import names

CALL_TIMEOUT_S = 1.5
# A connection may have gone silent since its last use, and a host that must know can't wait for
# the time-out. Hosts that read for all use theirs more often.
MAX_IDLE_S = 1.0
MAX_READ_KB = 1024  # per read; the store bounds reads by bytes, not by records
MIN_WAITED_RATIO = 0.9  # of the wait, before the store may answer that there are no records
APPEND_RETRY_AFTER_S = 0.3

# The store's offsets go back and are given out again when it returns from an older copy, which it
# counts as eras. The era is the high part of our offsets, so that these never go back.
_ERA_SHIFT = 40
_OFFSET_MASK = (1 << _ERA_SHIFT) - 1

_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class PlatformStore(LogService, KeyedLog):
    """Client for all streams; a stream is partition 0 of the topic with its name."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._single = HttpClient(address=address, max_idle_s=0.0)
        self._waiting: dict[str, HttpClient] = {}

    def set_address(self, address: str) -> None:
        """Use another address for later calls."""
        self._address = address
        for client in (self._single, *self._waiting.values()):
            client.set_address(address)

    async def append(self, *, stream: str, payload: bytes) -> AppendOutcome:
        """Append one record and return whether it is in the stream."""
        body = _LENGTH.pack(len(payload)) + payload
        try:
            answer = await self._call(
                "POST", "log-append", {"topic": stream, "part": "0"}, body=body
            )
        except CallError as exc:
            if exc.sent:
                return AppendUnknown(reason=str(exc))
            return AppendRefused(reason=str(exc), retry_after_s=APPEND_RETRY_AFTER_S)
        if answer.status != 200:
            reason = f"the store answered with status {answer.status}"
            return AppendRefused(reason=reason, retry_after_s=APPEND_RETRY_AFTER_S)
        try:
            offset = fields.integer_field(fields.parse_object(answer.body), "offset")
            return Appended(offset=_in_era(answer, offset))
        except WireError as exc:
            return AppendUnknown(reason=exc.message)

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        """Return records from ``start`` on.

        ``limit`` is not used: the store bounds a read by bytes (``MAX_READ_KB``).
        """
        first = str(start & _OFFSET_MASK)
        query = {"topic": stream, "part": "0", "from": first, "max_kb": str(MAX_READ_KB)}
        try:
            if wait_s > 0:
                query["wait_ms"] = str(int(wait_s * 1000))
                answer = await self._wait_for_records(stream, query, start, wait_s)
            else:
                answer = await self._call("GET", "log-read", query)
            if answer.status not in (200, 410):
                return _read_failed(answer)
            if _era(answer) != start >> _ERA_SHIFT:
                return _other_era_batch(answer)
            if answer.status == 410:
                return _expired_batch(answer)
            batch = _read_batch(answer.body, start)
            if batch.entries and batch.entries[-1].offset + 1 < batch.end_offset:
                self._stop_waiting(stream)  # a copy of a part could pass for the next part
            return batch
        except CallError as exc:
            return ReadFailed(reason=str(exc))
        except WireError as exc:
            return ReadFailed(reason=exc.message)

    async def newest(self, *, stream: str) -> KeyedList | ReadFailed:
        """Return the newest record of every key, read in pages."""
        records: list[KeyedRecord] = []
        end: Offset | None = None
        asked_after: set[str] = set()
        query = {"topic": stream, "part": "0"}
        try:
            while True:
                answer = await self._call("GET", "log-newest", query)
                if answer.status != 200:
                    return _read_failed(answer)
                page = fields.parse_object(answer.body)
                rows = fields.object_list(page, "entries")
                entries = [_listed_record(answer, row) for row in rows]
                records.extend(entries)
                page_end = _in_era(answer, fields.integer_field(page, "end"))
                # Pages are not a snapshot: what has changed since the first one may be missing.
                end = page_end if end is None else end
                if page_end >> _ERA_SHIFT != end >> _ERA_SHIFT:
                    return ReadFailed(reason=f"the list of {stream} spans two eras of the store")
                if not fields.boolean_field(page, "has_more") or not entries:
                    return KeyedList(records=tuple(records), end=end)
                if entries[-1].key in asked_after:
                    return ReadFailed(reason=f"the list of {stream} goes on without end")
                query["after"] = entries[-1].key
                asked_after.add(entries[-1].key)
        except CallError as exc:
            return ReadFailed(reason=str(exc))
        except WireError as exc:
            return ReadFailed(reason=exc.message)

    async def changes(
        self, *, stream: str, start: Offset, wait_s: float = 0.0
    ) -> KeyedChanges | ReadFailed:
        """Return the records from ``start`` on."""
        batch = await self.read(stream=stream, start=start, limit=0, wait_s=wait_s)
        if isinstance(batch, ReadFailed):
            return batch
        if batch.first_offset >> _ERA_SHIFT != start >> _ERA_SHIFT:
            return KeyedChanges(records=(), end=start, missed=True, restored=True)
        if batch.first_offset > start or batch.end_offset < start:
            return KeyedChanges(records=(), end=start, missed=True)
        records = tuple(
            record for entry in batch.entries if (record := _keyed_record(entry)) is not None
        )
        end = Offset(batch.entries[-1].offset + 1) if batch.entries else start
        return KeyedChanges(records=records, end=end, complete=end >= batch.end_offset)

    async def put(self, *, stream: str, key: str, value: bytes | None) -> bool:
        """Append a record; return whether it is known to be in the stream."""
        raw_key = key.encode()
        payload = bytes((len(raw_key),)) + raw_key + (value or b"")
        return isinstance(await self.append(stream=stream, payload=payload), Appended)

    async def aclose(self) -> None:
        """Close idle connections; those in use are closed after their call."""
        for client in (self._single, *self._waiting.values()):
            client.close()

    async def _call(
        self, method: str, name: str, query: dict[str, str], *, body: bytes = b""
    ) -> CompleteAnswer:
        return await self._single.call(
            method, _target(name, query), body=body, timeout_s=CALL_TIMEOUT_S
        )

    async def _wait_for_records(
        self, stream: str, query: dict[str, str], start: Offset, wait_s: float
    ) -> CompleteAnswer:
        client = self._waiting.get(stream)
        if client is None:
            client = HttpClient(address=self._address, max_idle_s=MAX_IDLE_S)
            self._waiting[stream] = client
        loop = asyncio.get_running_loop()
        earliest_empty_s = loop.time() + MIN_WAITED_RATIO * wait_s

        def is_own(answer: CompleteAnswer) -> bool:
            if answer.status != 200 or _era(answer) != start >> _ERA_SHIFT:
                return True
            batch = _read_batch(answer.body, start)
            if batch.entries:
                return batch.entries[-1].offset < batch.end_offset
            return batch.end_offset != start or loop.time() >= earliest_empty_s

        return await client.call(
            "GET", _target("log-read", query), timeout_s=CALL_TIMEOUT_S + wait_s, is_own=is_own
        )

    def _stop_waiting(self, stream: str) -> None:
        client = self._waiting.pop(stream, None)
        if client is not None:
            client.close()


def _target(name: str, query: dict[str, str]) -> str:
    return f"/cassiawalk/{name}?{urllib.parse.urlencode(query)}"


def _read_failed(answer: CompleteAnswer) -> ReadFailed:
    reason = f"the store answered with status {answer.status}"
    return ReadFailed(reason=reason, service_outage=answer.status == 503)


def _era(answer: CompleteAnswer) -> int:
    """Return the era of an answer; 0 from a store that counts none."""
    value = answer.header(names.STORE_ERA)
    return int(value) if value is not None and value.isdigit() else 0


def _in_era(answer: CompleteAnswer, offset: int) -> Offset:
    return Offset((_era(answer) << _ERA_SHIFT) + offset)


def _other_era_batch(answer: CompleteAnswer) -> ReadBatch:
    """Return an empty batch at the beginning of the store's present era."""
    first = _in_era(answer, 0)
    return ReadBatch(entries=(), first_offset=first, end_offset=Offset(first + 1))


def _expired_batch(answer: CompleteAnswer) -> ReadBatch:
    """Return an empty batch at the oldest retained offset: the records before it have expired."""
    first = _in_era(answer, fields.integer_field(fields.parse_object(answer.body), "first"))
    return ReadBatch(entries=(), first_offset=first, end_offset=first)


def _read_batch(body: bytes, start: Offset) -> ReadBatch:
    """Return the records in the body of an answer of the same era as ``start``."""
    if len(body) < _OFFSETS.size:
        raise WireError(f"a read of {len(body)} bytes is too short for its offsets")
    end, first = _OFFSETS.unpack_from(body)
    era = start & ~_OFFSET_MASK
    entries: list[LogEntry] = []
    at = _OFFSETS.size
    while at < len(body):
        if at + _LENGTH.size > len(body):
            raise WireError("a read ends inside a record's length")
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        if at + length > len(body):
            raise WireError("a read ends inside a record")
        entries.append(
            LogEntry(offset=Offset(start + len(entries)), payload=body[at : at + length])
        )
        at += length
    return ReadBatch(
        entries=tuple(entries),
        first_offset=Offset(era + first),
        end_offset=Offset(era + end),
    )


def _listed_record(answer: CompleteAnswer, row: fields.JsonObject) -> KeyedRecord:
    try:
        value = base64.b64decode(fields.string_field(row, "value"), validate=True)
    except binascii.Error as exc:
        raise WireError(f"a listed value is not base64: {exc}") from None
    return KeyedRecord(
        key=fields.string_field(row, "key"),
        value=value,
        offset=_in_era(answer, fields.integer_field(row, "offset")),
    )


def _keyed_record(entry: LogEntry) -> KeyedRecord | None:
    """Return the record in a payload, or None if the payload is shorter than its key."""
    payload = entry.payload
    if not payload or len(payload) < 1 + payload[0]:
        return None
    split = 1 + payload[0]
    key = payload[1:split].decode("utf-8", "replace")
    return KeyedRecord(key=key, value=payload[split:] or None, offset=entry.offset)
