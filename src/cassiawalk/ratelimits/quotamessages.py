"""Messages between a host that needs tokens of a quota and the host that lends them."""

import dataclasses

from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.peer.messages import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaNeed:
    """The priority rank of a request and the tokens that it needs."""

    rank: int
    amount: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RejectedDemand:
    """The tokens of the requests of one kind that a host rejected without asking.

    :param size: the size of the kind, see ``kind_of``.
    """

    rank: int
    size: int
    tokens: float


@messages.register("quota")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaCall:
    """Asks for the tokens of several requests of one workspace.

    :param process: the caller's process.
    :param number: the number of the call; one that is sent again has the same.
    :param wanted: the requests that wait for the reply.
    :param rejected: what was rejected on the caller since its last call, one entry for each kind.
    """

    host: HostId
    process: str
    number: int
    workspace: WorkspaceName
    wanted: tuple[QuotaNeed, ...]
    rejected: tuple[RejectedDemand, ...] = ()


@messages.register("quota-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaReply:
    """Answers a call for tokens.

    :param wait_s: for each request in order, None if its tokens are lent, or in how many seconds
        tokens for one of its kind are expected; empty if the sender does not lend.
    :param lender: the host that lends, as far as the sender knows.
    """

    wait_s: tuple[float | None, ...]
    lender: HostId | None
