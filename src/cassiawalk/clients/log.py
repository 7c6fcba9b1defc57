"""Interface to the platform's append-only log service."""

import abc
import dataclasses

from cassiawalk.ids import Offset


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogEntry:
    """One appended payload and its offset in the stream."""

    offset: Offset
    payload: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Appended:
    """The payload is in the stream at ``offset``."""

    offset: Offset


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendUnknown:
    """The answer was lost: the payload may or may not be in the stream."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendRefused:
    """The payload is not in the stream. ``retry_after_s`` is in seconds."""

    reason: str
    retry_after_s: float


AppendOutcome = Appended | AppendUnknown | AppendRefused


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadBatch:
    """Entries in offset order.

    ``first_offset`` is the oldest offset that is retained, ``end_offset`` the one that the next
    append will get. Entries start at the requested offset, or at ``first_offset`` if it is higher.
    """

    entries: tuple[LogEntry, ...]
    first_offset: Offset
    end_offset: Offset


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadFailed:
    """The stream can't be read at present.

    ``service_outage`` is True only if the service itself answered that it is unavailable.
    """

    reason: str
    service_outage: bool = False


ReadOutcome = ReadBatch | ReadFailed


class LogService(abc.ABC):
    """Append-only streams by name. No method raises for an outage."""

    @abc.abstractmethod
    async def append(self, *, stream: str, payload: bytes) -> AppendOutcome:
        """Append one payload and return whether it is in the stream."""

    @abc.abstractmethod
    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        """Return entries from ``start`` on.

        :param limit: the maximum number of entries to return.
        :param wait_s: how long to wait for a first entry, in seconds.
        """

    async def aclose(self) -> None:
        """Release connections."""
