"""Acquires and renews leases on pools."""

import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.clients import Appended
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadFailed
from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import PoolName
from cassiawalk.leases.table import ORDERS_STREAM
from cassiawalk.leases.table import LeaseRecord
from cassiawalk.leases.table import LeaseTable
from cassiawalk.leases.table import PoolClaim
from cassiawalk.leases.table import lease_records

LEASE_S = 30.0
RENEW_AFTER_S = 10.0
MARGIN_S = 5.0
READ_LIMIT_ENTRIES = 256
SEND_TIMES_KEPT = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseTimes:
    """The duration of a lease, the age at which it is renewed, and a margin for clock drift.

    All in seconds.
    """

    lease_s: float = LEASE_S
    renew_after_s: float = RENEW_AFTER_S
    margin_s: float = MARGIN_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldLease:
    """A lease of this process, which expires at ``expires_at`` in its monotonic seconds."""

    fence: Offset
    expires_at: float


class LeaseManager:
    """Acquires, renews and tracks the leases of this process.

    The holder measures a lease from before it sends the record, other processes from after they
    read it, so the lease ends for the holder before another process can acquire it.

    :param stream: the stream of the lease records.
    """

    def __init__(
        self,
        *,
        host: HostId,
        holder: str,
        log: LogService,
        clock: Clock,
        times: LeaseTimes | None = None,
        stream: str = ORDERS_STREAM,
    ) -> None:
        self._times = times or LeaseTimes()
        self._stream = stream
        self._host = host
        self._holder = holder
        self._log = log
        self._clock = clock
        self._next_offset = Offset(0)
        self._number = 0
        self._sent_at: dict[int, float] = {}
        self._last_sent_at: dict[PoolName, float] = {}
        self._held: dict[PoolName, HeldLease] = {}
        self.table = LeaseTable()

    def held(self, pool: PoolName) -> HeldLease | None:
        """Return this process's lease on a pool if it is valid by this process's clock."""
        lease = self._held.get(pool)
        return lease if lease is not None and self._clock.monotonic() < lease.expires_at else None

    def is_current(self, pool: PoolName) -> bool:
        """Return whether a lease is held and not yet due for renewal; no read is needed then."""
        sent_at = self._last_sent_at.get(pool, float("-inf"))
        due = self._clock.monotonic() - sent_at >= self._times.renew_after_s
        return self.held(pool) is not None and not due

    def drop(self, pool: PoolName) -> None:
        """Treat a lease as not held until the stream has been read again."""
        self._held.pop(pool, None)

    async def read(self) -> bool:
        """Read the stream to its end; return False if the log can't be read now."""
        while True:
            batch = await self._log.read(
                stream=self._stream, start=self._next_offset, limit=READ_LIMIT_ENTRIES
            )
            if isinstance(batch, ReadFailed):
                return False
            read_at = self._clock.monotonic()
            for entry in batch.entries:
                self.table.fold(entry.offset, entry.payload, read_at=read_at)
                self._next_offset = Offset(entry.offset + 1)
            self._next_offset = max(self._next_offset, batch.first_offset)
            if self._next_offset >= batch.end_offset:
                self._update_held()
                return True

    async def claim(
        self, pools: cabc.Iterable[PoolName], *, fenced: cabc.Container[PoolName]
    ) -> bool:
        """Claim or renew the leases among ``pools`` that are due, with at most one append.

        Call ``read`` before it, and again after it to learn which leases were acquired. Return
        whether a record was sent.

        :param fenced: pools whose engines refuse lower fencing numbers than the highest they saw.
        """
        claims = [claim for pool in pools if (claim := self._due(pool, pool in fenced)) is not None]
        if not claims:
            return False
        await self._append(claims, duration_s=self._times.lease_s)
        return True

    async def release(self, pool: PoolName, *, after_s: float) -> None:
        """Give up a lease that is held, so that other processes need not wait for its end.

        The last call under the lease must have ended before.

        :param after_s: how long other processes still have to wait, in seconds.
        """
        lease = self.held(pool)
        self.drop(pool)
        if lease is not None:
            await self._append([PoolClaim(pool=pool, fence=lease.fence)], duration_s=after_s)

    async def _append(self, claims: cabc.Sequence[PoolClaim], *, duration_s: float) -> None:
        self._number += 1
        sent_at = self._clock.monotonic()
        self._sent_at[self._number] = sent_at
        self._sent_at.pop(self._number - SEND_TIMES_KEPT, None)
        record = LeaseRecord(
            host=self._host,
            holder=self._holder,
            number=self._number,
            duration_s=duration_s,
            read_through=Offset(self._next_offset - 1),
            claims=tuple(claims),
        )
        for claim in claims:
            self._last_sent_at[claim.pool] = sent_at
        outcome = await self._log.append(
            stream=self._stream, payload=lease_records.encode([record])
        )
        if not isinstance(outcome, Appended):
            eliot.log_message(message_type="orders:append-failed", reason=outcome.reason)

    def _due(self, pool: PoolName, fenced: bool) -> PoolClaim | None:
        """Return the claim to send for a pool now, or None if none is due."""
        now = self._clock.monotonic()
        if now - self._last_sent_at.get(pool, float("-inf")) < self._times.renew_after_s:
            return None
        lease = self.table.get(pool)
        if lease is None:
            return PoolClaim(pool=pool)
        if lease.holder == self._holder:
            return PoolClaim(pool=pool, fence=lease.fence)
        # Engines that check fencing numbers refuse a superseded holder, so one missed renewal is
        # enough. With other engines the full duration of the old lease must pass.
        lease_s = lease.duration_s
        if fenced:
            lease_s = min(lease_s, self._times.renew_after_s)
        wait_s = lease_s + self._times.margin_s
        return PoolClaim(pool=pool) if now >= lease.read_at + wait_s else None

    def _update_held(self) -> None:
        for pool in self._last_sent_at:
            lease = self.table.get(pool)
            sent_at = None if lease is None else self._sent_at.get(lease.number)
            if lease is None or lease.holder != self._holder or sent_at is None:
                self._held.pop(pool, None)
                continue
            self._held[pool] = HeldLease(fence=lease.fence, expires_at=sent_at + lease.duration_s)
