"""A gate at which a stand-in holds calls, so that tests can wait for them."""

import asyncio


class Gate:
    """Open at first; closed, it holds whoever comes until it opens again."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self._came = asyncio.Condition()
        self._held = 0

    def set_closed(self, closed: bool) -> None:
        """Close the gate, or open it and let everyone through."""
        if closed:
            self._open.clear()
        else:
            self._open.set()

    async def pass_through(self) -> None:
        """Return at once, or when the gate opens."""
        if self._open.is_set():
            return
        self._held += 1
        async with self._came:
            self._came.notify_all()
        try:
            await self._open.wait()
        finally:
            self._held -= 1

    async def wait_held(self, count: int) -> int:
        """Return the number of held calls once there are at least ``count``."""
        async with self._came:
            await self._came.wait_for(lambda: self._held >= count)
        return self._held
