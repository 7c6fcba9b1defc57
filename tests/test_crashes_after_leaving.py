"""Requests that crash upstreams after their callers have left, against hosts run as processes."""

import asyncio
import collections.abc as cabc
import pathlib

import pytest

from standins.platform_fleet import SAFE
from standins.platform_fleet import STREAM
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import wait_until
from standins.platform_upstream import SLOTS
from tests.crash_callers import CRASH
from tests.crash_callers import MAX_LATE_RETRIES
from tests.crash_callers import CrashCallers

HOSTS = 3
UPSTREAMS = 6
CRASH_AFTER_S = 0.6
LEAVES_AFTER_S = 0.3
DOWN_S = 3.0
REPEAT_S = 22.0
EVERY_S = 0.5
MIN_SERVED = 0.98  # of the other requests
REPEAT_WINDOW_S = 1  # a new process has no repeats of the fixed part for so long


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> cabc.AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path, bounds={"budget_window_s": REPEAT_WINDOW_S}) as running:
        for _ in range(UPSTREAMS):
            await running.add_upstream(crash_on=CRASH, crash_after_s=CRASH_AFTER_S, down_s=DOWN_S)
        for _ in range(HOSTS):
            await running.add_host()
        for host in running.hosts:
            await wait_until(host.ready)
        await asyncio.sleep(REPEAT_WINDOW_S)
        yield running


# Guards against a crashing request that is tried alone for ever, as its caller leaves before.
@pytest.mark.parametrize("path", [SAFE, STREAM])
async def test_request_that_crashes_upstreams_after_its_caller_has_left_is_refused(
    fleet: PlatformFleet, path: str
) -> None:
    callers = CrashCallers(fleet)
    await asyncio.gather(
        callers.repeat_crashing(
            path, for_s=REPEAT_S, every_s=EVERY_S, leaves_after_s=LEAVES_AFTER_S
        ),
        callers.repeat_others(SAFE, for_s=REPEAT_S),
    )
    crashes = len(callers.crashes_at())
    assert crashes >= 3
    assert callers.late_retries() <= MAX_LATE_RETRIES
    assert any(b"quarantined" in reply.body for reply in callers.crashing)
    not_served = [reply for reply in callers.others if reply.status != 200]
    assert len(not_served) <= crashes * SLOTS
    served = len(callers.others) - len(not_served)
    assert served >= MIN_SERVED * len(callers.others)
