"""Commands, a manual clock and a log in memory for the tests of configuration."""

import asyncio
import typing as t

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendRefused
from cassiawalk.clients import AppendUnknown
from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clients import ReadFailed
from cassiawalk.clients.log import AppendOutcome
from cassiawalk.clients.log import ReadOutcome
from cassiawalk.clock import Clock
from cassiawalk.control import Command
from cassiawalk.control import ObjectType
from cassiawalk.control import Operation
from cassiawalk.control import Verb
from cassiawalk.control.commands import records
from cassiawalk.ids import CommandId
from cassiawalk.ids import Offset
from cassiawalk.ids import Revision

EPOCH_S = 1_800_000_000.0
TOKEN = "ab" * 32


def command_id(number: int) -> CommandId:
    """Return a version 7 UUID whose time is ``number`` ms after a fixed epoch."""
    head = f"{int(EPOCH_S * 1000) + number:012x}"
    return CommandId(f"{head[:8]}-{head[8:]}-7000-8000-{number:012x}")


def op(verb: str, target: str, **fields: object) -> Operation:
    """Return an operation on a target such as ``kind beds/hold``."""
    object_type, _, name = target.partition(" ")
    return Operation(verb=Verb(verb), object_type=ObjectType(object_type), name=name, fields=fields)


def command(
    number: int, *operations: Operation, expected: int | None = None, **more: t.Any
) -> Command:
    """Return a command whose id and statement are derived from ``number``."""
    return Command(
        command_id=more.pop("command_id", command_id(number)),
        operator=more.pop("operator", "admin"),
        operations=operations,
        statement=more.pop("statement", f"statement {number}"),
        issued_s=EPOCH_S,
        expected=None if expected is None else Revision(expected),
        **more,
    )


BASE_OPERATIONS = (
    op("create", "pool models", type="engine"),
    op("create", "pool vacancy", type="plain"),
    op("create", "service enquiries", pool="models"),
    op("create", "service beds", pool="vacancy"),
    op("create", "kind enquiries/quick", mode="quick"),
    op("create", "kind beds/hold", mode="at_most_once", path="/holds"),
    op("create", "workspace family", token_sha256=TOKEN, services="enquiries beds"),
    op("create", "limit family", requests_per_s=5.0),
)


class ManualClock(Clock):
    """A clock that advances only by ``sleep`` or by setting ``now_s``."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s

    def wall(self) -> float:
        return EPOCH_S + self.now_s

    async def sleep(self, delay_s: float) -> None:
        self.now_s += max(0.0, delay_s)
        await asyncio.sleep(0)


class MemoryLog(LogService):
    """Streams in memory, with fault injection.

    The next ``drop_appends`` appends have no effect and no answer, and the next ``lose_answers``
    ones take effect without an answer. ``outage`` refuses all calls; ``cut`` makes reads fail
    without an answer from the log service.
    """

    def __init__(self) -> None:
        self.streams: dict[str, list[LogEntry]] = {}
        self.first: dict[str, int] = {}
        self.outage = False
        self.cut = False
        self.lose_answers = 0
        self.drop_appends = 0
        self.appends = 0
        self.reads = 0
        self.changed = asyncio.Event()

    def end(self, stream: str) -> int:
        entries = self.streams.get(stream, [])
        return entries[-1].offset + 1 if entries else self.first.get(stream, 0)

    def put(self, stream: str, payload: bytes) -> Offset:
        offset = Offset(self.end(stream))
        self.streams.setdefault(stream, []).append(LogEntry(offset=offset, payload=payload))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    def put_command(self, item: Command) -> Offset:
        return self.put("control", records.encode([item]))

    def expire(self, stream: str, through: int) -> None:
        end = self.end(stream)
        self.first[stream] = max(self.first.get(stream, 0), min(through + 1, end))
        kept = [e for e in self.streams.get(stream, []) if e.offset >= self.first[stream]]
        self.streams[stream] = kept

    async def append(self, *, stream: str, payload: bytes) -> AppendOutcome:
        self.appends += 1
        if self.outage:
            return AppendRefused(reason="outage", retry_after_s=1.0)
        if self.drop_appends > 0:
            self.drop_appends -= 1
            return AppendUnknown(reason="lost before the effect")
        offset = self.put(stream, payload)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return AppendUnknown(reason="lost after the effect")
        return Appended(offset=offset)

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        self.reads += 1
        if wait_s and self.end(stream) <= start and not (self.outage or self.cut):
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if self.outage or self.cut:
            await asyncio.sleep(0)
            return ReadFailed(reason="no read", service_outage=self.outage)
        entries = [e for e in self.streams.get(stream, []) if e.offset >= start][:limit]
        return ReadBatch(
            entries=tuple(entries),
            first_offset=Offset(self.first.get(stream, 0)),
            end_offset=Offset(self.end(stream)),
        )
