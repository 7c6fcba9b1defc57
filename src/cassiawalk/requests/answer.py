"""The events that make up an answer, in the order of their sequence numbers."""

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
    """The whole answer of a plain service."""

    status: int
    body: bytes
    recorded: bool = False


@answers.register("ended")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Ended:
    """The explicit end of a whole answer and its token count."""

    tokens: int


@answers.register("failed")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """The final answer of a request that was given up."""

    code: ResultCode
    detail: str
    ran: Execution
    retry_after_s: float | None = None


@answers.register("handed-over")
@dataclasses.dataclass(frozen=True, kw_only=True)
class HandedOver:
    """The request goes on at another host."""

    host: HostId


@answers.register("rewind")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Rewind:
    """A reader has text of a run that was given up; only its first characters stand."""

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
