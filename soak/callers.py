"""Callers that reuse their connections and record every answer."""

import asyncio
import collections.abc as cabc
import dataclasses
import itertools
import random
import time
import typing as t

from soak.record import RunRecord
from soak.record import SentRequest
from standins.platform_fleet import ONCE
from standins.platform_fleet import SAFE
from standins.platform_fleet import STREAM
from standins.platform_fleet import Host
from standins.platform_fleet import build_request
from standins.raw_caller import Caller

PATHS = (ONCE, SAFE, STREAM)
REQUEST_INTERVAL_RANGE_S = (0.0, 0.08)
ANSWER_TIMEOUT_S = 7.0
CONNECTION_ERRORS = (OSError, EOFError, ValueError, TimeoutError)


class SoakCaller:
    """Sends one request at a time; reconnects, to a random host, when its connection has closed.

    :param hosts: the hosts that a load balancer would choose from.
    :param record: receives each request with its answer or error.
    :param seed: seeds the choice of hosts, paths and pauses.
    """

    _numbers: t.ClassVar[cabc.Iterator[int]] = itertools.count()

    def __init__(self, *, hosts: cabc.Sequence[Host], record: RunRecord, seed: int) -> None:
        self._hosts = hosts
        self._record = record
        self._rng = random.Random(seed)
        self._seed = seed

    async def run(self) -> None:
        """Send requests until cancelled."""
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
                while await self._send_one(caller, host):
                    await asyncio.sleep(self._rng.uniform(*REQUEST_INTERVAL_RANGE_S))
            finally:
                caller.close()

    async def _send_one(self, caller: Caller, host: Host) -> bool:
        """Send one request; return whether the connection can be reused."""
        path = self._rng.choice(PATHS)
        request_id = f"c{self._seed}-{next(self._numbers)}"
        sent = SentRequest(
            request_id=request_id, path=path, host=host.name, sent_at=time.monotonic()
        )
        self._record.requests[request_id] = sent
        try:
            answer = await caller.request(
                build_request(request_id, path, body=request_id.encode()),
                limit_s=ANSWER_TIMEOUT_S,
            )
        except CONNECTION_ERRORS as exc:
            sent.error = type(exc).__name__
            sent.ended_at = time.monotonic()
            return False
        sent.ended_at = time.monotonic()
        sent.answer = answer
        return answer.header(b"connection") != b"close"


@dataclasses.dataclass(kw_only=True)
class CallerGroup:
    """All callers of a run."""

    callers: list[SoakCaller]

    async def run(self) -> None:
        """Run all callers concurrently until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for caller in self.callers:
                tasks.create_task(caller.run())
