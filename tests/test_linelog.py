"""The log queue is bounded, writes never block, and dropped lines are counted.

Also tests how an event stream is split into events.
"""

import os
import typing as t

import orjson
import pytest

from cassiawalk import linelog
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
