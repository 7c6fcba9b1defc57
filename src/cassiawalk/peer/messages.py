"""Typed messages of the inner protocol."""

import dataclasses
import enum
import typing as t

from cassiawalk.ids import ClaimId
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


class HolderState(enum.Enum):
    """What a claim's gateway knows of its claim.

    ``LOST`` stands for a gateway process that was restarted, and ``UNREACHABLE`` for one that gave
    no answer.
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
    """Asks a claim's gateway what became of the claim."""

    key: str
    claim_id: ClaimId
    claimed_s: float
    incarnation: str


@messages.register("claim-status-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimStatusReply:
    """The state of the claim; an answer that is still to be recorded comes along."""

    state: HolderState
    status: int = 0
    body: bytes = b""


@messages.register("attach")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AttachCall:
    """Asks for the events of a request that the peer holds, after a reader's place."""

    request_id: RequestId
    workspace: WorkspaceName
    after: str


@messages.register("part")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamPart:
    """One item of a streamed reply; the item after which ``last`` is true ends it."""

    item: dict[str, t.Any] | None = None
    last: bool = False


@messages.register("locate")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LocateCall:
    """Asks which host holds a workspace's request."""

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
    """Asks for the peer's part of the answer to an operator's query."""

    statement: str


@messages.register("query-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryReply:
    """The peer's rows, by column name."""

    rows: tuple[dict[str, t.Any], ...]


@messages.register("cancel")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelCall:
    """Ends the call with this frame's number; there is no reply."""


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
