"""Stand-in for a model engine: generates predictable text at a fixed speed."""

import asyncio
import collections.abc as cabc
import dataclasses
import os
import time
import typing as t
import uuid

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.responses import StreamingResponse
from starlette.routing import Route

from standins import _serve
from standins.answers import answer_length
from standins.answers import answer_token
from standins.prefix_cache import PrefixCache
from standins.prefix_cache import prompt_blocks

SSE_TYPE = "text/event-stream"
CRASH_STATUS = 70


@dataclasses.dataclass(kw_only=True)
class Faults:
    """The injected faults.

    ``cut_after_tokens`` breaks each stream off after so many tokens. ``crash_on`` ends the process
    when a prompt contains this text. ``leaving`` refuses new completions (503, ``x-leaving``).
    ``frozen`` stops token generation until it is reset. ``slow_factor`` multiplies the time of
    prefill and of each token. ``drop_cache_events`` leaves gaps in the event sequence.
    ``refuse_kv`` refuses KV exports and imports; ``export_delay_s`` delays each export by so many
    seconds and ``cut_export`` breaks it off in the middle.
    """

    cut_after_tokens: int = 0
    crash_on: str = ""
    leaving: bool = False
    frozen: bool = False
    slow_factor: float = 1.0
    drop_cache_events: bool = False
    refuse_kv: bool = False
    export_delay_s: float = 0.0
    cut_export: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """The speed and size of the engine; times in seconds.

    ``prefill_token_s`` is the time per prompt token that is not cached, ``token_s`` per generated
    token. Load reports are ``report_lag_s`` old when they are sent. ``checks_fencing`` refuses
    orders with an outdated fencing token.
    """

    slots: int = 8
    token_s: float = 0.01
    prefill_token_s: float = 0.0002
    cache_blocks: int = 4096
    report_lag_s: float = 0.5
    checks_fencing: bool = True
    kv_bytes_per_token: int = 256


@dataclasses.dataclass(kw_only=True)
class Generation:
    """One completion in the engine.

    ``resume_tokens`` is how many tokens the caller has already; they are not generated again.
    """

    request_id: str
    prompt: str
    max_tokens: int
    resume_tokens: int
    priority: int
    kv_handle: str | None
    done_tokens: int = 0
    cancelled: bool = False


class EngineStandIn:
    """A simulated engine: continuous batching in slots, prefix cache, orders and KV transfer."""

    def __init__(self, *, spec: EngineSpec) -> None:
        self._spec = spec
        self.faults = Faults()
        self._cache = PrefixCache(limit_blocks=spec.cache_blocks)
        self._generations: dict[str, Generation] = {}
        self._queue: asyncio.PriorityQueue[tuple[int, int, asyncio.Future[None]]] = (
            asyncio.PriorityQueue()
        )
        self._running = 0
        self._enqueued = 0
        self._kv: dict[str, int] = {}
        self._events: list[dict[str, t.Any]] = []
        self._event_added = asyncio.Event()
        self._seq = 0
        self._fence = 0
        self._orders: list[dict[str, t.Any]] = []
        self._runs: list[str] = []

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/v1/completions", self.complete, methods=["POST"]),
            Route("/v1/completions/{request_id:path}/cancel", self.cancel, methods=["POST"]),
            Route("/events", self.events, methods=["GET"]),
            Route("/kv/import", self.import_kv, methods=["POST"]),
            Route("/kv/{request_id:path}/export", self.export_kv, methods=["POST"]),
            Route("/orders", self.order, methods=["POST"]),
            Route("/orders", self.list_orders, methods=["GET"]),
            Route("/runs", self.runs, methods=["GET"]),
            Route("/faults", self.set_faults, methods=["POST"]),
        ]
        return Starlette(routes=routes)

    async def complete(self, req: Request) -> Response:
        """Generate a completion as server-sent events."""
        body = orjson.loads(await req.body())
        if self.faults.leaving:
            return Response(status_code=503, headers={"x-leaving": "1", "Retry-After": "1"})
        if self.faults.crash_on and self.faults.crash_on in body["prompt"]:
            os._exit(CRASH_STATUS)
        generation = Generation(
            request_id=body["request_id"],
            prompt=body["prompt"],
            max_tokens=int(body["max_tokens"]),
            resume_tokens=int(body.get("resume_tokens") or 0),
            priority=int(body.get("priority") or 0),
            kv_handle=body.get("kv_handle"),
        )
        self._runs.append(generation.request_id)
        return StreamingResponse(self._generate(generation), media_type=SSE_TYPE)

    async def cancel(self, req: Request) -> Response:
        """Cancel a completion; 404 if it is not queued or running."""
        generation = self._generations.get(req.path_params["request_id"])
        if generation is None:
            return Response(status_code=404)
        generation.cancelled = True
        return Response(status_code=204)

    async def events(self, req: Request) -> Response:
        """Stream cache events and delayed load reports as server-sent events."""
        return StreamingResponse(self._event_stream(), media_type=SSE_TYPE)

    async def export_kv(self, req: Request) -> Response:
        """Answer with the KV cache of a queued or running completion.

        It consists of a JSON line with the number of tokens, and the data.
        """
        generation = self._find(req.path_params["request_id"])
        if generation is None or self.faults.refuse_kv:
            return Response(status_code=404)
        tokens = len(generation.prompt.split()) + generation.done_tokens
        head = orjson.dumps({"tokens": tokens}) + b"\n"
        blob = head + b"\0" * (tokens * self._spec.kv_bytes_per_token)
        await asyncio.sleep(self.faults.export_delay_s)
        if self.faults.cut_export:
            return Response(blob[: len(blob) // 2], headers={"content-length": str(len(blob))})
        return Response(blob)

    async def import_kv(self, req: Request) -> Response:
        """Store a KV cache; answer with the handle by which a later completion uses it."""
        blob = await req.body()
        if self.faults.refuse_kv:
            return Response(status_code=507)
        tokens = self._kv_tokens(blob)
        if tokens is None:
            return Response(status_code=422)
        handle = uuid.uuid4().hex
        self._kv[handle] = tokens
        return JSONResponse({"handle": handle}, status_code=201)

    async def order(self, req: Request) -> Response:
        """Accept an order; 409 if the engine checks fencing tokens and this one is outdated."""
        body = orjson.loads(await req.body())
        if self._spec.checks_fencing and body["fence"] < self._fence:
            return Response(status_code=409)
        self._fence = max(self._fence, body["fence"])
        self._orders.append(body)
        return JSONResponse({"fence": self._fence})

    async def list_orders(self, req: Request) -> Response:
        """Answer with all accepted orders and the highest fencing token."""
        return JSONResponse({"orders": self._orders, "fence": self._fence})

    async def runs(self, req: Request) -> Response:
        """Answer with the request ids of all accepted completions."""
        return JSONResponse({"runs": self._runs})

    async def set_faults(self, req: Request) -> Response:
        """Replace the faults in force."""
        self.faults = Faults(**orjson.loads(await req.body()))
        return JSONResponse(dataclasses.asdict(self.faults))

    @property
    def running(self) -> int:
        """Return the number of occupied slots."""
        return self._running

    def _kv_tokens(self, blob: bytes) -> int | None:
        """Return the number of tokens in a KV cache; None if it is malformed or truncated."""
        head, _, data = blob.partition(b"\n")
        try:
            tokens = int(orjson.loads(head)["tokens"])
        except (ValueError, KeyError, TypeError):
            return None
        return tokens if len(data) == tokens * self._spec.kv_bytes_per_token else None

    def _find(self, request_id: str) -> Generation | None:
        for name, generation in self._generations.items():
            if name == request_id or name.rpartition("/")[0] == request_id:
                return generation
        return None

    async def _generate(self, generation: Generation) -> cabc.AsyncIterator[bytes]:
        self._generations[generation.request_id] = generation
        await self._take_slot(generation.priority)
        try:
            computed, cached = await self._prefill(generation)
            total = answer_length(generation.prompt, generation.max_tokens)
            for index in range(generation.resume_tokens, total):
                await self._next_token()
                if generation.cancelled:
                    return
                generation.done_tokens = index + 1
                yield _token_event(answer_token(generation.prompt, index))
                sent = index + 1 - generation.resume_tokens
                if 0 < self.faults.cut_after_tokens <= sent:
                    raise ConnectionResetError("stream broken off by cut_after_tokens")
            yield _usage_event(total, computed, cached)
            yield b"data: [DONE]\n\n"
        finally:
            self._generations.pop(generation.request_id, None)
            self._free_slot()

    async def _take_slot(self, priority: int) -> None:
        if self._running < self._spec.slots:
            self._running += 1
            return
        slot_granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._enqueued += 1
        self._queue.put_nowait((priority, self._enqueued, slot_granted))
        await slot_granted

    def _free_slot(self) -> None:
        while not self._queue.empty():
            slot_granted = self._queue.get_nowait()[2]
            if not slot_granted.done():
                slot_granted.set_result(None)
                return
        self._running -= 1

    async def _prefill(self, generation: Generation) -> tuple[int, int]:
        """Compute the prompt tokens that are not cached.

        :return: the computed and the cached tokens.
        """
        needed = len(generation.prompt.split()) + generation.resume_tokens
        blocks = prompt_blocks(generation.prompt)
        cached = self._cache.cached_tokens(blocks)
        if generation.kv_handle is not None:
            cached = max(cached, min(needed, self._kv.pop(generation.kv_handle, 0)))
        computed = needed - cached
        await asyncio.sleep(computed * self._spec.prefill_token_s * self.faults.slow_factor)
        added, removed = self._cache.store(blocks)
        self._add_cache_event("stored", added)
        self._add_cache_event("removed", removed)
        return computed, cached

    async def _next_token(self) -> None:
        await asyncio.sleep(self._spec.token_s * self.faults.slow_factor)
        while self.faults.frozen:
            await asyncio.sleep(self._spec.token_s)

    def _add_cache_event(self, kind: str, blocks: list[str]) -> None:
        if not blocks:
            return
        self._seq += 1
        if self.faults.drop_cache_events:
            return
        self._events.append({"type": kind, "seq": self._seq, "blocks": blocks})
        added, self._event_added = self._event_added, asyncio.Event()
        added.set()

    async def _event_stream(self) -> cabc.AsyncIterator[bytes]:
        next_index = len(self._events)
        while True:
            report = self._report()
            await asyncio.sleep(self._spec.report_lag_s)
            yield _event(report)
            while next_index < len(self._events):
                yield _event(self._events[next_index])
                next_index += 1

    def _report(self) -> dict[str, t.Any]:
        return {
            "type": "load",
            "slots": self._spec.slots,
            "running": self._running,
            "waiting": self._queue.qsize(),
            "measured_s": time.time(),
            "token_interval_s": self._spec.token_s * self.faults.slow_factor,
        }


def _event(data: dict[str, t.Any]) -> bytes:
    return b"data: " + orjson.dumps(data) + b"\n\n"


def _token_event(text: str) -> bytes:
    return _event({"choices": [{"index": 0, "text": text, "finish_reason": None}]})


def _usage_event(total: int, computed: int, cached: int) -> bytes:
    usage = {"completion_tokens": total, "computed_tokens": computed, "cached_tokens": cached}
    return _event({"choices": [{"index": 0, "text": "", "finish_reason": "stop"}], "usage": usage})


def main() -> None:
    """Run the stand-in."""
    parser = _serve.base_parser("Stand-in for a model engine.")
    defaults = EngineSpec()
    parser.add_argument("--slots", type=int, default=defaults.slots)
    parser.add_argument("--token-s", type=float, default=defaults.token_s)
    parser.add_argument("--prefill-token-s", type=float, default=defaults.prefill_token_s)
    parser.add_argument("--cache-blocks", type=int, default=defaults.cache_blocks)
    parser.add_argument("--report-lag-s", type=float, default=defaults.report_lag_s)
    parser.add_argument("--ignores-fencing", action="store_true")
    args = parser.parse_args()
    spec = EngineSpec(
        slots=args.slots,
        token_s=args.token_s,
        prefill_token_s=args.prefill_token_s,
        cache_blocks=args.cache_blocks,
        report_lag_s=args.report_lag_s,
        checks_fencing=not args.ignores_fencing,
    )
    _serve.run(EngineStandIn(spec=spec).asgi(), port=args.port)


if __name__ == "__main__":
    main()
