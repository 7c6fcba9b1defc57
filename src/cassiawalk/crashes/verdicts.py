"""The parts of prompts that all hosts refuse, as notes that hosts share."""

import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.crashes.losses import Parts
from cassiawalk.crashes.losses import joined
from cassiawalk.crashes.losses import split
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteTopic
from cassiawalk.storeview.promptparts import PartId

VERDICT_S = 86400.0
# A verdict is tried by one request, each time after a longer pause: few may reach upstreams.
FIRST_TRIAL_S = 10.0
TRIAL_PAUSE_RATIO = 8.0


class VerdictChange(enum.Enum):
    """What happened to a verdict."""

    MADE = "made"
    NARROWED = "narrowed"
    TRIED = "tried"
    LIFTED = "lifted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Requests with all of these parts are refused.

    :param at_s: when it was made or tried last, in wall-clock seconds.
    :param trials: how often it has been tried.
    :param processes: the processes whose deaths led to it.
    """

    parts: Parts
    at_s: float
    trials: int
    reporter: HostId
    processes: tuple[str, ...]

    @property
    def trial_due_s(self) -> float:
        """Return when it may be tried next, in wall-clock seconds."""
        return self.at_s + FIRST_TRIAL_S * TRIAL_PAUSE_RATIO**self.trials


class Verdicts:
    """The verdicts in force, by the note of each.

    A verdict is looked up by one of its parts, so that a look-up costs no more with more verdicts.
    """

    def __init__(self, *, notes: CrashNotes, host: HostId) -> None:
        self._notes = notes
        self._host = host
        self._by_part: dict[PartId, set[Parts]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether there was no verdict in the last ``VERDICT_S`` s."""
        return not self._by_part

    def all(self) -> list[Verdict]:
        """Return all verdicts in force."""
        kept = {parts for found in self._by_part.values() for parts in found}
        return [verdict for parts in kept if (verdict := self._get(parts)) is not None]

    def against(self, parts: Parts) -> Verdict | None:
        """Return a verdict against requests with these parts, or None."""
        for part in parts:
            for refused in self._by_part.get(part, ()):
                if refused <= parts:
                    verdict = self._get(refused)
                    if verdict is not None:
                        return verdict
        return None

    def touching(self, parts: Parts) -> list[Verdict]:
        """Return the verdicts that have some of these parts."""
        return [verdict for verdict in self.all() if verdict.parts & parts]

    def note_changed(self, note: Note) -> None:
        """Take a new or changed note of a verdict into account."""
        parts = split(note.name)
        first = min(parts)
        if is_in_force(note):
            self._by_part.setdefault(first, set()).add(parts)
            return
        found = self._by_part.get(first, set())
        found.discard(parts)
        if not found:
            self._by_part.pop(first, None)

    def new_note(self, parts: Parts, *, processes: cabc.Iterable[str], trials: int = 0) -> Note:
        """Return the note that puts a verdict in force, or that counts a trial of it."""
        items = (str(trials), str(self._host), *processes)
        return self._notes.new(
            NoteTopic.REFUSED_PARTS, joined(parts), keep_s=VERDICT_S, items=items
        )

    def ending_note(self, parts: Parts, change: VerdictChange) -> Note:
        """Return the note that ends a verdict, as it is lifted or was narrowed."""
        return self._notes.new(
            NoteTopic.REFUSED_PARTS, joined(parts), keep_s=VERDICT_S, items=(change.value,)
        )

    def _get(self, parts: Parts) -> Verdict | None:
        note = self._notes.get(NoteTopic.REFUSED_PARTS, joined(parts))
        if note is None or not is_in_force(note):
            return None
        trials, reporter, *processes = note.items
        return Verdict(
            parts=parts,
            at_s=note.at_s,
            trials=int(trials),
            reporter=HostId(reporter),
            processes=tuple(processes),
        )


def is_in_force(note: Note) -> bool:
    """Return whether a verdict's note puts it in force, and does not end it."""
    return len(note.items) >= 2 and note.items[0].isdigit()


def is_lifted(note: Note) -> bool:
    """Return whether a verdict's note says that its parts are innocent."""
    return note.items == (VerdictChange.LIFTED.value,)
