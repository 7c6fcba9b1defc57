"""The limits that upstreams name in their answers, known to all hosts.

The host that hears a limit, another value of it, or an answer without one, tells the others by a
note, which also comes to lie in the store. So hosts that have no requests at an upstream, or that
have just started, know it too. If answers differ within ``HOLD_S``, the lowest value holds.
"""

import collections.abc as cabc
import math

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.peer import Note
from cassiawalk.peer import NoteSharing
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic

HOLD_S = 1.0
# An upstream without requests says nothing more; its limit is found out anew by the first of them.
KEEP_S = 600.0
RENEW_S = 300.0
MIN_STEP_S = 0.001  # between the times of a note and of the one that replaces it
NO_LIMIT_PER_S = 10_000.0  # more than an upstream gets from all hosts
MAX_PROCESSES = 8192
MAX_LINES = 1000  # in the log, of one process

LimitListener = cabc.Callable[[str, float | None], None]


class LimitBook(Component):
    """Limits in requests a second over all hosts, by the upstream's process.

    :param clock: its wall time must agree with that of other hosts.
    """

    def __init__(self, *, notes: NoteStore, sharing: NoteSharing, clock: Clock) -> None:
        self._notes = notes
        self._sharing = sharing
        self._clock = clock
        self._limits: dict[str, tuple[float, float]] = {}
        self._heard_at: dict[str, float] = {}
        self._listeners: list[LimitListener] = []
        self._lines = 0
        notes.add_listener(self._note_changed)

    @property
    def is_empty(self) -> bool:
        """Return whether no limit is known, not even one that has expired."""
        return not self._limits

    @property
    def in_force(self) -> int:
        """Return the number of limits that are known, also of upstreams that are gone."""
        return len(self._limits)

    def add_listener(self, listener: LimitListener) -> None:
        """Call ``listener`` with each process whose limit changes, and the limit or None."""
        self._listeners.append(listener)

    def get(self, process: str) -> float | None:
        """Return the limit of a process, or None."""
        if not self._limits:
            return None
        limit, until_s = self._limits.get(process, (math.inf, 0.0))
        if not limit < NO_LIMIT_PER_S:
            return None
        return limit if until_s > self._clock.wall() else None

    def note_answer(self, process: str, limit_per_s: float | None) -> None:
        """Take in what an answer of a process names; None if it names no limit."""
        if limit_per_s is None and process not in self._limits:
            return
        known = self._notes.get(NoteTopic.NAMED_LIMIT, process)
        known_limit = None if known is None else _limit(known)
        now_s = self._clock.wall()
        if limit_per_s == known_limit and known is not None:
            self._heard_at[process] = now_s
            if limit_per_s is None or known.until_s - now_s > RENEW_S:
                return
        elif known_limit is not None and (limit_per_s is None or limit_per_s > known_limit):
            assert known is not None
            lowest_at_s = max(known.at_s, self._heard_at.get(process, 0.0))
            if now_s - lowest_at_s < HOLD_S:
                return
        at_s = now_s if known is None else max(now_s, known.at_s + MIN_STEP_S)
        items = () if limit_per_s is None else (repr(limit_per_s),)
        note = Note(
            topic=NoteTopic.NAMED_LIMIT,
            name=process,
            at_s=at_s,
            until_s=now_s + KEEP_S,
            items=items,
        )
        self.spawn(self._sharing.share([note]), name=f"limit-{process}")

    def _note_changed(self, note: Note) -> None:
        if note.topic is not NoteTopic.NAMED_LIMIT:
            return
        limit = _limit(note)
        before = self._limits.pop(note.name, None)
        self._heard_at.pop(note.name, None)
        if limit is not None:
            self._limits[note.name] = (limit, note.until_s)
            self._heard_at[note.name] = note.at_s
        while len(self._limits) > MAX_PROCESSES:
            oldest = next(iter(self._limits))
            del self._limits[oldest]
            self._heard_at.pop(oldest, None)
        if limit == (None if before is None else before[0]):
            return
        self._log(note, limit, None if before is None else before[0])
        for listener in self._listeners:
            listener(note.name, limit)

    def _log(self, note: Note, limit: float | None, before: float | None) -> None:
        self._lines += 1
        if self._lines > MAX_LINES:
            return
        eliot.log_message(
            message_type="limit:named" if limit is not None else "limit:ended",
            upstream_process=note.name,
            limit_per_s=limit,
            before=before,
            heard_s=note.at_s,
            until_s=note.until_s,
            lines_left=MAX_LINES - self._lines,
        )


def _limit(note: Note) -> float | None:
    """Return the limit that a note tells; None if it tells of its end, or can't be read."""
    try:
        limit = float(note.items[0]) if note.items else None
    except ValueError:
        eliot.log_message(message_type="limit:unreadable", note=note.name, items=note.items[0][:64])
        return None
    return limit if limit is not None and limit >= 0.0 else None
