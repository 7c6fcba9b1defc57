"""The limit on repeats over all host processes, whatever happens to them."""

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import pathlib
import signal
import time

import pytest

from soak.limits import check_repeats
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import wait_until

HOSTS = 5
CALL_INTERVAL_S = 0.15
_numbers = itertools.count()


async def _keep_calling(host: Host, sent: list[float]) -> None:
    while True:
        request_id = f"b-{next(_numbers)}"
        sent.append(time.monotonic())
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            await host.request(build_request(request_id))
        await asyncio.sleep(CALL_INTERVAL_S)


async def _kill(fleet: PlatformFleet, hosts: cabc.Iterable[Host]) -> None:
    for host in hosts:
        host.process.kill()
        await host.process.wait()
        await fleet.restart(host)


async def _kill_all_at_once(fleet: PlatformFleet) -> None:
    for _ in range(6):
        await _kill(fleet, fleet.hosts)
        await asyncio.sleep(3.0)


async def _kill_in_turn(fleet: PlatformFleet) -> None:
    for _ in range(4):
        for host in fleet.hosts:
            await _kill(fleet, [host])
            await asyncio.sleep(0.9)


async def _freeze_and_kill(fleet: PlatformFleet) -> None:
    """Kill one half while the other is frozen, and the other way round."""
    for number in range(5):
        frozen, killed = fleet.hosts[number % 2 :: 2], fleet.hosts[1 - number % 2 :: 2]
        for host in frozen:
            host.process.send_signal(signal.SIGSTOP)
        await _kill(fleet, killed)
        await asyncio.sleep(1.5)
        for host in frozen:
            host.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(2.0)


Trouble = cabc.Callable[[PlatformFleet], cabc.Awaitable[None]]


@pytest.mark.parametrize("trouble", [_kill_all_at_once, _kill_in_turn, _freeze_and_kill])
async def test_restarts_give_no_new_allowance_of_repeats(
    trouble: Trouble, tmp_path: pathlib.Path
) -> None:
    sent: list[float] = []
    async with PlatformFleet(tmp_path) as fleet:
        for _ in range(3):
            (await fleet.add_upstream()).refuses = True
        for _ in range(HOSTS):
            await fleet.add_host()
        for host in fleet.hosts:
            await wait_until(host.ready)
        calls = [asyncio.create_task(_keep_calling(host, sent)) for host in fleet.hosts]
        await trouble(fleet)
        for call in calls:
            call.cancel()
        excesses = list(check_repeats(fleet.upstreams, sent))
    assert excesses == []
