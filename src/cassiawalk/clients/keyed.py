"""Interface to keyed streams, in which a record replaces older records of its key."""

import abc
import dataclasses

from cassiawalk.clients.log import ReadFailed
from cassiawalk.ids import Offset


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyedRecord:
    """One record; ``value`` is None if the record removes its key."""

    key: str
    value: bytes | None
    offset: Offset


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyedChanges:
    """Records in offset order; the next read starts at ``end``.

    ``missed`` is True if records before these have expired unread or the stream has been replaced,
    so that the newest record of every key has to be read again. ``restored`` is True if the stream
    has been replaced by an older copy of it, which lacks the newest records. ``complete`` is False
    if the stream held more records than were returned.
    """

    records: tuple[KeyedRecord, ...]
    end: Offset
    missed: bool = False
    restored: bool = False
    complete: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyedList:
    """The newest record of every key; records from ``end`` on may be missing."""

    records: tuple[KeyedRecord, ...]
    end: Offset


class KeyedLog(abc.ABC):
    """Client of keyed streams. No method raises for an outage."""

    @abc.abstractmethod
    async def newest(self, *, stream: str) -> KeyedList | ReadFailed:
        """Return the newest record of every key."""

    @abc.abstractmethod
    async def changes(
        self, *, stream: str, start: Offset, wait_s: float = 0.0
    ) -> KeyedChanges | ReadFailed:
        """Return the records from ``start`` on.

        :param wait_s: how long to wait for a first record, in seconds.
        """

    @abc.abstractmethod
    async def put(self, *, stream: str, key: str, value: bytes | None) -> bool:
        """Append a record; return whether it is known to be in the stream."""
