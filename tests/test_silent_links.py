"""News of the store while links between hosts are silent one way, both ways, or slow."""

import asyncio
import collections.abc as cabc
import pathlib
import time

import pytest

from soak.fault_proxy import FaultProxy
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import platform_config
from tests.news_support import NEWS_LIMIT_S
from tests.news_support import callers
from tests.news_support import in_force_after
from tests.news_support import settled_fleet

HOSTS = 5
SLOW_S = 0.7


class Links:
    """A fleet whose hosts reach each other through proxies, one for the links to each host."""

    def __init__(self) -> None:
        self.fleet: PlatformFleet
        self.proxies: list[FaultProxy] = []

    async def add_hosts(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        for _ in range(HOSTS):
            proxy = FaultProxy(target=fleet.next_peer_address())
            await proxy.start()
            self.proxies.append(proxy)
            await fleet.add_host(announced_peer=proxy.address)

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
    found = Links()
    async with settled_fleet(tmp_path, upstreams=2, add_hosts=found.add_hosts):
        yield found
        for proxy in found.proxies:
            await proxy.stop()


@pytest.mark.parametrize("harmed", [1, HOSTS])
@pytest.mark.parametrize("kind", ["up", "down", "open links", "slow"])
async def test_news_reaches_every_host_in_time_over_harmed_links(
    links: Links, kind: str, harmed: int
) -> None:
    fleet = links.fleet
    late: list[float] = []
    async with callers(fleet.hosts):
        # News just after links fall silent, later, and once they work again.
        for number, pause_s in enumerate((0.1, 1.5, 0.1)):
            if number == 2:
                links.heal()
            else:
                links.harm(kind, links.proxies[:harmed])
            await asyncio.sleep(pause_s)
            late += await _late_after_news(fleet, number)
    assert late == []


async def _late_after_news(fleet: PlatformFleet, number: int) -> list[float]:
    """Let an upstream leave and publish a new key; return all times beyond the limit."""
    leaver = fleet.upstreams[0]
    key = f"key-{number + 2}"
    await (leaver.register("draining") if number % 2 else leaver.deregister())
    left_at = time.monotonic()
    await fleet.store.put("keyed.op", "config", platform_config(number + 2, keys=(key, "key-1")))
    acknowledged_at = time.monotonic()
    taken = await asyncio.gather(
        *(in_force_after(host, key, acknowledged_at) for host in fleet.hosts)
    )
    await asyncio.sleep(max(0.0, left_at + NEWS_LIMIT_S + 0.7 - time.monotonic()))
    after = [run.at - left_at for run in leaver.arrivals]
    await leaver.register()
    leaver.arrivals.clear()
    await asyncio.sleep(0.5)
    return [seconds for seconds in (*taken, *after) if seconds > NEWS_LIMIT_S]
