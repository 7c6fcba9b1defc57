"""Host processes on the stand-ins of the platform, for tests and the soak."""

import asyncio
import collections.abc as cabc
import dataclasses
import os
import pathlib
import signal
import sys
import typing as t

import orjson

from standins.platform import DutyService
from standins.platform import PlatformStore
from standins.platform_upstream import HEALTH_PATH
from standins.platform_upstream import PlatformUpstream
from standins.raw_caller import Answer
from standins.raw_caller import Caller
from standins.unframed_upstream import UnframedUpstream

PART_TOKENS = 100
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
FIRST_PEER_PORT = 7600
BOUNDS = {"grace_s": 6, "usage_window_s": 1, "usage_late_s": 10}
ONCE, SAFE, STREAM = "/once/", "/safe/", "/stream/"
_Upstream = t.TypeVar("_Upstream", bound=PlatformUpstream)


def _route(prefix: str, kind: str, **more: t.Any) -> dict[str, t.Any]:
    route = {
        "name": prefix,
        "host": "care.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "models",
        "max_attempts": 2,
    }
    return {**route, **more}


def platform_config(
    version: int,
    *,
    keys: cabc.Sequence[str] = ("key-1",),
    limits_ms: cabc.Mapping[str, int] | None = None,
) -> dict[str, t.Any]:
    """Return a configuration with a route of each kind and one workspace.

    :param limits_ms: time limits of routes by their path, in milliseconds.
    """
    routes = [
        _route(ONCE, "unsafe"),
        _route(SAFE, "safe"),
        _route(STREAM, "streaming", resume_streams=True),
    ]
    for route in routes:
        route["timeout_ms"] = (limits_ms or {}).get(route["path_prefix"], route["timeout_ms"])
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "models", "max_connections": 32, "health_path": HEALTH_PATH}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [{"name": "family", "api_keys": list(keys)}],
    }


def _host_ip(number: int) -> str:
    """Return a loopback address that only one host uses.

    Outgoing connections get their local ports on other addresses, so the host's ports stay free.
    """
    return f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 250 + 1}.{number + 1}"


def _has_signal(pid: int, signum: signal.Signals, sets: cabc.Container[str]) -> bool:
    """Return whether a signal is in one of a process's sets, as its status lists them."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    found = [int(line.split()[1], 16) for line in lines if line.partition(":")[0] in sets]
    return any(mask >> (signum - 1) & 1 for mask in found)


@dataclasses.dataclass
class Host:
    """One host and its current process."""

    name: str
    process: asyncio.subprocess.Process
    caller_address: str
    ready_address: str

    def handles(self, signum: signal.Signals) -> bool:
        """Return whether the process catches or ignores a signal by now."""
        return _has_signal(self.process.pid, signum, ("SigCgt", "SigIgn"))

    def ignores(self, signum: signal.Signals) -> bool:
        """Return whether the process ignores a signal by now."""
        return _has_signal(self.process.pid, signum, ("SigIgn",))

    async def request(self, data: bytes, *, address: str | None = None) -> Answer:
        """Send one request on a new connection and read its answer."""
        ip, _, port = (address or self.caller_address).rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            return await Caller(reader=reader, writer=writer).request(data)
        finally:
            writer.close()

    async def ready(self) -> bool:
        """Return whether the host reports that it accepts requests."""
        try:
            check = b"GET /cassiawalk/ready HTTP/1.1\r\nHost: h\r\n\r\n"
            return (await self.request(check, address=self.ready_address)).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False


class PlatformFleet:
    """The stand-ins of the platform and the hosts on them.

    Entering it starts the stand-ins; leaving it kills the hosts and stops the stand-ins.

    :param directory: where the settings and logs of the hosts are written.
    :param bounds: further bounds in the hosts' settings.
    :param settings: further sections of the hosts' settings.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        *,
        bounds: dict[str, t.Any] | None = None,
        settings: dict[str, t.Any] | None = None,
    ) -> None:
        self._directory = directory
        self._more_settings = settings or {}
        self._bounds = {**BOUNDS, **(bounds or {})}
        self.store = PlatformStore()
        self.duties = DutyService(checks_fencing=self._bounds.get("require_fencing", True))
        self.upstreams: list[PlatformUpstream] = []
        self.hosts: list[Host] = []
        self._options: dict[str, tuple[str, ...]] = {}

    async def __aenter__(self) -> "PlatformFleet":
        await self.store.start()
        await self.duties.start()
        await self.store.put("keyed.op", "config", platform_config(1))
        return self

    async def __aexit__(self, *_: object) -> None:
        for host in self.hosts:
            if host.process.returncode is None:
                host.process.kill()
            await host.process.wait()
        for standin in (*self.upstreams, self.duties, self.store):
            await standin.stop()

    async def add_upstream(self, **changes: t.Any) -> PlatformUpstream:
        """Start an upstream and register it.

        :param changes: further arguments of ``PlatformUpstream``.
        """
        return await self._add(PlatformUpstream, **changes)

    async def add_unframed_upstream(self, **changes: t.Any) -> UnframedUpstream:
        """Start an upstream whose answers end with their connection, and register it.

        :param changes: further arguments of ``UnframedUpstream``.
        """
        return await self._add(UnframedUpstream, **changes)

    async def _add(self, kind: type[_Upstream], **changes: t.Any) -> _Upstream:
        upstream = kind(store=self.store, service="models", **changes)
        await upstream.start()
        await upstream.register()
        self.upstreams.append(upstream)
        return upstream

    def next_peer_address(self) -> str:
        """Return where the next host that is added accepts connections of other hosts."""
        return f"{_host_ip(len(self.hosts))}:{FIRST_PEER_PORT}"

    async def add_host(
        self, *, store_address: str | None = None, announced_peer: str | None = None
    ) -> Host:
        """Start a host process.

        :param store_address: where the host reaches the store; default: the store's own address.
        :param announced_peer: where other hosts reach it; default: its own address.
        """
        name = f"host-{len(self.hosts)}"
        if announced_peer is not None:
            self._options[name] = ("--announce-peer", announced_peer)
        ip = _host_ip(len(self.hosts))
        settings = {
            "node_name": name,
            "ip": ip,
            "zone": "here",
            "listen": {"front": f"{ip}:8001", "ready": f"{ip}:8002"},
            "internal_port_range": [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
            "bounds": self._bounds,
            "platform": {"address": store_address or self.store.address},
            "cloud_api": {"address": self.duties.address},
            **self._more_settings,
        }
        self._settings_file(name).write_bytes(orjson.dumps(settings))
        host = Host(name, await self._run(name), f"{ip}:8001", f"{ip}:8002")
        self.hosts.append(host)
        return host

    async def write_again(self) -> None:
        """Write what the operator and the upstreams wrote last, after the store has lost it."""
        await self.store.put("keyed.op", "config", platform_config(1))
        for upstream in self.upstreams:
            await upstream.register()

    async def restart(self, host: Host) -> None:
        """Start a new process for a host whose process has ended."""
        host.process = await self._run(host.name)

    async def _run(self, name: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cassiawalk.platform",
            str(self._settings_file(name)),
            *self._options.get(name, ()),
            stdout=(self._directory / f"{name}.log").open("ab"),
        )

    def settings(self, host: Host) -> dict[str, t.Any]:
        """Return the content of a host's settings file."""
        found: dict[str, t.Any] = orjson.loads(self._settings_file(host.name).read_bytes())
        return found

    def write_settings(self, host: Host, settings: dict[str, t.Any]) -> None:
        """Overwrite a host's settings file."""
        self._settings_file(host.name).write_bytes(orjson.dumps(settings))

    def _settings_file(self, name: str) -> pathlib.Path:
        return self._directory / f"{name}.json"

    def lines(self, host: Host) -> list[dict[str, t.Any]]:
        """Return all log lines of a host, from all of its processes."""
        text = (self._directory / f"{host.name}.log").read_bytes()
        text = text[: text.rfind(b"\n") + 1]  # the last line may still be written
        return [orjson.loads(line) for line in text.splitlines() if line.startswith(b"{")]


async def wait_until(condition: cabc.Callable[[], t.Any], limit_s: float = READY_TIMEOUT_S) -> None:
    """Poll until a condition, which may be asynchronous, holds.

    :raises TimeoutError: if it does not hold within ``limit_s``.
    """
    async with asyncio.timeout(limit_s):
        while True:
            result = condition()
            if await result if asyncio.iscoroutine(result) else result:
                return
            await asyncio.sleep(POLL_INTERVAL_S)


def build_request(
    request_id: str,
    path: str = SAFE,
    *,
    key: str = "key-1",
    body: bytes = b"hello",
    parts: cabc.Sequence[str] = (),
) -> bytes:
    """Return the bytes of one request of a caller.

    :param parts: the ids of the parts of its prompt, in order.
    """
    prompt = ",".join(f"{part}:{PART_TOKENS}" for part in parts)
    tokens = f"X-Token-Usage: {PART_TOKENS * len(parts)},20\r\n" if parts else ""
    stated = f"X-Prompt-Prefix: {prompt}\r\n{tokens}" if parts else ""
    return (
        f"POST {path}x HTTP/1.1\r\nHost: care.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: 4000\r\nApi-Key: {key}\r\n{stated}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
