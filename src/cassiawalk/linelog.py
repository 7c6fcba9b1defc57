"""Non-blocking log output: one JSON line for each message."""

import asyncio
import collections
import os
import typing as t

import orjson

from cassiawalk.app import Component

MAX_QUEUED_LINES = 4096
WRITE_RETRY_S = 0.05
LINES_PER_WRITE = 64
RENAMED_FIELDS = {"message_type": "event"}
DROPPED_FIELDS = ("task_uuid", "task_level")


class LineLog(Component):
    """An eliot destination that queues lines and never waits for their reader.

    The queue is bounded. Messages that arrive while it is full are dropped; the next line that is
    queued gives their number in the field ``lines_lost_before``.

    :param fd: file descriptor that lines are written to; ``start`` makes it non-blocking.
    :param fields: fields that are added to every line.
    """

    def __init__(self, *, fd: int, fields: t.Mapping[str, t.Any]) -> None:
        self._fd = fd
        self._fields = dict(fields)
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._lost = 0
        self._flush_handle: asyncio.TimerHandle | asyncio.Handle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def __call__(self, message: dict[str, t.Any]) -> None:
        """Queue one message; before ``start`` and after ``stop`` it is written at once."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._lost += 1
            return
        self._lines.append(self._encode(message))
        if self._loop is None:
            self._write_now()
        elif self._flush_handle is None:
            self._flush_handle = self._loop.call_soon(self._flush)

    async def start(self) -> None:
        """Write from callbacks of the running event loop from now on."""
        self._loop = asyncio.get_running_loop()
        os.set_blocking(self._fd, False)

    async def stop(self) -> None:
        """Write the queued lines as far as the file descriptor takes them without waiting."""
        self._loop = None
        self._write_now()

    def _encode(self, message: dict[str, t.Any]) -> bytes:
        line = {RENAMED_FIELDS.get(name, name): value for name, value in message.items()}
        for name in DROPPED_FIELDS:
            line.pop(name, None)
        line.update(self._fields)
        if self._lost:
            line["lines_lost_before"] = self._lost
            self._lost = 0
        return orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE)

    def _flush(self) -> None:
        self._flush_handle = None
        done = self._write_now()
        if self._loop is not None and not done:
            self._flush_handle = self._loop.call_later(WRITE_RETRY_S, self._flush)

    def _write_now(self) -> bool:
        """Write until the queue is empty or a write is incomplete; return whether it is empty."""
        while self._lines or self._unwritten:
            if not self._unwritten:
                count = min(LINES_PER_WRITE, len(self._lines))
                self._unwritten = b"".join(self._lines.popleft() for _ in range(count))
            data = self._unwritten
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                written = 0
            self._unwritten = data[written:]
            if self._unwritten:
                return False
        return True
