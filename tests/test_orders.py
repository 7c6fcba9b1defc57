import asyncio
import types
import typing as t

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostRole
from cassiawalk.clients.engine import EngineOrder
from cassiawalk.clients.engine import OrderOutcome
from cassiawalk.control import ConfigState
from cassiawalk.control import Freshness
from cassiawalk.control.state import Pool
from cassiawalk.control.state import PoolType
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import PoolName
from cassiawalk.leases.manager import LEASE_S
from cassiawalk.leases.manager import MARGIN_S
from cassiawalk.leases.manager import RENEW_AFTER_S
from cassiawalk.orders import LeaseManager
from cassiawalk.orders import OrderController
from cassiawalk.routing import UpstreamView
from tests.control_support import ManualClock
from tests.control_support import MemoryLog
from tests.relay_support import HostLog

POOL = PoolName("models")
ENGINES = ("engine-0", "engine-1")


class FakeEngine:
    """Carries out orders; with ``checks`` it refuses orders with a lower fencing number."""

    def __init__(self, *, checks: bool) -> None:
        self.checks = checks
        self.fence = -1
        self.model = ""
        self.done: list[EngineOrder] = []
        self.before: t.Callable[[], None] = lambda: None

    async def order(self, order: EngineOrder) -> OrderOutcome:
        self.before()
        if self.checks and order.fence < self.fence:
            return OrderOutcome.STALE_FENCE
        self.fence = max(self.fence, order.fence)
        self.model = order.argument
        self.done.append(order)
        return OrderOutcome.DONE


class Bench:
    """Controllers of one pool that share one log; ``hosts`` has the entry hosts that each sees."""

    def __init__(self, *, checks: bool) -> None:
        self.clock = ManualClock()
        self.log = MemoryLog()
        self.engines = {name: FakeEngine(checks=checks) for name in ENGINES}
        self.views = [self._view(name) for name in ENGINES]
        self.pool = Pool(type=PoolType.ENGINE, checks_fencing=checks, model="m1")
        self.logs: dict[str, HostLog] = {}
        self.leases: dict[str, LeaseManager] = {}
        self.hosts: dict[str, list[str]] = {}
        self.states: dict[str, t.Any] = {}
        self.controllers = {name: self._controller(name) for name in ("a", "b")}

    def _view(self, name: str) -> UpstreamView:
        entry = HostEntry(
            host=HostId(name),
            role=HostRole.ENGINE,
            failure_domain=FailureDomain("fd"),
            address=name,
            pool=POOL,
        )
        return UpstreamView(entry=entry, clock=self.clock)

    def _controller(self, host: str) -> OrderController:
        self.logs[host] = HostLog(self.log)
        self.leases[host] = LeaseManager(
            host=HostId(host), holder=f"{host}/1", log=self.logs[host], clock=self.clock
        )
        self.hosts[host] = [host]
        state = ConfigState(pools={POOL: self.pool})
        self.states[host] = types.SimpleNamespace(state=state, freshness=Freshness.FRESH)
        return OrderController(
            host=HostId(host),
            leases=self.leases[host],
            control=self.states[host],
            membership=t.cast(
                t.Any, types.SimpleNamespace(reachable_entry_hosts=lambda: self.hosts[host])
            ),
            table=t.cast(
                t.Any,
                types.SimpleNamespace(all=lambda: self.views, in_pool=lambda pool: self.views),
            ),
            connector=t.cast(
                t.Any, types.SimpleNamespace(engine=lambda v: self.engines[v.upstream_id])
            ),
            clock=self.clock,
        )

    async def run(self, host: str, *, seconds: float) -> None:
        for _ in range(int(seconds)):
            await self.controllers[host].step()
            self.clock.now_s += 1.0

    def set_model(self, host: str, model: str) -> None:
        pool = Pool(type=PoolType.ENGINE, checks_fencing=self.pool.checks_fencing, model=model)
        self.states[host].state = ConfigState(pools={POOL: pool})

    def fences(self) -> list[int]:
        return [order.fence for order in self.engines["engine-0"].done]


@pytest.mark.parametrize("checks", [True, False])
async def test_holder_orders_each_engine_and_renews_with_few_appends(checks: bool) -> None:
    bench = Bench(checks=checks)
    await bench.run("a", seconds=100)
    assert {engine.model for engine in bench.engines.values()} == {"m1"}
    assert set(bench.fences()) == {0}
    assert bench.log.appends <= 1 + 100 / RENEW_AFTER_S
    bench.set_model("a", "m2")
    await bench.run("a", seconds=1)
    assert {engine.model for engine in bench.engines.values()} == {"m2"}


@pytest.mark.parametrize(
    ("checks", "wait_s"), [(True, RENEW_AFTER_S + MARGIN_S), (False, LEASE_S + MARGIN_S)]
)
async def test_new_holder_waits_and_orders_the_configured_state_again(
    checks: bool, wait_s: float
) -> None:
    bench = Bench(checks=checks)
    await bench.run("a", seconds=5)
    before = len(bench.fences())
    await bench.run("b", seconds=wait_s)
    assert len(bench.fences()) == before
    await bench.run("b", seconds=3)
    assert len(bench.fences()) == before + 1
    assert bench.fences()[-1] > bench.fences()[0]


@pytest.mark.looptime
@pytest.mark.parametrize("checks", [True, False])
async def test_holder_suspended_past_its_lease_sends_no_order(checks: bool) -> None:
    bench = Bench(checks=checks)
    await bench.run("a", seconds=5)
    await bench.run("b", seconds=LEASE_S + MARGIN_S + 3)
    bench.set_model("a", "old")
    bench.logs["a"].cut = True
    before = len(bench.fences())
    await bench.run("a", seconds=5)
    bench.logs["a"].cut = False
    await bench.run("a", seconds=5)
    assert len(bench.fences()) == before
    assert {engine.model for engine in bench.engines.values()} == {"m1"}


async def test_lease_that_expires_between_two_orders_stops_the_second() -> None:
    bench = Bench(checks=False)

    def pause() -> None:
        bench.clock.now_s += LEASE_S + 1

    bench.engines["engine-0"].before = pause
    await bench.controllers["a"].step()
    assert len(bench.engines["engine-0"].done) == 1
    assert not bench.engines["engine-1"].done


async def test_engine_that_checks_refuses_an_old_holder_suspended_before_its_send() -> None:
    bench = Bench(checks=True)
    await bench.run("a", seconds=5)
    await bench.run("b", seconds=LEASE_S)
    late = EngineOrder(fence=0, action="load_model", argument="old")
    assert await bench.engines["engine-0"].order(late) is OrderOutcome.STALE_FENCE
    assert bench.engines["engine-0"].model == "m1"


async def test_engine_that_does_not_check_is_corrected_by_the_next_repeated_order() -> None:
    """No lease prevents this: the old holder is suspended between its lease check and its send."""
    bench = Bench(checks=False)
    await bench.run("a", seconds=5)
    await bench.run("b", seconds=LEASE_S + MARGIN_S + 3)
    late = EngineOrder(fence=0, action="load_model", argument="old")
    assert await bench.engines["engine-0"].order(late) is OrderOutcome.DONE
    assert bench.engines["engine-0"].model == "old"
    await bench.run("b", seconds=21)
    assert bench.engines["engine-0"].model == "m1"


@pytest.mark.parametrize("freshness", [Freshness.STALE, Freshness.STARTING])
async def test_no_orders_from_a_configuration_that_may_be_stale(freshness: Freshness) -> None:
    bench = Bench(checks=False)
    bench.states["a"].freshness = freshness
    await bench.run("a", seconds=5)
    assert not bench.fences()


@pytest.mark.parametrize(("lost", "dropped"), [(1, 0), (0, 1), (2, 2)])
async def test_lost_log_answers_and_appends_still_lead_to_one_holder(
    lost: int, dropped: int
) -> None:
    bench = Bench(checks=False)
    bench.log.lose_answers = lost
    bench.log.drop_appends = dropped
    await bench.run("a", seconds=40)
    assert bench.leases["a"].held(POOL) is not None
    assert {engine.model for engine in bench.engines.values()} == {"m1"}


async def test_expired_records_do_not_hide_the_current_holder() -> None:
    bench = Bench(checks=False)
    await bench.run("a", seconds=35)
    bench.log.expire("orders", 1)
    await bench.run("b", seconds=5)
    assert bench.leases["b"].held(POOL) is None
    lease = bench.leases["b"].table.get(POOL)
    assert lease is not None and lease.fence == Offset(0)


class LeaseMachine(RuleBasedStateMachine):
    """Several processes that claim one pool whose engines don't check fencing numbers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.log = MemoryLog()
        self.managers = [self._manager(n) for n in range(3)]
        self.fences: list[int] = []

    def _manager(self, number: int) -> LeaseManager:
        host = HostId(f"host-{number}")
        holder = f"{host}/{self.clock.now_s}"
        return LeaseManager(host=host, holder=holder, log=self.log, clock=self.clock)

    @rule(index=st.integers(0, 2))
    def read(self, index: int) -> None:
        asyncio.run(self.managers[index].read())

    @rule(index=st.integers(0, 2), lost=st.booleans(), dropped=st.booleans())
    def claim(self, index: int, lost: bool, dropped: bool) -> None:
        self.log.lose_answers, self.log.drop_appends = int(lost), int(dropped)
        asyncio.run(self.managers[index].claim([POOL], fenced=()))
        self.log.lose_answers, self.log.drop_appends = 0, 0

    @rule(index=st.integers(0, 2), seconds=st.sampled_from([1, 11, 31]))
    def read_claim_read(self, index: int, seconds: int) -> None:
        asyncio.run(self.managers[index].read())
        asyncio.run(self.managers[index].claim([POOL], fenced=()))
        self.clock.now_s += seconds / 10
        asyncio.run(self.managers[index].read())

    @rule(seconds=st.sampled_from([1, 9, 11, 29, 36]))
    def wait(self, seconds: int) -> None:
        self.clock.now_s += seconds

    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        self.clock.now_s += 0.001
        self.managers[index] = self._manager(index)

    @invariant()
    def one_holder_and_rising_fences(self) -> None:
        held = [lease for k in self.managers if (lease := k.held(POOL)) is not None]
        assert len(held) <= 1
        for lease in held:
            assert not self.fences or lease.fence >= self.fences[-1]
            self.fences.append(lease.fence)


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=200, stateful_step_count=40)
