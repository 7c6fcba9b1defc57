import asyncio
import random

import pytest

from cassiawalk.admission import AdmissionGate
from cassiawalk.admission import Scheduler
from cassiawalk.admission import SlotLease
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostRole
from cassiawalk.clients import LoadReport
from cassiawalk.clock import LoopClock
from cassiawalk.control.state import KindMode
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import PoolName
from cassiawalk.ids import WorkspaceName
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamView
from tests.fakes import FakeClock
from tests.fakes import make_record


class FakeTable:
    def __init__(self, views: list[UpstreamView]) -> None:
        self.views = views

    def add_listener(self, listener: object) -> None:
        pass

    def in_pool(self, pool: PoolName) -> list[UpstreamView]:
        return self.views


class Host:
    """A scheduler and an admission gate for a few upstreams with eight slots each."""

    def __init__(self, *, upstreams: int = 1, clock: FakeClock | LoopClock | None = None) -> None:
        self.clock = clock or FakeClock()
        self.views = [
            UpstreamView(
                entry=HostEntry(
                    host=HostId(f"e{index}"),
                    role=HostRole.ENGINE,
                    failure_domain=FailureDomain("north"),
                    address="a",
                    pool=PoolName("models"),
                ),
                clock=self.clock,
            )
            for index in range(upstreams)
        ]
        table = FakeTable(self.views)
        self.router = Router(table=table, rng=random.Random(1))  # type: ignore[arg-type]
        self.scheduler = Scheduler(
            table=table,  # type: ignore[arg-type]
            router=self.router,
            clock=self.clock,
        )
        self.gate = AdmissionGate(scheduler=self.scheduler, clock=self.clock, rng=random.Random(2))

    def report(self, running: int, waiting: int = 0) -> None:
        """Make all upstreams report the same load."""
        for view in self.views:
            view.note_report(
                LoadReport(slots=8, running=running, waiting=waiting, measured_s=self.clock.wall())
            )


def _remove_upstreams(host: Host) -> None:
    host.views.clear()


@pytest.mark.parametrize(
    ("mode", "waiting", "code"),
    [
        (KindMode.QUICK, 0, None),
        (KindMode.QUICK, 400, ResultCode.DEADLINE_UNREACHABLE),
        (KindMode.AT_MOST_ONCE, 400, ResultCode.DEADLINE_UNREACHABLE),
        (KindMode.MUST_ARRIVE, 40, None),
        (KindMode.MUST_ARRIVE, 400, ResultCode.DEADLINE_UNREACHABLE),
    ],
)
async def test_request_that_would_be_late_is_refused_at_once(
    mode: KindMode, waiting: int, code: ResultCode | None
) -> None:
    host = Host()
    host.report(running=8, waiting=waiting)
    refusal = host.gate.check(make_record(mode=mode))
    assert (refusal.code if refusal else None) is code
    if refusal is not None:
        assert refusal.ran is Execution.NOT_RUN


async def test_request_is_accepted_after_the_retry_after_of_a_refusal() -> None:
    host = Host()
    host.report(running=8, waiting=400)
    refusal = host.gate.check(make_record())
    assert refusal is not None
    assert refusal.retry_after_s is not None
    hold_s = host.router.hold_s(make_record())
    served = int(refusal.retry_after_s * 8 / hold_s)
    host.clock.now += refusal.retry_after_s  # type: ignore[union-attr]
    host.report(running=8, waiting=max(0, 400 - served))
    assert host.gate.check(make_record(deadline_s=host.clock.wall() + 30.0)) is None


async def test_passed_deadline_is_refused() -> None:
    host = Host()
    refusal = host.gate.check(make_record(deadline_s=host.clock.wall()))
    assert refusal is not None
    assert refusal.code is ResultCode.BAD_DEADLINE


@pytest.mark.parametrize(
    ("mode", "code"), [(KindMode.QUICK, ResultCode.NO_UPSTREAM), (KindMode.MUST_ARRIVE, None)]
)
async def test_without_upstreams_only_must_arrive_is_accepted(
    mode: KindMode, code: ResultCode | None
) -> None:
    host = Host()
    _remove_upstreams(host)
    refusal = host.gate.check(make_record(mode=mode))
    assert (refusal.code if refusal else None) is code


async def _fill(host: Host) -> list[SlotLease]:
    """Take every slot that the scheduler grants."""
    leases = []
    for _ in range(16):
        lease = await host.scheduler.acquire(_on_loop(host))
        assert isinstance(lease, SlotLease)
        leases.append(lease)
    return leases


def _on_loop(host: Host, *, span_s: float = 30.0, **fields: object) -> RequestRecord:
    return make_record(deadline_s=host.clock.wall() + span_s, **fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("attempts", "mode", "ran"),
    [
        (0, KindMode.QUICK, Execution.NOT_RUN),
        (1, KindMode.MUST_ARRIVE, Execution.UNKNOWN),
        (1, KindMode.AT_MOST_ONCE, Execution.NOT_RUN),
    ],
)
async def test_refusal_at_the_deadline_in_the_queue_says_whether_it_ran(
    attempts: int, mode: KindMode, ran: Execution
) -> None:
    host = Host(clock=LoopClock())
    await _fill(host)
    record = _on_loop(host, span_s=0.01, mode=mode)
    record.attempt = attempts
    refusal = await host.scheduler.acquire(record)
    assert isinstance(refusal, Refusal)
    assert refusal.ran is ran
    assert host.scheduler.waiting(record.pool) == 0


async def test_resumed_request_is_served_before_new_quick_requests() -> None:
    host = Host(clock=LoopClock())
    leases = await _fill(host)
    quick = [asyncio.create_task(host.scheduler.acquire(_on_loop(host))) for _ in range(5)]
    resumed = _on_loop(host, mode=KindMode.MUST_ARRIVE, workspace=WorkspaceName("other"))
    resumed.attempt = 1
    waiting = asyncio.create_task(host.scheduler.acquire(resumed))
    await asyncio.sleep(0)
    for lease in leases[:2]:
        host.scheduler.release(lease)
    assert isinstance(await waiting, SlotLease)
    for task in quick:
        task.cancel()
    await asyncio.gather(*quick, return_exceptions=True)


async def test_slot_granted_to_a_cancelled_request_is_released() -> None:
    host = Host(clock=LoopClock())
    leases = await _fill(host)
    waiting = asyncio.create_task(host.scheduler.acquire(_on_loop(host)))
    await asyncio.sleep(0)
    host.scheduler.release(leases[0])
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert len(host.views[0].own_running) == 15


async def test_hold_times_are_not_learnt_from_failed_attempts() -> None:
    host = Host(clock=LoopClock())
    record = _on_loop(host)
    before = host.router.hold_s(record)
    for _ in range(50):
        lease = await host.scheduler.acquire(record)
        assert isinstance(lease, SlotLease)
        host.scheduler.release(lease)
    assert host.router.hold_s(record) == before


async def test_deferred_requests_do_not_block_quick_requests() -> None:
    host = Host(clock=LoopClock())
    leases = await _fill(host)
    deferred = [
        asyncio.create_task(
            host.scheduler.acquire(_on_loop(host, mode=KindMode.MUST_ARRIVE, max_tokens=500))
        )
        for _ in range(3)
    ]
    quick = [asyncio.create_task(host.scheduler.acquire(_on_loop(host))) for _ in range(5)]
    await asyncio.sleep(0)
    for lease in leases[:5]:
        host.scheduler.release(lease)
    await asyncio.sleep(0)
    assert all(task.done() for task in quick)
    assert not any(task.done() for task in deferred)
    for task in deferred:
        task.cancel()
    await asyncio.gather(*deferred, return_exceptions=True)


async def test_must_arrive_requests_are_served_while_the_pool_has_room() -> None:
    host = Host(clock=LoopClock())
    leases = [
        await host.scheduler.acquire(_on_loop(host, mode=KindMode.MUST_ARRIVE)) for _ in range(6)
    ]
    assert all(isinstance(lease, SlotLease) for lease in leases)
