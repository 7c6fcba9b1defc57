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

KEEP_ALIVE_TIMEOUT_S = 120


class StandInServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers of its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield


def base_parser(description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the options that all stand-ins have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0, help="loopback port; 0 picks a free one")
    return parser


def run(app: Starlette, *, port: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT, then exit with status 0.

    The first line on standard output is ``{"port": N}``, with the port that was bound.
    """
    asyncio.run(_run(app, port))
    sys.exit(0)


async def _run(app: Starlette, port: int) -> None:
    # asyncio disables Nagle's algorithm only on sockets created with an explicit protocol.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(1024)
    cfg = uvicorn.Config(
        app,
        log_level="warning",
        access_log=False,
        lifespan="off",
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        timeout_graceful_shutdown=1,
    )
    server = StandInServer(cfg)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, lambda: setattr(server, "should_exit", True))
    print(orjson.dumps({"port": sock.getsockname()[1]}).decode(), flush=True)
    await server.serve(sockets=[sock])
