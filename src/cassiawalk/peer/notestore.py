"""The notes that one host has."""

import collections.abc as cabc
import heapq
import math

from cassiawalk.clock import Clock
from cassiawalk.peer.notes import VERDICTS
from cassiawalk.peer.notes import Note
from cassiawalk.peer.notes import NoteKey
from cassiawalk.peer.notes import NoteTopic
from cassiawalk.peer.notesums import NoteSums

MAX_NOTES = 4096
_Rank = tuple[bool, float, str, str]


class NoteStore:
    """The unexpired notes that this host has received or made.

    ``version`` grows with each change. ``sums`` has the checksums of the notes.

    :param limit: the maximum number of notes; beyond it the oldest one is dropped, a verdict only
        if there is nothing else. All hosts drop the same, whatever the order in which they came.
    """

    def __init__(self, *, clock: Clock, limit: int = MAX_NOTES) -> None:
        self._clock = clock
        self._limit = limit
        self._notes: dict[NoteKey, Note] = {}
        self._listeners: list[cabc.Callable[[Note], None]] = []
        self._first_expiry_s = math.inf
        # Entries of notes that have been replaced or dropped since stay in it for a while.
        self._dispensable: list[tuple[_Rank, NoteKey]] = []
        self.sums = NoteSums()
        self.version = 0

    def add_listener(self, listener: cabc.Callable[[Note], None]) -> None:
        """Call ``listener`` with each note that is new or replaces an earlier one."""
        self._listeners.append(listener)

    def get(self, topic: NoteTopic, name: str) -> Note | None:
        """Return the note of a topic and name, or None if there is none or it has expired."""
        return self.find((topic, name))

    def find(self, key: NoteKey) -> Note | None:
        """Return the note of a key, or None if there is none or it has expired."""
        note = self._notes.get(key)
        if note is None or note.until_s <= self._clock.wall():
            return None
        return note

    def notes(self) -> dict[NoteKey, Note]:
        """Return all notes that have not expired."""
        self.drop_expired()
        return dict(self._notes)

    def drop_expired(self) -> None:
        """Drop the notes that have expired."""
        now_s = self._clock.wall()
        if now_s < self._first_expiry_s:
            return
        for key in [key for key, note in self._notes.items() if note.until_s <= now_s]:
            self._drop(key)
            self.version += 1
        self._first_expiry_s = min((n.until_s for n in self._notes.values()), default=math.inf)

    def is_empty(self) -> bool:
        """Return whether no notes are stored; expired notes count until they are dropped."""
        return not self._notes

    def merge(self, note: Note) -> bool:
        """Store a note, unless the stored note with the same key is as late or later.

        Return whether it was stored.
        """
        known = self._notes.get(note.key)
        if known is not None and (known.at_s, known.items) >= (note.at_s, note.items):
            return False
        self.drop_expired()
        if note.key in self._notes:
            self._drop(note.key)
        self._notes[note.key] = note
        self.sums.add(note)
        self._first_expiry_s = min(self._first_expiry_s, note.until_s)
        self._keep_to_limit(note)
        if note.key not in self._notes:
            return False
        self.version += 1
        for listener in self._listeners:
            listener(note)
        return True

    def _drop(self, key: NoteKey) -> None:
        del self._notes[key]
        self.sums.remove(key)

    def _keep_to_limit(self, added: Note) -> None:
        heapq.heappush(self._dispensable, (_rank(added), added.key))
        if len(self._dispensable) > 2 * self._limit:
            self._dispensable = [(_rank(note), key) for key, note in self._notes.items()]
            heapq.heapify(self._dispensable)
        while len(self._notes) > self._limit:
            rank, key = heapq.heappop(self._dispensable)
            kept = self._notes.get(key)
            if kept is not None and _rank(kept) == rank:
                self._drop(key)


def _rank(note: Note) -> _Rank:
    """Return what orders notes by how dispensable they are, the least first."""
    return (note.topic in VERDICTS, note.at_s, note.topic.value, note.name)
