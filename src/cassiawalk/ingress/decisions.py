"""Requests that ask to be sent, what is known of the upstreams, and what is decided.

All times are in monotonic seconds.
"""

import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.refusing import ReturnKey

# At a full engine, one output token of each request takes as long as prefilling this many for each.
OUTPUT_TOKEN_WORK = 16.0
RETURN_PRECEDENCE_S = 1000.0  # by which a returning caller's request counts as more urgent


def work_of(demand: Demand, unshared_tokens: int) -> float:
    """Return the work of a request, in prompt tokens; 1 for a plain one."""
    return max(1.0, unshared_tokens + OUTPUT_TOKEN_WORK * demand.output_tokens)


class Verdict(enum.Enum):
    """What happens to a request."""

    SERVE = "serve"
    WAIT = "wait"
    REJECT = "reject"


class Reason(enum.Enum):
    """Why a request waits or is rejected."""

    NONE = "none"
    ROOM = "no room in this host's part"
    CANDIDATE = "no candidate in time"
    QUEUED = "others wait before it"
    TARGET = "the latency target can't be met"
    DEADLINE = "the deadline can't be met"
    FULL = "too many requests wait"
    UPSTREAMS = "the upstreams are full"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Room:
    """What a host knows of the upstreams of a service.

    :param slots: the slots of all upstreams that accept requests.
    :param others: the requests of other hosts there, as last reported.
    :param hosts: the number of hosts that share the slots.
    :param age_s: the age of the reports of other hosts; None if there are none to rely on.
    """

    slots: int
    others: int
    hosts: int
    age_s: float | None

    @property
    def is_known(self) -> bool:
        """Return whether the load of the other hosts is known."""
        return self.hosts <= 1 or self.age_s is not None


@dataclasses.dataclass(kw_only=True, eq=False)
class Asked:
    """A request, as far as the decision needs it.

    :param work: its work in prompt tokens that no cache holds, and output tokens at their weight.
    :param is_stream: whether its target is for the first event of a stream.
    :param base_s: the time to the first event at an idle upstream; unused for plain requests.
    :param target_at: when the target ends; ``ends_at`` when the deadline does.
    :param arrived_at: when the attempt was asked for.
    :param size_bytes: the size of its head and body.
    :param returns: returns what its caller repeats if it is rejected and returns.
    :param returning: whether it was rejected before and returned at the stated time.
    :param sent_before: whether an attempt of it has failed.
    :param per_slot: the requests per slot at all upstreams when it was sent.
    """

    workspace: WorkspaceName
    rank: int
    work: float
    is_stream: bool
    base_s: float
    target_at: float
    ends_at: float
    arrived_at: float
    size_bytes: int = 0
    returns: cabc.Callable[[], ReturnKey] | None = None
    returning: bool = False
    sent_before: bool = False
    per_slot: float = 1.0

    @property
    def order(self) -> float:
        """Return the sort key among the requests of the workspace and rank."""
        goes_first = self.returning or self.sent_before
        return self.target_at - (RETURN_PRECEDENCE_S if goes_first else 0.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """What happens to a request, and the inputs that led to it.

    :param expected_s: the expected time to the answer or first event, without a wait on this host.
    :param wait_s: the expected wait on this host.
    :param retry_after_s: when room is expected for a rejected request; None for another one.
    :param taken: the requests of all hosts at the upstreams, of which ``own`` are this host's.
    :param allowed: the requests that this host may have there.
    :param waiting: the number of requests that wait on this host.
    """

    asked: Asked
    verdict: Verdict
    reason: Reason
    room: Room
    expected_s: float
    wait_s: float
    taken: int
    own: int
    allowed: float
    waiting: int
    retry_after_s: float | None = None
