"""What is known of hosts that leave."""

import dataclasses
import enum

from cassiawalk.ids import HostId

MARK_LIFETIME_S = 600.0
MAX_NOTICE_AGE_S = 60.0


class LeavingSource(enum.Enum):
    """Who said first that a host is leaving."""

    HOST_LIST = "host list"
    CLOUD_NOTICE = "cloud notice"
    UPSTREAM = "upstream"
    PEER = "peer"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingMark:
    """One host that leaves.

    ``address`` tells the host from a later one with the same id; it is empty while no list has
    shown the host. ``reclaim_s`` is the wall-clock time of the reclaim, or None if only the fact
    is known. ``noted_s`` is the wall-clock time of the mark.
    """

    host: HostId
    source: LeavingSource
    noted_s: float
    address: str = ""
    reclaim_s: float | None = None

    def expires_s(self) -> float:
        """Return when a host that is still listed as live counts as live again."""
        return (self.reclaim_s or self.noted_s) + MARK_LIFETIME_S
