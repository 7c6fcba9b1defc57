"""Reconstructs the configuration at an earlier revision."""

from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadFailed
from cassiawalk.control import ConfigState
from cassiawalk.control import fold
from cassiawalk.control.commands import CONTROL_STREAM
from cassiawalk.control.decoding import IncompatibleError
from cassiawalk.control.decoding import decode_entry
from cassiawalk.control.snapshots import SnapshotStore
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.ids import Revision

READ_LIMIT = 512


class ConfigHistory:
    """Reconstructs states of the configuration by folding the retained ``control`` stream."""

    def __init__(self, *, log: LogService) -> None:
        self._log = log
        self._snapshots = SnapshotStore(log=log)

    async def state_at(self, revision: Revision) -> ConfigState | None:
        """Return the configuration at a revision, or None if it can't be reconstructed.

        None means that the revision has not been reached yet, that it is older than what the
        stream retains, or that the log service can't be read.
        """
        entries = await self._read_entries()
        if entries is None:
            return None
        state = await self._initial_state(entries)
        if state is None or state.revision > revision:
            return None
        for entry in entries:
            if state.revision >= revision:
                break
            state = fold(state, entry.offset, decode_entry(entry).messages)
        return state if state.revision == revision else None

    async def _initial_state(self, entries: list[LogEntry]) -> ConfigState | None:
        """Return the state before the first entry, or None without a usable snapshot."""
        if not entries or entries[0].offset == 0:
            return ConfigState()
        snapshot = await self._snapshots.find(usable_from=entries[0].offset)
        try:
            return None if snapshot is None else snapshot.state()
        except (IncompatibleError, WireError):
            return None

    async def _read_entries(self) -> list[LogEntry] | None:
        entries: list[LogEntry] = []
        start = Offset(0)
        while True:
            batch = await self._log.read(stream=CONTROL_STREAM, start=start, limit=READ_LIMIT)
            if isinstance(batch, ReadFailed):
                return None
            entries.extend(batch.entries)
            if not batch.entries or batch.entries[-1].offset + 1 >= batch.end_offset:
                return entries
            start = Offset(batch.entries[-1].offset + 1)
