"""News of the store while links between hosts are silent one way, both ways, or slow."""

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import pathlib
import time

import pytest

from soak.fault_proxy import FaultProxy
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import platform_config
from standins.platform_fleet import wait_until

HOSTS = 5
NEWS_LIMIT_S = 2.0  # from an acknowledgement of the store until it is in force at each host
SETTLED_S = 3.5
SLOW_S = 0.7
_numbers = itertools.count()


class Links:
    """A fleet whose hosts reach each other through proxies, one for the links to each host."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.proxies: list[FaultProxy] = []

    async def add_host(self) -> None:
        proxy = FaultProxy(target=self.fleet.next_peer_address())
        await proxy.start()
        self.proxies.append(proxy)
        await self.fleet.add_host(announced_peer=proxy.address)

    def harm(self, kind: str, proxies: cabc.Iterable[FaultProxy]) -> None:
        for proxy in proxies:
            match kind:
                case "up" | "down":
                    proxy.drop_direction(kind)
                case "open links":
                    proxy.blackhole()
                case "slow":
                    proxy.delay_s = SLOW_S

    def heal(self) -> None:
        for proxy in self.proxies:
            proxy.drop_direction(None)
            proxy.delay_s = 0.0


@pytest.fixture
async def links(tmp_path: pathlib.Path) -> cabc.AsyncIterator[Links]:
    async with PlatformFleet(tmp_path) as fleet:
        found = Links(fleet)
        for _ in range(2):
            await fleet.add_upstream()
        for _ in range(HOSTS):
            await found.add_host()
        for host in fleet.hosts:
            await wait_until(host.ready)
        await asyncio.sleep(SETTLED_S)
        yield found
        for proxy in found.proxies:
            await proxy.stop()


async def _in_force_after(host: Host, key: str, acknowledged_at: float) -> float:
    async with asyncio.timeout(10):
        while (await host.request(build_request(f"k-{next(_numbers)}", key=key))).status != 200:
            await asyncio.sleep(0.02)
    return time.monotonic() - acknowledged_at


async def _keep_calling(host: Host) -> None:
    while True:
        await host.request(build_request(f"s-{next(_numbers)}"))
        await asyncio.sleep(0.03)


@pytest.mark.parametrize("harmed", [1, HOSTS])
@pytest.mark.parametrize("kind", ["up", "down", "open links", "slow"])
async def test_news_reaches_every_host_in_time_over_harmed_links(
    links: Links, kind: str, harmed: int
) -> None:
    fleet = links.fleet
    leaver = fleet.upstreams[0]
    late: list[float] = []
    calls = [asyncio.create_task(_keep_calling(host)) for host in fleet.hosts]
    # News just after links fall silent, later, and once they work again.
    for number, pause_s in enumerate((0.1, 1.5, 0.1)):
        if number == 2:
            links.heal()
        else:
            links.harm(kind, links.proxies[:harmed])
        await asyncio.sleep(pause_s)
        key = f"key-{number + 2}"
        await (leaver.register("draining") if number % 2 else leaver.deregister())
        left_at = time.monotonic()
        await fleet.store.put(
            "keyed.op", "config", platform_config(number + 2, keys=(key, "key-1"))
        )
        acknowledged_at = time.monotonic()
        waits = [_in_force_after(host, key, acknowledged_at) for host in fleet.hosts]
        late += [taken for taken in await asyncio.gather(*waits) if taken > NEWS_LIMIT_S]
        await asyncio.sleep(max(0.0, left_at + NEWS_LIMIT_S + 0.7 - time.monotonic()))
        late += [run.at - left_at for run in leaver.arrivals if run.at > left_at + NEWS_LIMIT_S]
        await leaver.register()
        leaver.arrivals.clear()
        await asyncio.sleep(0.5)
    for call in calls:
        call.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await call
    assert late == []
