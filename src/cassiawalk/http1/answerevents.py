"""The events of an upstream's answer, in the order in which a connection returns them."""

import collections.abc as cabc
import dataclasses

from cassiawalk.http1.framing import Ending
from cassiawalk.http1.framing import Framing
from cassiawalk.http1.heads import Headers


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    reason: bytes
    headers: Headers
    framing: Framing


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerData:
    """A piece of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerEnd:
    """The answer is complete, as far as its framing tells.

    ``ending`` is CLOSED if only the end of the connection tells it, else COMPLETE.
    """

    ending: Ending


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerBroken:
    """The answer is incomplete or not valid HTTP.

    ``closed_before_answer`` is True if the upstream closed before it sent any byte of an answer.
    """

    reason: str
    ending: Ending
    closed_before_answer: bool = False


AnswerEvent = AnswerHead | AnswerData | AnswerEnd | AnswerBroken

ForeignCheck = cabc.Callable[[AnswerHead], bool]
