"""Stand-in for a plain service, such as the vacancy service or the audit records service."""

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import time

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.responses import StreamingResponse
from starlette.routing import Route
from starlette.types import Receive
from starlette.types import Scope
from starlette.types import Send

from standins import _serve
from standins.gate import Gate


@dataclasses.dataclass(kw_only=True)
class Faults:
    """The injected faults.

    ``delay_s`` makes each run take so many seconds. The next ``fail_before_run`` calls are answered
    with status 500 without being run; the next ``fail_after_run`` calls are run and then answered
    with status 500. The next ``cut_after_run`` calls are run and their answers truncated: after
    the first chunk of a chunked answer if ``cut_chunked`` is set, else short of the announced
    ``Content-Length``. The next ``drop_before_answer`` calls are run and their connections closed
    without an answer. ``hold_before_run`` and ``hold_after_run`` make calls wait until they are
    switched off.
    """

    delay_s: float = 0.0
    cut_after_run: int = 0
    cut_chunked: bool = False
    drop_before_answer: int = 0
    fail_before_run: int = 0
    fail_after_run: int = 0
    hold_before_run: bool = False
    hold_after_run: bool = False


class PlainStandIn:
    """Runs every call and counts the runs by idempotency key, or else by request id."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._runs: collections.Counter[str] = collections.Counter()
        self._answers: dict[tuple[str, str], dict[str, object]] = {}
        self._running = 0
        self._max_running = 0
        self._faults = Faults()
        self._before_run = Gate()
        self._after_run = Gate()

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/runs", self.runs, methods=["GET"]),
            Route("/load", self.load, methods=["GET"]),
            Route("/faults", self.set_faults, methods=["POST"]),
            Route("/held", self.held, methods=["GET"]),
            Route("/outcomes/{key}", self.outcome, methods=["GET"]),
            Route("/{path:path}", self.call, methods=["POST"]),
        ]
        return Starlette(routes=routes)

    async def call(self, req: Request) -> Response:
        """Run a call."""
        body = orjson.loads(await req.body())
        if self._faults.fail_before_run > 0:
            self._faults.fail_before_run -= 1
            return Response(status_code=500)
        await self._before_run.pass_through()
        key = req.headers.get("idempotency-key") or req.headers.get("x-request-id", "")
        self._runs[key] += 1
        self._running += 1
        self._max_running = max(self._max_running, self._running)
        try:
            await asyncio.sleep(self._faults.delay_s)
        finally:
            self._running -= 1
        answer = {
            "path": "/" + req.path_params["path"],
            "echo": body,
            "run": self._runs[key],
            "service": self._name,
        }
        self._answers[req.headers.get("x-workspace", ""), key] = answer
        await self._after_run.pass_through()
        return self._faulty_answer() or JSONResponse(answer)

    def _faulty_answer(self) -> Response | None:
        if self._faults.cut_after_run > 0:
            self._faults.cut_after_run -= 1
            if self._faults.cut_chunked:
                return StreamingResponse(_cut_chunks(), media_type="application/json")
            return Response(b"{", headers={"content-length": "1000"})
        if self._faults.drop_before_answer > 0:
            self._faults.drop_before_answer -= 1
            return _NoAnswer()
        if self._faults.fail_after_run > 0:
            self._faults.fail_after_run -= 1
            return Response(status_code=500)
        return None

    async def held(self, req: Request) -> Response:
        """Answer once at least ``count`` calls are held, ``before`` or ``after`` the run."""
        gate = self._after_run if req.query_params["gate"] == "after" else self._before_run
        return JSONResponse({"held": await gate.wait_held(int(req.query_params["count"]))})

    async def runs(self, req: Request) -> Response:
        """Answer with the number of runs by key."""
        return JSONResponse(dict(self._runs))

    async def load(self, req: Request) -> Response:
        """Answer with the current load, and the highest number of concurrent runs so far."""
        load = {
            "slots": 16,
            "running": self._running,
            "waiting": 0,
            "most": self._max_running,
            "measured_s": time.time(),
        }
        return JSONResponse(load)

    async def outcome(self, req: Request) -> Response:
        """Answer with the recorded answer of a call, by workspace and key; 404 if there is none."""
        workspace = req.query_params.get("workspace", "")
        answer = self._answers.get((workspace, req.path_params["key"]))
        if answer is None:
            return Response(status_code=404)
        return JSONResponse(answer)

    async def set_faults(self, req: Request) -> Response:
        """Replace the faults in force."""
        self._faults = Faults(**orjson.loads(await req.body()))
        self._before_run.set_closed(self._faults.hold_before_run)
        self._after_run.set_closed(self._faults.hold_after_run)
        return JSONResponse(dataclasses.asdict(self._faults))


async def _cut_chunks() -> cabc.AsyncIterator[bytes]:
    yield b'{"path":'
    raise ConnectionAbortedError("answer truncated by cut_chunked")


class _NoAnswer(Response):
    """Closes the connection without an answer."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        raise ConnectionAbortedError("answer dropped by drop_before_answer")


def main() -> None:
    """Run the stand-in."""
    parser = _serve.base_parser("Stand-in for a plain service.")
    parser.add_argument("--name", default="plain")
    args = parser.parse_args()
    _serve.run(PlainStandIn(name=args.name).asgi(), port=args.port)


if __name__ == "__main__":
    main()
