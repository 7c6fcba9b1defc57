"""Messages that carry notes between hosts, in pages of bounded size."""

import collections.abc as cabc
import dataclasses

from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer.messages import SharedMessage
from cassiawalk.peer.messages import messages
from cassiawalk.peer.notes import VERDICTS

MAX_PAGE_BYTES = 64 * 1024  # of several notes; a note that is larger has a page of its own
MAX_WANTED = 1024  # notes that one message asks for
_NOTE_BYTES = 64  # of a note without its name and items, at most
_ITEM_BYTES = 3  # of the length of one


@messages.register("notes")
@dataclasses.dataclass(frozen=True, kw_only=True)
class NotesCall(SharedMessage):
    """Sends notes, or compares those of two hosts.

    :param complete: whether these are all that the sender has, an older version of this host; it
        is answered with some of those that it lacks.
    :param missed: whether a comparison has shown that the receiver lacks these notes.
    :param sums: the checksums of the sender's notes, by bucket, see ``NoteSums``.
    :param wanted: the hashes of the keys of notes that the sender asks for.
    """

    host: HostId
    notes: tuple[Note, ...] = ()
    complete: bool = False
    missed: bool = False
    sums: tuple[bytes, ...] = ()
    wanted: tuple[bytes, ...] = ()


@messages.register("notes-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class NotesReply:
    """Confirms notes, or holds a page of those asked for.

    :param buckets: those in which the notes of the two hosts differ.
    :param hashes: the hashes of the keys of the notes in these buckets.
    :param times: the times of these notes, in the same order.
    """

    notes: tuple[Note, ...] = ()
    buckets: tuple[int, ...] = ()
    hashes: tuple[bytes, ...] = ()
    times: tuple[float, ...] = ()


def urgency(note: Note) -> tuple[bool, float]:
    """Return what orders notes by urgency, the most urgent first: verdicts, then the newest."""
    return (note.topic not in VERDICTS, -note.at_s)


def page_of(notes: cabc.Iterable[Note]) -> tuple[Note, ...]:
    """Return the first notes, as many as go into one page; at least one if there are any."""
    page: list[Note] = []
    left = MAX_PAGE_BYTES
    for note in notes:
        left -= _size(note)
        if page and left < 0:
            break
        page.append(note)
    return tuple(page)


def _size(note: Note) -> int:
    names = len(note.name) + sum(len(item) + _ITEM_BYTES for item in note.items)
    return names + _NOTE_BYTES + len(note.topic.value)
