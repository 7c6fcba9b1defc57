"""Starts stand-ins and daemons as processes on loopback, for tests and the demonstration."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import pathlib
import signal
import sys
import typing as t

import aiosonic
import aiosonic.pools
import orjson

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POOL_CONNECTIONS = 1000
PEER_SECRET = "fleet-peer-secret"
OPERATOR_TOKEN = "fleet-operator-token"
READER_TOKEN = "fleet-reader-token"


class FleetError(Exception):
    """A process did not start or end as it should."""


@dataclasses.dataclass(kw_only=True, eq=False)
class Process:
    """One process and the lines that it printed."""

    name: str
    handle: asyncio.subprocess.Process
    lines: list[dict[str, t.Any]] = dataclasses.field(default_factory=list)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended: bool = False
    reader: asyncio.Task[None] | None = None

    @classmethod
    async def start(cls, name: str, *argv: str) -> "Process":
        """Start a Python module as a process and read the JSON lines that it prints."""
        handle = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *argv,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=2**24,
        )
        process = cls(name=name, handle=handle)
        process.reader = asyncio.create_task(process._read())
        return process

    async def wait_line(
        self, predicate: cabc.Callable[[dict[str, t.Any]], bool]
    ) -> dict[str, t.Any]:
        """Return the first printed line that satisfies ``predicate``, past or to come."""
        seen = 0
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                while seen < len(self.lines):
                    line = self.lines[seen]
                    seen += 1
                    if predicate(line):
                        return line
                if self.ended:
                    raise FleetError(f"{self.name} ended: {await self._stderr()}")
                await self.changed.wait()

    def signal(self, signum: int) -> None:
        """Send a signal; one to a process that has ended is ignored."""
        with contextlib.suppress(ProcessLookupError):
            self.handle.send_signal(signum)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        await self.handle.wait()

    async def stop(self) -> int:
        """End the process by SIGTERM and return its exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.handle.wait()
        except TimeoutError:
            await self.kill()
            raise FleetError(f"{self.name} did not stop within {STOP_TIMEOUT_S} s") from None

    async def _read(self) -> None:
        assert self.handle.stdout is not None
        async for line in self.handle.stdout:
            with contextlib.suppress(orjson.JSONDecodeError):
                self.lines.append(orjson.loads(line))
                self._notify()
        self.ended = True
        self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _stderr(self) -> str:
        assert self.handle.stderr is not None
        return (await self.handle.stderr.read()).decode(errors="replace")[-2000:]


@dataclasses.dataclass(kw_only=True, eq=False)
class StandIn:
    """A stand-in process and its address."""

    process: Process
    address: str

    @property
    def url(self) -> str:
        """Return the stand-in's URL."""
        return f"http://{self.address}"


@dataclasses.dataclass(kw_only=True, eq=False)
class Host:
    """A daemon process and its addresses."""

    name: str
    process: Process
    failure_domain: str
    caller: str
    peer: str
    admin: str


class Fleet:
    """The platform's stand-ins and any number of hosts.

    :param directory: an empty directory for settings and secrets.
    """

    def __init__(self, *, directory: pathlib.Path) -> None:
        self._directory = directory
        pools = {":default": aiosonic.pools.PoolConfig(size=POOL_CONNECTIONS)}
        self.http = aiosonic.HTTPClient(aiosonic.TCPConnector(pool_configs=pools))
        self.standins: dict[str, StandIn] = {}
        self.hosts: dict[str, Host] = {}

    async def __aenter__(self) -> "Fleet":
        (self._directory / "peer-secret").write_text(PEER_SECRET)
        tokens = f"admin write {OPERATOR_TOKEN}\nwatcher read {READER_TOKEN}\n"
        (self._directory / "operator-tokens").write_text(tokens)
        await asyncio.gather(
            self.start_standin("log", "log_service"), self.start_standin("cloud", "cloud")
        )
        return self

    async def __aexit__(self, *args: object) -> None:
        processes = [host.process for host in self.hosts.values()]
        processes += [standin.process for standin in self.standins.values()]
        for process in processes:
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.handle.wait() for process in processes))
        for process in processes:
            if process.reader is not None:
                await process.reader
        await self.http.connector.cleanup()

    async def start_standin(self, name: str, module: str, *args: str) -> StandIn:
        """Start a stand-in by its module's name."""
        process = await Process.start(name, f"standins.{module}", *args)
        line = await process.wait_line(lambda item: "port" in item)
        standin = StandIn(process=process, address=f"127.0.0.1:{line['port']}")
        self.standins[name] = standin
        return standin

    async def start_upstream(
        self, name: str, *, role: str, pool: str, failure_domain: str, args: cabc.Sequence[str] = ()
    ) -> StandIn:
        """Start an engine or plain service and list it.

        :param role: ``engine`` or ``plain``.
        """
        module = "engine" if role == "engine" else "plain_service"
        standin = await self.start_standin(name, module, *args)
        await self.register_host(
            host=name,
            role=role,
            pool=pool,
            failure_domain=failure_domain,
            address=standin.address,
        )
        return standin

    async def start_host(self, name: str, *, failure_domain: str, settings: str = "") -> Host:
        """Start a daemon and list it.

        :param settings: more sections for its settings file.
        """
        path = self._directory / f"{name}.ini"
        path.write_text(self.settings_text(name, failure_domain) + settings)
        process = await Process.start(name, "cassiawalk.daemon", str(path))
        line = await process.wait_line(lambda item: item.get("message_type") == "daemon:listening")
        host = Host(
            name=name,
            process=process,
            failure_domain=failure_domain,
            caller=line["caller"],
            peer=line["peer"],
            admin=line["admin"],
        )
        self.hosts[name] = host
        await self.register_host(
            host=name,
            role="entry",
            failure_domain=failure_domain,
            address=host.caller,
            peer_address=host.peer,
            admin_address=host.admin,
        )
        return host

    async def register_host(self, **entry: t.Any) -> None:
        """Add or replace an entry of the host list."""
        await self.post(self.standins["cloud"].url + "/hosts", entry)

    async def post(self, url: str, body: t.Any = None) -> tuple[int, t.Any]:
        """Send JSON and return the status and the JSON answer, if there is one."""
        data = orjson.dumps({} if body is None else body)
        res = await self.http.post(url, data=data)
        content = await res.content()
        return res.status_code, orjson.loads(content) if content else None

    async def get(self, url: str) -> t.Any:
        """Return the JSON answer to a GET."""
        res = await self.http.get(url)
        return orjson.loads(await res.content())

    async def set_faults(self, name: str, **faults: t.Any) -> None:
        """Set a stand-in's faults; those not named are off."""
        await self.post(self.standins[name].url + "/faults", faults)

    async def run_statement(
        self, host: str, text: str, *, token: str = OPERATOR_TOKEN, command_id: str | None = None
    ) -> tuple[int, t.Any]:
        """Run an operator's statement at a host."""
        body = {"statement": text, "command_id": command_id}
        res = await self.http.post(
            f"http://{self.hosts[host].admin}/admin/v1/statements",
            data=orjson.dumps(body),
            headers={"authorization": f"Bearer {token}"},
        )
        return res.status_code, orjson.loads(await res.content())

    async def wait_ready(self, *names: str) -> None:
        """Return once the hosts answer that they are ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names or tuple(self.hosts):
                url = f"http://{self.hosts[name].caller}/readyz"
                while not (await self.get(url))["ready"]:
                    await asyncio.sleep(0.02)

    async def wait_upstreams(self, count: int) -> None:
        """Wait until each host knows ``count`` upstreams that serve."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in self.hosts:
                while True:
                    _, answer = await self.run_statement(name, "show upstreams")
                    rows = [row for row in answer["rows"] if row["state"] == "serving"]
                    if len(rows) >= count:
                        break
                    await asyncio.sleep(0.05)

    async def wait_revision(self, revision: int, *names: str) -> None:
        """Return once the hosts have a configuration revision in force."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names or tuple(self.hosts):
                url = f"http://{self.hosts[name].caller}/readyz"
                while (await self.get(url))["revision"] < revision:
                    await asyncio.sleep(0.02)

    def settings_text(self, name: str, failure_domain: str) -> str:
        """Return the settings of a host on this fleet."""
        log, cloud = self.standins["log"].url, self.standins["cloud"].url
        return (
            f"[host]\nid = {name}\nfailure_domain = {failure_domain}\nregion = local\n"
            "caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n"
            "admin_address = 127.0.0.1:0\n"
            f"[platform]\nlog_url = {log}\nhost_list_url = {cloud}\ncloud_url = {cloud}\n"
            f"[secrets]\npeer_secret = file:{self._directory}/peer-secret\n"
            f"operator_tokens = file:{self._directory}/operator-tokens\n"
        )
