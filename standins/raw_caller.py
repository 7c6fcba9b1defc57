"""A caller on a raw connection, which sees every byte of an answer."""

import asyncio
import contextlib
import dataclasses


def find_header(head: bytes, name: bytes) -> bytes | None:
    """Return the value of a header by its lower-case name, or None."""
    for line in head.split(b"\r\n")[1:]:
        found, _, value = line.partition(b":")
        if found.lower() == name:
            return value.strip()
    return None


@dataclasses.dataclass(kw_only=True)
class Answer:
    """A whole answer as a caller got it."""

    status: int
    head: bytes
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value."""
        return find_header(self.head, name)


class Caller:
    """A caller's raw connection."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    async def read_answer(self) -> Answer:
        """Read one whole answer.

        :raises IncompleteReadError: if the connection ends before its end.
        """
        head = await self.reader.readuntil(b"\r\n\r\n")
        found = Answer(status=int(head.split(b" ", 2)[1]), head=head, body=b"")
        if found.header(b"transfer-encoding") is not None:
            found.body = await self._chunks()
        else:
            found.body = await self.reader.readexactly(int(found.header(b"content-length") or 0))
        return found

    async def request(self, data: bytes, *, limit_s: float = 5.0) -> Answer:
        """Send a request and read its answer."""
        self.send(data)
        async with asyncio.timeout(limit_s):
            return await self.read_answer()

    async def read_to_end(self, *, limit_s: float = 3.0) -> bytes:
        """Return what comes until the connection ends."""
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
