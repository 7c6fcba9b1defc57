"""One run: hosts, upstreams and callers under the faults of a seed, then a calm end."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import time

from soak.callers import Crowd
from soak.callers import SoakCaller
from soak.fault_proxy import FaultProxy
from soak.plan import Fault
from soak.plan import Step
from soak.plan import draw
from soak.record import Record
from standins.platform import PlatformUpstream
from standins.platform_fleet import ONCE
from standins.platform_fleet import SAFE
from standins.platform_fleet import STREAM
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import platform_config
from standins.platform_fleet import wait_until

STOP_LIMIT_S = 8.0
START_PAUSE_S = 0.3
CALM_S = 12.0  # within which every host serves again
BLIND_S = 0.1  # in which no code of a new process can take a signal yet
DELAY_S = 0.15
REFUSALS = (503, 429)
# Faults of a link: which way it is cut, if it is.
CUTS = {
    Fault.STORE_LINK_CUT_UP: "up",
    Fault.STORE_LINK_CUT_DOWN: "down",
    Fault.UPSTREAM_LINK_CUT_UP: "up",
    Fault.UPSTREAM_LINK_CUT_DOWN: "down",
}
OWN_ENDS = (0, -signal.SIGKILL)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Size:
    """How much is run."""

    hosts: int = 3
    upstreams: int = 3
    callers: int = 6
    seconds: float = 12.0


class SoakRun:
    """Runs one seed in a directory of its own and returns the promises that were broken."""

    def __init__(self, *, seed: int, size: Size, directory: pathlib.Path) -> None:
        self._seed = seed
        self._size = size
        self._site = PlatformFleet(directory)
        self._record = Record()
        self._store_links: list[FaultProxy] = []
        self._upstream_links: list[FaultProxy] = []
        self._busy: set[str] = set()
        self._revision = 1
        self._broken: list[str] = []

    async def run(self) -> list[str]:
        """Play the seed; return one line for each broken promise."""
        async with self._site, contextlib.AsyncExitStack() as links:
            await self._start(links)
            crowd = asyncio.create_task(self._crowd().run())
            began_at = time.monotonic()
            async with asyncio.TaskGroup() as faults:
                for step in draw(seed=self._seed, seconds=self._size.seconds):
                    await asyncio.sleep(max(0.0, began_at + step.at_s - time.monotonic()))
                    faults.create_task(self._apply(step))
            await self._check_calm()
            crowd.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await crowd
            logs = {host.name: self._site.lines(host) for host in self._site.hosts}
            return self._broken + self._record.broken(
                upstreams=self._site.upstreams, duties=self._site.duties.calls, logs=logs
            )

    async def _start(self, links: contextlib.AsyncExitStack) -> None:
        for _ in range(self._size.upstreams):
            upstream = PlatformUpstream(store=self._site.store, service="models")
            await upstream.start()
            link = await self._link(upstream.address, links)
            upstream.public_address = link.address
            await upstream.register()
            self._site.upstreams.append(upstream)
            self._upstream_links.append(link)
        for _ in range(self._size.hosts):
            link = await self._link(self._site.store.address, links)
            self._store_links.append(link)
            await self._site.add_host(store_address=link.address)
        for host in self._site.hosts:
            await wait_until(host.ready)

    async def _link(self, target: str, links: contextlib.AsyncExitStack) -> FaultProxy:
        link = FaultProxy(target=target)
        await link.start()
        links.push_async_callback(link.stop)
        return link

    def _crowd(self) -> Crowd:
        hosts = self._site.hosts
        return Crowd(
            callers=[
                SoakCaller(hosts=hosts, record=self._record, seed=self._seed * 1000 + number)
                for number in range(self._size.callers)
            ]
        )

    async def _apply(self, step: Step) -> None:
        host = self._site.hosts[step.target % len(self._site.hosts)]
        upstream = self._site.upstreams[step.target % len(self._site.upstreams)]
        match step.fault:
            case Fault.TERM | Fault.KILL | Fault.PAUSE | Fault.HUP:
                await self._signal(host, step)
            case Fault.STORE_REFUSES:
                self._site.store.refusal = REFUSALS[step.target % len(REFUSALS)]
                await asyncio.sleep(step.lasts_s)
                self._site.store.refusal = None
            case Fault.UPSTREAM_LEAVES:
                await upstream.register("draining")
                await asyncio.sleep(step.lasts_s)
                await upstream.register()
            case Fault.CONFIG:
                self._revision += 1 + step.target % 3
                config = platform_config(self._revision)
                await self._site.store.put("keyed.op", "config", config)
            case _:
                await self._harm(step)

    async def _harm(self, step: Step) -> None:
        of_store = step.fault.value.startswith("store")
        links = self._store_links if of_store else self._upstream_links
        link = links[step.target % len(links)]
        if step.fault in (Fault.STORE_LINK_RESET, Fault.UPSTREAM_LINK_RESET):
            link.reset()
        elif step.fault in (Fault.STORE_LINK_SILENT, Fault.UPSTREAM_LINK_SILENT):
            link.silence()
        elif step.fault in CUTS:
            link.cut(CUTS[step.fault])
            await asyncio.sleep(step.lasts_s)
            link.cut(None)
        else:
            link.delay_s = DELAY_S
            await asyncio.sleep(step.lasts_s)
            link.delay_s = 0.0

    async def _signal(self, host: Host, step: Step) -> None:
        if host.name in self._busy:
            return
        if step.fault is Fault.HUP:
            if host.process.returncode is None:
                host.process.send_signal(signal.SIGHUP)
            return
        self._busy.add(host.name)
        began_at = time.monotonic()
        if step.fault is Fault.PAUSE:
            host.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(step.lasts_s)
            host.process.send_signal(signal.SIGCONT)
        else:
            await self._end(host, step.fault)
            await asyncio.sleep(START_PAUSE_S)
            await self._site.restart(host)
            await asyncio.sleep(BLIND_S)
        self._record.disturbed.append((host.name, began_at, time.monotonic()))
        self._busy.discard(host.name)

    async def _end(self, host: Host, fault: Fault) -> None:
        if host.process.returncode is not None:
            self._broken.append(f"{host.name}: ended by itself with {host.process.returncode}")
            return
        host.process.send_signal(signal.SIGTERM if fault is Fault.TERM else signal.SIGKILL)
        try:
            code = await asyncio.wait_for(host.process.wait(), STOP_LIMIT_S)
        except TimeoutError:
            self._broken.append(f"{host.name}: still runs {STOP_LIMIT_S} s after SIGTERM")
            host.process.kill()
            code = await host.process.wait()
        if code not in OWN_ENDS:
            self._broken.append(f"{host.name}: ended with {code}")

    async def _check_calm(self) -> None:
        """Check that every host serves every kind of request again soon after the last fault."""
        limit_at = time.monotonic() + CALM_S
        for host in self._site.hosts:
            for path in (ONCE, SAFE, STREAM):
                await self._check_serves(host, path, limit_at)

    async def _check_serves(self, host: Host, path: str, limit_at: float) -> None:
        number = 0
        status = 0
        while time.monotonic() < limit_at:
            number += 1
            request_id = f"calm-{host.name}{path}{number}"
            self._record.expect(request_id, path, host.name)
            try:
                status = (await host.request(build_request(request_id, path))).status
            except (OSError, EOFError, TimeoutError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.1)
        self._broken.append(f"{host.name}: {path} is not served {CALM_S} s after the last fault")
