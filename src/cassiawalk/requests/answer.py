"""The events that make up an answer."""

import dataclasses

from cassiawalk.ids import HostId
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.wire import Registry

answers = Registry()


@answers.register("text")
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Text:
    """The next tokens of a streamed answer."""

    count: int
    text: str


@answers.register("result")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """The complete answer of a plain service; ``recorded`` if it is that of an earlier call."""

    status: int
    body: bytes
    recorded: bool = False


@answers.register("ended")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Ended:
    """The explicit end marker of a complete answer, with its token count."""

    tokens: int


@answers.register("failed")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """The final answer of a request that failed.

    ``ran`` tells whether the request was executed; ``retry_after_s`` is in seconds.
    """

    code: ResultCode
    detail: str
    ran: Execution
    retry_after_s: float | None = None


@answers.register("handed-over")
@dataclasses.dataclass(frozen=True, kw_only=True)
class HandedOver:
    """The request continues on another host."""

    host: HostId


@answers.register("rewind")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Rewind:
    """Tells a reader to discard text of an abandoned run beyond the first ``keep`` characters."""

    keep: int


AnswerEvent = Text | Result | Ended | Failed | HandedOver | Rewind
FINAL_EVENTS = (Ended, Failed, HandedOver)


def failed_event(refusal: Refusal) -> Failed:
    """Return the final event for a refusal."""
    return Failed(
        code=refusal.code,
        detail=refusal.detail,
        ran=refusal.ran,
        retry_after_s=refusal.retry_after_s,
    )
