"""The log queue is bounded, writes never block, and dropped lines are counted.

Also tests how an event stream is split into events.
"""

import os
import typing as t

import orjson
import pytest

from cassiawalk import linelog
from cassiawalk.ingress.events import EventSplitter
from cassiawalk.linelog import LineLog


def _read(fd: int) -> bytes:
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            part = os.read(fd, 65536)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


def _lines(data: bytes) -> list[dict[str, t.Any]]:
    """Decode the complete lines; a line that a full pipe has cut off has no newline."""
    return [orjson.loads(line) for line in data.split(b"\n")[:-1]]


async def test_lines_hold_event_host_and_fields() -> None:
    reading, writing = os.pipe()
    log = LineLog(fd=writing, fields={"host": "h-1"})
    await log.start()
    log({"message_type": "request:refused", "request_id": "q", "task_uuid": "x", "odd": {1, 2}})
    await log.stop()
    (line,) = _lines(_read(reading))
    assert (line["event"], line["host"], line["request_id"]) == ("request:refused", "h-1", "q")
    assert "task_uuid" not in line


async def test_slow_reader_does_not_block_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(linelog, "MAX_QUEUED_LINES", 100)
    reading, writing = os.pipe()
    log = LineLog(fd=writing, fields={})
    await log.start()
    for number in range(5000):
        log({"message_type": "m", "number": number, "long": "x" * 200})
        if number % 50 == 0:
            log._flush()
    data = _read(reading)
    while log._unwritten or log._lines:
        log._flush()
        data += _read(reading)
    log({"message_type": "m", "number": 5000})
    await log.stop()
    lines = _lines(data + _read(reading))
    lost = [line["lines_lost_before"] for line in lines if "lines_lost_before" in line]
    assert lost and lost[0] > 1000


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_events_are_split_whole_whatever_the_chunk_size(size: int, end: bytes) -> None:
    data = b"".join(b"id: %d\ndata: x" % number + end for number in range(1, 6))
    splitter, passed = EventSplitter(), b""
    for at in range(0, len(data), size):
        whole = splitter.feed(data[at : at + size])
        assert whole == b"" or whole.endswith(end)
        passed += whole
    assert passed == data
    assert (splitter.last_id, splitter.events) == (b"5", 5)


def test_incomplete_event_is_held_back() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\n\nid: 2\nda") == b"id: 1\n\n"
    splitter.drop_incomplete()
    assert splitter.feed(b"id: 2\n\n") == b"id: 2\n\n"
