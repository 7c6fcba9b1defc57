"""Gives suspect requests their turns, so that each runs on one upstream at a time."""

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

TURN_S = 10.0
TURN_RENEWAL_S = 2.0
CALL_TIMEOUT_S = 2.0
TURNS_KEPT = 4096
CONVICTION_S = 60.0


@messages.register("solo")
@dataclasses.dataclass(frozen=True, kw_only=True)
class IsolationLeaseCall:
    """Asks for, renews or ends the turn of a suspect request.

    ``convicted`` tells, with the end of the turn, that the request killed its upstream.
    """

    fingerprint: Fingerprint
    request_id: RequestId
    release: bool = False
    convicted: bool = False


@messages.register("solo-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class IsolationLeaseReply:
    """Whether the request has the turn, or was convicted in an earlier one."""

    granted: bool
    convicted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Turn:
    """Who may run a fingerprint until when, in monotonic seconds."""

    request_id: RequestId
    until: float


class IsolationLeases:
    """Turns by fingerprint; the first host by rendezvous of the fingerprint grants them."""

    def __init__(
        self, *, host: HostId, membership: Membership, links: PeerLinks, clock: Clock
    ) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._clock = clock
        self._leases: dict[Fingerprint, _Turn] = {}
        self._convicted: dict[Fingerprint, float] = {}

    async def ask(self, call: IsolationLeaseCall) -> IsolationLeaseReply:
        """Return the granting host's reply; no turn if that host can't be reached."""
        hosts = self._membership.reachable_entry_hosts()
        granter = rank(call.fingerprint, hosts)[0] if hosts else self._host
        if granter == self._host:
            return await self.handle_call(call)
        reply = await self._links.call(granter, call, IsolationLeaseReply, timeout_s=CALL_TIMEOUT_S)
        if isinstance(reply, PeerFailure):
            self._membership.mark_unreachable(granter)
            return IsolationLeaseReply(granted=False)
        return reply

    async def handle_call(self, call: IsolationLeaseCall) -> IsolationLeaseReply:
        """Grant, renew or end a turn at this host."""
        turn = self._leases.get(call.fingerprint)
        now = self._clock.monotonic()
        if call.convicted:
            self._convicted[call.fingerprint] = now + CONVICTION_S
            _bound(self._convicted)
        if self._convicted.get(call.fingerprint, 0.0) > now:
            self._leases.pop(call.fingerprint, None)
            return IsolationLeaseReply(granted=False, convicted=True)
        held = turn is not None and turn.until > now and turn.request_id != call.request_id
        if held:
            return IsolationLeaseReply(granted=False)
        self._leases.pop(call.fingerprint, None)
        if call.release:
            return IsolationLeaseReply(granted=False)
        self._leases[call.fingerprint] = _Turn(request_id=call.request_id, until=now + TURN_S)
        _bound(self._leases)
        return IsolationLeaseReply(granted=True)


def _bound(kept: dict[Fingerprint, t.Any]) -> None:
    """Drop the oldest items beyond the limit."""
    while len(kept) > TURNS_KEPT:
        del kept[next(iter(kept))]
