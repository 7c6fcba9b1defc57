"""Faults of what upstreams do with requests, and the checks of the limits that they meet."""

import asyncio
import collections
import collections.abc as cabc
import contextlib
import dataclasses
import itertools
import time

from soak.limits import NEWS_LIMIT_S
from soak.plan import LimitFault
from soak.plan import PlannedFault
from soak.plan import UpstreamFault
from soak.record import RunRecord
from soak.touch import Touch
from standins.limit_rule import WINDOW_S
from standins.limit_rule import worst_window
from standins.platform_fleet import STREAM
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_upstream import PlatformUpstream
from standins.platform_upstream import UpstreamRun

CRASHING_PART = "crash-part"
COMMON_PART = "common-part"
SEND_INTERVAL_S = 0.2
STABILITY_S = 3.0
CRASHES_ALLOWED = 5
MAX_LATE_ARRIVALS = 3
ASKED_S = 2.0
ASKED_SINCE_S = 0.5
MAX_ASKED_ARRIVALS = 2
LIMITS_PER_S = (0.5, 1.0, 2.0, 4.25)
NAMED_S = 5.0  # a limit is named for so long, and longer


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Naming:
    """A limit that an upstream has named for a time, in monotonic seconds."""

    upstream: PlatformUpstream
    limit_per_s: float
    begin: float
    end: float


class UpstreamFaults:
    """Applies the faults and keeps what the checks need."""

    def __init__(self, *, fleet: PlatformFleet, record: RunRecord, touch: Touch) -> None:
        self._fleet = fleet
        self._record = record
        self._touch = touch
        self._numbers = itertools.count()
        self._namings: list[_Naming] = []

    async def apply(self, planned: PlannedFault, upstream: PlatformUpstream) -> None:
        """Apply one fault until it ends."""
        match planned.fault:
            case UpstreamFault.CRASHING_PART:
                await self._send_crashing_parts(planned)
            case UpstreamFault.SAYS_LEAVING:
                await self._say_leaving(planned, upstream)
            case UpstreamFault.ASKS_FOR_TIME:
                upstream.asks_s, upstream.refuses = str(ASKED_S), True
                await asyncio.sleep(planned.duration_s)
                upstream.asks_s, upstream.refuses = None, False
            case LimitFault.NAMES_LIMIT:
                await self._name_limit(planned, upstream)

    async def _name_limit(self, planned: PlannedFault, upstream: PlatformUpstream) -> None:
        if upstream.limits is not None:
            return
        limit_per_s = LIMITS_PER_S[planned.target % len(LIMITS_PER_S)]
        begin = time.monotonic()
        upstream.limits = str(limit_per_s)
        await asyncio.sleep(NAMED_S + planned.duration_s)
        upstream.limits = None
        self._namings.append(
            _Naming(upstream=upstream, limit_per_s=limit_per_s, begin=begin, end=time.monotonic())
        )

    async def _send_crashing_parts(self, planned: PlannedFault) -> None:
        async with asyncio.TaskGroup() as requests:
            for _ in range(int(planned.duration_s / SEND_INTERVAL_S)):
                requests.create_task(self._send(planned.target))
                await asyncio.sleep(SEND_INTERVAL_S)

    async def _send(self, target: int) -> None:
        number = next(self._numbers)
        host = self._fleet.hosts[(target + number) % len(self._fleet.hosts)]
        request_id = f"part-{target}-{number}"
        self._record.add_unchecked(request_id, STREAM, host.name)
        parts = (COMMON_PART, CRASHING_PART, f"own-{number}")
        data = build_request(request_id, STREAM, body=request_id.encode(), parts=parts)
        with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError):
            await host.request(data)

    async def _say_leaving(self, planned: PlannedFault, upstream: PlatformUpstream) -> None:
        if upstream.says_leaving or upstream.leaving:
            return
        upstream.says_leaving = True
        await asyncio.sleep(planned.duration_s)
        upstream.crash()
        upstream.says_leaving = False

    def violations(self) -> cabc.Iterator[str]:
        """Yield each limit that was exceeded."""
        yield from self._check_parts()
        yield from self._check_said_leaving()
        yield from self._check_asked()
        for naming in self._namings:
            yield from self._check_limit(naming)

    def _check_limit(self, naming: _Naming) -> cabc.Iterator[str]:
        """Check each process of an upstream from its first answer on, as a new one tells anew."""
        by_process = collections.defaultdict(list)
        for run in naming.upstream.arrivals:
            if naming.begin <= run.at < naming.end:
                by_process[run.upstream_id].append(run)
        for name, runs in by_process.items():
            times = [run.at for run in runs if self._is_calm(run, since=run.at - WINDOW_S)]
            worst = worst_window(times, naming.limit_per_s, named_at=runs[0].at, until=naming.end)
            if worst.breaks_rule:
                yield f"{name}: limit of {naming.limit_per_s}: {worst}"

    def _check_parts(self) -> cabc.Iterator[str]:
        upstreams = self._fleet.upstreams
        crashes = sorted(at for found in upstreams for at in found.part_crashes_at)
        if len(crashes) < CRASHES_ALLOWED:
            return
        known_at = crashes[CRASHES_ALLOWED - 1] + STABILITY_S
        late = [
            run
            for found in upstreams
            for run in found.arrivals
            if CRASHING_PART in run.parts
            and run.at > known_at
            and self._binds(run.request_id, run.at, run.at)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            yield f"{len(late)} requests with a crashing part after {len(crashes)} crashes"

    def _check_said_leaving(self) -> cabc.Iterator[str]:
        heard_at: dict[tuple[str, str], float] = {}
        for sent in self._record.requests.values():
            answer = sent.answer
            if answer is None or sent.ended_at is None:
                continue
            if answer.header(b"server-leaving") is not None:
                seal = answer.header(b"x-response-seal") or b""
                heard = (sent.host, seal.decode().partition(".")[0])
                heard_at[heard] = min(sent.ended_at, heard_at.get(heard, sent.ended_at))
        for run in (run for found in self._fleet.upstreams for run in found.arrivals):
            host = self._record.requests[run.request_id].host
            since = heard_at.get((host, run.upstream_id))
            if since is None or run.at <= since + NEWS_LIMIT_S:
                continue
            if self._binds(run.request_id, since, run.at):
                yield f"{run.request_id}: {host} had heard {run.at - since:.2f} s before of leaving"

    def _check_asked(self) -> cabc.Iterator[str]:
        for upstream in self._fleet.upstreams:
            by_host = collections.defaultdict(list)
            for run in upstream.rejected:
                host = self._record.requests[run.request_id].host
                by_host[host, run.upstream_id].append(run)
            for (host, name), runs in by_host.items():
                for run in runs:
                    begin, end = run.at + ASKED_SINCE_S, run.at + ASKED_S
                    later = [found for found in runs if begin < found.at < end]
                    if not run.asked or len(later) <= MAX_ASKED_ARRIVALS:
                        continue
                    if self._binds(run.request_id, run.at, end):
                        yield f"{host}: {len(later)} requests to {name}, which had asked for time"

    def _is_calm(self, run: UpstreamRun, *, since: float) -> bool:
        """Return whether the host of a request was not disrupted, whatever the store was."""
        host = self._record.requests[run.request_id].host
        return self._touch.is_calm(host, since, run.at)

    def _binds(self, request_id: str, begin: float, end: float) -> bool:
        """Return whether the host of a request was in touch all the while."""
        host = self._record.requests[request_id].host
        return self._touch.binds(host, begin, end)
