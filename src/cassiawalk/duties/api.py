"""Interface to what the platform takes from the holder of a duty."""

import abc
import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName


class DutyOutcome(enum.Enum):
    """How a call ended."""

    DONE = "done"
    SUPERSEDED = "superseded"
    NO_CAPACITY = "none-to-be-had"
    BUSY = "busy"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FencingToken:
    """Who acts, and the number that rises with each holder."""

    holder: HostId
    fence: Offset


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageWindow:
    """Requests that began to run in window ``number``, by workspace."""

    number: int
    counts: cabc.Mapping[WorkspaceName, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamOrder:
    """How many upstreams of one price a service is to have in a failure domain."""

    service: ServiceName
    failure_domain: FailureDomain
    reclaimable: bool
    count: int


class DutyApi(abc.ABC):
    """Takes reports and orders. No method raises for an outage."""

    @abc.abstractmethod
    async def report_usage(self, window: UsageWindow, by: FencingToken) -> DutyOutcome:
        """Report one window."""

    @abc.abstractmethod
    async def order_upstreams(self, order: UpstreamOrder, by: FencingToken) -> DutyOutcome:
        """Order a number of upstreams."""
