"""Stand-in for the append-only log service."""

import asyncio
import base64
import dataclasses
import time

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from standins import _serve
from standins.gate import Gate

DEFAULT_APPENDS_PER_S = 500.0
BURST_APPENDS = 100.0


@dataclasses.dataclass(kw_only=True)
class Faults:
    """The injected faults, on streams whose names start with ``streams``.

    ``outage`` refuses appends and reads with 503. The next ``lose_answers`` appends take effect
    but are answered with 504. The next ``drop_appends`` appends are answered with 504 and take no
    effect. The next ``late_appends`` appends are answered with 504 and take effect once
    ``hold_late`` is off. The next ``cut_reads`` reads get a truncated answer. ``hold`` makes
    appends wait until it is off. ``delay_s`` delays each append by so many seconds.
    """

    streams: str = ""
    outage: bool = False
    lose_answers: int = 0
    drop_appends: int = 0
    late_appends: int = 0
    cut_reads: int = 0
    hold: bool = False
    hold_late: bool = False
    delay_s: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Stream:
    """An append-only stream; ``first`` is the offset of the first retained payload."""

    first: int = 0
    payloads: list[bytes] = dataclasses.field(default_factory=list)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset of the next payload to be appended."""
        return self.first + len(self.payloads)

    def append(self, payload: bytes) -> int:
        """Append a payload and return its offset."""
        self.payloads.append(payload)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.end - 1

    def expire(self, through: int) -> None:
        """Delete the payloads up to and including an offset."""
        count = max(0, min(through + 1 - self.first, len(self.payloads)))
        del self.payloads[:count]
        self.first += count


class LogStandIn:
    """In-memory streams, served over HTTP.

    :param appends_per_s: the rate limit of all streams together; above it, appends get 429.
    """

    def __init__(self, *, appends_per_s: float = DEFAULT_APPENDS_PER_S) -> None:
        self._appends_per_s = appends_per_s
        self._tokens = BURST_APPENDS
        self._refilled_at = time.monotonic()
        self._streams: dict[str, Stream] = {}
        self._faults = Faults()
        self._appends = 0
        self._gate = Gate()
        self._late_gate = Gate()
        self._late: set[asyncio.Task[None]] = set()

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/streams/{stream}/records", self.append, methods=["POST"]),
            Route("/streams/{stream}/records", self.read, methods=["GET"]),
            Route("/faults", self.set_faults, methods=["POST"]),
            Route("/streams/{stream}/expire", self.expire, methods=["POST"]),
            Route("/held", self.held, methods=["GET"]),
            Route("/stats", self.stats, methods=["GET"]),
        ]
        return Starlette(routes=routes)

    async def append(self, req: Request) -> Response:
        """Append the body as one record."""
        payload = await req.body()
        faults = self._faults_of(req)
        await asyncio.sleep(faults.delay_s)
        if faults.outage:
            return Response(status_code=503, headers={"Retry-After": "1"})
        if faults.drop_appends > 0:
            faults.drop_appends -= 1
            return Response(status_code=504)
        if faults.late_appends > 0:
            faults.late_appends -= 1
            task = asyncio.create_task(self._append_late(self._stream(req), payload))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return Response(status_code=504)
        if faults.hold:
            await self._gate.pass_through()
        if not self._take_token():
            return Response(status_code=429, headers={"Retry-After": "0.05"})
        self._appends += 1
        offset = self._stream(req).append(payload)
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return Response(status_code=504)
        return JSONResponse({"offset": offset}, status_code=201)

    async def read(self, req: Request) -> Response:
        """Answer with up to ``limit`` records from offset ``start``.

        If there are none, wait up to ``wait`` seconds for the first one.
        """
        if self._faults_of(req).outage:
            return Response(status_code=503)
        stream = self._stream(req)
        start = int(req.query_params.get("start", 0))
        limit = int(req.query_params.get("limit", 100))
        wait_s = float(req.query_params.get("wait", 0))
        if stream.end <= start and wait_s > 0:
            await self._wait(stream, wait_s)
        faults = self._faults_of(req)
        if faults.outage:
            return Response(status_code=503)
        if faults.cut_reads > 0:
            faults.cut_reads -= 1
            return Response(b'{"records":', headers={"content-length": "1000"})
        return JSONResponse(_page(stream, max(start, stream.first), limit))

    async def set_faults(self, req: Request) -> Response:
        """Replace the faults in force."""
        self._faults = Faults(**orjson.loads(await req.body()))
        self._gate.set_closed(self._faults.hold)
        self._late_gate.set_closed(self._faults.hold_late)
        return JSONResponse(dataclasses.asdict(self._faults))

    async def held(self, req: Request) -> Response:
        """Answer once at least ``count`` appends are held."""
        return JSONResponse({"held": await self._gate.wait_held(int(req.query_params["count"]))})

    async def expire(self, req: Request) -> Response:
        """Delete the records up to and including the offset ``through``."""
        self._stream(req).expire(int(orjson.loads(await req.body())["through"]))
        return Response(status_code=204)

    async def stats(self, req: Request) -> Response:
        """Answer with the number of appends and the end offset of each stream."""
        ends = {name: stream.end for name, stream in self._streams.items()}
        return JSONResponse({"appends": self._appends, "ends": ends})

    def _faults_of(self, req: Request) -> Faults:
        applies = req.path_params["stream"].startswith(self._faults.streams)
        return self._faults if applies else Faults()

    async def _append_late(self, stream: Stream, payload: bytes) -> None:
        await self._late_gate.pass_through()
        stream.append(payload)

    def _stream(self, req: Request) -> Stream:
        return self._streams.setdefault(req.path_params["stream"], Stream())

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._appends_per_s
        self._tokens = min(BURST_APPENDS, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _wait(self, stream: Stream, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await stream.changed.wait()
        except TimeoutError:
            return


def _page(stream: Stream, start: int, limit: int) -> dict[str, object]:
    begin = start - stream.first
    payloads = stream.payloads[begin : begin + limit]
    records = [
        {"offset": start + index, "payload": base64.b64encode(payload).decode()}
        for index, payload in enumerate(payloads)
    ]
    return {"records": records, "first_offset": stream.first, "end_offset": stream.end}


def main() -> None:
    """Run the stand-in."""
    parser = _serve.base_parser("Stand-in for the log service.")
    parser.add_argument("--appends-per-s", type=float, default=DEFAULT_APPENDS_PER_S)
    args = parser.parse_args()
    _serve.run(LogStandIn(appends_per_s=args.appends_per_s).asgi(), port=args.port)


if __name__ == "__main__":
    main()
