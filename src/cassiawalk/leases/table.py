"""Who holds the lease of each pool, as the ``orders`` stream says."""

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
    """A request for a pool's lease, or with ``fence`` for its renewal."""

    pool: PoolName
    fence: Offset | None = None


@lease_records.register("lease")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRecord:
    """Claims of one holder. ``read_through`` is the last offset that the holder had read.

    ``holder`` names a process by host and incarnation, so that a restarted host is another holder.
    ``number`` counts the records of a holder.
    """

    host: HostId
    holder: str
    number: int
    duration_s: float
    read_through: Offset
    claims: tuple[PoolClaim, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lease:
    """The lease of a pool. ``fence`` is the offset of the record that took it.

    ``number`` is the holder's own number of the last record, and ``seen_at`` when this process read
    it, in monotonic seconds.
    """

    host: HostId
    holder: str
    number: int
    fence: Offset
    last_offset: Offset
    duration_s: float
    seen_at: float


class LeaseTable:
    """Folds the stream. The order of the log alone decides who holds a lease, no clock does.

    A record takes a lease only if its writer had read the last record on the pool, so of two that
    race the first one wins; a renewal counts only for the present holder and fence.
    """

    def __init__(self) -> None:
        self._leases: dict[PoolName, Lease] = {}

    def get(self, pool: PoolName) -> Lease | None:
        """Return the lease of a pool, lapsed or not, or None if no record tells."""
        return self._leases.get(pool)

    def fold(self, offset: Offset, payload: bytes, *, seen_at: float) -> None:
        """Take over one entry of the stream; one that can't be decoded is skipped."""
        try:
            messages = lease_records.decode(payload)
        except (WireError, ArithmeticError, AttributeError, TypeError, ValueError):
            return
        for message in messages:
            if not isinstance(message, LeaseRecord):
                continue
            for claim in message.claims:
                if self._accepts(message, claim):
                    self._store(offset, message, claim, seen_at)

    def _accepts(self, record: LeaseRecord, claim: PoolClaim) -> bool:
        lease = self._leases.get(claim.pool)
        if claim.fence is None:
            return lease is None or lease.last_offset <= record.read_through
        return lease is None or (lease.holder == record.holder and lease.fence == claim.fence)

    def _store(self, offset: Offset, record: LeaseRecord, claim: PoolClaim, seen_at: float) -> None:
        self._leases[claim.pool] = Lease(
            host=record.host,
            holder=record.holder,
            number=record.number,
            fence=offset if claim.fence is None else claim.fence,
            last_offset=offset,
            duration_s=record.duration_s,
            seen_at=seen_at,
        )
