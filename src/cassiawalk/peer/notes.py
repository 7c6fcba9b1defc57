"""Short-lived notes that all hosts share; soft state, on which no promise of order rests."""

import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.clock import Clock

MAX_NOTES = 4096


class NoteTopic(enum.Enum):
    """What a note is about, and what its name names."""

    SUSPECT_REQUEST = "suspect request"
    ISOLATED_RUN = "solo run"
    QUARANTINE = "quarantine"


NoteKey = tuple[NoteTopic, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Note:
    """One note. The latest by ``at_s`` of a topic and name replaces those before it.

    ``at_s`` and ``until_s`` are in wall-clock seconds. ``items`` is the note's content.
    """

    topic: NoteTopic
    name: str
    at_s: float
    until_s: float
    items: tuple[str, ...] = ()

    @property
    def key(self) -> NoteKey:
        """Return what identifies the note."""
        return (self.topic, self.name)


class NoteStore:
    """The notes that this host knows; expired ones are dropped.

    :param limit: how many notes are kept, the latest first.
    """

    def __init__(self, *, clock: Clock, limit: int = MAX_NOTES) -> None:
        self._clock = clock
        self._limit = limit
        self._notes: dict[NoteKey, Note] = {}
        self._listeners: list[cabc.Callable[[Note], None]] = []

    def add_listener(self, listener: cabc.Callable[[Note], None]) -> None:
        """Call ``listener`` with each note that is new or replaces another."""
        self._listeners.append(listener)

    def get(self, topic: NoteTopic, name: str) -> Note | None:
        """Return a note that has not expired, or None."""
        note = self._notes.get((topic, name))
        if note is None or note.until_s <= self._clock.wall():
            return None
        return note

    def notes(self) -> dict[NoteKey, Note]:
        """Return all notes that have not expired."""
        now_s = self._clock.wall()
        self._notes = {key: note for key, note in self._notes.items() if note.until_s > now_s}
        return dict(self._notes)

    def is_empty(self) -> bool:
        """Return whether there is no note, not even one that has expired since the last change."""
        return not self._notes

    def merge(self, note: Note) -> None:
        """Keep a note, unless a later one is known."""
        known = self._notes.get(note.key)
        if known is not None and (known.at_s, known.items) >= (note.at_s, note.items):
            return
        self._notes = self.notes()
        self._notes.pop(note.key, None)
        self._notes[note.key] = note
        while len(self._notes) > self._limit:
            del self._notes[next(iter(self._notes))]
        for listener in self._listeners:
            listener(note)
