"""News of the store at hosts to which nothing happens, while other hosts fall silent."""

import asyncio
import collections.abc as cabc
import contextlib
import pathlib
import signal
import time

import pytest

from cassiawalk.ids import HostId
from cassiawalk.membership.rendezvous import rank
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import platform_config
from tests.news_support import NEWS_LIMIT_S
from tests.news_support import SETTLED_S
from tests.news_support import callers
from tests.news_support import in_force_after
from tests.news_support import settled_fleet

HOSTS = 7
READERS = 2  # the hosts that read the store for all
STOPPED_AFTER_S = (0.0, 0.01, 0.02, 0.04)  # after the acknowledgement


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> cabc.AsyncIterator[PlatformFleet]:
    async with settled_fleet(tmp_path, upstreams=2, add_hosts=_add_hosts) as running:
        yield running


async def _add_hosts(fleet: PlatformFleet) -> None:
    for _ in range(HOSTS):
        await fleet.add_host()


def _readers(fleet: PlatformFleet) -> list[Host]:
    order = rank("hubs", [HostId(host.name) for host in fleet.hosts])
    return [host for host in fleet.hosts if host.name in order[:READERS]]


@contextlib.asynccontextmanager
async def _stopped(hosts: list[Host]) -> cabc.AsyncIterator[None]:
    for host in hosts:
        host.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for host in hosts:
            host.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(SETTLED_S)


async def test_configuration_is_in_force_in_time_though_its_readers_stop(
    fleet: PlatformFleet,
) -> None:
    readers = _readers(fleet)
    others = [host for host in fleet.hosts if host not in readers]
    late: list[float] = []
    for number, pause_s in enumerate(STOPPED_AFTER_S):
        key = f"key-{number + 2}"
        await fleet.store.put("keyed.op", "config", platform_config(number + 2, keys=(key,)))
        acknowledged_at = time.monotonic()
        await asyncio.sleep(pause_s)
        async with _stopped(readers):
            waits = [in_force_after(host, key, acknowledged_at) for host in others]
            late += [taken for taken in await asyncio.gather(*waits) if taken > NEWS_LIMIT_S]
    assert late == []


@pytest.mark.parametrize("announces", [True, False])
async def test_no_request_reaches_an_upstream_that_left_though_the_readers_stop(
    fleet: PlatformFleet, announces: bool
) -> None:
    readers = _readers(fleet)
    leaver = fleet.upstreams[0]
    late: list[float] = []
    async with callers(host for host in fleet.hosts if host not in readers):
        for pause_s in STOPPED_AFTER_S:
            await (leaver.register("draining") if announces else leaver.deregister())
            acknowledged_at = time.monotonic()
            await asyncio.sleep(pause_s)
            async with _stopped(readers):
                await asyncio.sleep(NEWS_LIMIT_S + 1.0)
            late += [
                run.at - acknowledged_at
                for run in leaver.arrivals
                if run.at > acknowledged_at + NEWS_LIMIT_S
            ]
            await leaver.register()
            await asyncio.sleep(1.0)
    assert late == []
