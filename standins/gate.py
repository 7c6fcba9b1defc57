"""A gate that makes a stand-in hold calls until a test releases them."""

import asyncio


class Gate:
    """Initially open; while it is closed, calls wait in ``pass_through``."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self._call_held = asyncio.Condition()
        self._held = 0

    def set_closed(self, closed: bool) -> None:
        """Close the gate, or open it and release all held calls."""
        if closed:
            self._open.clear()
        else:
            self._open.set()

    async def pass_through(self) -> None:
        """Return at once if the gate is open, else when it opens."""
        if self._open.is_set():
            return
        self._held += 1
        async with self._call_held:
            self._call_held.notify_all()
        try:
            await self._open.wait()
        finally:
            self._held -= 1

    async def wait_held(self, count: int) -> int:
        """Wait until at least ``count`` calls are held; return their number."""
        async with self._call_held:
            await self._call_held.wait_for(lambda: self._held >= count)
        return self._held
