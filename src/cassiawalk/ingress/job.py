"""One accepted request on its way through attempts."""

import dataclasses

from cassiawalk.http1 import Exchange
from cassiawalk.http1 import Headers
from cassiawalk.ids import RequestId
from cassiawalk.ids import Revision
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.config import Route
from cassiawalk.ingress.config import WorkspaceConfig
from cassiawalk.ingress.events import EventSplitter


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeptAnswer:
    """A whole answer that has not been passed on."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


@dataclasses.dataclass(kw_only=True)
class Job:
    """A request with its route, its workspace and what its attempts have come to.

    :param caller_deadline_at: when the caller gives up, in monotonic seconds.
    :param ends_at: the earlier of that and the route's limit.
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
    began: bool = False
    kept: KeptAnswer | None = None
    tried: set[UpstreamId] = dataclasses.field(default_factory=set)
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)

    @property
    def request_id(self) -> RequestId:
        """Return the caller's id of the request."""
        return self.demand.request_id

    @property
    def workspace_name(self) -> WorkspaceName | None:
        """Return the name of the caller's workspace."""
        return None if self.workspace is None else self.workspace.name

    @property
    def headed(self) -> bool:
        """Return whether the head of an answer has been passed on."""
        return self.exchange.answered

    @property
    def unshared_tokens(self) -> int:
        """Return the tokens of the request's own part, which no cache holds."""
        shared = sum(part.tokens for part in self.demand.shared_prefix)
        return max(0, self.demand.prompt_tokens - shared)
