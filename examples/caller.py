"""A caller that connects through a load balancer, for the demonstration."""

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

MAX_CONNECTIONS = 60
RETRY_DELAY_S = 0.25
SEED = 7


class Balancer:
    """Returns the address of a random live host, in place of the platform's load balancer."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._removed: set[str] = set()
        self._rng = random.Random(SEED)

    def remove_host(self, host: str) -> None:
        """Stop returning a host's address."""
        self._removed.add(host)

    def address(self) -> str:
        """Return the base URL for callers of a random live host."""
        names = [name for name in self._fleet.hosts if name not in self._removed]
        return f"http://{self._fleet.hosts[self._rng.choice(names)].caller}"


@dataclasses.dataclass(kw_only=True)
class Answer:
    """The answer to one request, as far as the caller has received it.

    :param key: the idempotency key, or None if the request has none.
    :param last_id: the id of the last event received.
    :param ran: whether the request was run, as a refusal or error states it.
    :param reattachments: how often the caller connected again.
    :param seconds: the time from the request to the end of the answer.
    """

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
    reattachments: int = 0
    seconds: float = 0.0

    @property
    def label(self) -> str:
        """Return a text that identifies the request in messages."""
        return f"{self.workspace} {self.path} {self.request_id or self.key}"

    @property
    def is_final(self) -> bool:
        """Return whether the caller received a whole answer or a final refusal."""
        return self.complete or self.refused


async def send_request(balancer: Balancer, workspace: str, path: str, *, number: int) -> Answer:
    """Send one request and follow it to its end, through other hosts if connections fail."""
    prompt = f"{path} for {workspace}, number {number}: " + "which beds are free " * 8
    key = f"demo-{number}" if path == "beds/hold" else None
    answer = Answer(workspace=workspace, path=path, prompt=prompt, key=key)
    began = time.monotonic()
    for _ in range(MAX_CONNECTIONS):
        client = CallerClient(url=balancer.address(), token=f"{workspace}-token")
        try:
            await _follow(client, answer)
        except UnreachableError as exc:
            answer.detail = exc.format_message()
        finally:
            await client.aclose()
        if answer.is_final:
            break
        answer.reattachments += 1
        await asyncio.sleep(RETRY_DELAY_S)
    answer.seconds = time.monotonic() - began
    return answer


async def _follow(client: CallerClient, answer: Answer) -> None:
    if answer.request_id is None:
        body = orjson.dumps({"prompt": answer.prompt})
        items = client.submit(answer.path, body, key=answer.key)
    else:
        items = client.attach(answer.request_id, after=answer.last_id)
    async for item in items:
        if isinstance(item, Reply):
            _apply_reply(answer, item)
        else:
            _apply_event(answer, item)


def _apply_reply(answer: Answer, reply: Reply) -> None:
    """Record a refusal.

    The caller connects again if the request has an id or if the refusal states a retry delay.
    """
    answer.detail = str(reply.body.get("detail"))
    answer.ran = str(reply.body.get("ran"))
    retry = answer.request_id is not None or reply.body.get("retry_after_s") is not None
    answer.refused = not retry


def _apply_event(answer: Answer, event: ServerEvent) -> None:
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
