"""Typed messages of the protocol between hosts."""

import dataclasses
import enum
import functools
import typing as t

import cbor2

from cassiawalk.ids import ClaimId
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.ids import WorkspaceName
from cassiawalk.wire import Registry

messages = Registry()


class SharedMessage:
    """A message that is sent to many hosts and is encoded only once."""

    @functools.cached_property
    def encoded(self) -> bytes:
        """Return the CBOR of the message's tagged map."""
        return cbor2.dumps(messages.to_plain(self))


@messages.register("fault")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerFault:
    """The peer could not serve the call."""

    reason: str


@messages.register("once")
@dataclasses.dataclass(frozen=True, kw_only=True)
class OnceCall:
    """Sends a claim, outcome or abandonment to the sequencer of its partition."""

    record: dict[str, t.Any]


@messages.register("once-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class OnceReply:
    """The decision on a claim, or None to confirm that an outcome or abandonment is recorded."""

    decision: dict[str, t.Any] | None = None


class HolderState(enum.Enum):
    """The state of a claim at its gateway.

    ``LOST`` means that the gateway process has been restarted since, ``UNREACHABLE`` that the
    gateway did not answer.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    UNRESOLVED = "unresolved"
    RELEASED = "released"
    LOST = "lost"
    UNREACHABLE = "unreachable"


@messages.register("claim-status")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimStatusCall:
    """Asks a claim's gateway for the state of the claim."""

    key: str
    claim_id: ClaimId
    claimed_s: float
    incarnation: str


@messages.register("claim-status-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimStatusReply:
    """The state of the claim, with its answer if that has not been recorded yet."""

    state: HolderState
    status: int = 0
    body: bytes = b""


@messages.register("attach")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AttachCall:
    """Asks for the events of a request that the peer holds, after the event id ``after``."""

    request_id: RequestId
    workspace: WorkspaceName
    after: str


@messages.register("part")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamPart:
    """One item of a streamed reply; a part with ``last`` ends the reply and carries no item."""

    item: dict[str, t.Any] | None = None
    last: bool = False


@messages.register("locate")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LocateCall:
    """Asks which host holds a request of a workspace."""

    request_id: RequestId
    workspace: WorkspaceName


@messages.register("locate-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LocateReply:
    """The host that holds the request, or None if the peer does not know."""

    host: HostId | None = None


@messages.register("query")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryCall:
    """Asks for the peer's rows of the result of an operator's query."""

    statement: str


@messages.register("query-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryReply:
    """The peer's rows, each a mapping of column names to values."""

    rows: tuple[dict[str, t.Any], ...]


@messages.register("cancel")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelCall:
    """Cancels the call with the number of this frame; there is no reply."""


@messages.register("node-status")
@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeStatusCall:
    """Asks a host for its configuration revision and its load."""


@messages.register("node-status-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeStatusReply:
    """A host's configuration revision, and its numbers of running and waiting requests."""

    host: HostId
    revision: int
    freshness: str
    draining: bool
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceDemand:
    """A host's recent demand for one workspace: requests per second and concurrent requests."""

    workspace: WorkspaceName
    rate: float
    concurrent: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitShare:
    """A share of a workspace's limit that is leased to a host for ``lease_s`` seconds."""

    workspace: WorkspaceName
    rate: float
    concurrent: int
    lease_s: float


@messages.register("limit-share")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitShareCall:
    """Reports a host's demand to the owner of the workspaces' limits and asks for its shares."""

    host: HostId
    demands: tuple[WorkspaceDemand, ...]


@messages.register("limit-share-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitShareReply:
    """The limit shares of the calling host."""

    shares: tuple[LimitShare, ...]
