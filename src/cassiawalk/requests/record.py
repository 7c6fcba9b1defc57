"""The record of one accepted request on the host that runs it."""

import asyncio
import dataclasses
import enum

from cassiawalk.control.state import Kind
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.requests.answer import FINAL_EVENTS
from cassiawalk.requests.answer import AnswerEvent
from cassiawalk.requests.answer import Text


class RequestState(enum.Enum):
    """Where a request is on its way."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    HANDED_OVER = "handed over"


FINAL_STATES = (RequestState.DONE, RequestState.FAILED, RequestState.HANDED_OVER)


@dataclasses.dataclass(kw_only=True, eq=False)
class RequestRecord:
    """A request and its answer so far.

    ``deadline_s`` is in wall-clock seconds. ``accepted_at`` and ``first_text_at`` are in monotonic
    seconds of this host. ``attempt`` counts dispatches over all hosts; text of an older attempt
    is never added.
    """

    request_id: RequestId
    workspace: WorkspaceName
    service: ServiceName
    kind_name: KindName
    kind: Kind
    pool: PoolName
    body: bytes
    prompt: str
    deadline_s: float
    accepted_at: float
    share: float = 1.0
    key: str | None = None
    attempt: int = 0
    state: RequestState = RequestState.WAITING
    upstream: UpstreamId | None = None
    events: list[AnswerEvent] = dataclasses.field(default_factory=list)
    tokens: int = 0
    first_text_at: float | None = None
    finished_at: float | None = None
    retries: int = 0
    _waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)

    @property
    def is_final(self) -> bool:
        """Return whether the last event is in place."""
        return bool(self.events) and isinstance(self.events[-1], FINAL_EVENTS)

    @property
    def text(self) -> str:
        """Return the streamed answer so far."""
        return "".join(event.text for event in self.events if isinstance(event, Text))

    def add(self, event: AnswerEvent) -> None:
        """Append an event and wake its readers; nothing follows a final event."""
        if self.is_final:
            return
        if isinstance(event, Text):
            self.tokens += event.count
        self.events.append(event)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_beyond(self, count: int) -> None:
        """Return once there are more than ``count`` events."""
        while len(self.events) <= count:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
