"""Periodic snapshots of the configuration, and removal of expired quarantines."""

import asyncio

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clients import ReadFailed
from cassiawalk.clock import Clock
from cassiawalk.control.commands import CONTROL_STREAM
from cassiawalk.control.commands import ObjectType
from cassiawalk.control.commands import Operation
from cassiawalk.control.commands import Verb
from cassiawalk.control.fold import OPERATIONS_LIMIT
from cassiawalk.control.follower import ControlFollower
from cassiawalk.control.follower import Freshness
from cassiawalk.control.publisher import CommandPublisher
from cassiawalk.control.snapshots import FoundSnapshot
from cassiawalk.control.snapshots import SnapshotStore
from cassiawalk.control.state import ConfigState
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.membership import Membership
from cassiawalk.membership import rank

CHECK_INTERVAL_S = 10.0
STANDBY_HOSTS = 3
SNAPSHOT_EVERY_RECORDS = 1024
RETENTION_S = 86_400.0
# Snapshot ages at which the next one is due, as ratios of the log's retention.
CHANGED_AGE_RATIO = 1 / 8
UNCHANGED_AGE_RATIO = 1 / 4
QUARANTINE_GRACE_S = 60.0
_KEY = "control-housekeeping"


class Housekeeper(Component):
    """Publishes snapshots and removes expired quarantines, normally on one host.

    The first ``STANDBY_HOSTS`` hosts in rendezvous order take part. The n-th of them waits until
    the work is n times overdue, so that it is also done if the first host is listed but stopped.
    Doing the same work twice is harmless.

    :param retention_s: how long the log keeps records, in seconds.
    :param every_records: how many records may follow a snapshot before the next one is due.
    """

    def __init__(
        self,
        *,
        host: HostId,
        log: LogService,
        follower: ControlFollower,
        publisher: CommandPublisher,
        membership: Membership,
        clock: Clock,
        retention_s: float = RETENTION_S,
        every_records: int = SNAPSHOT_EVERY_RECORDS,
    ) -> None:
        self._host = host
        self._log = log
        self._store = SnapshotStore(log=log)
        self._follower = follower
        self._publisher = publisher
        self._membership = membership
        self._clock = clock
        self._retention_s = retention_s
        self._every_records = every_records
        self._snapshot_through = Offset(-1)
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start periodic checks for due work."""
        self._follower.add_listener(self._on_state)
        self.keep_running(self._run, name="control-housekeeping")

    async def check(self) -> None:
        """Do the work that is due for this host."""
        overdue_factor = self.overdue_factor
        if overdue_factor is None or self._follower.freshness is not Freshness.FRESH:
            return
        await self._publish_if_due(overdue_factor)
        await self._remove_expired(overdue_factor)

    @property
    def overdue_factor(self) -> int | None:
        """Return the multiplier of thresholds on this host, or None if it takes no part."""
        first = rank(_KEY, self._membership.reachable_entry_hosts())[:STANDBY_HOSTS]
        return first.index(self._host) + 1 if self._host in first else None

    def _on_state(self, state: ConfigState) -> None:
        if state.through_offset - self._snapshot_through >= self._every_records:
            self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            await self.check()

    async def _publish_if_due(self, overdue_factor: int) -> None:
        state = self._follower.state
        if state.through_offset < 0:
            return
        head = await self._log.read(stream=CONTROL_STREAM, start=Offset(0), limit=1)
        if isinstance(head, ReadFailed):
            return
        newest = await self._store.find(usable_from=head.first_offset)
        reason = self._due(state, newest, head, overdue_factor)
        if reason is None:
            self._snapshot_through = newest.through_offset if newest is not None else Offset(-1)
            return
        eliot.log_message(message_type="control:snapshot-due", reason=reason)
        if await self._store.publish(state, now_s=self._clock.wall()):
            self._snapshot_through = state.through_offset

    def _due(
        self, state: ConfigState, newest: FoundSnapshot | None, head: ReadBatch, overdue_factor: int
    ) -> str | None:
        """Return why a snapshot is due, or None."""
        if newest is None:
            return "no usable snapshot is retained"
        added = state.through_offset - newest.through_offset
        # The absolute value, because a snapshot from a clock far ahead must not delay the next one.
        age_s = abs(self._clock.wall() - newest.published_s)
        if added >= self._every_records * overdue_factor:
            return f"{added} records since the last one"
        older_records = (head.end_offset - head.first_offset) // (2 * overdue_factor)
        if (
            added > 0
            and head.first_offset > 0
            and newest.through_offset < head.first_offset + older_records
        ):
            return "the last one is in the oldest part of the retained records"
        if added > 0 and age_s >= self._retention_s * CHANGED_AGE_RATIO * overdue_factor:
            return f"changes, and the last one is {age_s:.0f} s old"
        if age_s >= self._retention_s * UNCHANGED_AGE_RATIO * overdue_factor:
            return f"the last one is {age_s:.0f} s old"
        return None

    async def _remove_expired(self, overdue_factor: int) -> None:
        """Remove expired quarantines.

        A quarantine that is renewed at the same time causes a conflict and is kept.
        """
        state = self._follower.state
        ended_before_s = self._clock.wall() - QUARANTINE_GRACE_S * overdue_factor
        names = [name for name, item in state.quarantines.items() if item.until_s < ended_before_s]
        if not names:
            return
        operations = tuple(
            Operation(verb=Verb.REMOVE, object_type=ObjectType.QUARANTINE, name=name)
            for name in sorted(names)[:OPERATIONS_LIMIT]
        )
        await self._publisher.publish_operations(
            operations, reason="quarantines that ended", expected=state.revision
        )
