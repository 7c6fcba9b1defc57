"""Folds a stream of lease records into the current lease of each pool."""

import dataclasses

from cassiawalk.errors import WireError
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import PoolName
from cassiawalk.wire import Registry

ORDERS_STREAM = "orders"
lease_records = Registry()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolClaim:
    """A request for a pool's lease, or to renew the lease with the fencing number ``fence``."""

    pool: PoolName
    fence: Offset | None = None


@lease_records.register("lease")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRecord:
    """The claims that a holder makes in one record.

    ``holder`` identifies a process by host and incarnation, so that a restarted host is a different
    holder. ``number`` is the sequence number of the record among those of its holder.
    ``read_through`` is the last offset that the holder had read when it sent the record.
    """

    host: HostId
    holder: str
    number: int
    duration_s: float
    read_through: Offset
    claims: tuple[PoolClaim, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lease:
    """The lease of a pool. ``fence`` is the offset of the record that acquired it.

    ``number`` is the sequence number of the last acquiring or renewing record among its holder's
    records, and ``read_at`` the time at which this process read that record, in monotonic seconds.
    """

    host: HostId
    holder: str
    number: int
    fence: Offset
    last_offset: Offset
    duration_s: float
    read_at: float


class LeaseTable:
    """Folds lease records. Only the order of records on the log decides who holds a lease.

    Clocks have no part in the decision. A claim acquires a lease only if its writer had read the
    last valid record of the pool, so the first of two concurrent claims wins. A renewal is valid
    only from the current holder with the current fencing number.
    """

    def __init__(self) -> None:
        self._leases: dict[PoolName, Lease] = {}

    def get(self, pool: PoolName) -> Lease | None:
        """Return the last lease of a pool, expired or not, or None if there is no record of one."""
        return self._leases.get(pool)

    def fold(self, offset: Offset, payload: bytes, *, read_at: float) -> None:
        """Apply one entry of the stream; an entry that can't be decoded is skipped.

        :param read_at: the time at which the entry was read, in monotonic seconds.
        """
        try:
            messages = lease_records.decode(payload)
        except (WireError, ArithmeticError, AttributeError, TypeError, ValueError):
            return
        for message in messages:
            if not isinstance(message, LeaseRecord):
                continue
            for claim in message.claims:
                if self._accepts(message, claim):
                    self._store(offset, message, claim, read_at)

    def _accepts(self, record: LeaseRecord, claim: PoolClaim) -> bool:
        lease = self._leases.get(claim.pool)
        if claim.fence is None:
            return lease is None or lease.last_offset <= record.read_through
        return lease is None or (lease.holder == record.holder and lease.fence == claim.fence)

    def _store(self, offset: Offset, record: LeaseRecord, claim: PoolClaim, read_at: float) -> None:
        self._leases[claim.pool] = Lease(
            host=record.host,
            holder=record.holder,
            number=record.number,
            fence=offset if claim.fence is None else claim.fence,
            last_offset=offset,
            duration_s=record.duration_s,
            read_at=read_at,
        )
