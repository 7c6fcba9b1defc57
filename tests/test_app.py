"""Tasks that live as long as their component, though an exception ends them at times."""

import asyncio
import random
import typing as t

import pytest

from cassiawalk.app import RESTART_PAUSE_S
from cassiawalk.app import Component
from cassiawalk.clock import LoopClock
from cassiawalk.duties import DutyOutcome
from cassiawalk.duties import FencingToken
from cassiawalk.duties.holder import Duty
from cassiawalk.duties.holder import DutyHolder
from cassiawalk.ids import HostId
from tests.test_duty_holder import manager
from tests.test_heartbeats import Fleet
from tests.test_usage import MemoryLog

STEPS = 5


class Stumbling(Component):
    """A task that fails twice, then steps on until it is done."""

    def __init__(self) -> None:
        self.starts = 0
        self.steps = 0

    async def run(self) -> None:
        self.starts += 1
        if self.starts <= 2:
            raise KeyError("not foreseen")
        while self.steps < STEPS:
            self.steps += 1
            await asyncio.sleep(0.1)


@pytest.mark.looptime
async def test_task_is_begun_again_after_an_exception_and_not_after_its_end() -> None:
    component = Stumbling()
    await asyncio.wait_for(component.keep_running(component.run, name="test"), 60)
    assert (component.starts, component.steps) == (3, STEPS)


@pytest.mark.looptime
async def test_stopped_component_begins_no_task_again() -> None:
    component = Stumbling()
    component.keep_running(component.run, name="test")
    await asyncio.sleep(0)
    await component.stop()
    await asyncio.sleep(3 * RESTART_PAUSE_S)
    assert component.starts == 1


class FailingDuty(Duty):
    """Raises at its second step."""

    def __init__(self) -> None:
        self.steps = 0

    async def step(self, by: FencingToken) -> DutyOutcome:
        self.steps += 1
        if self.steps == 2:
            raise ZeroDivisionError
        return DutyOutcome.DONE


@pytest.mark.looptime
async def test_duties_go_on_after_an_error_in_one_of_them() -> None:
    duty = FailingDuty()
    clock: t.Any = LoopClock()
    holder = DutyHolder(
        host=HostId("h"),
        leases=manager(HostId("h"), MemoryLog(), clock),
        duties=[duty],
        is_candidate=lambda: True,
        fenced=True,
        min_term_s=3.0,
        clock=clock,
        rng=random.Random(1),
    )
    await holder.start()
    await asyncio.sleep(5.0)
    await holder.stop()
    assert duty.steps > 2


async def test_heartbeats_go_on_after_an_error_in_one_of_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cassiawalk.app.RESTART_PAUSE_S", 0.01)
    monkeypatch.setattr("cassiawalk.fleet.heartbeats.HEARTBEAT_INTERVAL_S", 0.01)
    fleet = Fleet(2)
    await fleet.join()
    first, _ = fleet.live()
    failures = iter([True, False])
    compose = first._compose

    def fail_once() -> t.Any:
        if next(failures, False):
            raise AttributeError("not foreseen")
        return compose()

    first._compose = fail_once
    first.keep_running(first._run_heartbeats, name="beats")
    async with asyncio.timeout(5):
        while fleet.calls < 3:
            await asyncio.sleep(0.01)
    await first.stop()
