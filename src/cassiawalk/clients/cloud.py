"""Interface to the cloud API: reclaim notices, prices and new hosts."""

import abc
import dataclasses

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReclaimNotice:
    """A host will be reclaimed at ``reclaim_s``, wall-clock time in seconds since the epoch."""

    seq: int
    host: HostId
    reclaim_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class MachineOffer:
    """The price of one machine class in one failure domain, in cost units per hour."""

    failure_domain: FailureDomain
    machine_class: str
    reclaimable: bool
    price: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostStarted:
    """A new host was started."""

    host: HostId


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartRefused:
    """No host was started."""

    reason: str


class CloudApi(abc.ABC):
    """Source of reclaim notices, prices and new hosts. No method raises for an outage."""

    @abc.abstractmethod
    async def notices(self, *, after: int, wait_s: float) -> tuple[ReclaimNotice, ...] | None:
        """Return notices with a sequence number above ``after``, or None in an outage.

        :param wait_s: how long to wait for a first notice, in seconds.
        """

    @abc.abstractmethod
    async def offers(self) -> tuple[MachineOffer, ...] | None:
        """Return the current prices, or None in an outage."""

    @abc.abstractmethod
    async def start_host(self, offer: MachineOffer) -> HostStarted | StartRefused | None:
        """Start a host; None means that the answer was lost, so the host may have been started."""

    async def aclose(self) -> None:
        """Release connections."""
