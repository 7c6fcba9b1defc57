"""A time-out that is moved often and rarely reached."""

import asyncio
import collections.abc as cabc


class StageTimer:
    """Calls back when it is due; moving it to a later time costs the event loop nothing."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop, on_due: cabc.Callable[[], None]) -> None:
        self._loop = loop
        self._on_due = on_due
        self._due = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def set(self, due: float) -> None:
        """Set when it is due, in seconds of the event loop's time."""
        self._due = due
        if self._handle is None:
            self._handle = self._loop.call_at(due, self._fire)
        elif self._handle.when() > due:
            self._handle.cancel()
            self._handle = self._loop.call_at(due, self._fire)

    def stop(self) -> None:
        """Cancel it."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        if self._loop.time() < self._due:
            self._handle = self._loop.call_at(self._due, self._fire)
        else:
            self._on_due()
