"""Borrows a permit for each request to an upstream that names a limit."""

import collections.abc as cabc
import dataclasses
import math
import random

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.ratelimits.authority import LendingAuthority
from cassiawalk.ratelimits.book import LimitBook
from cassiawalk.ratelimits.lender import PERMIT_S
from cassiawalk.ratelimits.lender import PermitLender
from cassiawalk.ratelimits.lender import effective_rate
from cassiawalk.ratelimits.messages import NamedLimit
from cassiawalk.ratelimits.messages import PermitCall
from cassiawalk.ratelimits.messages import PermitReply

CALL_TIMEOUT_S = 0.15  # a request waits for it
FAILED_PAUSE_S = 0.5  # until a lender that did not answer is asked again
NOT_LENDING_WAIT_S = 0.3
IN_USE_S = 10.0  # after the last call for a permit
WAIT_SPREAD = 0.25
MAX_REMEMBERED = 8192

PutOffListener = cabc.Callable[[str], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Permit:
    """The right to send one request to an upstream's process until a time, monotonic seconds."""

    process: str
    until: float


class Permits(Component):
    """Asks the lender of a group for permits, and lends if it is this host.

    :param on_put_off: called with the group of each request that got no permit.
    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        host: HostId,
        book: LimitBook,
        authority: LendingAuthority,
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
        on_put_off: PutOffListener = lambda _: None,
    ) -> None:
        self._host = host
        self._book = book
        self._authority = authority
        self._links = links
        self._clock = clock
        self._rng = rng
        self._on_put_off = on_put_off
        self._lender = PermitLender(clock=clock)
        self._closed_until: dict[str, float] = {}
        self._told_lenders: dict[str, HostId] = {}
        self._asked_at = -math.inf

    @property
    def any_limit(self) -> bool:
        """Return whether any limit is in force."""
        return not self._book.is_empty

    @property
    def is_in_use(self) -> bool:
        """Return whether a limit is in force, or permits were asked for lately."""
        return self.any_limit or self._clock.monotonic() - self._asked_at < IN_USE_S

    def limit_of(self, process: str) -> float | None:
        """Return the limit that a process names, in requests a second over all hosts, or None."""
        return self._book.get(process)

    def open_in_s(self, process: str) -> float:
        """Return in how many seconds a permit for a process may be asked for; 0 if now."""
        return max(0.0, self._closed_until.get(process, 0.0) - self._clock.monotonic())

    def lender(self, group: str) -> HostId | None:
        """Return the host that lends the permits of a group, as far as this one knows."""
        return self._authority.lender(group)

    def covers(self, permit: Permit | None, process: str) -> bool:
        """Return whether a request may be sent to a process now."""
        if self._book.get(process) is None:
            return True
        if permit is None or permit.process != process:
            return False
        return self._clock.monotonic() < permit.until

    async def take(self, group: str, processes: cabc.Sequence[str]) -> Permit | None:
        """Return a permit for the first process that has one; None if no one has.

        :param processes: those with a limit; the lender is the same for all of the group.
        """
        wanted = tuple(
            NamedLimit(name=process, limit_per_s=limit)
            for process in processes
            if (limit := self._book.get(process)) is not None
        )
        return await self._borrow(group, wanted)

    async def borrow(self, name: str, limit_per_s: float, *, ready: float) -> bool:
        """Borrow one permit of a limit that is set, not named; return whether it got one.

        :param name: the same on all hosts, as is ``limit_per_s``.
        :param ready: how many permits may lie ready.
        """
        if self.open_in_s(name) > 0.0:
            return False
        wanted = (NamedLimit(name=name, limit_per_s=limit_per_s, ready=ready),)
        return await self._borrow(name, wanted) is not None

    async def _borrow(self, group: str, wanted: tuple[NamedLimit, ...]) -> Permit | None:
        asked_at = self._clock.monotonic()
        reply = await self._ask(PermitCall(host=self._host, group=group, wanted=wanted))
        for process, wait_s in reply.wait_s.items():
            self._close(process, wait_s)
        until = asked_at + PERMIT_S
        if reply.granted is None or self._clock.monotonic() >= until:
            self._on_put_off(group)
            return None
        return Permit(process=reply.granted, until=until)

    async def handle(self, call: PermitCall) -> PermitReply:
        """Lend a permit to a host, or tell it when to ask again, or whom."""
        self._asked_at = self._clock.monotonic()
        lender = self._authority.lender(call.group) or self._host
        lending = self._authority.lending(call.group)
        if lending is None:
            waits = {wanted.name: NOT_LENDING_WAIT_S for wanted in call.wanted}
            return PermitReply(granted=None, wait_s=waits, lender=lender)
        waits = {}
        for wanted in call.wanted:
            known = self._book.get(wanted.name)
            limits = [wanted.limit_per_s] if known is None else [wanted.limit_per_s, known]
            limit_per_s = effective_rate(limits)
            if self._lender.take(wanted.name, limit_per_s, lending, ready=wanted.ready):
                return PermitReply(granted=wanted.name, wait_s=waits, lender=lender)
            waits[wanted.name] = self._lender.wait_s(
                wanted.name, limit_per_s, lending, host=call.host
            )
        return PermitReply(granted=None, wait_s=waits, lender=lender)

    async def _ask(self, call: PermitCall) -> PermitReply:
        self._asked_at = self._clock.monotonic()
        lender = self._told_lenders.get(call.group) or self._authority.lender(call.group)
        if lender is None or lender == self._host:
            reply = await self.handle(call)
        else:
            answer = await self._links.call(lender, call, PermitReply, timeout_s=CALL_TIMEOUT_S)
            if isinstance(answer, PeerFailure):
                self._told_lenders.pop(call.group, None)
                waits = {wanted.name: FAILED_PAUSE_S for wanted in call.wanted}
                return PermitReply(granted=None, wait_s=waits, lender=lender)
            reply = answer
        # A host that is no hub may not know which hubs the others hear.
        if reply.lender == self._authority.lender(call.group):
            self._told_lenders.pop(call.group, None)
        else:
            self._told_lenders[call.group] = reply.lender
        return reply

    def _close(self, process: str, wait_s: float) -> None:
        spread = 1.0 + WAIT_SPREAD * self._rng.uniform(-1.0, 1.0)
        self._closed_until.pop(process, None)
        self._closed_until[process] = self._clock.monotonic() + wait_s * spread
        while len(self._closed_until) > MAX_REMEMBERED:
            del self._closed_until[next(iter(self._closed_until))]
