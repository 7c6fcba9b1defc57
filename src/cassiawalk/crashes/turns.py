"""Gives suspect requests their turns, so that each runs on one upstream at a time."""

import dataclasses

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


@messages.register("solo")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SoloCall:
    """Asks for, renews or ends the turn of a suspect request."""

    fingerprint: Fingerprint
    request_id: RequestId
    release: bool = False


@messages.register("solo-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SoloReply:
    """Whether the request has the turn."""

    granted: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Turn:
    """Who may run a fingerprint until when, in monotonic seconds."""

    request_id: RequestId
    until: float


class SoloTurns:
    """Turns by fingerprint; the first host by rendezvous of the fingerprint grants them."""

    def __init__(
        self, *, host: HostId, membership: Membership, links: PeerLinks, clock: Clock
    ) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._clock = clock
        self._turns: dict[Fingerprint, _Turn] = {}

    async def ask(self, call: SoloCall) -> bool:
        """Return whether the request has the turn; False too if no host could be asked."""
        hosts = self._membership.reachable_entry_hosts()
        granter = rank(call.fingerprint, hosts)[0] if hosts else self._host
        if granter == self._host:
            return (await self.handle_call(call)).granted
        reply = await self._links.call(granter, call, SoloReply, timeout_s=CALL_TIMEOUT_S)
        if isinstance(reply, PeerFailure):
            self._membership.mark_unreachable(granter)
            return False
        return reply.granted

    async def handle_call(self, call: SoloCall) -> SoloReply:
        """Grant, renew or end a turn at this host."""
        turn = self._turns.get(call.fingerprint)
        now = self._clock.monotonic()
        held = turn is not None and turn.until > now and turn.request_id != call.request_id
        if held:
            return SoloReply(granted=False)
        self._turns.pop(call.fingerprint, None)
        if call.release:
            return SoloReply(granted=False)
        self._turns[call.fingerprint] = _Turn(request_id=call.request_id, until=now + TURN_S)
        while len(self._turns) > TURNS_KEPT:
            del self._turns[next(iter(self._turns))]
        return SoloReply(granted=True)
