"""Which host claims duties that nobody holds, and when a holder stops advertising itself."""

import random

from cassiawalk.clients import LogService
from cassiawalk.duties.candidacy import CLAIM_DELAY_PER_HOST_S
from cassiawalk.duties.candidacy import DutyCandidacy
from cassiawalk.duties.holder import DUTIES
from cassiawalk.duties.holder import DUTY_LEASE_TIMES
from cassiawalk.duties.holder import DUTY_STREAM
from cassiawalk.duties.holder import DutyHolder
from cassiawalk.ids import HostId
from cassiawalk.leases import LeaseManager
from tests.fakes import FakeClock
from tests.test_usage import MemoryLog

ORDER = [HostId("h-1"), HostId("h-2"), HostId("h-3")]


def manager(host: HostId, log: LogService, clock: FakeClock) -> LeaseManager:
    return LeaseManager(
        host=host, holder=host, log=log, clock=clock, times=DUTY_LEASE_TIMES, stream=DUTY_STREAM
    )


async def acquire(leases: LeaseManager) -> None:
    await leases.read()
    await leases.claim([DUTIES], fenced={DUTIES})
    await leases.read()


def test_first_host_is_candidate_at_once_and_others_later() -> None:
    """Guards against duties that nobody claims because the first host is unable to act.

    This left the duties without a holder for 37 s in a simulated day.
    """
    clock = FakeClock()
    first, second = (DutyCandidacy(host=host, clock=clock) for host in ORDER[:2])
    assert first.is_candidate(holder=None, order=ORDER)
    assert not second.is_candidate(holder=None, order=ORDER)
    clock.now += CLAIM_DELAY_PER_HOST_S + 0.01
    assert second.is_candidate(holder=None, order=ORDER)


def test_no_host_is_candidate_while_a_holder_is_known() -> None:
    clock = FakeClock()
    second = DutyCandidacy(host=ORDER[1], clock=clock)
    clock.now += 60
    assert not second.is_candidate(holder=ORDER[2], order=ORDER)
    clock.now += CLAIM_DELAY_PER_HOST_S / 2
    assert not second.is_candidate(holder=None, order=ORDER)


async def test_holder_that_cannot_renew_stops_advertising_itself_before_its_lease_expires() -> None:
    clock, log = FakeClock(), MemoryLog()
    leases = manager(ORDER[0], log, clock)
    holder = DutyHolder(
        host=ORDER[0],
        leases=leases,
        duties=[],
        is_candidate=lambda: True,
        fenced=True,
        min_term_s=3.0,
        clock=clock,
        rng=random.Random(1),
    )
    await acquire(leases)
    assert holder.advertised and holder.is_holder
    clock.now += DUTY_LEASE_TIMES.renew_after_s + 1.1
    assert holder.is_holder
    assert not holder.advertised
    clock.now += DUTY_LEASE_TIMES.lease_s
    assert not holder.is_holder


async def test_fencing_number_rises_with_each_holder_and_only_one_holds() -> None:
    clock, log = FakeClock(), MemoryLog()
    hosts = [manager(host, log, clock) for host in ORDER]
    fences: list[int] = []
    for step in range(400):
        clock.now += 0.1
        host = hosts[step // 80 % 3]
        await acquire(host)
        held = [lease.fence for leases in hosts if (lease := leases.held(DUTIES)) is not None]
        fences.extend(held[:1] if held[:1] != fences[-1:] else [])
        assert len(set(held)) == len(held)
    assert fences == sorted(set(fences))
    assert len(fences) >= 4
