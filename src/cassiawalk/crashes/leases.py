"""Exclusive leases that limit a suspect request to one isolated run at a time."""

import collections.abc as cabc
import dataclasses
import typing as t

from cassiawalk.clock import Clock
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer.messages import messages

LEASE_S = 10.0
LEASE_RENEWAL_S = 2.0
CALL_TIMEOUT_S = 2.0
MAX_LEASES = 4096
QUARANTINE_RETENTION_S = 60.0


@messages.register("solo")
@dataclasses.dataclass(frozen=True, kw_only=True)
class IsolationLeaseCall:
    """Requests, renews or releases the lease of a suspect request.

    ``release`` ends the lease. ``convicted``, sent with it, reports that the request is
    quarantined because its upstream died.
    """

    fingerprint: Fingerprint
    request_id: RequestId
    release: bool = False
    convicted: bool = False


@messages.register("solo-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class IsolationLeaseReply:
    """Whether the lease was granted; ``convicted`` if the request is quarantined already."""

    granted: bool
    convicted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Lease:
    """The request that holds a lease, and the lease's end in monotonic seconds."""

    request_id: RequestId
    until: float


class IsolationLeases:
    """Leases by fingerprint; the first host in the fingerprint's rendezvous order grants them.

    :param hosts: returns the hosts that may grant leases, as far as possible the same on all
        hosts; by default all that are reachable.
    :param timeout_s: how long to wait for an answer of the granting host, in seconds.
    """

    def __init__(
        self,
        *,
        host: HostId,
        membership: Membership,
        links: PeerLinks,
        clock: Clock,
        hosts: cabc.Callable[[], cabc.Sequence[HostId]] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._clock = clock
        self._hosts = hosts or membership.reachable_entry_hosts
        self._timeout_s = timeout_s
        self._leases: dict[Fingerprint, _Lease] = {}
        self._quarantined_until: dict[Fingerprint, float] = {}

    async def request(self, call: IsolationLeaseCall) -> IsolationLeaseReply:
        """Return the reply of the lease's owner; not granted if the owner can't be reached."""
        hosts = self._hosts()
        owner = rank(call.fingerprint, hosts)[0] if hosts else self._host
        if owner == self._host:
            return await self.handle_call(call)
        reply = await self._links.call(owner, call, IsolationLeaseReply, timeout_s=self._timeout_s)
        if isinstance(reply, PeerFailure):
            self._membership.mark_unreachable(owner)
            return IsolationLeaseReply(granted=False)
        return reply

    async def handle_call(self, call: IsolationLeaseCall) -> IsolationLeaseReply:
        """Grant, renew or release a lease that this host owns."""
        lease = self._leases.get(call.fingerprint)
        now = self._clock.monotonic()
        if call.convicted:
            self._quarantined_until[call.fingerprint] = now + QUARANTINE_RETENTION_S
            _drop_oldest(self._quarantined_until)
        if self._quarantined_until.get(call.fingerprint, 0.0) > now:
            self._leases.pop(call.fingerprint, None)
            return IsolationLeaseReply(granted=False, convicted=True)
        held = lease is not None and lease.until > now and lease.request_id != call.request_id
        if held:
            return IsolationLeaseReply(granted=False)
        self._leases.pop(call.fingerprint, None)
        if call.release:
            return IsolationLeaseReply(granted=False)
        self._leases[call.fingerprint] = _Lease(request_id=call.request_id, until=now + LEASE_S)
        _drop_oldest(self._leases)
        return IsolationLeaseReply(granted=True)


def _drop_oldest(kept: dict[Fingerprint, t.Any]) -> None:
    """Drop the oldest items beyond ``MAX_LEASES``."""
    while len(kept) > MAX_LEASES:
        del kept[next(iter(kept))]
