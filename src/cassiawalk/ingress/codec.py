"""What a request asks for, and how its head is read and written."""

import abc
import dataclasses
import typing as t

from cassiawalk.http1 import Headers
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.results import Refusal

PartId = t.NewType("PartId", str)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptPart:
    """One part of a prompt; engines keep what they have read of it under its id."""

    part_id: PartId
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """What one request of a caller asks for.

    :param deadline_s: how long the caller waits, or None if it does not say.
    :param parts: the prompt's parts in order; the last is the request's own.
    :param last_event: the last event that the caller has, if it carries on a stream.
    """

    request_id: RequestId
    key: bytes | None = dataclasses.field(repr=False, default=None)
    deadline_s: float | None = None
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: bytes | None = None

    @property
    def shared_prefix(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have too."""
        return self.parts[:-1]

    @property
    def stated_tokens(self) -> int | None:
        """Return prompt and output tokens together, or None for a request without any."""
        total = self.prompt_tokens + self.output_tokens
        return total if total else None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptHeaders:
    """What one attempt adds to the caller's head.

    :param urgency: 0 is the most urgent of 10 levels.
    :param last_event: where an interrupted stream goes on, if not at its start.
    :param holder_address: an engine that may hold prompt parts which this one lacks.
    """

    upstream_id: UpstreamId
    left_s: float
    workspace: WorkspaceName | None
    urgency: int | None = None
    last_event: bytes | None = None
    holder_address: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportedLoad:
    """An upstream's own count of its requests."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerMetadata:
    """What the head of an answer tells.

    :param request_id: the request that it answers, if it says so.
    :param signed: whether it bears the upstream's signature.
    :param not_run: whether the upstream states that it has not run the request.
    :param wrong_upstream: whether another upstream than the one meant has answered.
    """

    request_id: RequestId | None
    signed: bool
    not_run: bool
    wrong_upstream: bool
    load: ReportedLoad | None


class HeadCodec(abc.ABC):
    """Reads and writes heads in the way that callers and upstreams speak."""

    @abc.abstractmethod
    def parse_request(self, headers: Headers) -> Demand:
        """Return what a request asks for.

        :raises HeadError: if a header can't be read.
        """

    @abc.abstractmethod
    def build_upstream_head(self, headers: Headers, body: bytes, added: AttemptHeaders) -> Headers:
        """Return the head to send to an upstream."""

    @abc.abstractmethod
    def parse_answer_head(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what an answer's head tells; what can't be read is left out."""

    @abc.abstractmethod
    def build_caller_head(self, headers: Headers) -> Headers:
        """Return the head of an upstream's answer as its caller gets it."""

    @abc.abstractmethod
    def build_refusal(self, demand: Demand | None, refusal: Refusal) -> tuple[int, Headers, bytes]:
        """Return status, head and body of a refusal; the status claims no more than is known."""
