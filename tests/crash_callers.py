"""Callers of a fleet on the stand-ins: one whose request crashes upstreams, and others."""

import asyncio
import dataclasses
import itertools
import time

from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request

CRASH = b"crash-on-this"
STABILITY_S = 3.0  # the rule counts from this long after the third crash
MAX_LATE_RETRIES = 3
CALLER_ERRORS = (OSError, EOFError, TimeoutError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """How one request ended: its status, 0 if the connection was closed, and its duration."""

    request_id: str
    status: int
    body: bytes
    took_s: float


class CrashCallers:
    """Sends requests to the hosts of a fleet in turn, each under a new id."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self._numbers = itertools.count()
        self.crashing: list[Reply] = []
        self.others: list[Reply] = []

    async def send(
        self,
        path: str,
        body: bytes,
        *,
        host: int | None = None,
        leaves_after_s: float | None = None,
    ) -> Reply:
        """Send one request to a host, by default to the next one in turn.

        :param leaves_after_s: when the caller closes its connection; None if it waits.
        """
        number = next(self._numbers)
        request_id = f"q-{number}"
        hosts = self._fleet.hosts
        chosen = hosts[(number if host is None else host) % len(hosts)]
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(leaves_after_s):
                answer = await chosen.request(build_request(request_id, path, body=body))
            status, got = answer.status, answer.body
        except CALLER_ERRORS:
            status, got = 0, b""
        return Reply(
            request_id=request_id, status=status, body=got, took_s=time.monotonic() - began_at
        )

    async def repeat_crashing(
        self,
        path: str,
        *,
        for_s: float,
        every_s: float = 0.25,
        leaves_after_s: float | None = None,
    ) -> None:
        """Send the crashing request again and again, each time after the last one has ended."""
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            self.crashing.append(await self.send(path, CRASH, leaves_after_s=leaves_after_s))
            await asyncio.sleep(every_s)

    async def repeat_others(self, path: str, *, for_s: float, every_s: float = 0.02) -> None:
        """Send requests with bodies of their own."""
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            self.others.append(await self.send(path, b"other %d" % len(self.others)))
            await asyncio.sleep(every_s)

    async def repeat_popular(self, path: str, *, for_s: float) -> None:
        """Send one request that has a body in common with those of others, again and again."""
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            self.others.append(await self.send(path, b"popular"))
            await asyncio.sleep(0.02)

    def crashes_at(self) -> list[float]:
        """Return when upstreams crashed, in order, in monotonic seconds."""
        return sorted(at for upstream in self._fleet.upstreams for at in upstream.crashed_at)

    def crashing_runs_at(self) -> list[float]:
        """Return when the crashing request reached an upstream, in order."""
        runs = [run for upstream in self._fleet.upstreams for run in upstream.runs]
        return sorted(run.at for run in runs if CRASH in run.body)

    def late_retries(self) -> int:
        """Return how often the crashing request reached upstreams after the third crash was known.

        It is known ``STABILITY_S`` after it, to all hosts.
        """
        crashes = self.crashes_at()
        if len(crashes) < MAX_LATE_RETRIES:
            return 0
        known_at = crashes[2] + STABILITY_S
        return sum(at > known_at for at in self.crashing_runs_at())
