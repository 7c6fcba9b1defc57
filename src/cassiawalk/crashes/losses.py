"""Requests that were lost as an upstream died, by the shared parts of their prompts."""

import collections.abc as cabc
import dataclasses
import enum
import hashlib
import typing as t

from cassiawalk.errors import WireError
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.storeview.promptparts import PartId

Parts = frozenset[PartId]

BEGINNING_S = 0.1
MAX_LOST_REQUESTS = 64  # of one host at one upstream
MAX_PARTS = 32  # of one prompt
MAX_ID_CHARS = 48
_DIGEST_BYTES = 16
_SEPARATOR = ","  # which no id of a part contains


class Progress(enum.Enum):
    """How far an answer had come.

    - WAITING: nothing of it had come.
    - BEGINNING: its head had come, and its first event less than ``BEGINNING_S`` s ago or not yet.
    - RUNNING: it had gone on for longer.
    """

    WAITING = "waiting"
    BEGINNING = "beginning"
    RUNNING = "running"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LostRequest:
    """One request that an upstream had when it died."""

    parts: Parts
    progress: Progress


@dataclasses.dataclass(frozen=True, kw_only=True)
class Losses:
    """What one host lost when a process of an upstream died; at most ``MAX_LOST_REQUESTS``."""

    process: str
    failure_domain: FailureDomain
    reporter: HostId
    at_s: float
    requests: frozenset[LostRequest]


def part_keys(part_ids: cabc.Iterable[PartId]) -> Parts:
    """Return the names of parts for notes; ids that are too long are replaced by a digest."""
    found = list(part_ids)[:MAX_PARTS]
    return frozenset(_key(part_id) for part_id in found)


def _key(part_id: PartId) -> PartId:
    if len(part_id) <= MAX_ID_CHARS:
        return part_id
    hashed = hashlib.blake2b(part_id.encode(), digest_size=_DIGEST_BYTES)
    return PartId(hashed.hexdigest())


def joined(parts: Parts) -> str:
    """Return the text for a set of parts, the same whatever their order."""
    return _SEPARATOR.join(sorted(parts))


def split(text: str) -> Parts:
    """Return the set of parts that a text stands for."""
    return frozenset(PartId(part) for part in text.split(_SEPARATOR))


def losses_name(process: str, reporter: HostId) -> str:
    """Return the name of the note with a host's losses at a process."""
    return f"{process} {reporter}"


def items_of(losses: Losses) -> tuple[str, ...]:
    """Return the content of the note."""
    requests = sorted(
        f"{request.progress.value}{_SEPARATOR}{joined(request.parts)}"
        for request in losses.requests
    )
    return (losses.failure_domain, *requests[:MAX_LOST_REQUESTS])


def losses_in(note: Note) -> Losses:
    """Return the losses that a note tells; one without content tells of none.

    :raises WireError: if the note can't be read.
    """
    process, _, reporter = note.name.rpartition(" ")
    domain, *items = note.items or ("",)
    return Losses(
        process=process,
        failure_domain=FailureDomain(domain),
        reporter=HostId(reporter),
        at_s=note.at_s,
        requests=frozenset(_request_in(item) for item in items[:MAX_LOST_REQUESTS]),
    )


def _request_in(item: str) -> LostRequest:
    progress, _, parts = item.partition(_SEPARATOR)
    try:
        return LostRequest(parts=split(parts), progress=Progress(progress))
    except ValueError as exc:
        allowed: t.Final = ", ".join(member.value for member in Progress)
        raise WireError(f"progress is {progress!r}, not one of {allowed}") from exc
