"""A caller behind the platform's balancer, for the demonstration."""

import asyncio
import dataclasses
import random
import time

import orjson

from cassiawalk.cli.client import FIRST_EVENT_ID
from cassiawalk.cli.client import CallerClient
from cassiawalk.cli.client import Reply
from cassiawalk.cli.client import ServerEvent
from cassiawalk.cli.errors import UnreachableError
from standins.fleet import Fleet

TRIES = 60
RETRY_DELAY_S = 0.25
SEED = 7


class Balancer:
    """Gives callers a live host's address, as the platform's balancer would."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._gone: set[str] = set()
        self._rng = random.Random(SEED)

    def leave(self, host: str) -> None:
        """Send nobody to a host any more."""
        self._gone.add(host)

    def address(self) -> str:
        """Return the caller address of some live host."""
        names = [name for name in self._fleet.hosts if name not in self._gone]
        return f"http://{self._fleet.hosts[self._rng.choice(names)].caller}"


@dataclasses.dataclass(kw_only=True)
class Answer:
    """What one caller got."""

    workspace: str
    path: str
    prompt: str
    key: str | None
    request_id: str | None = None
    text: str = ""
    last_id: str = FIRST_EVENT_ID
    complete: bool = False
    refused: bool = False
    ran: str = ""
    detail: str = ""
    reattached: int = 0
    seconds: float = 0.0

    @property
    def label(self) -> str:
        """Return a name for messages."""
        return f"{self.workspace} {self.path} {self.request_id or self.key}"

    @property
    def ended(self) -> bool:
        """Return whether a final event came."""
        return self.complete or self.refused


async def send_request(balancer: Balancer, workspace: str, path: str, *, number: int) -> Answer:
    """Send one request and follow it to its end, through other hosts where need be."""
    prompt = f"{path} for {workspace}, number {number}: " + "which beds are free " * 8
    key = f"demo-{number}" if path == "beds/hold" else None
    answer = Answer(workspace=workspace, path=path, prompt=prompt, key=key)
    begun = time.monotonic()
    for _ in range(TRIES):
        client = CallerClient(url=balancer.address(), token=f"{workspace}-token")
        try:
            await _follow(client, answer)
        except UnreachableError as exc:
            answer.detail = exc.format_message()
        finally:
            await client.aclose()
        if answer.ended:
            break
        answer.reattached += 1
        await asyncio.sleep(RETRY_DELAY_S)
    answer.seconds = time.monotonic() - begun
    return answer


async def _follow(client: CallerClient, answer: Answer) -> None:
    if answer.request_id is None:
        body = orjson.dumps({"prompt": answer.prompt})
        items = client.submit(answer.path, body, key=answer.key)
    else:
        items = client.attach(answer.request_id, after=answer.last_id)
    async for item in items:
        if isinstance(item, Reply):
            _note_reply(answer, item)
        else:
            _note_event(answer, item)


def _note_reply(answer: Answer, reply: Reply) -> None:
    """Note a refusal; one that did not run and names a time to come back is asked again."""
    answer.detail = str(reply.body.get("detail"))
    answer.ran = str(reply.body.get("ran"))
    again = answer.request_id is not None or reply.body.get("retry_after_s") is not None
    answer.refused = not again


def _note_event(answer: Answer, event: ServerEvent) -> None:
    answer.last_id = event.event_id
    answer.request_id = event.data.get("request_id", answer.request_id)
    if event.name == "token":
        answer.text += event.data["text"]
    elif event.name == "rewind":
        answer.text = answer.text[: int(event.data["keep"])]
    elif event.name == "handover":
        answer.request_id = str(event.data["location"]).rpartition("/")[2]
    elif event.name == "end":
        answer.complete = True
    elif event.name == "error":
        answer.refused = True
        answer.ran = str(event.data["ran"])
        answer.detail = str(event.data["detail"])
