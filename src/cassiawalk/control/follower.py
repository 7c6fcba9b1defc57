"""Follows the ``control`` stream and holds the configuration in force on this host."""

import asyncio
import collections.abc as cabc
import enum

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.control.commands import CONTROL_STREAM
from cassiawalk.control.commands import records
from cassiawalk.control.fold import fold
from cassiawalk.control.fold import newest_snapshot
from cassiawalk.control.state import ConfigState
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.platform import LogEntry
from cassiawalk.platform import LogService
from cassiawalk.platform import ReadBatch
from cassiawalk.platform import ReadFailed

READ_LIMIT = 512
READ_WAIT_S = 2.0
RETRY_DELAY_S = 0.25
STALENESS_BOUND_S = 20.0


class Freshness(enum.Enum):
    """Whether the configuration may be served."""

    STARTING = "starting"
    FRESH = "fresh"
    STALE = "stale"


class ControlFollower(Component):
    """Keeps ``state`` equal to the fold of the stream.

    :param staleness_bound_s: how long the state may be served without proof that it is current,
        in seconds.
    """

    def __init__(
        self, *, log: LogService, clock: Clock, staleness_bound_s: float = STALENESS_BOUND_S
    ) -> None:
        self._log = log
        self._clock = clock
        self._staleness_bound_s = staleness_bound_s
        self._state = ConfigState()
        self._confirmed_at: float | None = None
        self._changed = asyncio.Condition()
        self._listeners: list[cabc.Callable[[ConfigState], None]] = []

    @property
    def state(self) -> ConfigState:
        """Return the configuration in force on this host."""
        return self._state

    @property
    def freshness(self) -> Freshness:
        """Return whether the state was confirmed as current within the staleness bound."""
        if self._confirmed_at is None:
            return Freshness.STARTING
        age_s = self._clock.monotonic() - self._confirmed_at
        return Freshness.FRESH if age_s <= self._staleness_bound_s else Freshness.STALE

    def add_listener(self, listener: cabc.Callable[[ConfigState], None]) -> None:
        """Call ``listener`` with each new state."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start following the stream."""
        self.spawn(self._follow(), name="control-follower")

    async def wait_for(self, predicate: cabc.Callable[[ConfigState], bool]) -> ConfigState:
        """Return the first state that satisfies ``predicate``."""
        async with self._changed:
            await self._changed.wait_for(lambda: predicate(self._state))
            return self._state

    async def adopt(self, state: ConfigState) -> bool:
        """Take over a state from a snapshot or a peer unless it is older than the present one."""
        if state.through_offset <= self._state.through_offset:
            return False
        await self._install(state)
        return True

    async def apply(self, entries: cabc.Sequence[LogEntry]) -> None:
        """Fold entries that follow directly on the present state."""
        state = self._state
        for entry in entries:
            state = fold(state, entry.offset, _decode(entry))
        if state is not self._state:
            await self._install(state)

    def confirm(self, *, age_s: float = 0.0) -> None:
        """Note that the state was the newest one ``age_s`` seconds ago."""
        confirmed_at = self._clock.monotonic() - age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    async def _install(self, state: ConfigState) -> None:
        async with self._changed:
            self._state = state
            self._changed.notify_all()
        for listener in self._listeners:
            listener(state)

    async def _follow(self) -> None:
        while True:
            if not await self._read_once():
                await self._clock.sleep(RETRY_DELAY_S)

    async def _read_once(self) -> bool:
        """Read and fold one batch; return False if the log could not be read."""
        start = Offset(self._state.through_offset + 1)
        wait_s = 0.0 if self._confirmed_at is None else READ_WAIT_S
        outcome = await self._log.read(
            stream=CONTROL_STREAM, start=start, limit=READ_LIMIT, wait_s=wait_s
        )
        if isinstance(outcome, ReadFailed):
            eliot.log_message(message_type="control:read-failed", reason=outcome.reason)
            return False
        if outcome.first_offset > start:
            return await self._restart_from_snapshot(outcome)
        await self.apply(outcome.entries)
        if self._state.through_offset + 1 >= outcome.end_offset:
            self.confirm()
        return True

    async def _restart_from_snapshot(self, outcome: ReadBatch) -> bool:
        """Find the newest snapshot among the retained records and adopt it."""
        entries = list(outcome.entries)
        while entries and entries[-1].offset + 1 < outcome.end_offset:
            batch = await self._log.read(
                stream=CONTROL_STREAM, start=Offset(entries[-1].offset + 1), limit=READ_LIMIT
            )
            if isinstance(batch, ReadFailed) or not batch.entries:
                return False
            entries.extend(batch.entries)
        messages = [message for entry in entries for message in _decode(entry)]
        snapshot = newest_snapshot(messages)
        usable = snapshot is not None and snapshot.through_offset + 1 >= outcome.first_offset
        if snapshot is None or not usable:
            eliot.log_message(message_type="control:no-snapshot", first=outcome.first_offset)
            return False
        return await self.adopt(snapshot)


def _decode(entry: LogEntry) -> list[object]:
    """Return the entry's messages; an entry that can't be decoded is skipped by every host."""
    try:
        return records.decode(entry.payload)
    except WireError as exc:
        eliot.log_message(message_type="control:bad-entry", offset=entry.offset, fault=str(exc))
        return []
