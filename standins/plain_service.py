"""Stand-in for a plain service, such as the vacancy service or the audit records service."""

import asyncio
import collections
import dataclasses
import time

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from standins import _serve


@dataclasses.dataclass(kw_only=True)
class Faults:
    """What goes wrong. ``cut_after_run`` answers are dropped after the run took effect."""

    delay_s: float = 0.0
    cut_after_run: int = 0
    fail_before_run: int = 0


class PlainStandIn:
    """Runs every call that it gets and counts the runs, by key where there is one."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._runs: collections.Counter[str] = collections.Counter()
        self._answers: dict[str, dict[str, object]] = {}
        self._running = 0
        self._faults = Faults()

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/runs", self.runs, methods=["GET"]),
            Route("/load", self.load, methods=["GET"]),
            Route("/faults", self.set_faults, methods=["POST"]),
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
        key = req.headers.get("idempotency-key") or req.headers.get("x-request-id", "")
        self._runs[key] += 1
        self._running += 1
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
        self._answers[key] = answer
        if self._faults.cut_after_run > 0:
            self._faults.cut_after_run -= 1
            return Response(b"{", headers={"content-length": "1000"})
        return JSONResponse(answer)

    async def runs(self, req: Request) -> Response:
        """Answer with the number of runs by key."""
        return JSONResponse(dict(self._runs))

    async def load(self, req: Request) -> Response:
        """Answer with the present load."""
        load = {"slots": 16, "running": self._running, "waiting": 0, "measured_s": time.time()}
        return JSONResponse(load)

    async def outcome(self, req: Request) -> Response:
        """Answer with the outcome of an earlier call by its key."""
        answer = self._answers.get(req.path_params["key"])
        if answer is None:
            return Response(status_code=404)
        return JSONResponse(answer)

    async def set_faults(self, req: Request) -> Response:
        """Set the faults in force."""
        self._faults = Faults(**orjson.loads(await req.body()))
        return JSONResponse(dataclasses.asdict(self._faults))


def main() -> None:
    """Run the stand-in."""
    parser = _serve.base_parser("Stand-in for a plain service.")
    parser.add_argument("--name", default="plain")
    args = parser.parse_args()
    _serve.run(PlainStandIn(name=args.name).asgi(), port=args.port)


if __name__ == "__main__":
    main()
