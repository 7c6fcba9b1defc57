"""Peer messages for handovers and request locations."""

import dataclasses
import typing as t

from cassiawalk.control.state import Kind
from cassiawalk.control.state import PoolType
from cassiawalk.ids import HostId
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.peer import messages
from cassiawalk.requests.answer_log import AnswerText


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestSnapshot:
    """An accepted request with its answer so far, as sent to another host.

    ``deadline_s`` is in wall-clock seconds and ``age_s`` is the time since acceptance in seconds.
    ``upstream`` ran the last attempt; its prefix cache may still hold the prompt.
    """

    request_id: RequestId
    workspace: WorkspaceName
    service: ServiceName
    kind_name: KindName
    kind: Kind
    pool: PoolName
    pool_type: PoolType
    body: bytes
    prompt: str
    deadline_s: float
    age_s: float
    share: float
    attempt: int
    retries: int
    answer: AnswerText
    key: str | None = None
    upstream: UpstreamId | None = None


@messages.register("handover-offer")
@dataclasses.dataclass(frozen=True, kw_only=True)
class HandoverOffer:
    """Asks a host to continue a request that the sender has stopped executing.

    ``fence`` is higher than that of every earlier run. The sender may repeat an offer.
    """

    sender: HostId
    fence: int
    snapshot: RequestSnapshot


@messages.register("handover-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class HandoverReply:
    """Tells whether the receiver has taken over what was offered or ended what was withdrawn."""

    accepted: bool
    reason: str = ""


@messages.register("handover-withdrawal")
@dataclasses.dataclass(frozen=True, kw_only=True)
class HandoverWithdrawal:
    """Ends a run that an unacknowledged offer may have started; ``host`` continues the request."""

    request_id: RequestId
    fence: int
    host: HostId


@messages.register("announce")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AnnounceCall:
    """Announces to a locator host which host holds a request."""

    request_id: RequestId
    workspace: WorkspaceName
    host: HostId
    fence: int


@messages.register("announce-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AnnounceReply:
    """The host with the highest fence known to the locator host, and that fence."""

    host: HostId
    fence: int


@messages.register("records-offer")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordsOffer:
    """Outcomes and abandonments that the sender has not yet been able to append to the log."""

    sender: HostId
    records: tuple[dict[str, t.Any], ...]
