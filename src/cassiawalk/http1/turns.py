"""Bounds the work that bodies in many small chunks cause, for one connection and all together."""

import asyncio
import collections.abc as cabc

from cassiawalk.http1.pacing import PIECE_S
from cassiawalk.http1.pacing import Pacer

MAX_PIECES_PER_TURN = 100  # 2 ms, in which no other connection is served


class ParsingTurns:
    """Tells when the bytes of a connection that have arrived may be parsed.

    :param go_on: called when parsing may go on after a wait.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop, go_on: cabc.Callable[[], None]) -> None:
        self._loop = loop
        self._go_on = go_on
        self._pacer: Pacer | None = None  # few requests need one
        self._pieces = 0
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether nothing may be parsed or read now."""
        return self._handle is not None

    @property
    def is_over(self) -> bool:
        """Return whether this turn has had as many pieces as it may."""
        return self._pieces >= MAX_PIECES_PER_TURN

    @property
    def is_crowded(self) -> bool:
        """Return whether this connection is among several that cause too much work together."""
        return self._pacer is not None and self._pacer.shared_delay_s(self._loop.time()) > 0

    def note_piece(self) -> None:
        """Count a piece of a body."""
        self._pieces += 1

    def end(self, *, may_wait: bool) -> None:
        """End a turn.

        :param may_wait: whether more is to be parsed, now or when it arrives.
        """
        pieces, self._pieces = self._pieces, 0
        if pieces <= 1:
            return
        if self._pacer is None:
            self._pacer = Pacer(loop=self._loop, group="requests")
        now = self._loop.time()
        self._pacer.note(PIECE_S * pieces, now)
        delay_s = self._pacer.delay_s(now)
        if may_wait and (delay_s > 0 or pieces >= MAX_PIECES_PER_TURN):
            self._handle = self._loop.call_later(delay_s, self._next)

    def stop(self) -> None:
        """Forget what was to be parsed."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _next(self) -> None:
        self._handle = None
        self._go_on()
