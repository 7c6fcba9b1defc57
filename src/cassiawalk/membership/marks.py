"""Records of hosts that are leaving."""

import dataclasses
import enum

from cassiawalk.ids import HostId

MARK_LIFETIME_S = 600.0
MAX_NOTICE_AGE_S = 60.0


class LeavingSource(enum.Enum):
    """The first source that reported that a host is leaving."""

    HOST_LIST = "host list"
    CLOUD_NOTICE = "cloud notice"
    UPSTREAM = "upstream"
    PEER = "peer"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingMark:
    """Marks one host as leaving.

    ``address`` distinguishes the host from a later one with the same id; it is empty until the host
    is listed. ``reclaim_s`` is the time of the reclaim, or None if it is unknown, and ``noted_s``
    the time at which the mark was made, both in wall-clock seconds.
    """

    host: HostId
    source: LeavingSource
    noted_s: float
    address: str = ""
    reclaim_s: float | None = None

    def expires_s(self) -> float:
        """Return the wall-clock time in seconds after which the mark is no longer valid.

        A host that is still listed as live counts as live again from then on.
        """
        return (self.reclaim_s or self.noted_s) + MARK_LIFETIME_S
