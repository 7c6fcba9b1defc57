"""Histories of concurrent callers against real processes, and the check of their answers."""

import asyncio
import collections.abc as cabc
import dataclasses
import itertools
import typing as t

import aiosonic
import orjson

from standins.answers import answer_length
from standins.answers import full_answer
from standins.fleet import Fleet
from tests.support import CALLER_TOKEN

CONNECTION_LOST: tuple[type[BaseException], ...] = (
    OSError,
    EOFError,
    ValueError,
    TimeoutError,
    aiosonic.exceptions.BaseTimeout,
    aiosonic.exceptions.ConnectionDisconnected,
    aiosonic.exceptions.HttpParsingError,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """A caller sent a request to a host."""

    caller: int
    host: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """A host refused a request or an attempt to attach."""

    caller: int
    host: str
    status: int
    body: dict[str, t.Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Moved:
    """A host reported that the request continues on another host."""

    caller: int
    host: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """A response ended without an end marker, a handover or an error."""

    caller: int
    host: str
    accepted: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """A caller has received its answer with the end marker."""

    caller: int
    prompt: str
    text: str
    tokens: int


Event = Sent | Refused | Moved | Cut | Answered


@dataclasses.dataclass(kw_only=True)
class History:
    """Events in the order in which the callers saw them."""

    max_tokens: int
    events: list[Event] = dataclasses.field(default_factory=list)

    def of(self, kind: type) -> list[t.Any]:
        """Return the events of one type."""
        return [event for event in self.events if isinstance(event, kind)]


def check_history(history: History, *, callers: int) -> None:
    """Check that each caller has the complete answer to its own prompt and no response was cut."""
    assert history.of(Cut) == []
    answers = history.of(Answered)
    assert sorted(answer.caller for answer in answers) == list(range(callers))
    for answer in answers:
        assert answer.text == full_answer(answer.prompt, history.max_tokens), answer
        assert answer.tokens == answer_length(answer.prompt, history.max_tokens)
    for refused in history.of(Refused):
        assert refused.body["ran"] == "not run", refused
        assert refused.body["code"] == 3005, refused


class Caller:
    """Reads a stream; after a handover, refusal or cut it goes to the balancer's next host."""

    def __init__(
        self, *, number: int, prompt: str, fleet: Fleet, balancer: cabc.Callable[[], str]
    ) -> None:
        self._number = number
        self._prompt = prompt
        self._fleet = fleet
        self._balancer = balancer
        self._text = ""
        self._last_id = "0"
        self._request_id: str | None = None

    async def run(self, history: History, *, path: str) -> None:
        """Send requests until the answer is complete."""
        for _ in range(200):
            host = self._balancer()
            history.events.append(Sent(caller=self._number, host=host))
            try:
                ended = await self._ask(history, host, path)
            except CONNECTION_LOST:
                accepted = self._request_id is not None
                history.events.append(Cut(caller=self._number, host=host, accepted=accepted))
                ended = False
            if ended:
                return
            await asyncio.sleep(0.02)

    async def _ask(self, history: History, host: str, path: str) -> bool:
        base = f"http://{self._fleet.hosts[host].caller}"
        headers = {"authorization": f"Bearer {CALLER_TOKEN}", "accept": "text/event-stream"}
        http = self._fleet.http
        if self._request_id is None:
            data = orjson.dumps({"prompt": self._prompt})
            res = await http.post(f"{base}/v1/services/{path}", data=data, headers=headers)
        else:
            headers["last-event-id"] = self._last_id
            res = await http.get(f"{base}/v1/requests/{self._request_id}", headers=headers)
        if res.status_code == 303:
            self._request_id = res.headers["x-request-id"]
            history.events.append(Moved(caller=self._number, host=host))
            return False
        if res.status_code != 200:
            body = orjson.loads(await res.content())
            status = res.status_code
            history.events.append(Refused(caller=self._number, host=host, status=status, body=body))
            return False
        self._request_id = res.headers["x-request-id"]
        return await self._read(history, host, res)

    async def _read(self, history: History, host: str, res: aiosonic.HttpResponse) -> bool:
        rest = b""
        async for chunk in res.read_chunks():
            *frames, rest = (rest + chunk).split(b"\n\n")
            for frame in frames:
                lines = frame.split(b"\n")
                self._last_id = lines[0].removeprefix(b"id: ").decode()
                name = lines[1].removeprefix(b"event: ")
                data = orjson.loads(lines[2].removeprefix(b"data: "))
                if name == b"token":
                    self._text += data["text"]
                elif name == b"rewind":
                    self._text = self._text[: data["keep"]]
                elif name == b"handover":
                    history.events.append(Moved(caller=self._number, host=host))
                    return False
                elif name == b"end":
                    history.events.append(
                        Answered(
                            caller=self._number,
                            prompt=self._prompt,
                            text=self._text,
                            tokens=data["tokens"],
                        )
                    )
                    return True
        history.events.append(Cut(caller=self._number, host=host, accepted=True))
        return False


def round_robin(names: cabc.Callable[[], list[str]]) -> cabc.Callable[[], str]:
    """Return a balancer over the names that are in use at the time of each call."""
    turns = itertools.count()

    def choose() -> str:
        available = names()
        return available[next(turns) % len(available)]

    return choose
