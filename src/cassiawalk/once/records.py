"""Records of the ``once-<partition>`` streams."""

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
    """A gateway's claim to the right to run the request of an idempotency key.

    Of the claims to a key, the one with the lowest offset in the partition wins. ``gateway`` is
    the host and ``incarnation`` identifies its process, so that a restarted process isn't mistaken
    for the one that made the claim. ``claimed_s`` is in wall-clock seconds.
    """

    key: str
    claim_id: ClaimId
    body_digest: str
    gateway: HostId
    incarnation: str
    request_id: RequestId
    claimed_s: float

    def __post_init__(self) -> None:
        # Interned to save memory: a ledger holds many claims of few hosts.
        object.__setattr__(self, "gateway", HostId(sys.intern(self.gateway)))
        object.__setattr__(self, "incarnation", sys.intern(self.incarnation))


@records.register("outcome")
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """The recorded answer to a claimed request: the upstream's HTTP status and body."""

    key: str
    claim_id: ClaimId
    status: int
    body: bytes


@records.register("abandon")
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Abandon:
    """Releases a key whose claim was abandoned by its gateway before dispatch.

    ``claimed_s`` is the time of the claim, in wall-clock seconds. It determines how long the claim
    id must be kept, because a late copy of the claim could still be accepted until then.
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
    """Return the digest by which different requests with the same key are detected."""
    head = f"{service}/{kind}\n".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()
