"""Starts stand-ins and host daemons as processes on loopback, for tests and the demonstration."""

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
    """A process did not start, exited unexpectedly or did not exit in time."""


@dataclasses.dataclass(kw_only=True, eq=False)
class Process:
    """A child process and the JSON lines that it has printed."""

    name: str
    handle: asyncio.subprocess.Process
    lines: list[dict[str, t.Any]] = dataclasses.field(default_factory=list)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended: bool = False
    reader: asyncio.Task[None] | None = None

    @classmethod
    async def start(cls, name: str, *argv: str) -> "Process":
        """Run a Python module as a process and collect the JSON lines that it prints.

        :param argv: the module's name and its arguments.
        """
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
        """Return the first line that satisfies ``predicate``; wait for it if none does yet.

        :raises FleetError: if the process ends first.
        :raises TimeoutError: if no such line comes within ``START_TIMEOUT_S``.
        """
        next_index = 0
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                while next_index < len(self.lines):
                    line = self.lines[next_index]
                    next_index += 1
                    if predicate(line):
                        return line
                if self.ended:
                    raise FleetError(f"{self.name} exited unexpectedly: {await self._stderr()}")
                await self.changed.wait()

    def signal(self, signum: int) -> None:
        """Send a signal; does nothing if the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.handle.send_signal(signum)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the process to end."""
        self.signal(signal.SIGKILL)
        await self.handle.wait()

    async def stop(self) -> int:
        """Send SIGTERM and return the exit status; a suspended process is resumed first.

        :raises FleetError: if it does not exit within ``STOP_TIMEOUT_S``; it is then killed.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.handle.wait()
        except TimeoutError:
            await self.kill()
            raise FleetError(f"{self.name} did not exit within {STOP_TIMEOUT_S} s") from None

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
    """A stand-in's process and its address, as ``IP:port``."""

    process: Process
    address: str

    @property
    def url(self) -> str:
        """Return the stand-in's URL."""
        return f"http://{self.address}"


@dataclasses.dataclass(kw_only=True, eq=False)
class Host:
    """A host daemon's process and its addresses, each as ``IP:port``."""

    name: str
    process: Process
    failure_domain: str
    caller: str
    peer: str
    admin: str


class Fleet:
    """The stand-ins of the log service and the cloud, upstreams and any number of hosts.

    Entering it starts the log service and the cloud; leaving it kills all processes.

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
        """Start a stand-in.

        :param module: the name of its module in ``standins``.
        """
        process = await Process.start(name, f"standins.{module}", *args)
        line = await process.wait_line(lambda item: "port" in item)
        standin = StandIn(process=process, address=f"127.0.0.1:{line['port']}")
        self.standins[name] = standin
        return standin

    async def start_upstream(
        self, name: str, *, role: str, pool: str, failure_domain: str, args: cabc.Sequence[str] = ()
    ) -> StandIn:
        """Start an engine or a plain service and add it to the host list.

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
        """Start a host daemon and add it to the host list.

        :param settings: additional sections for its settings file.
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
        """Add an entry to the host list, or replace the one of the same host."""
        await self.post(self.standins["cloud"].url + "/hosts", entry)

    async def post(self, url: str, body: t.Any = None) -> tuple[int, t.Any]:
        """POST JSON; return the status and the JSON answer, or None if the answer is empty."""
        data = orjson.dumps({} if body is None else body)
        res = await self.http.post(url, data=data)
        content = await res.content()
        return res.status_code, orjson.loads(content) if content else None

    async def get(self, url: str) -> t.Any:
        """Return the JSON answer to a GET."""
        res = await self.http.get(url)
        return orjson.loads(await res.content())

    async def set_faults(self, name: str, **faults: t.Any) -> None:
        """Replace the faults of a stand-in; those not given are switched off."""
        await self.post(self.standins[name].url + "/faults", faults)

    async def run_statement(
        self, host: str, text: str, *, token: str = OPERATOR_TOKEN, command_id: str | None = None
    ) -> tuple[int, t.Any]:
        """Run an operator's statement at a host; return the HTTP status and the JSON answer."""
        body = {"statement": text, "command_id": command_id}
        res = await self.http.post(
            f"http://{self.hosts[host].admin}/admin/v1/statements",
            data=orjson.dumps(body),
            headers={"authorization": f"Bearer {token}"},
        )
        return res.status_code, orjson.loads(await res.content())

    async def wait_ready(self, *names: str) -> None:
        """Wait until the hosts, or all hosts if none are given, report that they are ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names or tuple(self.hosts):
                url = f"http://{self.hosts[name].caller}/readyz"
                while not (await self.get(url))["ready"]:
                    await asyncio.sleep(0.02)

    async def wait_upstreams(self, count: int) -> None:
        """Wait until each host knows at least ``count`` upstreams that serve."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in self.hosts:
                while True:
                    _, answer = await self.run_statement(name, "show upstreams")
                    rows = [row for row in answer["rows"] if row["state"] == "serving"]
                    if len(rows) >= count:
                        break
                    await asyncio.sleep(0.05)

    async def wait_revision(self, revision: int, *names: str) -> None:
        """Wait until the hosts, or all hosts if none are given, have applied a revision."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names or tuple(self.hosts):
                url = f"http://{self.hosts[name].caller}/readyz"
                while (await self.get(url))["revision"] < revision:
                    await asyncio.sleep(0.02)

    def settings_text(self, name: str, failure_domain: str) -> str:
        """Return the text of a host's settings file."""
        log, cloud = self.standins["log"].url, self.standins["cloud"].url
        return (
            f"[host]\nid = {name}\nfailure_domain = {failure_domain}\nregion = local\n"
            "caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n"
            "admin_address = 127.0.0.1:0\n"
            f"[platform]\nlog_url = {log}\nhost_list_url = {cloud}\ncloud_url = {cloud}\n"
            f"[secrets]\npeer_secret = file:{self._directory}/peer-secret\n"
            f"operator_tokens = file:{self._directory}/operator-tokens\n"
        )
