"""What all hosts know of upstreams that died while they ran a request.

Each pair of a request's fingerprint and a process that died is a note of its own, so that hosts
that add deaths of the same request at the same time do not overwrite each other's.
"""

import collections.abc as cabc
import dataclasses

from cassiawalk.crashes.deaths import Death
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteTopic
from cassiawalk.peer.notes import VERDICTS

SUSPICION_S = 600.0
MAX_FINGERPRINTS = 4096
_SEPARATOR = " "
_ALONE = "alone"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordedDeath:
    """A death attributed to a request.

    :param reporter: the host that ran the request there.
    :param at_s: when the death was noticed, in wall-clock seconds.
    :param alone: whether the request ran there in isolation.
    """

    process: str
    failure_domain: FailureDomain
    reporter: HostId
    at_s: float
    alone: bool = False

    def as_death(self) -> Death:
        """Return the death without the request."""
        return Death(process=self.process, failure_domain=self.failure_domain, at=self.at_s)


class Evidence:
    """The deaths that hosts attributed to requests, by fingerprint."""

    def __init__(self, *, host: HostId, notes: CrashNotes) -> None:
        self._host = host
        self._notes = notes
        self._processes: dict[Fingerprint, set[str]] = {}
        self._all_deaths: tuple[int, list[Death]] = (0, [])

    def note_changed(self, note: Note) -> None:
        """Take a new or changed note into account."""
        if note.topic is not NoteTopic.SUSPECT_REQUEST:
            return
        name, _, process = note.name.partition(_SEPARATOR)
        self._processes.setdefault(Fingerprint(name), set()).add(process)
        if len(self._processes) > MAX_FINGERPRINTS:
            self.all_deaths()  # which drops fingerprints whose notes have expired

    def deaths(self, fingerprint: Fingerprint) -> list[RecordedDeath]:
        """Return the deaths that stand against a request, the oldest first."""
        found = [self._death(fingerprint, name) for name in self._processes.get(fingerprint, ())]
        standing = [death for death in found if death is not None]
        if not standing:
            self._processes.pop(fingerprint, None)
        return sorted(standing, key=lambda death: death.at_s)

    def all_deaths(self) -> list[Death]:
        """Return all deaths that stand against some request, each process once."""
        version = self._notes.version
        if self._all_deaths[0] != version:
            found = {
                death.process: death.as_death()
                for fingerprint in list(self._processes)
                for death in self.deaths(fingerprint)
            }
            self._all_deaths = (version, list(found.values()))
        return self._all_deaths[1]

    async def add(
        self, fingerprints: cabc.Iterable[Fingerprint], death: Death, *, alone: bool = False
    ) -> None:
        """Attribute a death to requests, on all hosts.

        :param alone: whether the request ran in isolation.
        """
        items = (str(death.failure_domain), str(self._host), *((_ALONE,) if alone else ()))
        added = [
            self._new(fingerprint, death.process, items)
            for fingerprint in fingerprints
            if self._note(fingerprint, death.process) is None
        ]
        await self._notes.share(added)

    async def clear(self, fingerprint: Fingerprint) -> None:
        """Withdraw all deaths that stand against a request, on all hosts."""
        deaths = self.deaths(fingerprint)
        await self._withdraw([(fingerprint, death.process) for death in deaths])

    def blamed_for(self, process: str) -> list[Fingerprint]:
        """Return the requests against which the death of a process stands."""
        return [
            fingerprint
            for fingerprint in list(self._processes)
            if process in [death.process for death in self.deaths(fingerprint)]
        ]

    async def explain(self, process: str) -> None:
        """Withdraw a death from all requests, because it has another cause."""
        await self._withdraw([(name, process) for name in self.blamed_for(process)])

    async def _withdraw(self, pairs: cabc.Sequence[tuple[Fingerprint, str]]) -> None:
        if not pairs:
            return
        withdrawn = [self._new(fingerprint, process, ()) for fingerprint, process in pairs]
        await self._notes.share(withdrawn)

    def _death(self, fingerprint: Fingerprint, process: str) -> RecordedDeath | None:
        note = self._note(fingerprint, process)
        if note is None or len(note.items) < 2:
            return None
        domain, reporter, *more = note.items
        return RecordedDeath(
            process=process,
            failure_domain=FailureDomain(domain),
            reporter=HostId(reporter),
            at_s=note.at_s,
            alone=_ALONE in more,
        )

    def _note(self, fingerprint: Fingerprint, process: str) -> Note | None:
        return self._notes.get(NoteTopic.SUSPECT_REQUEST, _name(fingerprint, process))

    def _new(self, fingerprint: Fingerprint, process: str, items: tuple[str, ...]) -> Note:
        name = _name(fingerprint, process)
        return self._notes.new(NoteTopic.SUSPECT_REQUEST, name, keep_s=SUSPICION_S, items=items)


def _name(fingerprint: Fingerprint, process: str) -> str:
    return f"{fingerprint}{_SEPARATOR}{process}"


def record_key(note: Note) -> str | None:
    """Return the key under which a note is stored, or None if it is not.

    The notes about one request are stored together, and so are those about one process that died.
    """
    if note.topic in (NoteTopic.SUSPECT_REQUEST, NoteTopic.LOST_PARTS):
        return note.name.partition(_SEPARATOR)[0]
    if note.topic is NoteTopic.NAMED_LIMIT:
        return f"limit/{note.name}"
    return note.name if note.topic in VERDICTS else None
