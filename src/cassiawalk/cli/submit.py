"""Sends one request and streams its answer, following a handover."""

import asyncio
import collections.abc as cabc
import sys

from cassiawalk.cli.client import FIRST_EVENT_ID
from cassiawalk.cli.client import CallerClient
from cassiawalk.cli.client import Reply
from cassiawalk.cli.client import ServerEvent
from cassiawalk.cli.errors import ExitStatus
from cassiawalk.cli.output import format_json

ATTACH_TRIES = 20
ATTACH_DELAY_S = 0.25
_Items = cabc.AsyncIterator[ServerEvent | Reply]


class Submission:
    """One request from the caller's side."""

    def __init__(self, *, client: CallerClient, progress: bool) -> None:
        self._client = client
        self._progress = progress
        self._request_id: str | None = None
        self._last_id = FIRST_EVENT_ID
        self._text = ""

    async def run(self, path: str, body: bytes, *, key: str | None) -> ExitStatus:
        """Send the request, print its answer and return the exit status."""
        status = await self._follow(self._client.submit(path, body, key=key))
        tries = 0
        while status is None and self._request_id is not None and tries < ATTACH_TRIES:
            tries += 1
            await asyncio.sleep(ATTACH_DELAY_S)
            self._note("following the request")
            items = self._client.attach(self._request_id, after=self._last_id)
            status = await self._follow(items)
        if status is None:
            self._note("the stream ended without an end event")
            return ExitStatus.UNKNOWN
        return status

    async def _follow(self, items: _Items) -> ExitStatus | None:
        """Print events; return None if the answer goes on elsewhere."""
        async for item in items:
            if isinstance(item, Reply):
                print(format_json(item.body), file=sys.stderr)
                unknown = item.body.get("ran") == "unknown"
                return ExitStatus.UNKNOWN if unknown else ExitStatus.REFUSED
            self._last_id = item.event_id
            ended = self._show(item)
            if ended is not None:
                return ended
        return None

    def _show(self, event: ServerEvent) -> ExitStatus | None:
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
                self._note("the recorded answer of an earlier request with this key")
            return None
        if event.name == "handover":
            self._request_id = str(event.data["location"]).rpartition("/")[2]
            self._note(f"handed over to host {event.data['host']}")
            return None
        if event.name == "end":
            if self._text:
                print()
            self._note(f"complete, {event.data['tokens']} tokens, request {self._request_id}")
            return ExitStatus.OK
        print(format_json(event.data), file=sys.stderr)
        return ExitStatus.UNKNOWN if event.data.get("ran") == "unknown" else ExitStatus.REFUSED

    def _rewind(self, keep: int) -> None:
        """Print the part of the answer that stands again; the rest was of a run given up."""
        self._text = self._text[:keep]
        print()
        self._note("a part of the answer was given up; it goes on from here")
        print(self._text, end="", flush=True)

    def _note(self, text: str) -> None:
        if self._progress:
            print(f"[{text}]", file=sys.stderr, flush=True)
