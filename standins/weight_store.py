"""Stand-in for the rate-limited store of model weights."""

import asyncio
import collections.abc as cabc

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.responses import StreamingResponse
from starlette.routing import Route

from standins import _serve

CHUNK_BYTES = 64 * 1024


class WeightStandIn:
    """Serves NUL bytes as weights, at a rate limit that all readers share."""

    def __init__(self, *, bytes_per_s: float, size_bytes: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._size_bytes = size_bytes
        self._rate_lock = asyncio.Lock()

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(routes=[Route("/weights/{model}", self.read, methods=["GET"])])

    async def read(self, req: Request) -> Response:
        """Stream the weights of a model."""

        async def chunks() -> cabc.AsyncIterator[bytes]:
            remaining = self._size_bytes
            while remaining > 0:
                size = min(CHUNK_BYTES, remaining)
                async with self._rate_lock:
                    await asyncio.sleep(size / self._bytes_per_s)
                yield b"\0" * size
                remaining -= size

        return StreamingResponse(chunks(), media_type="application/octet-stream")


def main() -> None:
    """Run the stand-in."""
    parser = _serve.base_parser("Stand-in for the weight store.")
    parser.add_argument("--bytes-per-s", type=float, default=50e6)
    parser.add_argument("--size-bytes", type=int, default=10_000_000)
    args = parser.parse_args()
    standin = WeightStandIn(bytes_per_s=args.bytes_per_s, size_bytes=args.size_bytes)
    _serve.run(standin.asgi(), port=args.port)


if __name__ == "__main__":
    main()
