"""Calls between a host and the lender of the fleet's quotas."""

import asyncio
import collections.abc as cabc
import math

import eliot

from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ids import new_uuid7
from cassiawalk.ingress.fleetquotas import QuotaListener
from cassiawalk.ingress.fleetquotas import QuotaSource
from cassiawalk.ingress.fleetquotas import Waits
from cassiawalk.ingress.quotas import Quotas
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.ratelimits import Lending
from cassiawalk.ratelimits import LendingAuthority
from cassiawalk.ratelimits.quotalender import QuotaLender
from cassiawalk.ratelimits.quotalender import QuotaLimits
from cassiawalk.ratelimits.quotamessages import QuotaCall
from cassiawalk.ratelimits.quotamessages import QuotaNeed
from cassiawalk.ratelimits.quotamessages import QuotaReply
from cassiawalk.ratelimits.quotamessages import RejectedDemand
from cassiawalk.storeview.config import WorkspaceConfig

GROUP = "quotas"  # one lender for the quotas of all workspaces
# Requests wait for a call, so it is short. Not longer than a lender that takes over waits
# (``ratelimits.authority.SETTLE_S``), so that both together stay within the quota.
CALL_TIMEOUT_S = 0.5
# A reply that takes longer than this is delayed by a slow link or a busy process. The lender
# answers a call that is sent again as it did before.
REPEAT_AFTER_S = 0.1
# One call that fails may be a slow link; after several in a row the lender is taken for lost.
MAX_FAILURES = 2
FAILED_PAUSE_S = 0.5
# Who lends depends on all hosts, so it is not looked up for each request.
LOOKUP_INTERVAL_S = 0.1
OWN_PROCESS = "own"

WorkspaceFinder = cabc.Callable[[WorkspaceName], WorkspaceConfig | None]


class QuotaCalls(QuotaSource):
    """Asks the lender for tokens, and lends them if it is this host.

    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        host: HostId,
        quotas: Quotas,
        authority: LendingAuthority,
        links: PeerLinks,
        find_workspace: WorkspaceFinder,
        clock: Clock,
        listener: QuotaListener,
    ) -> None:
        self._host = host
        self._quotas = quotas
        self._authority = authority
        self._links = links
        self._find_workspace = find_workspace
        self._clock = clock
        self._listener = listener
        self._lender = QuotaLender(clock=clock)
        self._looked_at = -math.inf
        self._lending: Lending | None = None
        self._known: HostId | None = None
        self._redirected_to: HostId | None = None
        self._hub: HostId | None = None
        self._process = f"{host}/{new_uuid7()}"
        self._numbers = 0
        self._failures = 0
        self._closed_until = -math.inf

    @property
    def lends(self) -> bool:
        """Return whether this host lends the fleet's quotas."""
        self._look()
        return self._lending is not None

    def decide_here(
        self,
        workspace: WorkspaceConfig,
        wanted: tuple[QuotaNeed, ...],
        rejected: tuple[RejectedDemand, ...],
    ) -> Waits | None:
        """Return the answers if this host lends, else None."""
        call = self._new_call(workspace, wanted, rejected)
        return self._lend(call, workspace)

    def may_ask(self) -> bool:
        """Return whether a lender is known that has not just failed to answer."""
        self._look()
        lender = self._target()
        is_open = self._clock.monotonic() >= self._closed_until
        return is_open and lender is not None and lender != self._host

    async def ask(
        self,
        workspace: WorkspaceConfig,
        wanted: tuple[QuotaNeed, ...],
        rejected: tuple[RejectedDemand, ...],
    ) -> Waits | None:
        """Call the lender, or the one that it names instead; return None if none answers."""
        call = self._new_call(workspace, wanted, rejected)
        began_at = self._clock.monotonic()
        lender = self._target()
        reply = await self._call(lender, call, CALL_TIMEOUT_S)
        elapsed_s = self._clock.monotonic() - began_at
        if reply is not None and not reply.wait_s and reply.lender not in (None, lender):
            self._redirected_to = reply.lender
            if reply.lender == self._host:
                return self._lend(call, workspace)
            reply = await self._call(reply.lender, call, CALL_TIMEOUT_S - elapsed_s)
        waits = None if reply is None or len(reply.wait_s) != len(wanted) else reply.wait_s
        elapsed_s = self._clock.monotonic() - began_at
        # A process that was suspended must not use tokens that were lent before.
        if waits is not None and elapsed_s > 2 * CALL_TIMEOUT_S:
            waits = None
        self._note_outcome(waits is not None)
        self._listener.note_call("no answer" if waits is None else "answered", elapsed_s)
        return waits

    async def handle(self, call: QuotaCall) -> QuotaReply:
        """Lend tokens to a host, or tell it who lends."""
        workspace = self._find_workspace(call.workspace)
        waits = None if workspace is None else self._lend(call, workspace)
        self._look()
        return QuotaReply(wait_s=tuple(waits or ()), lender=self._known)

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take in what a host that this hub counts, or another hub, admitted without asking."""
        lends = self.lends
        self._lender.note_unlent(OWN_PROCESS, self._quotas.unlent(), lends=lends)
        self._lender.note_unlent(
            heartbeat.process,
            _difference(heartbeat.drawn, heartbeat.lent),
            lends=lends,
            is_new=heartbeat.is_new,
        )
        counted = heartbeat.counted
        if counted is not None:
            unlent = _difference(counted.drawn, counted.lent)
            self._lender.note_unlent(f"{heartbeat.process}/counted", unlent, lends=lends)

    def note_hub(self, host: HostId) -> None:
        """Record a hub that was heard: it is asked who lends if this host does not know."""
        self._hub = host

    def refresh(self) -> None:
        """Look again who lends, as contact may have been won or lost."""
        self._looked_at = -math.inf
        self._look()

    def _lend(self, call: QuotaCall, workspace: WorkspaceConfig) -> Waits | None:
        self._look()
        if self._lending is None or workspace.rate_per_s <= 0:
            return None
        self._lender.note_unlent(OWN_PROCESS, self._quotas.unlent(), lends=True)
        limits = QuotaLimits(
            rate_per_s=workspace.rate_per_s, burst=max(workspace.burst, workspace.rate_per_s)
        )
        return self._lender.lend(call, limits, self._lending)

    def _new_call(
        self,
        workspace: WorkspaceConfig,
        wanted: tuple[QuotaNeed, ...],
        rejected: tuple[RejectedDemand, ...],
    ) -> QuotaCall:
        self._numbers += 1
        return QuotaCall(
            host=self._host,
            process=self._process,
            number=self._numbers,
            workspace=workspace.name,
            wanted=wanted,
            rejected=rejected,
        )

    async def _call(
        self, lender: HostId | None, call: QuotaCall, timeout_s: float
    ) -> QuotaReply | None:
        """Call a host, once more if there is no reply soon, and return the first reply."""
        if lender is None or lender == self._host or timeout_s <= 0.0:
            return None
        first = asyncio.ensure_future(self._send(lender, call, timeout_s))
        pending = {first}
        try:
            await asyncio.wait(pending, timeout=REPEAT_AFTER_S)
            if not first.done() and timeout_s > REPEAT_AFTER_S:
                left_s = timeout_s - REPEAT_AFTER_S
                pending.add(asyncio.ensure_future(self._send(lender, call, left_s)))
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for found in done:
                    if (reply := found.result()) is not None:
                        return reply
            return None
        finally:
            for found in pending:
                found.cancel()

    async def _send(self, lender: HostId, call: QuotaCall, timeout_s: float) -> QuotaReply | None:
        answer = await self._links.call(lender, call, QuotaReply, timeout_s=timeout_s)
        return None if isinstance(answer, PeerFailure) else answer

    def _target(self) -> HostId | None:
        if self._redirected_to is None and self._known == self._host and self._lending is None:
            return self._hub
        return self._redirected_to or self._known

    def _note_outcome(self, answered: bool) -> None:
        if answered:
            self._failures = 0
            return
        self._redirected_to = None
        self._failures += 1
        if self._failures >= MAX_FAILURES:
            self._closed_until = self._clock.monotonic() + FAILED_PAUSE_S

    def _look(self) -> None:
        now = self._clock.monotonic()
        if now - self._looked_at < LOOKUP_INTERVAL_S:
            return
        self._looked_at = now
        self._lending = self._authority.lending(GROUP)
        self._listener.note_lends(self._lending is not None)
        lender = self._authority.lender(GROUP)
        if lender != self._known:
            eliot.log_message(message_type="quota:lender", lender=lender, before=self._known)
            self._known = lender
            self._redirected_to = None


def _difference(
    total: cabc.Mapping[WorkspaceName, float], part: cabc.Mapping[WorkspaceName, float]
) -> dict[WorkspaceName, float]:
    return {name: amount - part.get(name, 0.0) for name, amount in total.items()}
