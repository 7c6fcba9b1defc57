"""Snapshots of the configuration on a separate stream.

A snapshot is compressed and split into parts of bounded size. Readers may use any complete snapshot
from which the retained records of the ``control`` stream continue without a gap: folding the
records after it always leads to the same state.
"""

import dataclasses
import zlib

import cbor2
import eliot

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendUnknown
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadFailed
from cassiawalk.control.commands import FORMAT_VERSION
from cassiawalk.control.decoding import IncompatibleError
from cassiawalk.control.state import ConfigState
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.ids import new_uuid7
from cassiawalk.wire import Registry
from cassiawalk.wire import from_plain
from cassiawalk.wire import load
from cassiawalk.wire import to_plain

SNAPSHOT_STREAM = "control-snapshots"
PART_BYTES = 256 * 1024
MAX_STATE_BYTES = 256 * 1024 * 1024
MAX_APPENDS = 3
FIRST_WINDOW_RECORDS = 8
WINDOW_GROWTH = 8
_READ_LIMIT = 64
snapshot_records = Registry()


@snapshot_records.register("snapshot-part")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotPart:
    """One of the ``count`` parts of a snapshot, with ``index`` counted from 0.

    ``published_s`` is the writer's wall-clock time in seconds.
    """

    snapshot_id: str
    through_offset: Offset
    published_s: float
    index: int
    count: int
    data: bytes
    version: int = FORMAT_VERSION


@dataclasses.dataclass(frozen=True, kw_only=True)
class FoundSnapshot:
    """A complete snapshot that was found on the stream."""

    published_s: float
    through_offset: Offset
    version: int
    data: bytes

    def state(self) -> ConfigState:
        """Return the configuration in the snapshot.

        :raises IncompatibleError: if the format version is too new.
        :raises WireError: if the data can't be decoded.
        """
        return decode_state(self.data, version=self.version)


def encode_state(state: ConfigState) -> bytes:
    """Return a state as compressed CBOR."""
    return zlib.compress(cbor2.dumps(to_plain(state)), level=1)


def decode_state(data: bytes, *, version: int) -> ConfigState:
    """Return a state that is encoded as compressed CBOR.

    :raises IncompatibleError: if the format version is too new. Such data isn't decoded at all,
        because fields that are unknown to this version would be lost.
    :raises WireError: if the data can't be decoded.
    """
    if version > FORMAT_VERSION:
        raise IncompatibleError(what="a snapshot", version=version)
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(data, MAX_STATE_BYTES)
        if not decompressor.eof:
            raise WireError("the state is truncated or too large")
        return from_plain(ConfigState, load(raw))
    except (zlib.error, ArithmeticError, AttributeError, TypeError, ValueError) as exc:
        raise WireError(f"invalid state: {exc}") from exc


class SnapshotStore:
    """Publishes and finds snapshots on the log."""

    def __init__(self, *, log: LogService) -> None:
        self._log = log

    async def publish(self, state: ConfigState, *, now_s: float) -> bool:
        """Append a snapshot; return whether all parts are known to be on the stream.

        :param now_s: wall-clock time in seconds.
        """
        data = encode_state(state)
        pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
        snapshot_id = new_uuid7(wall_s=now_s)
        for index, piece in enumerate(pieces):
            part = SnapshotPart(
                snapshot_id=snapshot_id,
                through_offset=state.through_offset,
                published_s=now_s,
                index=index,
                count=len(pieces),
                data=piece,
            )
            if not await self._append(part):
                return False
        eliot.log_message(
            message_type="control:snapshot-published",
            through=state.through_offset,
            revision=state.revision,
            bytes=len(data),
        )
        return True

    async def find(self, *, usable_from: Offset) -> FoundSnapshot | None:
        """Return a usable snapshot from the newest records that contain one, or None.

        :param usable_from: the oldest retained offset of ``control``; a snapshot is usable if no
            record between it and this offset is missing.
        """
        head = await self._log.read(stream=SNAPSHOT_STREAM, start=Offset(0), limit=1)
        if isinstance(head, ReadFailed):
            return None
        window = FIRST_WINDOW_RECORDS
        while True:
            start = Offset(max(head.first_offset, head.end_offset - window))
            parts = await self._read_parts(start, head.end_offset)
            found = _newest_complete(parts)
            if found is not None and found.through_offset + 1 >= usable_from:
                return found
            if start <= head.first_offset:
                return None
            window *= WINDOW_GROWTH

    async def _read_parts(self, start: Offset, end: Offset) -> list[SnapshotPart]:
        parts: list[SnapshotPart] = []
        while start < end:
            batch = await self._log.read(stream=SNAPSHOT_STREAM, start=start, limit=_READ_LIMIT)
            if isinstance(batch, ReadFailed) or not batch.entries:
                return parts
            for entry in batch.entries:
                parts.extend(_decode_parts(entry.payload))
            start = Offset(batch.entries[-1].offset + 1)
        return parts

    async def _append(self, part: SnapshotPart) -> bool:
        payload = snapshot_records.encode([part])
        for _ in range(MAX_APPENDS):
            outcome = await self._log.append(stream=SNAPSHOT_STREAM, payload=payload)
            if not isinstance(outcome, AppendUnknown):
                return isinstance(outcome, Appended)
        return False


def _decode_parts(payload: bytes) -> list[SnapshotPart]:
    try:
        messages = snapshot_records.decode(payload)
    except (WireError, ArithmeticError, AttributeError, TypeError, ValueError):
        return []
    return [message for message in messages if isinstance(message, SnapshotPart)]


def _newest_complete(parts: list[SnapshotPart]) -> FoundSnapshot | None:
    """Return the complete snapshot with the highest offset in a supported format, or None."""
    by_id: dict[str, dict[int, SnapshotPart]] = {}
    for part in parts:
        if part.version <= FORMAT_VERSION:
            by_id.setdefault(part.snapshot_id, {})[part.index] = part
    complete = [pieces for pieces in by_id.values() if _is_complete(pieces)]
    if not complete:
        return None
    newest_offset = max(item[0].through_offset for item in complete)
    pieces = [item for item in complete if item[0].through_offset == newest_offset][-1]
    first = pieces[0]
    return FoundSnapshot(
        published_s=first.published_s,
        through_offset=first.through_offset,
        version=first.version,
        data=b"".join(pieces[index].data for index in range(first.count)),
    )


def _is_complete(pieces: dict[int, SnapshotPart]) -> bool:
    first = pieces.get(0)
    return first is not None and all(index in pieces for index in range(first.count))
