"""Hosts find each other by records in the store; calm ones never touch it again."""

import dataclasses

import cbor2
import eliot

from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import HostRole
from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import ReadFailed
from cassiawalk.errors import WireError
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ingress.correctedtime import CorrectedTime
from cassiawalk.wire import from_plain
from cassiawalk.wire import load
from cassiawalk.wire import to_plain

FORGOTTEN_S = 600.0  # calm hosts do not renew their records, so that this is long


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostRecord:
    """What a host writes of itself, and when in seconds since the epoch."""

    host: HostId
    failure_domain: str
    peer_address: str
    written_s: float
    strength: float = 1.0


class HostRegistry(HostList):
    """The host list that hosts keep among themselves.

    ``strengths`` is what hosts can do for others, as far as they have told; ``strengths_told``
    grows with each change of it.

    :param strength: what this host can do for others.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        stream: str,
        own: HostEntry,
        time: CorrectedTime,
        strength: float = 1.0,
    ) -> None:
        self._log = log
        self._stream = stream
        self._own = own
        self._time = time
        self._strength = strength
        self.written_s: dict[HostId, float] = {}
        self.strengths: dict[HostId, float] = {own.host: strength}
        self.strengths_told = 0

    async def hosts(self) -> tuple[HostEntry, ...] | None:
        """Return the recorded hosts with this one, or None in an outage."""
        found = await self._log.newest(stream=self._stream)
        if isinstance(found, ReadFailed):
            return None
        records = [record for raw in found.records if (record := _decode(raw)) is not None]
        self.written_s = {record.host: record.written_s for record in records}
        for record in records:
            self.note_strength(record.host, record.strength)
        oldest_s = self._time.now() - FORGOTTEN_S
        fresh = [_entry(record) for record in records if record.written_s > oldest_s]
        others = tuple(entry for entry in fresh if entry.host != self._own.host)
        return (self._own, *others)

    def note_strength(self, host: HostId, strength: float) -> None:
        """Keep what another host can do for others."""
        if host != self._own.host and self.strengths.get(host) != strength:
            self.strengths[host] = strength
            self.strengths_told += 1

    async def write_own(self) -> bool:
        """Write this host's record; return whether it is known to be in the store."""
        record = HostRecord(
            host=self._own.host,
            failure_domain=self._own.failure_domain,
            peer_address=self._own.peer_address,
            written_s=self._time.now(),
            strength=self._strength,
        )
        value = cbor2.dumps(to_plain(record))
        return await self._log.put(stream=self._stream, key=self._own.host, value=value)

    async def remove_own(self) -> None:
        """Take this host's record back."""
        await self._log.put(stream=self._stream, key=self._own.host, value=None)


def _decode(raw: KeyedRecord) -> HostRecord | None:
    if raw.value is None:
        return None
    try:
        return from_plain(HostRecord, load(raw.value))
    except (WireError, AttributeError, TypeError, ValueError) as exc:
        eliot.log_message(message_type="hosts:unreadable", key=raw.key, reason=str(exc))
        return None


def _entry(record: HostRecord) -> HostEntry:
    return entry_of(record.host, record.failure_domain, record.peer_address)


def entry_of(host: HostId, failure_domain: str, peer_address: str) -> HostEntry:
    """Return the entry of a host of cassiawalk."""
    return HostEntry(
        host=host,
        role=HostRole.ENTRY,
        failure_domain=FailureDomain(failure_domain),
        address=peer_address,
        peer_address=peer_address,
    )
