"""The record of one accepted request on the host that runs it."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import enum

from cassiawalk.control.state import Kind
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.requests.answer import AnswerEvent
from cassiawalk.requests.answer_log import AnswerLog


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
    is never added. ``fence`` counts handovers: of two hosts that run the request, the one with
    the higher number goes on.
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
    fence: int = 0
    state: RequestState = RequestState.WAITING
    upstream: UpstreamId | None = None
    answer: AnswerLog = dataclasses.field(default_factory=AnswerLog)
    first_text_at: float | None = None
    finished_at: float | None = None
    retries: int = 0
    readers: int = 0
    _waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)
    _leave_listeners: list[cabc.Callable[["RequestRecord"], None]] = dataclasses.field(
        default_factory=list
    )

    @property
    def is_final(self) -> bool:
        """Return whether the last event is in place."""
        return self.answer.is_final

    @property
    def tokens(self) -> int:
        """Return how many tokens the streamed answer has so far."""
        return self.answer.tokens

    @property
    def text(self) -> str:
        """Return the streamed answer so far."""
        return self.answer.text

    @property
    def events(self) -> list[AnswerEvent]:
        """Return the answer so far as events, its text joined."""
        return self.answer.events

    def add(self, event: AnswerEvent) -> None:
        """Append an event and wake its readers; nothing follows a final event."""
        self.answer.add(event)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_past(self, position: int) -> None:
        """Return once there is more than what a reader at ``position`` has."""
        while self.answer.end <= position and not self.is_final:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            finally:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)

    def add_leave_listener(self, listener: cabc.Callable[["RequestRecord"], None]) -> None:
        """Call ``listener`` whenever the last reader leaves before the final event."""
        self._leave_listeners.append(listener)

    @contextlib.contextmanager
    def attached_reader(self) -> cabc.Iterator[None]:
        """Count a reader for as long as the context lasts."""
        self.readers += 1
        try:
            yield
        finally:
            self.readers -= 1
            if self.readers == 0 and not self.is_final:
                for listener in self._leave_listeners:
                    listener(self)
