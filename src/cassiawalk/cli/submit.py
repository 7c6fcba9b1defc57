"""Sends a request and prints its answer as it streams, also across handovers."""

import asyncio
import collections.abc as cabc
import sys

from cassiawalk.cli.client import FIRST_EVENT_ID
from cassiawalk.cli.client import CallerClient
from cassiawalk.cli.client import Reply
from cassiawalk.cli.client import ServerEvent
from cassiawalk.cli.errors import ExitStatus
from cassiawalk.cli.output import format_json

MAX_ATTACH_ATTEMPTS = 20
ATTACH_DELAY_S = 0.25
_EventStream = cabc.AsyncIterator[ServerEvent | Reply]


class Submission:
    """A request that is sent, read to its end and printed."""

    def __init__(self, *, client: CallerClient, progress: bool) -> None:
        self._client = client
        self._shows_progress = progress
        self._request_id: str | None = None
        self._last_event_id = FIRST_EVENT_ID
        self._text = ""

    async def run(self, path: str, body: bytes, *, key: str | None) -> ExitStatus:
        """Send the request, print its answer and return the exit status.

        :param path: service and request kind, as in ``SERVICE/KIND``.
        :param key: value of the ``Idempotency-Key`` header.
        :raises UnreachableError: if the host did not answer.
        """
        status = await self._print_events(self._client.submit(path, body, key=key))
        attempts = 0
        while status is None and self._request_id is not None and attempts < MAX_ATTACH_ATTEMPTS:
            attempts += 1
            await asyncio.sleep(ATTACH_DELAY_S)
            self._print_progress("attaching to the request")
            events = self._client.attach(self._request_id, after=self._last_event_id)
            status = await self._print_events(events)
        if status is None:
            self._print_progress("the stream ended without an end event")
            return ExitStatus.UNKNOWN
        return status

    async def _print_events(self, events: _EventStream) -> ExitStatus | None:
        """Print the events of one stream and return the exit status.

        Returns None if the stream ended before the answer did: the connection was lost, or the
        request was handed over.
        """
        async for item in events:
            if isinstance(item, Reply):
                print(format_json(item.body), file=sys.stderr)
                unknown = item.body.get("ran") == "unknown"
                return ExitStatus.UNKNOWN if unknown else ExitStatus.REFUSED
            self._last_event_id = item.event_id
            status = self._print_event(item)
            if status is not None:
                return status
        return None

    def _print_event(self, event: ServerEvent) -> ExitStatus | None:
        self._request_id = event.data.get("request_id", self._request_id)
        if event.name == "accepted":
            return None
        if event.name == "token":
            self._text += event.data["text"]
            print(event.data["text"], end="", flush=True)
            return None
        if event.name == "rewind":
            self._rewind(int(event.data["keep"]))
            return None
        if event.name == "result":
            print(format_json(event.data["answer"]))
            if event.data["recorded"]:
                self._print_progress("recorded answer of an earlier request with this key")
            return None
        if event.name == "handover":
            self._request_id = str(event.data["location"]).rpartition("/")[2]
            self._print_progress(f"handed over to host {event.data['host']}")
            return None
        if event.name == "end":
            if self._text:
                print()
            self._print_progress(
                f"complete, {event.data['tokens']} tokens, request {self._request_id}"
            )
            return ExitStatus.OK
        print(format_json(event.data), file=sys.stderr)
        return ExitStatus.UNKNOWN if event.data.get("ran") == "unknown" else ExitStatus.REFUSED

    def _rewind(self, keep: int) -> None:
        """Print the valid part of the answer again; the rest came from an abandoned run."""
        self._text = self._text[:keep]
        print()
        self._print_progress("the end of the answer was withdrawn; printing its valid start again")
        print(self._text, end="", flush=True)

    def _print_progress(self, text: str) -> None:
        if self._shows_progress:
            print(f"[{text}]", file=sys.stderr, flush=True)
