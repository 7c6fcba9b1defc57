"""Short-lived notes that are replicated to all hosts, as soft state without ordering guarantees."""

import abc
import collections.abc as cabc
import dataclasses
import enum


class NoteTopic(enum.Enum):
    """The subject of a note, which also says what the note's name identifies."""

    SUSPECT_REQUEST = "suspect request"
    ISOLATED_RUN = "solo run"
    QUARANTINE = "quarantine"
    LOST_PARTS = "lost parts"
    SURVIVING_PARTS = "surviving parts"
    REFUSED_PARTS = "refused parts"
    NAMED_LIMIT = "named limit"


VERDICTS = frozenset((NoteTopic.QUARANTINE, NoteTopic.REFUSED_PARTS))


NoteKey = tuple[NoteTopic, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Note:
    """One note. Of the notes with the same topic and name, only the latest by ``at_s`` is kept.

    ``at_s`` is the time of the note and ``until_s`` its expiry, both in wall-clock seconds.
    ``items`` is the note's content.
    """

    topic: NoteTopic
    name: str
    at_s: float
    until_s: float
    items: tuple[str, ...] = ()

    @property
    def key(self) -> NoteKey:
        """Return the key that identifies the note: its topic and name."""
        return (self.topic, self.name)


class NoteSharing(abc.ABC):
    """Replicates notes to all hosts."""

    @abc.abstractmethod
    async def share(self, notes: cabc.Sequence[Note]) -> None:
        """Store notes on this host and send them to the others."""
