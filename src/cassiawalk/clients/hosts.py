"""Interface to the platform's host list."""

import abc
import dataclasses
import enum

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import PoolName


class HostRole(enum.Enum):
    """The software that runs on a host."""

    ENTRY = "entry"
    ENGINE = "engine"
    PLAIN = "plain"


class HostState(enum.Enum):
    """The state of a host according to the host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostEntry:
    """One host.

    ``address`` receives requests, ``peer_address`` the traffic between cassiawalk's own processes;
    both are ``ip:port``. ``price`` is in cost units per hour.
    """

    host: HostId
    role: HostRole
    failure_domain: FailureDomain
    address: str
    state: HostState = HostState.LIVE
    region: str = ""
    pool: PoolName = PoolName("")
    peer_address: str = ""
    admin_address: str = ""
    reclaimable: bool = True
    price: float = 1.0


class HostList(abc.ABC):
    """The list of live and leaving hosts, which may be out of date."""

    @abc.abstractmethod
    async def hosts(self) -> tuple[HostEntry, ...] | None:
        """Return the current list, or None in an outage."""

    async def aclose(self) -> None:
        """Release connections."""
