"""An HTTP/1.1 client on a raw connection that exposes every byte of an answer."""

import asyncio
import contextlib
import dataclasses
import socket


def find_header(head: bytes, name: bytes) -> bytes | None:
    """Return the value of a header, given by its lower-case name, or None if it is missing."""
    for line in head.split(b"\r\n")[1:]:
        field, _, value = line.partition(b":")
        if field.lower() == name:
            return value.strip()
    return None


@dataclasses.dataclass(kw_only=True)
class Answer:
    """A complete answer as received; ``head`` is the status line and headers."""

    status: int
    head: bytes
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, given by its lower-case name, or None if it is missing."""
        return find_header(self.head, name)


class Caller:
    """A caller on one connection."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Write bytes to the connection; does not wait."""
        self.writer.write(data)

    def shut_down(self) -> None:
        """Close the connection at once, without a turn of the event loop."""
        self.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    async def read_answer(self) -> Answer:
        """Read one complete answer.

        :raises IncompleteReadError: if the connection ends before the answer does.
        """
        head = await self.reader.readuntil(b"\r\n\r\n")
        answer = Answer(status=int(head.split(b" ", 2)[1]), head=head, body=b"")
        if answer.header(b"transfer-encoding") is not None:
            answer.body = await self._chunks()
        else:
            answer.body = await self.reader.readexactly(int(answer.header(b"content-length") or 0))
        return answer

    async def request(self, data: bytes, *, limit_s: float = 5.0) -> Answer:
        """Send a request and read its answer.

        :raises TimeoutError: if the answer is not complete within ``limit_s``.
        """
        self.send(data)
        async with asyncio.timeout(limit_s):
            return await self.read_answer()

    async def read_to_end(self, *, limit_s: float = 3.0) -> bytes:
        """Return all bytes until the connection ends; empty if it is reset.

        :raises TimeoutError: if it has not ended within ``limit_s``.
        """
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), limit_s)
        return b""

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def _chunks(self) -> bytes:
        body = b""
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            data = await self.reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
