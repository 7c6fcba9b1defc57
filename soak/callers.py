"""Callers that keep their connections and write down what they got."""

import asyncio
import collections.abc as cabc
import dataclasses
import itertools
import random
import time
import typing as t

from soak.record import Asked
from soak.record import Record
from standins.platform_fleet import ONCE
from standins.platform_fleet import SAFE
from standins.platform_fleet import STREAM
from standins.platform_fleet import Host
from standins.platform_fleet import build_request
from standins.raw_caller import Caller

PATHS = (ONCE, SAFE, STREAM)
PAUSES_S = (0.0, 0.08)
PATIENCE_S = 7.0
LOST = (OSError, EOFError, ValueError, TimeoutError)


class SoakCaller:
    """Asks one host after the other's connection is gone, one request at a time.

    :param hosts: the hosts that a balancer would send it to.
    """

    _numbers: t.ClassVar[cabc.Iterator[int]] = itertools.count()

    def __init__(self, *, hosts: cabc.Sequence[Host], record: Record, seed: int) -> None:
        self._hosts = hosts
        self._record = record
        self._rng = random.Random(seed)
        self._seed = seed

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            host = self._rng.choice(self._hosts)
            try:
                ip, _, port = host.caller_address.rpartition(":")
                reader, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            caller = Caller(reader=reader, writer=writer)
            try:
                while await self._ask(caller, host):
                    await asyncio.sleep(self._rng.uniform(*PAUSES_S))
            finally:
                caller.close()

    async def _ask(self, caller: Caller, host: Host) -> bool:
        """Send one request; return whether the connection can be used again."""
        path = self._rng.choice(PATHS)
        request_id = f"c{self._seed}-{next(self._numbers)}"
        asked = Asked(request_id=request_id, path=path, host=host.name, at=time.monotonic())
        self._record.asked[request_id] = asked
        try:
            got = await caller.request(
                build_request(request_id, path, body=request_id.encode()), limit_s=PATIENCE_S
            )
        except LOST as exc:
            asked.lost = type(exc).__name__
            asked.ended_at = time.monotonic()
            return False
        asked.ended_at = time.monotonic()
        asked.answer = got
        return got.header(b"connection") != b"close"


@dataclasses.dataclass(kw_only=True)
class Crowd:
    """The callers of a run."""

    callers: list[SoakCaller]

    async def run(self) -> None:
        """Let all callers ask until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for caller in self.callers:
                tasks.create_task(caller.run())
