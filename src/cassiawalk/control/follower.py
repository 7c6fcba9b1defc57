"""Keeps the configuration of this host up to date."""

import asyncio
import collections.abc as cabc
import enum

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadFailed
from cassiawalk.clock import Clock
from cassiawalk.control.commands import CONTROL_STREAM
from cassiawalk.control.decoding import IncompatibleError
from cassiawalk.control.decoding import decode_entry
from cassiawalk.control.fold import DecodedEntry
from cassiawalk.control.fold import fold_entries
from cassiawalk.control.recent import RecentEntries
from cassiawalk.control.snapshots import SnapshotStore
from cassiawalk.control.state import ConfigState
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset

READ_LIMIT = 512
READ_WAIT_S = 2.0
RETRY_DELAY_S = 0.25
STALENESS_BOUND_S = 20.0
OUTAGE_BOUND_S = 3600.0


class Freshness(enum.Enum):
    """Whether the configuration may be used to serve requests."""

    STARTING = "starting"
    FRESH = "fresh"
    STALE = "stale"
    INCOMPATIBLE = "incompatible"


class ControlFollower(Component):
    """Keeps ``state`` equal to the fold of the ``control`` stream.

    Two ages determine the freshness. ``age_s`` is the time since the state was known to be the
    newest. ``contact_s`` is the time since the log service gave any answer, including one that
    reports an outage. Both are counted from the time of the request, not of the reply: a reply may
    have waited in a socket while the process was suspended.

    :param staleness_bound_s: how long the state may be used without contact, in seconds.
    :param outage_bound_s: how long the state may be used while the log service itself reports an
        outage, in seconds.
    """

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        staleness_bound_s: float = STALENESS_BOUND_S,
        outage_bound_s: float = OUTAGE_BOUND_S,
    ) -> None:
        self._log = log
        self._clock = clock
        self._staleness_bound_s = staleness_bound_s
        self._outage_bound_s = max(staleness_bound_s, outage_bound_s)
        self._snapshots = SnapshotStore(log=log)
        self._state = ConfigState()
        self._confirmed_at: float | None = None
        self._contact_at: float | None = None
        self._incompatible = False
        self._changed = asyncio.Condition()
        self._listeners: list[cabc.Callable[[ConfigState], None]] = []
        self.recent = RecentEntries()

    @property
    def state(self) -> ConfigState:
        """Return the current configuration of this host."""
        return self._state

    @property
    def age_s(self) -> float | None:
        """Return the seconds since the state was known to be the newest, or None if never."""
        return None if self._confirmed_at is None else self._clock.monotonic() - self._confirmed_at

    @property
    def contact_s(self) -> float | None:
        """Return the seconds since the log service answered this host or a relay, or None."""
        return None if self._contact_at is None else self._clock.monotonic() - self._contact_at

    @property
    def freshness(self) -> Freshness:
        """Return whether the state may be used to serve requests."""
        if self._incompatible:
            return Freshness.INCOMPATIBLE
        age_s, contact_s = self.age_s, self.contact_s
        if age_s is None or contact_s is None:
            return Freshness.STARTING
        fresh = contact_s <= self._staleness_bound_s and age_s <= self._outage_bound_s
        return Freshness.FRESH if fresh else Freshness.STALE

    def add_listener(self, listener: cabc.Callable[[ConfigState], None]) -> None:
        """Register a function that is called with each new state."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start to follow the log directly. Hosts with a ``RelayNode`` start that instead."""
        self.keep_running(self._follow, name="control-follower")

    async def wait_for(self, predicate: cabc.Callable[[ConfigState], bool]) -> ConfigState:
        """Return the first state that satisfies ``predicate``."""
        async with self._changed:
            await self._changed.wait_for(lambda: predicate(self._state))
            return self._state

    async def adopt(self, state: ConfigState) -> bool:
        """Replace the state by one from a snapshot or a peer; return False if it isn't newer."""
        if state.through_offset <= self._state.through_offset:
            return False
        self.recent.clear()
        await self._install(state)
        return True

    async def apply(self, entries: cabc.Sequence[LogEntry], *, after: Offset) -> bool:
        """Fold entries; return False if there is a gap between the state and the first entry.

        :param after: the offset directly before the first entry.
        """
        through = self._state.through_offset
        if after > through:
            return False
        decoded: list[DecodedEntry] = []
        for entry in entries:
            if entry.offset <= through:
                continue
            try:
                decoded.append(decode_entry(entry))
            except IncompatibleError as exc:
                self._mark_incompatible(exc)
                break
            self.recent.add(entry, after=through)
            through = entry.offset
        if decoded:
            await self._install(fold_entries(self._state, decoded))
        return True

    def confirm(self, *, age_s: float = 0.0) -> None:
        """Record that the state was the newest one ``age_s`` seconds ago."""
        confirmed_at = self._clock.monotonic() - age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
        self.record_contact(age_s=age_s)

    def record_contact(self, *, age_s: float = 0.0) -> None:
        """Record that the log service answered ``age_s`` seconds ago."""
        contact_at = self._clock.monotonic() - age_s
        if self._contact_at is None or contact_at > self._contact_at:
            self._contact_at = contact_at

    async def read_log(self, *, wait_s: float = READ_WAIT_S) -> bool:
        """Read one batch of entries from the log and fold it; return False on failure.

        :param wait_s: how long the log service may wait for a new entry, in seconds.
        """
        asked_at = self._clock.monotonic()
        start = Offset(self._state.through_offset + 1)
        wait_s = 0.0 if self._confirmed_at is None else wait_s
        outcome = await self._log.read(
            stream=CONTROL_STREAM, start=start, limit=READ_LIMIT, wait_s=wait_s
        )
        if isinstance(outcome, ReadFailed):
            eliot.log_message(message_type="control:read-failed", reason=outcome.reason)
            if outcome.service_outage and self._confirmed_at is not None:
                self.record_contact(age_s=self._clock.monotonic() - asked_at)
            return False
        if outcome.end_offset < start:
            eliot.log_message(message_type="control:log-behind", end=outcome.end_offset)
            return False
        if outcome.first_offset > start:
            return await self._restart_from_snapshot(outcome.first_offset)
        await self.apply(outcome.entries, after=Offset(start - 1))
        if self._state.through_offset + 1 >= outcome.end_offset:
            self.confirm(age_s=self._clock.monotonic() - asked_at)
        return not self._incompatible

    async def _install(self, state: ConfigState) -> None:
        self._state = state
        async with self._changed:
            self._changed.notify_all()
        for listener in self._listeners:
            self._notify(listener, state)

    def _notify(self, listener: cabc.Callable[[ConfigState], None], state: ConfigState) -> None:
        try:
            listener(state)
        except Exception as exc:
            # An exception in a listener must not stop the host from following the configuration.
            eliot.log_message(message_type="control:listener-failed", error=repr(exc))

    async def _follow(self) -> None:
        while True:
            if not await self.read_log():
                await self._clock.sleep(RETRY_DELAY_S)

    async def _restart_from_snapshot(self, first_offset: Offset) -> bool:
        """Adopt a snapshot from which the retained records continue without a gap."""
        found = await self._snapshots.find(usable_from=first_offset)
        if found is None:
            eliot.log_message(message_type="control:no-snapshot", first=first_offset)
            return False
        try:
            return await self.adopt(found.state())
        except (WireError, IncompatibleError) as exc:
            eliot.log_message(message_type="control:bad-snapshot", fault=exc.format_message())
            return False

    def _mark_incompatible(self, exc: IncompatibleError) -> None:
        self._incompatible = True
        eliot.log_message(message_type="control:incompatible", fault=exc.format_message())
