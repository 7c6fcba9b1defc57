"""Requests that crash upstreams by one part of their prompt, against hosts run as processes."""

import asyncio
import collections.abc as cabc
import pathlib
import time
import typing as t

import pytest

from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import wait_until
from tests.part_callers import BAD
from tests.part_callers import CRASHES_ALLOWED
from tests.part_callers import MAX_LATE_ARRIVALS
from tests.part_callers import STABILITY_S
from tests.part_callers import PartCallers
from tests.part_callers import PromptMaker
from tests.part_callers import bad_alone
from tests.part_callers import bad_among_others
from tests.part_callers import bad_first
from tests.part_callers import bad_second
from tests.part_callers import sound

HOSTS = 4
UPSTREAMS = 8
BAD_PER_S = 6.0
SOUND_PER_S = 20.0
CALM_S = 2.0
RUN_S = 12.0
SERVED_AGAIN_S = 2 * STABILITY_S
MIN_SERVED_RATIO = 0.5  # of the share before the first crash
Trouble = cabc.Callable[[PlatformFleet], cabc.Awaitable[None]]


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> t.AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path) as running:
        for _ in range(HOSTS):
            await running.add_host()
        for host in running.hosts:
            await wait_until(host.ready)
        yield running


async def _add_upstreams(fleet: PlatformFleet, **changes: t.Any) -> None:
    for _ in range(UPSTREAMS):
        await fleet.add_upstream(prefill_s=0.1, events=15, **changes)
    await asyncio.sleep(0.5)


async def _kill(fleet: PlatformFleet, numbers: cabc.Iterable[int]) -> None:
    hosts = [fleet.hosts[number] for number in numbers]
    for host in hosts:
        host.process.kill()
    for host in hosts:
        await host.process.wait()
        await fleet.restart(host)


async def _calm(fleet: PlatformFleet) -> None:
    """Do nothing."""


async def _kill_in_turn(fleet: PlatformFleet) -> None:
    for number in range(int(RUN_S / 1.5)):
        await asyncio.sleep(1.5)
        await _kill(fleet, [number % HOSTS])


async def _kill_all_at_once(fleet: PlatformFleet) -> None:
    await asyncio.sleep(5.0)
    await _kill(fleet, range(HOSTS))


async def _refuse_by_store(fleet: PlatformFleet) -> None:
    fleet.store.refusal = 503


async def _play(
    fleet: PlatformFleet, make: PromptMaker, trouble: Trouble = _calm
) -> tuple[PartCallers, float]:
    """Send sound and then also crashing requests; return the callers and when crashing ones came.

    :param trouble: what happens to the fleet meanwhile.
    """
    callers = PartCallers(fleet)
    calm = callers.run(sound, callers.sound, per_s=SOUND_PER_S, for_s=CALM_S + RUN_S)
    sending = asyncio.create_task(calm)
    await asyncio.sleep(CALM_S)
    began_at = time.monotonic()
    await asyncio.gather(
        sending,
        callers.run(make, callers.bad, per_s=BAD_PER_S, for_s=RUN_S),
        trouble(fleet),
    )
    return callers, began_at


def _assert_rules_hold(callers: PartCallers, began_at: float) -> None:
    crashes = callers.crashes_at()
    late = callers.late_arrivals()
    assert len(late) <= MAX_LATE_ARRIVALS, f"{late} s after the fifth of {len(crashes)} crashes"
    last_sent_at = max(sent.at for sent in callers.sound)
    measured_s = SERVED_AGAIN_S + 1.0  # a trial of a verdict may crash one just before the end
    counted_at = [at for at in crashes[:CRASHES_ALLOWED] if at + measured_s <= last_sent_at][-1]
    calm_share = callers.served_share(since=0.0, until=began_at)
    share = callers.served_share(since=counted_at + SERVED_AGAIN_S)
    assert share >= MIN_SERVED_RATIO * calm_share


@pytest.mark.parametrize("make", [bad_second, bad_first, bad_among_others, bad_alone])
async def test_requests_with_a_crashing_part_stop_reaching_upstreams(
    fleet: PlatformFleet, make: PromptMaker
) -> None:
    await _add_upstreams(fleet, crash_on_parts={BAD})
    _assert_rules_hold(*await _play(fleet, make))


@pytest.mark.parametrize("trouble", [_kill_in_turn, _kill_all_at_once, _refuse_by_store])
async def test_requests_with_a_crashing_part_stop_reaching_upstreams_in_trouble(
    fleet: PlatformFleet, trouble: Trouble
) -> None:
    await _add_upstreams(fleet, crash_on_parts={BAD})
    _assert_rules_hold(*await _play(fleet, bad_second, trouble))


async def test_part_that_crashes_late_in_the_stream_stops_reaching_upstreams(
    fleet: PlatformFleet,
) -> None:
    await _add_upstreams(fleet, crash_on_parts={BAD}, event_s=0.1, crash_after_events=10)
    _assert_rules_hold(*await _play(fleet, bad_second))


async def test_common_part_is_served_while_upstreams_die_by_themselves(
    fleet: PlatformFleet,
) -> None:
    await _add_upstreams(fleet)
    callers = PartCallers(fleet)
    sending = asyncio.create_task(callers.run(sound, callers.sound, per_s=SOUND_PER_S, for_s=8.0))
    await asyncio.sleep(1.0)
    for upstream in fleet.upstreams[: UPSTREAMS // 2]:
        upstream.crash()
        await asyncio.sleep(0.3)
    crashed_at = time.monotonic()
    await sending
    assert callers.served_share(since=crashed_at) >= 0.95
