"""Runs a stand-in as a process of its own."""

import argparse
import asyncio
import contextlib
import signal
import socket
import sys
import typing as t

import orjson
import uvicorn
from starlette.applications import Starlette

KEEP_ALIVE_S = 120


class StandInServer(uvicorn.Server):
    """A server that leaves signals to its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield


def base_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0, help="port on loopback; 0 for any")
    return parser


def run(app: Starlette, *, port: int) -> None:
    """Serve until SIGTERM; the first line on standard output is ``{"port": N}``."""
    asyncio.run(_run(app, port))
    sys.exit(0)


async def _run(app: Starlette, port: int) -> None:
    # asyncio turns Nagle's algorithm off only for sockets whose protocol is named.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(1024)
    cfg = uvicorn.Config(
        app,
        log_level="warning",
        access_log=False,
        lifespan="off",
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=1,
    )
    server = StandInServer(cfg)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, lambda: setattr(server, "should_exit", True))
    print(orjson.dumps({"port": sock.getsockname()[1]}).decode(), flush=True)
    await server.serve(sockets=[sock])
