"""Servers for contract tests: a stand-in in this process, and one that sends scripted bytes."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import socket

import uvicorn
from starlette.applications import Starlette

from standins._serve import StandInServer


@dataclasses.dataclass(kw_only=True)
class Script:
    """The bytes of an answer; ``hold`` keeps the connection open after they are sent."""

    parts: list[bytes]
    hold: bool = False


@dataclasses.dataclass(kw_only=True)
class ScriptedServer:
    """The address of a listening server and the number of requests that it has read."""

    address: str = ""
    requests: int = 0


@contextlib.asynccontextmanager
async def scripted(script: Script) -> cabc.AsyncIterator[ScriptedServer]:
    """Answer each request with the script's bytes, then close its connection."""
    state = ScriptedServer()
    released = asyncio.Event()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            lengths = [
                int(line.split(b":")[1])
                for line in head.lower().split(b"\r\n")
                if line.startswith(b"content-length:")
            ]
            await reader.readexactly(sum(lengths))
            state.requests += 1
            for part in script.parts:
                writer.write(part)
                await writer.drain()
            if script.hold:
                await released.wait()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    state.address = f"127.0.0.1:{port}"
    try:
        yield state
    finally:
        released.set()
        server.close()
        await server.wait_closed()


@contextlib.asynccontextmanager
async def served(app: Starlette) -> cabc.AsyncIterator[str]:
    """Serve an application on loopback and yield its address."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(128)
    cfg = uvicorn.Config(app, log_level="error", lifespan="off", timeout_graceful_shutdown=1)
    server = StandInServer(cfg)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    try:
        yield f"127.0.0.1:{sock.getsockname()[1]}"
    finally:
        server.should_exit = True
        await task


def refused_address() -> str:
    """Return a loopback address at which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"
