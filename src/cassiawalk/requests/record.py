"""The record of one accepted request on the host that executes it."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import enum
import functools

from cassiawalk.control.state import Kind
from cassiawalk.fingerprint import fingerprint
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.requests.answer import AnswerEvent
from cassiawalk.requests.answer_log import AnswerLog


class RequestState(enum.Enum):
    """The state of a request on this host."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    HANDED_OVER = "handed over"


FINAL_STATES = (RequestState.DONE, RequestState.FAILED, RequestState.HANDED_OVER)


@dataclasses.dataclass(kw_only=True, eq=False)
class RequestRecord:
    """A request and its answer so far.

    ``deadline_s`` is in wall-clock seconds. ``accepted_at``, ``first_text_at`` and
    ``finished_at`` are in monotonic seconds of this host. ``attempt`` counts the dispatches over
    all hosts; text of an older attempt is never added. ``fence`` increases with every offer of a
    handover: if two hosts run the request, the one with the higher fence continues.
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
    _detach_listeners: list[cabc.Callable[["RequestRecord"], None]] = dataclasses.field(
        default_factory=list
    )

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """Return the digest of service, kind and body, which repeats share under other ids."""
        return fingerprint((self.service.encode(), self.kind_name.encode(), self.body))

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return self.attempt > 0

    @property
    def is_final(self) -> bool:
        """Return whether no further event can be added on this host."""
        return self.answer.is_final

    @property
    def tokens(self) -> int:
        """Return the number of tokens streamed so far."""
        return self.answer.tokens

    @property
    def text(self) -> str:
        """Return the streamed answer so far."""
        return self.answer.text

    @property
    def events(self) -> list[AnswerEvent]:
        """Return the answer so far as events, with the text joined into one."""
        return self.answer.events

    def add(self, event: AnswerEvent) -> None:
        """Append an event and wake the readers; events after a final one are ignored."""
        self.answer.add(event)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_past(self, position: int) -> None:
        """Return once the answer extends past ``position`` or is final."""
        while self.answer.end <= position and not self.is_final:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            finally:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)

    def add_detach_listener(self, listener: cabc.Callable[["RequestRecord"], None]) -> None:
        """Call ``listener`` whenever the last reader detaches before the final event."""
        self._detach_listeners.append(listener)

    @contextlib.contextmanager
    def attached_reader(self) -> cabc.Iterator[None]:
        """Count a reader as attached for the duration of the context."""
        self.readers += 1
        try:
            yield
        finally:
            self.readers -= 1
            if self.readers == 0 and not self.is_final:
                for listener in self._detach_listeners:
                    listener(self)
