"""A settled fleet of host processes, and what callers see of news of the store."""

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import pathlib
import time

from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import wait_until

NEWS_LIMIT_S = 2.0  # from an acknowledgement of the store until it is in force at each host
SETTLED_S = 3.5  # from a disruption until the limit holds again
CALL_INTERVAL_S = 0.03
_numbers = itertools.count()


@contextlib.asynccontextmanager
async def settled_fleet(
    directory: pathlib.Path,
    *,
    upstreams: int,
    add_hosts: cabc.Callable[[PlatformFleet], cabc.Awaitable[None]],
) -> cabc.AsyncIterator[PlatformFleet]:
    """Start a fleet and wait until all hosts know each other."""
    async with PlatformFleet(directory) as fleet:
        for _ in range(upstreams):
            await fleet.add_upstream()
        await add_hosts(fleet)
        for host in fleet.hosts:
            await wait_until(host.ready)
        await asyncio.sleep(SETTLED_S)
        yield fleet


async def in_force_after(host: Host, key: str, acknowledged_at: float) -> float:
    """Return how long after an acknowledgement a host serves a new key."""
    async with asyncio.timeout(10):
        while (await host.request(build_request(f"k-{next(_numbers)}", key=key))).status != 200:
            await asyncio.sleep(0.02)
    return time.monotonic() - acknowledged_at


@contextlib.asynccontextmanager
async def callers(hosts: cabc.Iterable[Host]) -> cabc.AsyncIterator[list[int]]:
    """Call hosts again and again; the list fills with the statuses of the answers."""
    statuses: list[int] = []
    calls = [asyncio.create_task(_keep_calling(host, statuses)) for host in hosts]
    yield statuses
    for call in calls:
        call.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await call


async def _keep_calling(host: Host, statuses: list[int]) -> None:
    while True:
        statuses.append((await host.request(build_request(f"d-{next(_numbers)}"))).status)
        await asyncio.sleep(CALL_INTERVAL_S)
