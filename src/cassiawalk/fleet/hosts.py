"""Host discovery through records in the store.

A host writes its record when it starts. It writes and reads again only while hosts are missing, so
a stable fleet does not use the store for discovery.
"""

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
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.wire import from_plain
from cassiawalk.wire import load
from cassiawalk.wire import to_plain

RECORD_MAX_AGE_S = 600.0  # long, as hosts of a stable fleet do not renew their records


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostRecord:
    """A host's record in the store.

    :param written_s: when it was written, in seconds since the epoch.
    :param strength: the host's capacity to serve other hosts, see ``HostProfile``.
    """

    host: HostId
    failure_domain: str
    peer_address: str
    written_s: float
    strength: float = 1.0


class HostRegistry(HostList):
    """The host list that the hosts maintain themselves, with one record for each host.

    ``written_s`` holds when each record was written, in seconds since the epoch. ``strengths``
    holds the last known strength of each host, and ``strengths_version`` grows with each change
    of it.

    :param strength: this host's capacity to serve other hosts, see ``HostProfile``.
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
        self.strengths_version = 0

    async def hosts(self) -> tuple[HostEntry, ...] | None:
        """Return this host and all hosts with a recent record, or None if the store failed."""
        found = await self._log.newest(stream=self._stream)
        if isinstance(found, ReadFailed):
            return None
        records = [record for raw in found.records if (record := _decode(raw)) is not None]
        self.written_s = {record.host: record.written_s for record in records}
        for record in records:
            self.note_strength(record.host, record.strength)
        oldest_s = self._time.now() - RECORD_MAX_AGE_S
        fresh = [_entry(record) for record in records if record.written_s > oldest_s]
        others = tuple(entry for entry in fresh if entry.host != self._own.host)
        return (self._own, *others)

    def note_strength(self, host: HostId, strength: float) -> None:
        """Record the strength of another host."""
        if host != self._own.host and self.strengths.get(host) != strength:
            self.strengths[host] = strength
            self.strengths_version += 1

    async def write_own(self) -> bool:
        """Write this host's record and return whether the store confirmed it."""
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
        """Remove this host's record."""
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
    """Return the membership entry of a host."""
    return HostEntry(
        host=host,
        role=HostRole.ENTRY,
        failure_domain=FailureDomain(failure_domain),
        address=peer_address,
        peer_address=peer_address,
    )
