"""Notes about crashing requests that hosts share with each other."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.peer import Note
from cassiawalk.peer import NoteSharing
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic

QUARANTINE_S = 3600.0
MIN_STEP_S = 0.001  # between the times of a note and of the one that replaces it


class CrashNotes:
    """Reads notes from the store and shares new ones with all hosts."""

    def __init__(self, *, note_store: NoteStore, sharing: NoteSharing, clock: Clock) -> None:
        self._note_store = note_store
        self._sharing = sharing
        self._clock = clock

    @property
    def version(self) -> int:
        """Return a number that grows with each change of the notes."""
        return self._note_store.version

    def get(self, topic: NoteTopic, name: str) -> Note | None:
        """Return a note, or None if there is none or it has expired."""
        return self._note_store.get(topic, name)

    def items(self, topic: NoteTopic, name: str) -> tuple[str, ...]:
        """Return the items of a note; empty if there is no such note."""
        note = self.get(topic, name)
        return () if note is None else note.items

    def is_empty(self) -> bool:
        """Return whether there are no notes at all."""
        return self._note_store.is_empty()

    def put_local(self, topic: NoteTopic, name: str, *, keep_s: float = QUARANTINE_S) -> None:
        """Store a note on this host only.

        :param keep_s: time until the note expires, in seconds.
        """
        self._note_store.merge(self.new(topic, name, keep_s=keep_s))

    async def share(self, notes: cabc.Sequence[Note]) -> None:
        """Share notes with all hosts."""
        await self._sharing.share(notes)

    def new(
        self, topic: NoteTopic, name: str, *, keep_s: float, items: tuple[str, ...] = ()
    ) -> Note:
        """Return a note that replaces the one with the same topic and name, if there is one.

        Its time is later than that of the note that it replaces, also if this host's clock is
        behind that of the other note's author.

        :param keep_s: time until the note expires, in seconds.
        """
        now_s = self._clock.wall()
        known = self.get(topic, name)
        at_s = now_s if known is None else max(now_s, known.at_s + MIN_STEP_S)
        return Note(topic=topic, name=name, at_s=at_s, until_s=now_s + keep_s, items=items)
