"""Notes that are on their way to one host."""

import asyncio
import collections.abc as cabc
import dataclasses

from cassiawalk.fleet.notepages import page_of
from cassiawalk.fleet.notepages import urgency
from cassiawalk.peer import Note
from cassiawalk.peer.notes import NoteKey

MAX_SENDERS = 4  # pages under way to one host
MAX_WAITING_NOTES = 512  # for one host; others reach it when the notes are compared

Send = cabc.Callable[[tuple[Note, ...]], cabc.Awaitable[bool]]


class Receipt:
    """Tells when a number of notes have been sent, or failed to be."""

    def __init__(self, count: int) -> None:
        self._left = count
        self._done = asyncio.Event()
        if not count:
            self._done.set()

    def note_tried(self) -> None:
        """Record that one note has been sent or has failed to be."""
        self._left -= 1
        if self._left <= 0:
            self._done.set()

    async def wait(self) -> None:
        """Wait until all have been sent or have failed to be."""
        await self._done.wait()


@dataclasses.dataclass(kw_only=True)
class _Entry:
    note: Note
    receipts: list[Receipt]

    def note_tried(self) -> None:
        for receipt in self.receipts:
            receipt.note_tried()


class NoteOutbox:
    """Sends notes to one host in pages, the most urgent first, each page at most twice.

    While ``MAX_SENDERS`` pages are under way, further notes wait; a later note replaces a waiting
    one with the same key. Beyond ``MAX_WAITING_NOTES`` the least urgent one is given up.

    :param send: sends one page; returns whether it was received.
    """

    def __init__(self, *, send: Send) -> None:
        self._send = send
        self._waiting: dict[NoteKey, _Entry] = {}
        self._senders = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no notes wait or are under way."""
        return not self._waiting and not self._senders

    def add(self, notes: cabc.Iterable[Note], receipt: Receipt) -> bool:
        """Let notes wait; return whether ``run`` has to be started for them."""
        for note in notes:
            replaced = self._waiting.pop(note.key, None)
            receipts = [receipt, *(replaced.receipts if replaced else ())]
            self._waiting[note.key] = _Entry(note=note, receipts=receipts)
        while len(self._waiting) > MAX_WAITING_NOTES:
            least = max(self._waiting.values(), key=lambda entry: urgency(entry.note))
            self._waiting.pop(least.note.key).note_tried()
        if not self._waiting or self._senders >= MAX_SENDERS:
            return False
        self._senders += 1
        return True

    async def run(self) -> None:
        """Send what waits until nothing does."""
        try:
            while self._waiting:
                await self._send_page()
        finally:
            self._senders -= 1

    async def _send_page(self) -> None:
        entries = sorted(self._waiting.values(), key=lambda entry: urgency(entry.note))
        page = page_of(entry.note for entry in entries)
        taken = [self._waiting.pop(note.key) for note in page]
        try:
            is_received = await self._send(page)
        finally:
            for entry in taken:
                entry.note_tried()
        if not is_received:
            await self._send(page)
