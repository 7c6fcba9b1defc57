"""Assignment of idempotency key partitions to sequencer hosts."""

from cassiawalk.ids import HostId
from cassiawalk.ids import Partition
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.once.records import partition_of

PARTITIONS = 16


class Placement:
    """Distributes partitions over the reachable entry hosts by rendezvous hashing.

    Hosts whose membership views differ temporarily assign a partition to different hosts. This
    only adds latency, because several sequencers may serve the same partition.

    :param partitions: the number of partitions; must be the same on all hosts.
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
        """Return the reachable hosts in rendezvous order for a partition, the owner first."""
        reachable = self._membership.reachable_entry_hosts() or [self._host]
        if reachable != self._ranked_hosts:
            self._ranked_hosts = reachable
            self._rankings = {}
        if partition not in self._rankings:
            self._rankings[partition] = rank(f"once-{partition}", reachable)
        return self._rankings[partition]

    def owns(self, partition: Partition) -> bool:
        """Return whether this host is the first in rendezvous order for a partition."""
        return self.hosts(partition)[0] == self._host
