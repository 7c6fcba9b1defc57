"""Holds the lease of the duties and carries them out while it runs."""

import abc
import collections.abc as cabc
import random

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.duties.api import DutyOutcome
from cassiawalk.duties.api import FencingToken
from cassiawalk.ids import HostId
from cassiawalk.ids import PoolName
from cassiawalk.leases import HeldLease
from cassiawalk.leases import LeaseManager
from cassiawalk.leases import LeaseTimes

DUTIES = PoolName("duties")
DUTY_STREAM = "duty-leases"
DUTY_LEASE_TIMES = LeaseTimes(lease_s=4.5, renew_after_s=1.5, margin_s=0.8)
STEP_INTERVAL_S = 0.4
SUPERSEDED_PAUSE_S = 4.0  # after a higher fence was seen
ADVERTISE_MARGIN_S = (
    DUTY_LEASE_TIMES.lease_s - DUTY_LEASE_TIMES.renew_after_s - 1.0
)  # less is left if a renewal failed
ACT_MARGIN_S = 1.0  # a call is sent only if the lease runs so much longer


class Duty(abc.ABC):
    """One thing that the holder does."""

    @abc.abstractmethod
    async def step(self, by: FencingToken, may_send: cabc.Callable[[], bool]) -> DutyOutcome:
        """Do what is due now; ``holds`` tells before each call whether it may be sent."""


class DutyHolder(Component):
    """Stands for the lease while no other host holds it, and steps the duties.

    :param stands: returns whether this host should take the lease when it is free.
    :param clock: one that counts time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        host: HostId,
        leases: LeaseManager,
        duties: cabc.Sequence[Duty],
        is_candidate: cabc.Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._leases = leases
        self._duties = duties
        self._is_candidate = is_candidate
        self._clock = clock
        self._rng = rng
        self._no_claim_before = 0.0
        self._was_held = False
        self._draining = False

    @property
    def is_holder(self) -> bool:
        """Return whether this host holds the duties now."""
        return self._lease() is not None

    @property
    def advertised(self) -> bool:
        """Return whether other hosts should leave the duties to this one.

        A holder that could not renew in time still acts, but others may prepare to follow it.
        """
        lease = self._lease()
        if lease is None:
            return False
        return lease.until - self._clock.monotonic() > ADVERTISE_MARGIN_S

    async def start(self) -> None:
        """Begin to stand for the lease."""
        self.spawn(self._run(), name="duties")

    async def begin_drain(self) -> None:
        """Stop to renew, so that another host takes the duties over."""
        self._draining = True

    def _lease(self) -> HeldLease | None:
        return self._leases.held(DUTIES)

    def _may_act(self) -> bool:
        lease = self._lease()
        return lease is not None and lease.until - self._clock.monotonic() > ACT_MARGIN_S

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

    async def _keep_lease(self) -> None:
        if self._leases.is_current(DUTIES):
            return
        if not await self._leases.read():
            return
        if await self._leases.claim([DUTIES], fenced={DUTIES}):
            await self._leases.read()

    def _log_change(self) -> None:
        lease = self._lease()
        if (lease is not None) is self._was_held:
            return
        self._was_held = lease is not None
        eliot.log_message(
            message_type="duties:taken" if self._was_held else "duties:lost",
            fence=None if lease is None else lease.fence,
        )

    async def _step_duties(self) -> None:
        for duty in self._duties:
            lease = self._lease()
            if lease is None or not self._may_act():
                return
            outcome = await duty.step(
                FencingToken(holder=self._host, fence=lease.fence), self._may_act
            )
            if outcome is DutyOutcome.SUPERSEDED:
                eliot.log_message(message_type="duties:superseded", fence=lease.fence)
                self._leases.drop(DUTIES)
                self._no_claim_before = self._clock.monotonic() + SUPERSEDED_PAUSE_S
                return
