"""Typed messages of the inner protocol."""

import dataclasses
import typing as t

from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.ids import WorkspaceName
from cassiawalk.wire import Registry

messages = Registry()


@messages.register("fault")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerFault:
    """The peer could not serve the call."""

    reason: str


@messages.register("once")
@dataclasses.dataclass(frozen=True, kw_only=True)
class OnceCall:
    """A claim, outcome or abandonment for a partition that the peer sequences."""

    record: dict[str, t.Any]


@messages.register("once-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class OnceReply:
    """The decision on a claim, or None for a record that is in the stream."""

    decision: dict[str, t.Any] | None = None


@messages.register("attach")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AttachCall:
    """Asks for the events of a request that the peer holds, after a sequence number."""

    request_id: RequestId
    workspace: WorkspaceName
    after: int


@messages.register("part")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamPart:
    """One item of a streamed reply; the item after which ``last`` is true ends it."""

    item: dict[str, t.Any] | None = None
    last: bool = False


@messages.register("locate")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LocateCall:
    """Asks which host holds a request."""

    request_id: RequestId


@messages.register("locate-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LocateReply:
    """The host that holds the request, or None if the peer does not know."""

    host: HostId | None = None


@messages.register("node-status")
@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeStatusCall:
    """Asks a host for its configuration revision and load."""


@messages.register("node-status-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeStatusReply:
    """A host's configuration revision and counts of requests."""

    host: HostId
    revision: int
    freshness: str
    draining: bool
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceDemand:
    """A host's recent demand of one workspace: requests a second, and requests at once."""

    workspace: WorkspaceName
    rate: float
    concurrent: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitShare:
    """A host's lease of a part of a workspace's limit, for ``lease_s`` seconds."""

    workspace: WorkspaceName
    rate: float
    concurrent: int
    lease_s: float


@messages.register("share")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareCall:
    """Tells a host's demands to the owner of the workspaces' limits and asks for its shares."""

    host: HostId
    demands: tuple[WorkspaceDemand, ...]


@messages.register("share-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareReply:
    """The shares of the host that asked."""

    shares: tuple[LimitShare, ...]
