"""Hosts with the real crash guard, heartbeats and notes in one event loop on virtual time.

Links, store, upstreams and requests are fakes; a request names the upstream that it runs on.
"""

import asyncio
import collections.abc as cabc
import dataclasses
import itertools
import random
import typing as t

from cassiawalk.clock import LoopClock
from cassiawalk.crashes import IsolatedRun
from cassiawalk.crashes.losses import Progress
from cassiawalk.fingerprint import fingerprint
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.fleet.hosts import HostRegistry
from cassiawalk.fleet.hosts import entry_of
from cassiawalk.fleet.notes import NotesCall
from cassiawalk.http1 import Framing
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.endings import Endings
from cassiawalk.ingress.endings import StallWatch
from cassiawalk.ingress.outcome import AnswerTrace
from cassiawalk.ingressnode.crashparts import CrashParts
from cassiawalk.membership import Membership
from cassiawalk.peer import PeerFailure
from cassiawalk.peer.messages import messages
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration
from cassiawalk.storeview.upstream import Upstream
from tests.crash_fakes import LINK_DELAY_S
from tests.crash_fakes import SERVICE
from tests.crash_fakes import FakeJob
from tests.crash_fakes import FakePool
from tests.crash_fakes import MemoryLog
from tests.crash_fakes import Streams
from tests.crash_fakes import plain_heartbeat
from tests.fakes import FakeClock
from tests.fakes import ListeningInquiry

RUN_S = 0.02
DOWN_S = 2.0
SILENT_S = 3.5  # until the entry of a silent upstream changes
STABILITY_S = 3.0


class CrashHost:
    """One process of a host."""

    def __init__(self, fleet: "CrashFleet", host: HostId) -> None:
        self._fleet = fleet
        self.host = host
        self.log = MemoryLog(fleet.streams)
        clock = LoopClock()
        self._time = CorrectedTime(clock=clock)
        self.directory = Directory(clock=clock)
        records = HostRegistry(
            log=self.log, stream="hosts", own=entry_of(host, "here", f"{host}:1"), time=self._time
        )
        membership = Membership(host=host, host_list=records, clock=clock, poll_interval_s=600.0)
        links = t.cast(t.Any, _Links(fleet, host))
        self.heartbeats = HeartbeatExchange(
            host=host,
            membership=membership,
            records=records,
            links=links,
            compose=self._compose,
            clock=clock,
            rng=random.Random(host),
        )
        self._incarnation = f"{next(fleet.numbers)}"
        self.parts = CrashParts(
            host=host,
            directory=self.directory,
            membership=membership,
            heartbeats=self.heartbeats,
            links=links,
            time=self._time,
            endings=Endings(
                inquiry=ListeningInquiry(),
                config=ConfigView(),
                stalls=StallWatch(boot_clock=FakeClock()),
                clock=clock,
            ),
            on_verdict=lambda _: None,
            clock=clock,
        )
        self.handlers: dict[type, t.Any] = {Heartbeat: self.heartbeats.handle}
        self.parts.serve(t.cast(t.Any, self))
        options = ReadOptions(
            stream="suspects", wait_s=3.0, pause_s=0.0, should_read=lambda: fleet.reads(host)
        )
        self._components = [
            self.heartbeats,
            *self.parts.components(
                log=self.log, options=options, add_check=lambda _: None, rng=random.Random(host)
            ),
        ]

    def handle(self, message: type, handler: t.Any) -> None:
        """Register a handler, as ``PeerServer`` does."""
        self.handlers[message] = handler

    async def start(self) -> None:
        for component in self._components:
            await component.start()

    async def stop(self) -> None:
        for component in reversed(self._components):
            await component.stop()

    def put(self, registration: Registration, pool: FakePool) -> None:
        """Add an upstream's process to the directory."""
        self.directory.put(registration, Offset(next(self._fleet.numbers)))
        upstream = self.directory.get(registration.upstream_id)
        assert upstream is not None
        upstream.pool = t.cast(t.Any, pool)

    def _compose(self) -> Heartbeat:
        return plain_heartbeat(
            self.host,
            self._incarnation,
            self._time,
            notes=self.parts.exchange.digest(),
        )


class _Links:
    def __init__(self, fleet: "CrashFleet", host: HostId) -> None:
        self._fleet = fleet
        self._host = host

    def drop(self, host: HostId) -> None:
        """Do nothing: a call here finds the process that has the address now."""

    async def call(self, host: HostId, message: t.Any, reply: type, *, timeout_s: float) -> t.Any:
        self._fleet.calls += 1
        await asyncio.sleep(LINK_DELAY_S)
        callee = self._fleet.hosts.get(host)
        lost = isinstance(message, NotesCall) and self._fleet.rng.random() < self._fleet.lost_notes
        if lost or callee is None or not self._fleet.connected(self._host, host):
            await asyncio.sleep(timeout_s)
            return PeerFailure(reason="no answer", sent=True)
        sent = messages.decode(messages.encode([message]))[0]
        answer = await callee.handlers[type(sent)](sent)
        await asyncio.sleep(LINK_DELAY_S)
        return answer


class CrashFleet:
    """Hosts and upstreams; a request whose body is in ``crashing`` crashes the upstream it runs on.

    So does one with one of ``crashing_parts`` in its prompt. ``lost_notes`` is the share of the
    messages with notes that hosts do not receive from each other.

    ``runs`` has the time and body of each run, ``crashes`` the time and body of each crash, and
    ``refusals`` the code of each refusal by body. Hosts in ``isolated`` are cut off from all
    others, those in ``frozen`` besides take no requests. With ``silent_crashes``, crashed upstreams
    neither refuse nor answer, as if their hosts had lost power. An answer begins after ``wait_s`` s
    and takes ``run_s`` s. One that crashes its upstream does so ``crash_after_s`` s after it began.
    """

    def __init__(
        self, *, hosts: int, upstreams: int, domains: int = 3, reclaimable: bool = False
    ) -> None:
        self.numbers = itertools.count(1)
        self.streams = Streams()
        self.isolated: set[HostId] = set()
        self.frozen: set[HostId] = set()
        self.calls = 0
        self.hosts: dict[HostId, CrashHost] = {}
        self._count = hosts
        self._registrations: dict[UpstreamId, Registration] = {}
        self._pools: dict[UpstreamId, FakePool] = {}
        self._returns: set[asyncio.Task[None]] = set()
        self._upstreams = upstreams
        self._domains = domains
        self.rng = random.Random(1)
        self.crashing: set[bytes] = set()
        self.crashing_parts: set[PartId] = set()
        self.lost_notes = 0.0
        self.silent_crashes = False
        self._reclaimable = reclaimable
        self.wait_s = LINK_DELAY_S
        self.run_s = RUN_S
        self.crash_after_s = 0.0
        self.runs: list[tuple[float, bytes]] = []
        self.crashes: list[tuple[float, bytes]] = []
        self.refusals: list[tuple[bytes, ResultCode]] = []

    async def __aenter__(self) -> "CrashFleet":
        for number in range(self._upstreams):
            self._register(UpstreamId(f"u-{number}"), f"d-{number % self._domains}")
        for number in range(self._count):
            await self.add_host(HostId(f"h-{number:03}"))
        await asyncio.sleep(5.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._returns:
            task.cancel()
        for host in self.hosts.values():
            await host.stop()

    async def add_host(self, name: HostId) -> CrashHost:
        """Start a host, which knows all upstreams."""
        host = self.hosts[name] = CrashHost(self, name)
        for upstream_id, registration in self._registrations.items():
            host.put(registration, self._pools[upstream_id])
        await host.start()
        return host

    async def restart(self, name: HostId) -> None:
        """Kill a host's process and start another."""
        await self.hosts.pop(name).stop()
        await self.add_host(name)

    def connected(self, one: HostId, other: HostId) -> bool:
        """Return whether two hosts reach each other."""
        return not {one, other} & (self.isolated | self.frozen)

    def reads(self, host: HostId) -> bool:
        """Return whether a host reads the store: two of those that are connected, and cut ones."""
        connected = [name for name in self.hosts if name not in self.isolated]
        return host in self.isolated or host in connected[:2]

    async def send(
        self,
        host: HostId,
        body: bytes,
        *,
        upstream: str | None = None,
        parts: cabc.Iterable[str] = (),
    ) -> bool:
        """Send a request through a host; return whether it was answered with success.

        :param upstream: the upstream to run on; by default one at random.
        :param parts: the shared parts of its prompt.
        """
        process = self.hosts[host]
        now = asyncio.get_running_loop().time()
        job = FakeJob(
            request_id=RequestId(f"q-{next(self.numbers)}"),
            fingerprint=fingerprint([body]),
            ends_at=now + 2.0,
            shared_parts=frozenset(PartId(part) for part in parts),
        )
        screening = process.parts.screening
        admitted = await screening.admit(t.cast(t.Any, job))
        if isinstance(admitted, Refusal):
            self.refusals.append((body, admitted.code))
            return False
        usable = [found for found in process.directory.available_for(SERVICE) if found.pool.alive]
        if not usable:
            return False
        if isinstance(admitted, IsolatedRun):
            avoided = screening.deaths_in(t.cast(t.Any, job))
            chosen = min(usable, key=lambda found: found.failure_domain in avoided)
            return await self._run_alone(process, job, body, admitted, chosen)
        chosen = next((found for found in usable if found.upstream_id == upstream), None)
        chosen = chosen or self.rng.choice(usable)
        return await self._run(process, job, body, chosen)

    async def _run_alone(
        self, process: CrashHost, job: FakeJob, body: bytes, run: IsolatedRun, chosen: Upstream
    ) -> bool:
        lost: Upstream | None = None
        run.start()
        try:
            if not await run.reserve(chosen):
                return False
            ok = await self._run(process, job, body, chosen, alone=True)
            lost = None if ok else chosen
            return ok
        finally:
            screening = process.parts.screening
            ending = screening.end_isolated_run(run, t.cast(t.Any, job), lost, gave_up=False)
            screening.spawn(ending, name="end")

    async def _run(
        self,
        process: CrashHost,
        job: FakeJob,
        body: bytes,
        chosen: Upstream,
        *,
        alone: bool = False,
    ) -> bool:
        loop = asyncio.get_running_loop()
        pool = t.cast(FakePool, chosen.pool)
        self.runs.append((loop.time(), body))
        screening = process.parts.screening
        trace = AnswerTrace()
        answer = screening.follow(t.cast(t.Any, job), trace, chosen)
        resets = pool.resets
        await self._pass(pool, resets, self.wait_s)
        crashes = body in self.crashing or job.shared_parts & self.crashing_parts
        if pool.alive and pool.resets == resets:
            job.progress = Progress.BEGINNING
            trace.framing = Framing.CHUNKS
            trace.began_at = loop.time()
        if crashes:
            await self._pass(pool, resets, self.crash_after_s)
        if crashes and pool.alive:
            self.crashes.append((loop.time(), body))
            self.crash(chosen.upstream_id)
        await self._pass(pool, resets, self.run_s)
        is_whole = pool.alive and pool.resets == resets
        if job.progress is not Progress.WAITING:
            job.progress = trace.progress(loop.time())
        screening.note_ended(answer, whole=is_whole)
        if is_whole:
            screening.note_completed(t.cast(t.Any, job))
            return True
        if pool.is_silent:
            await asyncio.sleep(max(0.0, job.ends_at - loop.time()))
            screening.note_unanswered(t.cast(t.Any, job), chosen)
            return False
        job.may_have_run = True
        if not alone:
            await screening.note_lost(t.cast(t.Any, job), chosen)
        return False

    async def _pass(self, pool: FakePool, resets: int, for_s: float) -> None:
        """Let time pass until a connection has ended."""
        for _ in range(10):
            if not pool.alive or pool.resets != resets:
                return
            await asyncio.sleep(for_s / 10)

    def reset(self, upstream_id: UpstreamId) -> None:
        """Reset all connections to an upstream, which lives on."""
        self._pools[upstream_id].resets += 1

    def announce(self, upstream_id: UpstreamId) -> None:
        """Let all hosts know that an upstream leaves."""
        registration = dataclasses.replace(
            self._registrations[upstream_id], presence=Presence.LEAVING
        )
        for host in self.hosts.values():
            host.put(registration, self._pools[upstream_id])

    def replace(self, upstream_id: UpstreamId) -> None:
        """End an upstream without an announcement; another process takes its place at once."""
        self._pools[upstream_id].alive = False
        self._register(upstream_id, self._registrations[upstream_id].failure_domain)
        for host in self.hosts.values():
            host.put(self._registrations[upstream_id], self._pools[upstream_id])

    def upstreams_in(self, domain: str) -> list[UpstreamId]:
        """Return the upstreams of a failure domain."""
        return [name for name, r in self._registrations.items() if r.failure_domain == domain]

    def crash(self, upstream_id: UpstreamId) -> None:
        """Crash an upstream; it is back after ``DOWN_S`` as another process."""
        self._pools[upstream_id].alive = False
        self._pools[upstream_id].is_silent = self.silent_crashes
        task = asyncio.get_running_loop().create_task(self._come_back(upstream_id))
        self._returns.add(task)

    async def _come_back(self, upstream_id: UpstreamId) -> None:
        await asyncio.sleep(SILENT_S if self.silent_crashes else DOWN_S)
        self._register(upstream_id, self._registrations[upstream_id].failure_domain)
        for host in self.hosts.values():
            host.put(self._registrations[upstream_id], self._pools[upstream_id])

    def _register(self, upstream_id: UpstreamId, domain: str) -> None:
        self._pools[upstream_id] = FakePool()
        self._registrations[upstream_id] = Registration(
            upstream_id=upstream_id,
            service=SERVICE,
            address=f"127.0.0.1:{upstream_id[2:]}",
            failure_domain=FailureDomain(domain),
            slots=8,
            reclaimable=self._reclaimable,
            presence=Presence.READY,
            started_ms=next(self.numbers),
        )

    def late_retries(self, body: bytes) -> int:
        """Return the runs of a body later than ``STABILITY_S`` after its third crash."""
        crashes = [at for at, crashed in self.crashes if crashed == body]
        if len(crashes) < 3:
            return 0
        return sum(at > crashes[2] + STABILITY_S for at, ran in self.runs if ran == body)

    def codes(self, body: bytes) -> list[ResultCode]:
        """Return the codes of the refusals of a body."""
        return [code for refused, code in self.refusals if refused == body]
