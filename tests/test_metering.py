import asyncio
import time

import pytest

from cassiawalk.app import Component
from cassiawalk.metering import Meter
from cassiawalk.metering import MeteredCoroutine

BUSY_NS = 5_000_000


async def burn() -> str:
    for _ in range(2):
        started_ns = time.thread_time_ns()
        while time.thread_time_ns() - started_ns < BUSY_NS:
            pass
        await asyncio.sleep(0)
    return "done"


async def test_steps_are_added_and_waits_are_not() -> None:
    meter = Meter()
    assert await MeteredCoroutine(burn(), meter) == "done"
    assert meter.cpu_ns >= 2 * BUSY_NS


async def test_component_tasks_count_on_its_meter() -> None:
    component = Component()
    component.meter = Meter()
    assert await component.spawn(burn(), name="burn") == "done"
    assert component.meter.cpu_ns >= 2 * BUSY_NS


async def test_cancellation_and_errors_pass_through() -> None:
    async def fail() -> None:
        await asyncio.sleep(0)
        raise KeyError("x")

    with pytest.raises(KeyError):
        await MeteredCoroutine(fail(), Meter())
    task = asyncio.get_running_loop().create_task(MeteredCoroutine(asyncio.sleep(60), Meter()))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
