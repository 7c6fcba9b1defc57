"""The state of one admitted request."""

import asyncio
import dataclasses
import functools

from cassiawalk.crashes.losses import Parts
from cassiawalk.crashes.losses import Progress
from cassiawalk.crashes.losses import part_keys
from cassiawalk.fingerprint import fingerprint
from cassiawalk.http1 import Exchange
from cassiawalk.http1 import Headers
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import RequestId
from cassiawalk.ids import Revision
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.events import EventSplitter
from cassiawalk.storeview.config import Route
from cassiawalk.storeview.config import WorkspaceConfig

QuotaAnswer = asyncio.Future[float | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BufferedAnswer:
    """A complete answer of an upstream that has not been sent to the caller yet."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


@dataclasses.dataclass(kw_only=True)
class Job:
    """A request with its route, its workspace and the state of its attempts.

    :param rank: 0 is the most urgent.
    :param caller_deadline_at: when the caller gives up, in monotonic seconds.
    :param ends_at: the earlier of ``caller_deadline_at`` and the route's time limit.
    :param sends: how often the request was sent to an upstream.
    :param may_have_run: whether an upstream is known or assumed to have begun to run the request.
    :param buffered: the last complete answer; it is sent if no later attempt succeeds.
    :param sent_status: the status in the head that was sent to the caller as it arrived.
    :param sent_events: whether events of a stream were sent to the caller.
    :param progress: how far the answer of the last attempt had come when it ended.
    :param is_prefix_counted: whether it counts in the demand for its shared prefix.
    :param is_canary: whether it was chosen for the unjudged version of a rollout; None if the
        choice has not been made.
    :param quota_answer: while the lender of the workspace's quota is asked: None for an admitted
        request, else the seconds after which to retry.
    :param tried: upstreams whose attempt failed.
    """

    exchange: Exchange
    demand: Demand
    route: Route
    service: ServiceName
    workspace: WorkspaceConfig | None
    rank: int
    revision: Revision
    caller_deadline_at: float
    ends_at: float
    sends: int = 0
    may_have_run: bool = False
    buffered: BufferedAnswer | None = None
    sent_status: int | None = None
    sent_events: bool = False
    progress: Progress = Progress.WAITING
    is_prefix_counted: bool = False
    is_canary: bool | None = None
    quota_answer: QuotaAnswer | None = None
    tried: set[UpstreamId] = dataclasses.field(default_factory=set)
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)

    @property
    def request_id(self) -> RequestId:
        """Return the request id that the caller chose."""
        return self.demand.request_id

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """Return the digest of host name, target, caller and body, which repeats share."""
        exchange = self.exchange
        caller = b"" if self.workspace_name is None else self.workspace_name.encode()
        return fingerprint((self.route.host, exchange.target, caller, exchange.body))

    @functools.cached_property
    def shared_parts(self) -> Parts:
        """Return the parts of the prompt that other requests may have too, in no order."""
        return part_keys(part.part_id for part in self.demand.shared_prefix)

    @property
    def workspace_name(self) -> WorkspaceName | None:
        """Return the name of the caller's workspace."""
        return None if self.workspace is None else self.workspace.name

    @property
    def succeeded(self) -> bool:
        """Return whether a delivered answer reports success."""
        status = self.sent_status
        if status is None and self.buffered is not None:
            status = self.buffered.status
        return status is not None and 200 <= status < 300

    @property
    def head_sent(self) -> bool:
        """Return whether the head of an answer has been sent to the caller."""
        return self.exchange.head_sent

    @property
    def unshared_tokens(self) -> int:
        """Return the prompt tokens after the shared prefix, which no cache holds."""
        shared_tokens = sum(part.tokens for part in self.demand.shared_prefix)
        return max(0, self.demand.prompt_tokens - shared_tokens)
