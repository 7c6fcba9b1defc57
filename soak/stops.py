"""One run of planned work only: stops in series, reloads, revisions, upstreams that leave.

Nothing fails, so nothing may be lost: each request is answered whole, refused as not run, or ends
unread with its connection. Callers keep connections, send bodies in parts, pipeline, and speak the
old version of HTTP.
"""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import enum
import itertools
import pathlib
import random
import signal
import time

from soak.limits import Departure
from soak.limits import check_departures
from soak.record import RunRecord
from soak.record import SentRequest
from soak.touch import Touch
from standins.platform_fleet import BOUNDS
from standins.platform_fleet import ONCE
from standins.platform_fleet import SAFE
from standins.platform_fleet import STREAM
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import platform_config
from standins.platform_fleet import wait_until
from standins.platform_upstream import PlatformUpstream
from standins.raw_caller import Caller

GRACE_S = float(BOUNDS["grace_s"])
EXCUSED_SENT_S = 3.0  # after the SIGTERM; a request sent later may not be cut
EXCUSED_CUT_RATIO = 5 / 6  # of the grace, from which on work that is under way may be cut
DEADLINE_S = 4.0  # of ``build_request``
SLACK_S = 0.3  # from the last byte of a request to the end of a connection that ends unread
STREAM_EVENTS = (5, 15, 35)  # of the upstreams, one each
EVENT_S = 0.1
RENEWAL_S = 0.4
LEAVES_FOR_S = 3.5
HELD_UP_S = (0.1, 1.5)  # an entry on its way
OVERLAP_S = 0.4  # between the stops of two hosts
PART_PAUSE_S = (0.05, 1.4)  # between two parts of a body
MAX_PARTS = 5
STEP_S = (0.3, 2.0)  # between two pieces of planned work
SHORT_LIMIT_MS = 800  # of plain routes: they can be finished late in a stop
TIMEOUT_S = 9.0


class Work(enum.Enum):
    """A piece of planned work.

    ``STOP_TWO`` overlaps the stops of two hosts; ``STOP_TWICE`` repeats the signal. ``LATE_ENTRY``
    lets an upstream leave, with an entry of its own that was held up and arrives after that.
    """

    STOP = "stop"
    STOP_TWO = "stop-two"
    STOP_TWICE = "stop-twice"
    RELOAD = "reload"
    CONFIG = "config"
    LEAVE = "leave"
    LATE_ENTRY = "late-entry"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedWork:
    """One piece of work; ``target`` selects the host or upstream, modulo their number."""

    after_s: float
    work: Work
    target: int


def plan_work(*, seed: int, seconds: float) -> list[PlannedWork]:
    """Return the work of a run; the same seed gives the same work."""
    rng = random.Random(f"work {seed}")
    planned: list[PlannedWork] = []
    left_s = seconds
    while left_s > 0:
        after_s = rng.uniform(*STEP_S)
        planned.append(
            PlannedWork(after_s=after_s, work=rng.choice(list(Work)), target=rng.randrange(1000))
        )
        left_s -= after_s
    return planned


@dataclasses.dataclass(kw_only=True)
class Sent(SentRequest):
    """A request; ``whole_at`` is when its last byte was sent, in monotonic seconds."""

    whole_at: float


class StopRun:
    """Plays the work of one seed.

    ``stops`` has the times of SIGTERMs by host, in monotonic seconds, and ``served`` counts the
    whole answers.

    :param directory: where the settings and logs of the hosts are written.
    """

    def __init__(
        self, *, seed: int, directory: pathlib.Path, hosts: int, callers: int, seconds: float
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._host_count = hosts
        self._caller_count = callers
        self._rng = random.Random(f"callers {seed}")
        self._fleet = PlatformFleet(directory)
        self._record = RunRecord()
        self._touch = Touch()
        self._departures: list[Departure] = []
        self.stops: dict[str, list[float]] = {}
        self._stopping: set[str] = set()
        self._numbers = itertools.count()
        self._revision = 1
        self.served = 0

    async def run(self) -> list[str]:
        """Return one line for each request that was lost, and each that came too late."""
        async with self._fleet:
            await self._start()
            renewing = [asyncio.create_task(self._renew(found)) for found in self._fleet.upstreams]
            calling = [
                asyncio.create_task(self._call(kind))
                for kind, _ in zip(itertools.cycle(self._kinds()), range(self._caller_count))
            ]
            async with asyncio.TaskGroup() as tasks:
                for planned in plan_work(seed=self._seed, seconds=self._seconds):
                    await asyncio.sleep(planned.after_s)
                    tasks.create_task(self._do(planned))
            for task in (*calling, *renewing):
                task.cancel()
            await asyncio.gather(*calling, *renewing, return_exceptions=True)
            return [
                *self._lost(),
                *check_departures(self._departures, self._record, self._touch),
            ]

    async def _start(self) -> None:
        await self._publish()
        for events in STREAM_EVENTS:
            await self._fleet.add_upstream(events=events, event_s=EVENT_S)
        for _ in range(self._host_count):
            await self._fleet.add_host()
        for host in self._fleet.hosts:
            await wait_until(host.ready)

    async def _publish(self) -> None:
        self._revision += 1
        limits_ms = {ONCE: SHORT_LIMIT_MS, SAFE: SHORT_LIMIT_MS}
        cfg = platform_config(self._revision, limits_ms=limits_ms)
        await self._fleet.store.put("keyed.op", "config", cfg)

    async def _renew(self, upstream: PlatformUpstream) -> None:
        while True:
            if not upstream.leaving:
                await upstream.register()
            await asyncio.sleep(RENEWAL_S)

    async def _do(self, planned: PlannedWork) -> None:
        host = self._fleet.hosts[planned.target % len(self._fleet.hosts)]
        other = self._fleet.hosts[(planned.target + 1) % len(self._fleet.hosts)]
        upstream = self._fleet.upstreams[planned.target % len(self._fleet.upstreams)]
        match planned.work:
            case Work.STOP:
                await self._stop(host)
            case Work.STOP_TWICE:
                await self._stop(host, again=True)
            case Work.STOP_TWO:
                await asyncio.gather(self._stop(host), self._stop(other, after_s=OVERLAP_S))
            case Work.RELOAD:
                if host.name not in self._stopping:
                    host.process.send_signal(signal.SIGHUP)
            case Work.CONFIG:
                await self._publish()
            case Work.LEAVE:
                await self._leave(upstream, late=False)
            case Work.LATE_ENTRY:
                await self._leave(upstream, late=True)

    async def _stop(self, host: Host, *, again: bool = False, after_s: float = 0.0) -> None:
        """Stop a host and start it again, unless no other one would serve."""
        await asyncio.sleep(after_s)
        is_last = len(self._stopping) + 1 >= len(self._fleet.hosts)
        if host.name in self._stopping or is_last:
            return
        self._stopping.add(host.name)
        began_at = time.monotonic()
        self.stops.setdefault(host.name, []).append(began_at)
        host.process.send_signal(signal.SIGTERM)
        if again:
            await asyncio.sleep(OVERLAP_S)
            host.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(host.process.wait(), began_at + GRACE_S - time.monotonic())
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):  # it may end by itself just now
                host.process.kill()
            await host.process.wait()
        await self._fleet.restart(host)
        await wait_until(host.ready)
        self._touch.add(host.name, began_at, time.monotonic())
        self._stopping.discard(host.name)

    async def _leave(self, upstream: PlatformUpstream, *, late: bool) -> None:
        if any(found.leaving for found in self._fleet.upstreams):
            return
        entry = upstream.entry()
        await (upstream.deregister() if late else upstream.register("draining"))
        gone = Departure(upstream=upstream, acknowledged_at=time.monotonic())
        self._departures.append(gone)
        if late:
            await asyncio.sleep(self._rng.uniform(*HELD_UP_S))
            await upstream.write(entry)
        await asyncio.sleep(LEAVES_FOR_S)
        gone.back_at = time.monotonic()
        upstream.leaving = False

    def _kinds(self) -> list[cabc.Callable[[Caller, Host], cabc.Awaitable[bool]]]:
        return [self._kept, self._in_parts, self._kept, self._pipelined, self._old, self._in_parts]

    async def _call(self, kind: cabc.Callable[[Caller, Host], cabc.Awaitable[bool]]) -> None:
        """Call hosts that are in the load balancer's rotation, until cancelled."""
        while True:
            host = self._rng.choice(self._fleet.hosts)
            ip, _, port = host.caller_address.rpartition(":")
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            caller = Caller(reader=reader, writer=writer)
            try:
                while await kind(caller, host):
                    await asyncio.sleep(self._rng.uniform(0.0, 0.05))
            finally:
                caller.close()

    async def _kept(self, caller: Caller, host: Host) -> bool:
        sent = self._new(host, self._rng.choice((STREAM, STREAM, ONCE, SAFE)))
        self._write(caller, sent, self._request(sent))
        return await self._take(caller, sent)

    async def _old(self, caller: Caller, host: Host) -> bool:
        sent = self._new(host, self._rng.choice((ONCE, SAFE)))
        data = self._request(sent).replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1)
        self._write(caller, sent, data)
        await self._take(caller, sent)
        return False

    async def _pipelined(self, caller: Caller, host: Host) -> bool:
        first = self._new(host, STREAM)
        self._write(caller, first, self._request(first))
        # Reads meanwhile, so that the end of the connection is noticed when it comes.
        taking = asyncio.create_task(self._take(caller, first))
        try:
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            second = self._new(host, self._rng.choice((STREAM, ONCE)))
            self._write(caller, second, self._request(second))
            goes_on = await taking
        finally:
            taking.cancel()
        if not goes_on:
            # It comes after the end of the connection was announced, so it is not to be answered.
            second.error = "not answered"
            return False
        second.whole_at = time.monotonic()
        return await self._take(caller, second)

    async def _in_parts(self, caller: Caller, host: Host) -> bool:
        sent = self._new(host, self._rng.choice((STREAM, ONCE)))
        head = build_request(sent.request_id, sent.path, body=b"")
        caller.send(head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
        sent.whole_at = float("inf")
        for part in sent.request_id.encode()[:MAX_PARTS]:
            await asyncio.sleep(self._rng.uniform(*PART_PAUSE_S))
            caller.send(b"1\r\n%c\r\n" % part)
        self._write(caller, sent, b"0\r\n\r\n")
        return await self._take(caller, sent)

    def _new(self, host: Host, path: str) -> Sent:
        now = time.monotonic()
        request_id = f"s{self._seed}-{next(self._numbers)}"
        sent = Sent(request_id=request_id, path=path, host=host.name, sent_at=now, whole_at=now)
        self._record.requests[request_id] = sent
        return sent

    def _request(self, sent: Sent) -> bytes:
        return build_request(sent.request_id, sent.path)

    def _write(self, caller: Caller, sent: Sent, data: bytes) -> None:
        with contextlib.suppress(OSError):
            caller.send(data)
        sent.whole_at = time.monotonic()

    async def _take(self, caller: Caller, sent: Sent) -> bool:
        """Read an answer; return whether the connection goes on."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                sent.answer = await caller.read_answer()
        except (OSError, EOFError, ValueError, TimeoutError) as exc:
            sent.error = type(exc).__name__
        sent.ended_at = time.monotonic()
        self.served += sent.answer is not None and sent.answer.status == 200
        return sent.answer is not None and sent.answer.header(b"connection") != b"close"

    def _lost(self) -> cabc.Iterator[str]:
        run = {name for found in self._fleet.upstreams for name in found.executed_ids}
        for sent in self._record.requests.values():
            if not isinstance(sent, Sent) or sent.ended_at is None:
                continue
            reason = self.fault_of(sent, has_run=sent.request_id in run)
            if reason:
                began_at = max(
                    (at for at in self.stops.get(sent.host, ()) if at < sent.ended_at), default=0.0
                )
                yield (
                    f"{sent.request_id} ({sent.path} at {sent.host}): {reason}; sent "
                    f"{sent.sent_at - began_at:.2f} s, whole {sent.whole_at - began_at:.2f} s and "
                    f"ended {sent.ended_at - began_at:.2f} s after the SIGTERM"
                )

    def fault_of(self, sent: Sent, *, has_run: bool) -> str | None:
        """Return what is wrong with the end of a request, or None."""
        assert sent.ended_at is not None
        if sent.answer is not None:
            if sent.answer.status in (429, 503) and has_run:
                return f"refused with {sent.answer.status}, but it has run"
            if sent.answer.status not in (200, 429, 503) and not self._is_excused(sent):
                return f"answered with {sent.answer.status}"
            return None
        if has_run and not self._is_excused(sent):
            return "run, and cut without an answer"
        if not has_run and sent.ended_at > sent.whole_at + SLACK_S:
            return "read, and ended without an answer"
        return None

    def _is_excused(self, sent: Sent) -> bool:
        """Return whether the request may be cut: at its deadline, or as its host has to end."""
        assert sent.ended_at is not None
        if sent.ended_at >= sent.whole_at + DEADLINE_S - SLACK_S:
            return True
        if sent.path != STREAM and sent.ended_at >= sent.whole_at + SHORT_LIMIT_MS / 1000 - 0.1:
            return True
        return any(
            sent.sent_at <= at + EXCUSED_SENT_S
            and sent.whole_at <= at + EXCUSED_SENT_S
            and sent.ended_at >= at + GRACE_S * EXCUSED_CUT_RATIO
            for at in self.stops.get(sent.host, ())
        )
