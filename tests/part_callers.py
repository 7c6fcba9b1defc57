"""Callers of a fleet on the stand-ins whose prompts have parts, one of which crashes upstreams."""

import asyncio
import collections.abc as cabc
import dataclasses
import itertools
import random
import time

from standins.platform_fleet import STREAM
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request

BAD = "bad0"
COMMON = "c0"
STABILITY_S = 3.0  # the rules count from this long after the fifth crash
CRASHES_ALLOWED = 5
MAX_LATE_ARRIVALS = 3
CALLER_ERRORS = (OSError, EOFError, TimeoutError)

PromptMaker = cabc.Callable[[int], tuple[str, ...]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """One request, when it was sent in monotonic seconds, and whether it was served in full."""

    at: float
    served: bool
    status: int
    body: bytes


def bad_second(number: int) -> tuple[str, ...]:
    """Return the parts of a crashing request: the second part is at fault."""
    return (COMMON, BAD, f"own-{number}")


def bad_first(number: int) -> tuple[str, ...]:
    """Return the parts of a crashing request: the first part is at fault."""
    return (BAD, COMMON, f"own-{number}")


def bad_among_others(number: int) -> tuple[str, ...]:
    """Return the parts of a crashing request: a middle part is at fault, the others vary."""
    return (COMMON, f"topic-{number % 4}", BAD, f"page-{number % 3}", f"own-{number}")


def bad_alone(number: int) -> tuple[str, ...]:
    """Return the parts of a crashing request: its only shared part is at fault."""
    return (BAD, f"own-{number}")


def sound(number: int) -> tuple[str, ...]:
    """Return the parts of a request that has all but the bad part in common with crashing ones."""
    return (COMMON, f"topic-{number % 4}", f"page-{number % 3}", f"sound-{number}")


class PartCallers:
    """Sends requests to the hosts of a fleet, each with parts of its own."""

    def __init__(self, fleet: PlatformFleet, *, seed: int = 1) -> None:
        self._fleet = fleet
        self._numbers = itertools.count()
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.bad: list[Sent] = []
        self.sound: list[Sent] = []

    async def run(
        self,
        make: PromptMaker,
        into: list[Sent],
        *,
        per_s: float,
        for_s: float,
        path: str = STREAM,
    ) -> None:
        """Send requests at a rate, whether earlier ones have ended or not."""
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            task = asyncio.create_task(self._send(make, into, path))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) / per_s)
        await asyncio.gather(*self._tasks)

    async def _send(self, make: PromptMaker, into: list[Sent], path: str) -> None:
        number = next(self._numbers)
        running = [host for host in self._fleet.hosts if host.process.returncode is None]
        if not running:
            return
        host: Host = self._rng.choice(running)
        began_at = time.monotonic()
        data = build_request(f"q-{number}", path, body=b"own %d" % number, parts=make(number))
        try:
            answer = await host.request(data)
        except CALLER_ERRORS:
            into.append(Sent(at=began_at, served=False, status=0, body=b""))
            return
        served = answer.status == 200
        into.append(Sent(at=began_at, served=served, status=answer.status, body=answer.body))

    def crashes_at(self) -> list[float]:
        """Return when upstreams crashed, in order, in monotonic seconds."""
        return sorted(at for upstream in self._fleet.upstreams for at in upstream.crashed_at)

    def bad_arrivals_at(self, part: str = BAD) -> list[float]:
        """Return when requests with the bad part reached upstreams, in order."""
        runs = [run for upstream in self._fleet.upstreams for run in upstream.arrivals]
        return sorted(run.at for run in runs if part in run.parts)

    def late_arrivals(self) -> list[float]:
        """Return the arrivals that the rule counts, in seconds after the fifth crash."""
        crashes = self.crashes_at()
        if len(crashes) < CRASHES_ALLOWED:
            return []
        fifth_at = crashes[CRASHES_ALLOWED - 1]
        return [at - fifth_at for at in self.bad_arrivals_at() if at > fifth_at + STABILITY_S]

    def served_share(self, *, since: float, until: float = float("inf")) -> float:
        """Return the share of sound requests sent in a time that were served."""
        counted = [sent.served for sent in self.sound if since <= sent.at < until]
        return sum(counted) / max(1, len(counted))
