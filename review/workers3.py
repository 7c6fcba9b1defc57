"""Workers of a plain service, with their entries in the store, for the cases."""

import asyncio
import collections.abc as cabc
import dataclasses
import random
import time

import bed3

from standins.platform import PlatformStore

HEARTBEAT_S = 1.2
Reply = cabc.Callable[["Worker", str, bytes], tuple[int, list[tuple[str, str]]]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a worker; ``at`` is in monotonic seconds."""

    request_id: str
    worker: str
    at: float
    ran: bool


def answer_ok(_: "Worker", __: str, ___: bytes) -> tuple[int, list[tuple[str, str]]]:
    """Answer with success."""
    return 200, []


class Worker:
    """One worker: runs requests, answers health checks and renews its entry.

    :param reply: returns the status and further headers for a request that it has run.
    :param work_s: the time that each answer takes, in seconds.
    """

    def __init__(
        self,
        name: str,
        *,
        store: PlatformStore,
        service: str,
        zone: str,
        arrivals: list[Arrival],
        reply: Reply = answer_ok,
        work_s: float = 0.0,
    ) -> None:
        self.name = name
        self.zone = zone
        self.state = "ready"
        self.left_at: float | None = None
        self._store = store
        self._service = service
        self._arrivals = arrivals
        self._reply = reply
        self._work_s = work_s
        self.address = ""
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and write the first entry."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        await self.write_entry()
        self._beats = asyncio.create_task(self._renew())

    async def stop(self) -> None:
        """Stop at once."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def leave(self) -> None:
        """Announce that it leaves, and go on serving."""
        self.state = "draining"
        await self.write_entry()
        self.left_at = time.monotonic()

    async def write_entry(self) -> None:
        """Write the entry to the store."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        await self._store.put("keyed.servers", self.name, entry)

    async def _renew(self) -> None:
        await asyncio.sleep(HEARTBEAT_S * random.random())
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await bed3.read_message(reader)
                answer = self._answer(first, headers, body)
                await asyncio.sleep(self._work_s)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _answer(self, first: bytes, headers: dict[bytes, bytes], body: bytes) -> bytes:
        if first.split()[1] == b"/health":
            status = 200 if self.state == "ready" else 503
            return _message(status, [("X-Instance-Id", self.name)], b"")
        request_id = headers.get(b"x-request-id", b"").decode("latin-1")
        echoed = [("X-Request-Id", request_id)]
        is_meant = headers.get(b"x-expect-instance", self.name.encode()) == self.name.encode()
        arrival = Arrival(
            request_id=request_id, worker=self.name, at=time.monotonic(), ran=is_meant
        )
        self._arrivals.append(arrival)
        if not is_meant:
            return _message(421, echoed, b"")
        status, more = self._reply(self, request_id, body)
        seal = ("X-Response-Seal", f"{self.name}.{request_id}")
        return _message(status, [*echoed, seal, *more], b"done by " + self.name.encode())


def _message(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body
