"""Planned stops of host processes while callers open connections without a pause."""

import asyncio
import collections.abc as cabc
import pathlib
import signal

import pytest

from standins.fleet import Fleet
from standins.platform_fleet import ONCE
from standins.platform_fleet import SAFE
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import wait_until
from tests.support import CALLER_TOKEN

CALLERS = 24
LOAD_S = 1.0


class Callers:
    """Callers that send each request on a new connection until the host is gone.

    :param request: returns the bytes of a request with the given id.
    """

    def __init__(self, address: str, request: cabc.Callable[[str], bytes]) -> None:
        self._address = address
        self._request = request
        self.answered = 0
        self.cut: list[str] = []

    async def run(self, number: int) -> None:
        ip, _, port = self._address.rpartition(":")
        count = 0
        while True:
            count += 1
            request_id = f"q-{number}-{count}"
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                return
            try:
                writer.write(self._request(request_id))
                head = await reader.read(4096)
            except OSError as exc:
                head = b""
                self.cut.append(f"{request_id}: {exc!r}")
            else:
                if not head.startswith(b"HTTP/1.1 "):
                    self.cut.append(f"{request_id}: {head!r}")
            finally:
                writer.close()
            self.answered += bool(head)


@pytest.mark.parametrize("path", [SAFE, ONCE])
async def test_every_request_that_a_stopping_host_accepted_is_answered(
    path: str, tmp_path: pathlib.Path
) -> None:
    async with PlatformFleet(tmp_path) as platform:
        await platform.add_upstream()
        host = await platform.add_host()
        await wait_until(host.ready)
        callers = Callers(host.caller_address, lambda name: build_request(name, path))
        running = [asyncio.create_task(callers.run(number)) for number in range(CALLERS)]
        await asyncio.sleep(LOAD_S)
        host.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(host.process.wait(), 10)
        await asyncio.gather(*running)
    assert callers.cut == []
    assert callers.answered > CALLERS


async def test_every_request_that_a_stopping_daemon_accepted_is_answered(fleet: Fleet) -> None:
    """The same for the callers' own interface, whose answers may be refusals."""
    host = fleet.hosts["host-1"]
    body = b'{"home": 7}'
    head = (
        "POST /v1/services/beds/list HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
        f"Authorization: Bearer {CALLER_TOKEN}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    callers = Callers(host.caller, lambda _: head.encode() + body)
    running = [asyncio.create_task(callers.run(number)) for number in range(CALLERS)]
    await asyncio.sleep(LOAD_S)
    host.process.signal(signal.SIGTERM)
    assert await host.process.stop() == 0
    await asyncio.gather(*running)
    assert callers.cut == []
    assert callers.answered > CALLERS
