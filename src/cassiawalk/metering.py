"""Counts CPU time and bytes of control-plane work separately from the token path."""

import collections.abc as cabc
import time
import typing as t

_T = t.TypeVar("_T")


class Meter:
    """Totals of the CPU time and bytes that one kind of work has used in this process."""

    def __init__(self) -> None:
        self.cpu_ns = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def note_sent(self, count: int) -> None:
        """Add ``count`` bytes that were sent."""
        self.bytes_sent += count

    def note_received(self, count: int) -> None:
        """Add ``count`` bytes that were received."""
        self.bytes_received += count

    @property
    def cpu_s(self) -> float:
        """Return the CPU time so far, in seconds."""
        return self.cpu_ns / 1e9


class MeteredCoroutine(cabc.Coroutine[t.Any, t.Any, _T]):
    """Runs a coroutine and adds the CPU time of each of its steps to a meter."""

    def __init__(self, coro: cabc.Coroutine[t.Any, t.Any, _T], meter: Meter) -> None:
        self._coro = coro
        self._meter = meter

    def send(self, value: t.Any) -> t.Any:
        """Run the coroutine's next step."""
        started_ns = time.thread_time_ns()
        try:
            return self._coro.send(value)
        finally:
            self._meter.cpu_ns += time.thread_time_ns() - started_ns

    def throw(self, *args: t.Any) -> t.Any:
        """Run the coroutine's next step by raising an exception in it."""
        started_ns = time.thread_time_ns()
        try:
            return self._coro.throw(*args)
        finally:
            self._meter.cpu_ns += time.thread_time_ns() - started_ns

    def close(self) -> None:
        """Close the coroutine."""
        self._coro.close()

    def __await__(self) -> cabc.Generator[t.Any, t.Any, _T]:
        """Run the coroutine to its end inside the awaiting one."""
        value: t.Any = None
        while True:
            try:
                yielded = self.send(value)
            except StopIteration as stop:
                return t.cast(_T, stop.value)
            value = yield yielded
