"""Which hosts sequence which partition of the idempotency keys."""

from cassiawalk.ids import HostId
from cassiawalk.ids import Partition
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.once.records import partition_of

PARTITIONS = 16


class Placement:
    """Spreads partitions over the reachable entry hosts by rendezvous hashing.

    Two hosts that see different members place a partition differently for a while. That costs
    time only: any number of sequencers may serve one partition.

    :param partitions: the number of partitions; the same on every host.
    """

    def __init__(
        self, *, host: HostId, membership: Membership, partitions: int = PARTITIONS
    ) -> None:
        self.partitions = partitions
        self._host = host
        self._membership = membership
        self._ranked_hosts: list[HostId] = []
        self._rankings: dict[Partition, list[HostId]] = {}

    def partition(self, key: str) -> Partition:
        """Return the partition of a key."""
        return partition_of(key, partitions=self.partitions)

    def hosts(self, partition: Partition) -> list[HostId]:
        """Return the hosts for a partition, the first choice first."""
        reachable = self._membership.reachable_entry_hosts() or [self._host]
        if reachable != self._ranked_hosts:
            self._ranked_hosts = reachable
            self._rankings = {}
        if partition not in self._rankings:
            self._rankings[partition] = rank(f"once-{partition}", reachable)
        return self._rankings[partition]

    def owns(self, partition: Partition) -> bool:
        """Return whether this host is the first choice for a partition."""
        return self.hosts(partition)[0] == self._host
