"""One soak run: hosts, upstreams and callers under the faults of a seed, then a recovery check."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import time

from soak.callers import CallerGroup
from soak.callers import SoakCaller
from soak.fault_proxy import FaultProxy
from soak.limits import NEWS_LIMIT_S
from soak.limits import Departure
from soak.limits import check_departures
from soak.limits import check_repeats
from soak.plan import AnyFault
from soak.plan import Fault
from soak.plan import FleetFault
from soak.plan import LimitFault
from soak.plan import PlannedFault
from soak.plan import UpstreamFault
from soak.plan import plan_faults
from soak.record import RunRecord
from soak.touch import Touch
from soak.upstreams import CRASHING_PART
from soak.upstreams import UpstreamFaults
from standins.platform_fleet import ONCE
from standins.platform_fleet import SAFE
from standins.platform_fleet import STREAM
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import platform_config
from standins.platform_fleet import wait_until
from standins.platform_upstream import PlatformUpstream

STOP_TIMEOUT_S = 8.0
RESTART_DELAY_S = 0.3
RECOVERY_LIMIT_S = 12.0  # from the last fault until every host serves again
LINK_DELAY_S = 0.15
UNFRAMED_CUT_RATIO = 0.05  # each cut takes the upstream down for longer than most answers take
REFUSAL_STATUSES = (503, 429)
# The direction that each of these faults drops.
DROPPED_DIRECTIONS = {
    Fault.STORE_LINK_CUT_UP: "up",
    Fault.STORE_LINK_CUT_DOWN: "down",
    Fault.UPSTREAM_LINK_CUT_UP: "up",
    Fault.UPSTREAM_LINK_CUT_DOWN: "down",
    FleetFault.HOST_LINK_CUT_UP: "up",
    FleetFault.HOST_LINK_CUT_DOWN: "down",
}
RESET_FAULTS = (
    Fault.STORE_LINK_RESET,
    Fault.UPSTREAM_LINK_RESET,
    FleetFault.HOST_LINK_RESET,
)
SILENT_FAULTS = (
    Fault.STORE_LINK_SILENT,
    Fault.UPSTREAM_LINK_SILENT,
    FleetFault.HOST_LINK_SILENT,
)
CRASH_MARK = b"crash"
UPSTREAM_DOWN_S = 0.5
COPY_AGE_S = 1.0  # of the copy that the store returns from
EXPECTED_EXIT_CODES = (0, -signal.SIGKILL)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunSize:
    """The size of a run; ``seconds`` is how long faults are injected.

    One more upstream ends its answers with their connection and crashes in some of them.
    """

    hosts: int = 3
    upstreams: int = 3
    callers: int = 6
    seconds: float = 12.0


class SoakRun:
    """Runs the faults of one seed against hosts, upstreams and callers.

    :param directory: where the settings and logs of the hosts are written.
    """

    def __init__(self, *, seed: int, size: RunSize, directory: pathlib.Path) -> None:
        self._seed = seed
        self._size = size
        self._fleet = PlatformFleet(directory)
        self._record = RunRecord()
        self._store_proxies: list[FaultProxy] = []
        self._upstream_proxies: list[FaultProxy] = []
        self._host_proxies: list[FaultProxy] = []
        self._touch = Touch()
        self._departures: list[Departure] = []
        self._upstream_faults = UpstreamFaults(
            fleet=self._fleet, record=self._record, touch=self._touch
        )
        self._crashes = 0
        self._disrupted_hosts: set[str] = set()
        self._revision = 1
        self._violations: list[str] = []

    async def run(self) -> list[str]:
        """Run the seed; return one line for each violated guarantee."""
        async with self._fleet, contextlib.AsyncExitStack() as proxies:
            await self._start(proxies)
            callers = asyncio.create_task(self._caller_group().run())
            began_at = time.monotonic()
            async with asyncio.TaskGroup() as faults:
                for planned in plan_faults(seed=self._seed, seconds=self._size.seconds):
                    await asyncio.sleep(max(0.0, began_at + planned.at_s - time.monotonic()))
                    faults.create_task(self._apply(planned))
            await self._check_recovery()
            callers.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await callers
            logs = {host.name: self._fleet.lines(host) for host in self._fleet.hosts}
            upstreams = self._fleet.upstreams
            requests = self._record.requests.values()
            return [
                *self._violations,
                *check_departures(self._departures, self._record, self._touch),
                *self._upstream_faults.violations(),
                *check_repeats(upstreams, [sent.sent_at for sent in requests]),
                *self._record.violations(
                    upstreams=upstreams, duties=self._fleet.duties.calls, logs=logs
                ),
            ]

    async def _start(self, proxies: contextlib.AsyncExitStack) -> None:
        for _ in range(self._size.upstreams):
            upstream = PlatformUpstream(
                store=self._fleet.store,
                service="models",
                crash_on=CRASH_MARK,
                crash_on_parts={CRASHING_PART},
                down_s=UPSTREAM_DOWN_S,
            )
            await upstream.start()
            proxy = await self._start_proxy(upstream.address, proxies)
            upstream.public_address = proxy.address
            await upstream.register()
            self._fleet.upstreams.append(upstream)
            self._upstream_proxies.append(proxy)
        # Without a proxy, whose open port would hide its deaths.
        await self._fleet.add_unframed_upstream(seed=self._seed, cut_ratio=UNFRAMED_CUT_RATIO)
        await self._fleet.add_upstream(
            crash_on=CRASH_MARK, crash_on_parts={CRASHING_PART}, down_s=UPSTREAM_DOWN_S
        )
        for _ in range(self._size.hosts):
            proxy = await self._start_proxy(self._fleet.store.address, proxies)
            self._store_proxies.append(proxy)
            links = await self._start_proxy(self._fleet.next_peer_address(), proxies)
            self._host_proxies.append(links)
            await self._fleet.add_host(store_address=proxy.address, announced_peer=links.address)
        for host in self._fleet.hosts:
            await wait_until(host.ready)

    async def _start_proxy(self, target: str, proxies: contextlib.AsyncExitStack) -> FaultProxy:
        proxy = FaultProxy(target=target)
        await proxy.start()
        proxies.push_async_callback(proxy.stop)
        return proxy

    def _caller_group(self) -> CallerGroup:
        hosts = self._fleet.hosts
        return CallerGroup(
            callers=[
                SoakCaller(hosts=hosts, record=self._record, seed=self._seed * 1000 + number)
                for number in range(self._size.callers)
            ]
        )

    async def _apply(self, planned: PlannedFault) -> None:
        if isinstance(planned.fault, FleetFault):
            await self._apply_to_fleet(planned)
            return
        if isinstance(planned.fault, UpstreamFault | LimitFault):
            upstream = self._fleet.upstreams[planned.target % len(self._fleet.upstreams)]
            await self._upstream_faults.apply(planned, upstream)
            return
        host = self._fleet.hosts[planned.target % len(self._fleet.hosts)]
        upstream = self._fleet.upstreams[planned.target % self._size.upstreams]
        match planned.fault:
            case Fault.TERM | Fault.KILL | Fault.PAUSE | Fault.HUP:
                await self._signal(host, planned)
            case Fault.STORE_REFUSES:
                began_at = time.monotonic()
                self._fleet.store.refusal = REFUSAL_STATUSES[planned.target % len(REFUSAL_STATUSES)]
                await asyncio.sleep(planned.duration_s)
                self._fleet.store.refusal = None
                self._touch.add(None, began_at, time.monotonic())
            case Fault.UPSTREAM_LEAVES:
                await self._let_leave(upstream, planned)
            case Fault.CONFIG:
                await self._change_config(1 + planned.target % 3)
            case _:
                await self._apply_to_link(planned)

    async def _apply_to_fleet(self, planned: PlannedFault) -> None:
        match planned.fault:
            case FleetFault.KILL_ALL:
                async with asyncio.TaskGroup() as kills:
                    for host in self._fleet.hosts:
                        kill = dataclasses.replace(planned, fault=Fault.KILL)
                        kills.create_task(self._signal(host, kill))
            case FleetFault.UPSTREAMS_REFUSE:
                for upstream in self._fleet.upstreams:
                    upstream.refuses = True
                await asyncio.sleep(planned.duration_s)
                for upstream in self._fleet.upstreams:
                    upstream.refuses = False
            case FleetFault.STORE_OLDER_COPY:
                await self._restore_older_copy()
            case FleetFault.CRASHING_REQUEST:
                await self._send_crashing_request(planned)
            case _:
                await self._apply_to_link(planned)

    async def _let_leave(self, upstream: PlatformUpstream, planned: PlannedFault) -> None:
        if upstream.leaving:
            return
        await upstream.register("draining")
        gone = Departure(upstream=upstream, acknowledged_at=time.monotonic())
        self._departures.append(gone)
        await asyncio.sleep(planned.duration_s)
        gone.back_at = time.monotonic()
        await upstream.register()

    async def _change_config(self, step: int) -> None:
        """Publish a revision with a key of its own, and check that all hosts in touch know it."""
        self._revision += step
        key = f"key-{self._revision}"
        config = platform_config(self._revision, keys=("key-1", key))
        await self._fleet.store.put("keyed.op", "config", config)
        acknowledged_at = time.monotonic()
        await asyncio.sleep(NEWS_LIMIT_S)
        if key == f"key-{self._revision}":
            checks = [self._check_key(host, key, acknowledged_at) for host in self._fleet.hosts]
            await asyncio.gather(*checks)

    async def _check_key(self, host: Host, key: str, acknowledged_at: float) -> None:
        request_id = f"{key}-{host.name}"
        self._record.add_unchecked(request_id, SAFE, host.name)
        sent_at = time.monotonic()
        try:
            status = (await host.request(build_request(request_id, SAFE, key=key))).status
        except (OSError, EOFError, TimeoutError):
            return
        if status == 401 and self._touch.binds(host.name, acknowledged_at, sent_at):
            late_s = sent_at - acknowledged_at
            self._violations.append(f"{host.name}: {key} is refused {late_s:.2f} s after")

    async def _restore_older_copy(self) -> None:
        began_at = time.monotonic()
        self._fleet.store.return_from_copy(age_s=COPY_AGE_S)
        await asyncio.sleep(0.5)
        config = platform_config(self._revision, keys=("key-1", f"key-{self._revision}"))
        await self._fleet.store.put("keyed.op", "config", config)
        for upstream in self._fleet.upstreams:
            await upstream.register("draining" if upstream.leaving else "ready")
        self._touch.add(None, began_at, time.monotonic())

    async def _send_crashing_request(self, planned: PlannedFault) -> None:
        self._crashes += 1
        host = self._fleet.hosts[planned.target % len(self._fleet.hosts)]
        request_id = f"crash-{self._crashes}"
        self._record.add_unchecked(request_id, SAFE, host.name)
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            await host.request(build_request(request_id, SAFE, body=CRASH_MARK))

    async def _apply_to_link(self, planned: PlannedFault) -> None:
        proxies = self._proxies_of(planned.fault)
        index = planned.target % len(proxies)
        began_at = time.monotonic()
        await self._harm(proxies[index], planned)
        if proxies is self._upstream_proxies:
            name = proxies[index].address
        else:
            name = self._fleet.hosts[index].name
        self._touch.add(name, began_at, time.monotonic())

    def _proxies_of(self, fault: AnyFault) -> list[FaultProxy]:
        if isinstance(fault, FleetFault):
            return self._host_proxies
        is_store = fault.value.startswith("store")
        return self._store_proxies if is_store else self._upstream_proxies

    async def _harm(self, proxy: FaultProxy, planned: PlannedFault) -> None:
        if planned.fault in RESET_FAULTS:
            proxy.reset()
        elif planned.fault in SILENT_FAULTS:
            proxy.blackhole()
        elif planned.fault in DROPPED_DIRECTIONS:
            proxy.drop_direction(DROPPED_DIRECTIONS[planned.fault])
            await asyncio.sleep(planned.duration_s)
            proxy.drop_direction(None)
        else:
            proxy.delay_s = LINK_DELAY_S
            await asyncio.sleep(planned.duration_s)
            proxy.delay_s = 0.0

    async def _signal(self, host: Host, planned: PlannedFault) -> None:
        if host.name in self._disrupted_hosts:
            return
        if planned.fault is Fault.HUP:
            if host.process.returncode is None:
                host.process.send_signal(signal.SIGHUP)
            return
        self._disrupted_hosts.add(host.name)
        began_at = time.monotonic()
        if planned.fault is Fault.PAUSE:
            host.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(planned.duration_s)
            host.process.send_signal(signal.SIGCONT)
        else:
            await self._stop_host(host, planned.fault)
            await asyncio.sleep(RESTART_DELAY_S)
            await self._fleet.restart(host)
            with contextlib.suppress(TimeoutError):
                await wait_until(lambda: host.handles(signal.SIGTERM))
        self._record.disruptions.append((host.name, began_at, time.monotonic()))
        self._touch.add(host.name, began_at, time.monotonic())
        self._disrupted_hosts.discard(host.name)

    async def _stop_host(self, host: Host, fault: AnyFault) -> None:
        if host.process.returncode is not None:
            self._violations.append(
                f"{host.name}: exited unexpectedly with status {host.process.returncode}"
            )
            return
        host.process.send_signal(signal.SIGTERM if fault is Fault.TERM else signal.SIGKILL)
        try:
            code = await asyncio.wait_for(host.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self._violations.append(f"{host.name}: still running {STOP_TIMEOUT_S} s after SIGTERM")
            host.process.kill()
            code = await host.process.wait()
        if code not in EXPECTED_EXIT_CODES:
            self._violations.append(f"{host.name}: exited with status {code}")

    async def _check_recovery(self) -> None:
        """Check that every host serves every kind of request within the recovery limit."""
        limit_at = time.monotonic() + RECOVERY_LIMIT_S
        for host in self._fleet.hosts:
            for path in (ONCE, SAFE, STREAM):
                await self._check_serves(host, path, limit_at)

    async def _check_serves(self, host: Host, path: str, limit_at: float) -> None:
        number = 0
        status = 0
        while time.monotonic() < limit_at:
            number += 1
            request_id = f"calm-{host.name}{path}{number}"
            self._record.add_unchecked(request_id, path, host.name)
            try:
                status = (await host.request(build_request(request_id, path))).status
            except (OSError, EOFError, TimeoutError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.1)
        self._violations.append(
            f"{host.name}: {path} is not served {RECOVERY_LIMIT_S} s after the last fault"
        )
