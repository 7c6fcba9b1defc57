"""Stand-in for an upstream on the users' platform."""

import asyncio
import collections.abc as cabc
import dataclasses
import itertools
import time
import typing as t

from cassiawalk.http1 import Exchange
from cassiawalk.http1 import Headers
from cassiawalk.http1.heads import header_value
from standins.platform import PlatformStore
from standins.platform import StandIn

SLOTS = 8
HEALTH_PATH = "/health"


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamRun:
    """A request at an upstream, with the parts of its prompt.

    ``at`` is when it arrived, in monotonic seconds; ``asked`` tells whether it was turned away and
    asked for time.
    """

    request_id: str
    body: bytes
    at: float
    parts: tuple[str, ...] = ()
    upstream_id: str = ""
    asked: bool = False


class PlatformUpstream(StandIn):
    """An upstream that registers itself, echoes bodies and streams numbered events.

    ``executed_ids`` and ``workspaces`` list the ids and workspaces of the requests that it ran,
    ``runs`` these requests, and ``arrivals`` all that reached it, also those that it rejected.
    ``crashed_at`` has when it crashed, and ``part_crashes_at`` when it began to on a part of a
    prompt, in monotonic seconds.

    While ``refuses`` is set, it rejects each request as not run; ``asks_s``, if set, is the time
    that it asks for then, as written in its answers. ``rejected`` lists these requests. While
    ``says_leaving`` is set, all of its answers say that it leaves. ``limits``, if set, is the limit
    that its answers name, as written in them, and ``checks_at`` has the times of health checks, in
    monotonic seconds. ``leaving`` is set once it has announced that it leaves, or has deleted its
    entry. While ``keeps_id`` is set, it comes back from a crash under the id that it had.

    :param events: the number of events in a stream.
    :param event_s: the time between two events, in seconds.
    :param crash_on: a request whose body contains this crashes it; None for no request.
    :param crash_after_s: how long such a request runs before the crash, also if its connection is
        closed meanwhile, in seconds.
    :param crash_on_parts: a request with one of these parts in its prompt crashes it.
    :param crash_after_events: how many events of such an answer are sent before the crash.
    :param prefill_s: the time until the head of an answer to a prompt, in seconds.
    :param version: the version of the service that its entry states; None for none.
    :param fails_every: of so many requests all but one are answered with status 500; 0 fails none.
    :param down_s: how long it is down after a crash, in seconds; it comes back with a new id.
    """

    _numbers = itertools.count(1)
    _births = itertools.count(1_800_000_000_000)

    def __init__(
        self,
        *,
        store: PlatformStore,
        service: str,
        zone: str = "here",
        events: int = 5,
        event_s: float = 0.02,
        crash_on: bytes | None = None,
        crash_after_s: float = 0.0,
        crash_on_parts: cabc.Container[str] = (),
        crash_after_events: int = 0,
        prefill_s: float = 0.0,
        down_s: float = 1.5,
        version: str | None = None,
        fails_every: int = 0,
    ) -> None:
        super().__init__()
        self._store = store
        self._service = service
        self._zone = zone
        self._events = events
        self._event_s = event_s
        self._crash_on = crash_on
        self._crash_after_s = crash_after_s
        self._doomed: set[asyncio.Task[None]] = set()
        self._crash_on_parts = crash_on_parts
        self._crash_after_events = crash_after_events
        self._prefill_s = prefill_s
        self.down_s = down_s
        self._version = version
        self._fails_every = fails_every
        self._crash: asyncio.Task[None] | None = None
        self._is_back = True
        self.upstream_id = f"i-{next(self._numbers)}"
        self._born_ms = next(self._births)
        self._sequence = 0
        self.public_address = self.address  # the address that hosts connect to
        self.executed_ids: list[str] = []
        self.workspaces: list[str] = []
        self.runs: list[UpstreamRun] = []
        self.arrivals: list[UpstreamRun] = []
        self.refuses = False
        self.asks_s: str | None = None
        self.says_leaving = False
        self.limits: str | None = None
        self.checks_at: list[float] = []
        self.rejected: list[UpstreamRun] = []
        self.leaving = False
        self.keeps_id = False
        self.crashed_at: list[float] = []
        self.part_crashes_at: list[float] = []

    @property
    def is_up(self) -> bool:
        """Return whether it is not down after a crash."""
        return self._crash is None or self._crash.done()

    async def stop(self) -> None:
        """Stop for good, also during a crash."""
        for task in (self._crash, *self._doomed):
            if task is not None:
                task.cancel()
        await super().stop()

    async def register(self, state: str = "ready") -> None:
        """Write the upstream's entry to the store."""
        self.leaving = state == "draining"
        self._sequence += 1
        await self.write(self.entry(state))

    def entry(self, state: str = "ready") -> dict[str, t.Any]:
        """Return the newest entry, as it would be with the given state."""
        return {
            "version": self._version or "",
            "cold_remaining_ms": 0,
            "service": self._service,
            "address": self.public_address,
            "zone": self._zone,
            "slots": SLOTS,
            "state": state,
            "born": self._born_ms,
            "sequence": self._sequence,
        }

    async def write(self, entry: dict[str, t.Any]) -> None:
        """Write an entry to the store, as one that was held up on its way."""
        await self._store.put("keyed.servers", self.upstream_id, entry)

    def begin_life(self) -> None:
        """Be a new process under the same id, which has written no entry yet."""
        self._born_ms = next(self._births)
        self._sequence = 0

    async def deregister(self) -> None:
        """Leave: delete the upstream's entry from the store."""
        self.leaving = True
        await self.expire()

    async def expire(self) -> None:
        """Delete the upstream's entry from the store, as if it could not renew it."""
        await self._store.put("keyed.servers", self.upstream_id, None)

    def crash(self, *, reset: bool = True) -> None:
        """End all connections; come back after ``down_s`` s, see ``keeps_id``.

        :param reset: whether the connections are reset; else they are closed in order.
        """
        if self.is_up:
            self.crashed_at.append(time.monotonic())
            self._crash = asyncio.create_task(self._come_back(reset=reset))

    async def _run_to_crash(self) -> None:
        """Crash after a while, unless another crash comes before."""
        if self._crash_after_s:
            doomed = asyncio.create_task(self._crash_later(self.upstream_id))
            self._doomed.add(doomed)
            doomed.add_done_callback(self._doomed.discard)
            await asyncio.shield(doomed)
        else:
            self.crash()

    async def _crash_later(self, upstream_id: str) -> None:
        await asyncio.sleep(self._crash_after_s)
        if self.upstream_id == upstream_id:
            self.crash()

    async def _come_back(self, *, reset: bool) -> None:
        former_id = self.upstream_id
        self._is_back = False
        await self.restart(down_s=self.down_s, reset=reset)
        self._is_back = True
        if not self.keeps_id:
            self.upstream_id = f"i-{next(self._numbers)}"
        self.begin_life()
        await self.register()
        if not self.keeps_id:
            await self._store.put("keyed.servers", former_id, None)

    async def handle(self, exchange: Exchange) -> None:
        """Run one request; 421 if it is meant for another upstream."""
        if not self.is_up and not self._is_back:
            exchange.abort()
            return
        if exchange.target == HEALTH_PATH.encode():
            self.checks_at.append(time.monotonic())
            status = 503 if self.leaving else 200
            answered = [(b"X-Instance-Id", self.upstream_id.encode()), *self._availability()]
            exchange.answer(status, answered, b"")
            return
        request_id = header_value(exchange.headers, b"x-request-id") or b""
        echoed = (b"X-Request-Id", request_id)
        run = UpstreamRun(
            request_id=request_id.decode(),
            body=exchange.body,
            at=time.monotonic(),
            parts=_parts(exchange),
            upstream_id=self.upstream_id,
        )
        self.arrivals.append(run)
        if header_value(exchange.headers, b"x-expect-instance") != self.upstream_id.encode():
            exchange.answer(421, [echoed], b"")
            return
        if self.refuses:
            self.rejected.append(dataclasses.replace(run, asked=self.asks_s is not None))
            refused = [echoed, (b"X-Not-Executed", b"1"), *self._availability()]
            exchange.answer(503, refused, b"")
            return
        self.executed_ids.append(run.request_id)
        self.runs.append(run)
        self.workspaces.append((header_value(exchange.headers, b"x-tenant") or b"").decode())
        if self._crash_on is not None and self._crash_on in exchange.body:
            await self._run_to_crash()
            return
        if self._fails_every and len(self.runs) % self._fails_every:
            exchange.answer(500, [echoed], b"")
            return
        headers = [
            echoed,
            (b"X-Response-Seal", f"{self.upstream_id}.{request_id.decode()}".encode()),
            *self._availability(),
        ]
        if run.parts:
            await asyncio.sleep(self._prefill_s)
        crashes = any(part in self._crash_on_parts for part in run.parts)
        if crashes and self.is_up:
            self.part_crashes_at.append(time.monotonic())
        if b"/stream/" in exchange.target:
            await self._stream(exchange, headers, crashes=crashes)
        elif crashes:
            self.crash()
        else:
            exchange.answer(200, headers, exchange.body)

    def _availability(self) -> Headers:
        said: list[tuple[bytes, bytes]] = []
        if self.says_leaving:
            said.append((b"Server-Leaving", b"1"))
        if self.refuses and self.asks_s is not None:
            said.append((b"Retry-After", self.asks_s.encode()))
        if self.limits is not None:
            said.append((b"Server-Limit", self.limits.encode()))
        return said

    async def _stream(self, exchange: Exchange, headers: Headers, *, crashes: bool) -> None:
        exchange.send_head(200, [*headers, (b"Content-Type", b"text/event-stream")])
        first = int(header_value(exchange.headers, b"last-event-id") or b"0") + 1
        for number in range(first, self._events + 1):
            if crashes and number - first >= self._crash_after_events:
                self.crash()
                return
            exchange.send_data(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(self._event_s)
        exchange.finish()


def _parts(exchange: Exchange) -> tuple[str, ...]:
    """Return the ids of the parts of a request's prompt, in order."""
    value = header_value(exchange.headers, b"x-prompt-prefix")
    if not value:
        return ()
    return tuple(part.strip().partition(b":")[0].decode() for part in value.split(b","))
