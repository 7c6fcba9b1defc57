"""Records on the ``once/<partition>`` streams."""

import dataclasses
import hashlib
import sys

from cassiawalk.ids import ClaimId
from cassiawalk.ids import HostId
from cassiawalk.ids import Partition
from cassiawalk.ids import RequestId
from cassiawalk.wire import Registry

records = Registry()


@records.register("claim")
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """A gateway's wish to run the request of a key.

    The claim at the lowest position of its key's partition wins. ``gateway`` names the host and
    ``incarnation`` its process, so that a restarted process is not taken for the one that
    claimed. ``claimed_s`` is in wall-clock seconds.
    """

    key: str
    claim_id: ClaimId
    body_digest: str
    gateway: HostId
    incarnation: str
    request_id: RequestId
    claimed_s: float

    def __post_init__(self) -> None:
        # A ledger holds many claims of few hosts.
        object.__setattr__(self, "gateway", HostId(sys.intern(self.gateway)))
        object.__setattr__(self, "incarnation", sys.intern(self.incarnation))


@records.register("outcome")
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """The recorded answer of a claim: the upstream's HTTP status and body."""

    key: str
    claim_id: ClaimId
    status: int
    body: bytes


@records.register("abandon")
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Abandon:
    """The claim's gateway gave up before dispatch; the key is free again.

    ``claimed_s`` is the claim's own, in wall-clock seconds: the id has to be kept as long as a
    late copy of the claim could be taken in.
    """

    key: str
    claim_id: ClaimId
    claimed_s: float = 0.0


OnceRecord = Claim | Outcome | Abandon


def partition_of(key: str, *, partitions: int) -> Partition:
    """Return the partition of an idempotency key."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return Partition(int.from_bytes(digest, "big") % partitions)


def stream_of(partition: Partition) -> str:
    """Return the name of a partition's stream."""
    return f"once-{partition}"


def body_digest(*, service: str, kind: str, body: bytes) -> str:
    """Return the digest that tells two requests with the same key apart."""
    head = f"{service}/{kind}\n".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()
