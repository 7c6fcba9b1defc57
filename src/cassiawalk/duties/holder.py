"""Holds the lease of the duties and performs the duties while the lease is valid."""

import abc
import collections.abc as cabc
import random

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.duties.api import CALL_LIMIT_S
from cassiawalk.duties.api import DutyOutcome
from cassiawalk.duties.api import FencingToken
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import PoolName
from cassiawalk.leases import HeldLease
from cassiawalk.leases import LeaseManager
from cassiawalk.leases import LeaseTimes

DUTIES = PoolName("duties")
DUTY_STREAM = "duty-leases"
DUTY_LEASE_TIMES = LeaseTimes(lease_s=4.5, renew_after_s=1.5, margin_s=0.8)
# Where the platform checks no fencing number, another host waits for the whole lease to end.
UNFENCED_DUTY_LEASE_TIMES = LeaseTimes(lease_s=4.0, renew_after_s=1.0, margin_s=0.5)
STEP_INTERVAL_S = 0.4
# No claim is made for this long after the platform refused a fencing number as too low.
SUPERSEDED_PAUSE_S = 4.0
RENEWAL_SLACK_S = 1.0  # a renewal that is later than this is overdue
# A call is begun only if the lease is valid for longer than this, so it ends before the lease.
ACT_MARGIN_S = CALL_LIMIT_S


def duty_lease_times(*, fenced: bool) -> LeaseTimes:
    """Return the times of the duties' lease, see ``DutyHolder``."""
    return DUTY_LEASE_TIMES if fenced else UNFENCED_DUTY_LEASE_TIMES


class Duty(abc.ABC):
    """A task that one host at a time performs for all hosts."""

    @abc.abstractmethod
    async def step(self, by: FencingToken) -> DutyOutcome:
        """Perform the work that is due now.

        :param by: the fencing token to send with each call.
        """


class DutyHolder(Component):
    """Claims the lease of the duties, renews it, and performs the duties while it is held.

    :param is_candidate: returns whether this host should claim the lease now.
    :param fenced: whether the platform refuses calls with a lower fencing number than it has seen.
        If not, the lease of another host has to end before this one may take over.
    :param min_term_s: a holder that stops sooner than this after it took the duties still keeps
        others from taking them until then, so that they do not pass to and fro.
    :param clock: a clock that also advances while the host is suspended.
    """

    def __init__(
        self,
        *,
        host: HostId,
        leases: LeaseManager,
        duties: cabc.Sequence[Duty],
        is_candidate: cabc.Callable[[], bool],
        fenced: bool,
        min_term_s: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._leases = leases
        self._duties = duties
        self._is_candidate = is_candidate
        self._fenced = fenced
        self._min_term_s = min_term_s
        self._times = duty_lease_times(fenced=fenced)
        self._clock = clock
        self._rng = rng
        self._no_claim_before = 0.0
        self._was_held = False
        self._taken_at = 0.0
        self._draining = False

    @property
    def is_holder(self) -> bool:
        """Return whether this host holds the lease now."""
        return self._lease() is not None

    @property
    def fence(self) -> Offset | None:
        """Return the fencing number if this host holds the lease now, else None."""
        lease = self._lease()
        return None if lease is None else lease.fence

    @property
    def advertised(self) -> bool:
        """Return whether this host advertises itself to other hosts as the holder.

        A holder whose renewal is overdue still performs the duties but no longer advertises itself,
        so that other hosts become candidates before the lease expires.
        """
        lease = self._lease()
        if lease is None:
            return False
        margin_s = self._times.lease_s - self._times.renew_after_s - RENEWAL_SLACK_S
        return lease.expires_at - self._clock.monotonic() > margin_s

    async def start(self) -> None:
        """Start to claim the lease and perform the duties."""
        self.keep_running(self._run, name="duties")

    async def begin_drain(self) -> None:
        """Stop performing the duties after the current one and give up the lease."""
        self._draining = True

    def _lease(self) -> HeldLease | None:
        return self._leases.held(DUTIES)

    def _may_act(self) -> bool:
        lease = self._lease()
        return lease is not None and lease.expires_at - self._clock.monotonic() > ACT_MARGIN_S

    async def _run(self) -> None:
        while not self._draining:
            if self._clock.monotonic() >= self._no_claim_before and (
                self.is_holder or self._is_candidate()
            ):
                await self._keep_lease()
            self._log_change()
            if self._may_act():
                await self._step_duties()
            await self._clock.sleep(STEP_INTERVAL_S * (0.8 + 0.4 * self._rng.random()))
        held_s = self._clock.monotonic() - self._taken_at
        await self._leases.release(DUTIES, after_s=max(0.0, self._min_term_s - held_s))
        self._log_change()

    async def _keep_lease(self) -> None:
        if self._leases.is_current(DUTIES):
            return
        if not await self._leases.read():
            return
        if await self._leases.claim([DUTIES], fenced={DUTIES} if self._fenced else ()):
            await self._leases.read()

    def _log_change(self) -> None:
        lease = self._lease()
        if (lease is not None) is self._was_held:
            return
        self._was_held = lease is not None
        self._taken_at = self._clock.monotonic()
        eliot.log_message(
            message_type="duties:taken" if self._was_held else "duties:lost",
            fence=None if lease is None else lease.fence,
        )

    async def _step_duties(self) -> None:
        for duty in self._duties:
            lease = self._lease()
            if lease is None or not self._may_act():
                return
            by = FencingToken(holder=self._host, fence=lease.fence, may_send=self._may_act)
            outcome = await duty.step(by)
            if outcome is DutyOutcome.SUPERSEDED:
                eliot.log_message(message_type="duties:superseded", fence=lease.fence)
                self._leases.drop(DUTIES)
                self._no_claim_before = self._clock.monotonic() + SUPERSEDED_PAUSE_S
                return
