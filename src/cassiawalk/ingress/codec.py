"""What the heads of requests and answers state, and the interface that parses and builds them."""

import abc
import dataclasses

from cassiawalk.http1 import Headers
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.results import Refusal
from cassiawalk.storeview.load import ReportedLoad
from cassiawalk.storeview.promptparts import PromptPart


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """What a caller's request asks for, as stated in its head.

    :param key: the caller's key, or None if the request has none.
    :param deadline_s: how long the caller waits, or None if the request doesn't state it.
    :param parts: the prompt's parts in order; all but the last may be shared with other requests.
    :param output_tokens: the stated size of the answer.
    :param last_event: the id of the last event that the caller has, if it resumes a stream.
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
        """Return the parts that other requests may have in common with this one."""
        return self.parts[:-1]

    @property
    def stated_tokens(self) -> int | None:
        """Return the sum of prompt and output tokens, or None if it is 0."""
        total = self.prompt_tokens + self.output_tokens
        return total if total else None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptHeaders:
    """What one attempt adds to the head of the caller's request.

    :param left_s: the time that is left for the answer, in seconds.
    :param urgency: 0 is the most urgent of 10 levels.
    :param last_event: the id of the event after which an interrupted stream is resumed.
    :param holder_address: the address of an engine that may have cached the shared prefix, from
        which the chosen engine can fetch it.
    """

    upstream_id: UpstreamId
    left_s: float
    workspace: WorkspaceName | None
    urgency: int | None = None
    last_event: bytes | None = None
    holder_address: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerMetadata:
    """What the head of an answer states.

    :param request_id: the id of the request that is answered, if stated.
    :param signed: whether the answer carries the upstream's signature.
    :param not_run: whether the answer proves that the upstream has not run the request.
    :param claims_not_run: whether the answer says in any way, also without a proof, that the
        request has not run.
    :param wrong_upstream: whether another upstream than the addressed one has answered.
    :param load: the upstream's load, if stated.
    :param leaving: whether the upstream states that it leaves.
    :param pause_s: for how long the upstream wants no request of this host, in seconds; 0 if it
        states nothing.
    :param limit_per_s: how many requests a second the upstream takes from all hosts together; None
        if it states nothing.
    :param unreadable: the headers with values that are ignored as they can't be read.
    """

    request_id: RequestId | None
    signed: bool
    not_run: bool
    claims_not_run: bool
    wrong_upstream: bool
    load: ReportedLoad | None
    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    unreadable: tuple[str, ...] = ()


class HeadCodec(abc.ABC):
    """Parses and builds heads in the format of the callers and upstreams of a platform."""

    @abc.abstractmethod
    def parse_request(self, headers: Headers) -> Demand:
        """Return what a request asks for.

        :raises HeadError: if a header can't be parsed.
        """

    @abc.abstractmethod
    def build_upstream_head(self, headers: Headers, body: bytes, added: AttemptHeaders) -> Headers:
        """Return the head of the request to an upstream."""

    @abc.abstractmethod
    def parse_answer_head(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what an answer's head states; headers that can't be parsed are ignored."""

    @abc.abstractmethod
    def build_caller_head(self, headers: Headers) -> Headers:
        """Return the head of an upstream's answer as it is sent to the caller."""

    @abc.abstractmethod
    def build_refusal(self, demand: Demand | None, refusal: Refusal) -> tuple[int, Headers, bytes]:
        """Return status, head and body of a refusal.

        The status says that the request has not run only if this is certain.
        """
