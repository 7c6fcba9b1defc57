"""A stand-in of a worker, as a process of its own, so that a crash is the end of a process.

It registers itself in the store every HEARTBEAT_S, and answers as PROTOCOL.md says. What a request
costs stands in its body, which only this stand-in reads:

- ``work=SECONDS``: how long the answer takes, or how long it is until each event of a stream.
- ``events=N``: the number of events of a stream.
- ``crash=NAME``: the worker crashes while it runs the request, ``work`` after its beginning. It
  runs it to that end also if the connection is closed.

Each request that it begins to run is written to its record as one JSON line.
"""

import argparse
import asyncio
import contextlib
import json
import os
import struct
import time
import urllib.parse

HEARTBEAT_S = 1.2
SLOTS = 64


def parse_args():
    """Return the command's arguments."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--unframed", action="store_true", help="answers end with the connection")
    return parser.parse_args()


class Worker:
    """A worker, which lives as long as its process."""

    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.record = open(args.record, "a", buffering=1)  # noqa: SIM115

    def note(self, what, **fields):
        """Write a line to the record."""
        line = {"at": time.monotonic(), "worker": self.args.id, "born": self.born, "what": what}
        self.record.write(json.dumps({**line, **fields}) + "\n")

    async def run(self):
        """Register the worker, and serve until the process ends."""
        ip, _, port = self.args.address.rpartition(":")
        server = await asyncio.start_server(self.serve, ip, int(port), backlog=512)
        self.note("started")
        asyncio.create_task(self.register())
        async with server:
            await server.serve_forever()

    async def register(self):
        """Write the worker's entry again and again."""
        while True:
            self.sequence += 1
            entry = {
                "service": self.args.service,
                "address": self.args.address,
                "zone": self.args.zone,
                "version": "1",
                "slots": SLOTS,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            key = self.args.id.encode()
            record = bytes((len(key),)) + key + json.dumps(entry).encode()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await append(self.args.store, "keyed.servers", record)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        """Answer one request; return whether the connection is kept."""
        head = await reader.readuntil(b"\r\n\r\n")
        method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
        headers = {}
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            headers[name.lower().decode()] = value.strip().decode()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if target == "/health":
            said = f"X-Instance-Id: {self.args.id}\r\nContent-Length: 0\r\n\r\n"
            writer.write(b"HTTP/1.1 200 OK\r\n" + said.encode())
            await writer.drain()
            return True
        request_id = headers.get("x-request-id", "")
        echoed = f"X-Request-Id: {request_id}\r\n"
        if headers.get("x-expect-instance") not in (None, self.args.id):
            writer.write(f"HTTP/1.1 421 X\r\n{echoed}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        asked = dict(urllib.parse.parse_qsl(body.decode("latin-1")))
        last = int(headers.get("last-event-id", "0"))
        self.note("runs", id=request_id, body=body.decode("latin-1"), after=last)
        if "crash" in asked and not int(asked.get("at", "0")):
            await asyncio.sleep(float(asked.get("work", "0")))
            self.note("crashes", id=request_id, body=body.decode("latin-1"))
            os._exit(1)
        self.running += 1
        try:
            load = f"X-Server-Load: {self.running},0,{SLOTS}\r\n"
            seal = f"{echoed}X-Response-Seal: {self.args.id}.{request_id}\r\n{load}"
            if "/stream/" in target:
                return await self.stream(writer, seal, asked, last, body.decode())
            await asyncio.sleep(float(asked.get("work", "0")))
            answer = b"done " + request_id.encode()
            said = f"HTTP/1.1 200 OK\r\n{seal}Content-Length: {len(answer)}\r\n\r\n"
            writer.write(said.encode() + answer)
            await writer.drain()
            return True
        finally:
            self.running -= 1

    async def stream(self, writer, seal, asked, last, body):
        """Send the events after the last one that the caller has."""
        unframed = self.args.unframed
        framing = "Connection: close\r\n" if unframed else "Transfer-Encoding: chunked\r\n"
        said = f"HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\n{framing}\r\n"
        writer.write(said.encode())
        for number in range(last + 1, int(asked["events"]) + 1):
            if "crash" in asked and number - last > int(asked["at"]):
                self.note("crashes", body=body)
                os._exit(1)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(event if unframed else b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(float(asked["work"]))
        if not unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("whole", after=last)
        return not unframed


async def append(address, topic, record):
    """Append one record to a topic of the store."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        body = struct.pack(">I", len(record)) + record
        target = f"/cassiawalk/log-append?topic={topic}&part=0"
        head = f"POST {target} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.close()


if __name__ == "__main__":
    asyncio.run(Worker(parse_args()).run())
