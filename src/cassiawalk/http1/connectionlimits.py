"""Limits on the connections of one listener."""

import collections.abc as cabc
import dataclasses
import enum
import resource

CALLERS_SHARE = 0.5  # of the descriptors; the rest is for upstreams, other hosts and the platform
CHECKS_SHARE = 1 / 16  # for a listener of readiness checks or metrics
MIN_CONNECTIONS = 8
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
STALL_TIMEOUT_S = 60.0


def descriptor_limit(configured: int | None = None) -> int:
    """Return how many descriptors this process may have open.

    :param configured: a limit that the settings name, if any.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    found = [limit for limit in (soft, configured) if limit is not None and limit > 0]
    return min(found, default=1024)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectionLimits:
    """Limits on the connections that a listener has open.

    :param max_connections: the number of connections.
    :param max_buffered_bytes: the bytes of heads, of requests that wait for the one before them
        and of responses that are not taken, over all connections.
    :param stall_timeout_s: the time in which a client has to take ``MIN_TAKEN_BYTES_PER_S`` of a
        response that waits for it, see ``stalls``.
    """

    max_connections: int
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    stall_timeout_s: float = STALL_TIMEOUT_S

    @classmethod
    def for_share(cls, share: float, *, descriptors: int | None = None) -> "ConnectionLimits":
        """Return the default limits of a listener that may use a share of the descriptors."""
        count = descriptor_limit() if descriptors is None else descriptors
        return cls(max_connections=max(MIN_CONNECTIONS, int(count * share)))


class Closure(enum.Enum):
    """Why a listener ended a connection, or did not take it."""

    REFUSED = "refused"  # as many connections are open as may be
    REPLACED = "replaced"  # to make room for a newer one
    STALLED = "stalled"  # its client took nothing of a response
    BUFFERS_FULL = "buffers-full"  # responses that are not taken fill the buffers


ClosureListener = cabc.Callable[[Closure], None]
