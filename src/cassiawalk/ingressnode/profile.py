"""The settings of one host: its identity and addresses, and the bounds that it must keep."""

import dataclasses
import typing as t

from cassiawalk.http1 import MAX_BUFFERED_BYTES
from cassiawalk.http1 import STALL_TIMEOUT_S
from cassiawalk.http1 import ConnectionLimits
from cassiawalk.http1 import descriptor_limit
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ingress.quotas import QuotaTolerance
from cassiawalk.settings import Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetBounds:
    """Bounds that all hosts together must keep; times in seconds.

    :param stop_s: the time from the stop signal until the process is killed.
    :param repeat_ratio: the maximum number of retries per caller request within
        ``repeat_window_s``.
    :param repeat_extra: the number of retries that is allowed in addition to ``repeat_ratio``.
    :param usage_window_s: the length of the windows in which usage is counted.
    :param usage_late_s: how long after the end of its window a usage report is still useful.
    :param lease_s: how long the holder of a duty may be unreachable before another host takes over.
    :param checks_fencing: whether the platform refuses calls of duties with a lower fencing number
        than it has seen.
    :param quota_ratio: what workspaces may use beyond their quotas within ``quota_window_s``, as a
        ratio of the quota.
    :param quota_amount: what they may use in addition to ``quota_ratio``, in requests or tokens.
    """

    # Bounds that can change while the process runs.
    REPLACEABLE: t.ClassVar = frozenset(
        ("stop_s", "repeat_ratio", "repeat_extra", "quota_ratio", "quota_amount")
    )

    stop_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_extra: float = 50.0
    repeat_window_s: float = 10.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    lease_s: float = 3.0
    checks_fencing: bool = True
    quota_window_s: float = 8.0
    quota_ratio: float = 0.0
    quota_amount: float = 0.0

    def replaced_by(self, bounds: "FleetBounds") -> tuple["FleetBounds", list[str]]:
        """Return these bounds with the changes that can be made while the process runs.

        :return: also the names of the changed fields that take effect only after a restart.
        """
        changed = [
            field.name
            for field in dataclasses.fields(bounds)
            if getattr(bounds, field.name) != getattr(self, field.name)
        ]
        taken = {name: getattr(bounds, name) for name in changed if name in self.REPLACEABLE}
        return dataclasses.replace(self, **taken), [name for name in changed if name not in taken]

    @property
    def quota_tolerance(self) -> QuotaTolerance:
        """Return how much consumption is allowed beyond the quotas."""
        return QuotaTolerance(
            window_s=self.quota_window_s, ratio=self.quota_ratio, amount=self.quota_amount
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostProfile:
    """One host's identity, addresses and bounds.

    :param ready_address: where the load balancer asks whether the host accepts connections.
    :param announced_peer_address: where other hosts reach ``peer_address``.
    :param last_peer_port: the end of the port range that begins with ``peer_address``.
    :param strength: the host's capacity to serve other hosts as a hub: processor cores times the
        bandwidth of its link in Mbit/s.
    :param max_descriptors: the number of descriptors that the process may have open; None for its
        resource limit.
    :param max_buffered_bytes: see ``ConnectionLimits``, for each listener.
    :param stall_timeout_s: see ``ConnectionLimits``, for each listener.
    """

    host_id: HostId
    failure_domain: FailureDomain
    caller_address: Address
    ready_address: Address
    peer_address: Address
    announced_peer_address: Address
    last_peer_port: int
    heartbeat_s: float
    bounds: FleetBounds
    strength: float = 1.0
    max_descriptors: int | None = None
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    stall_timeout_s: float = STALL_TIMEOUT_S

    def connection_limits(self, share: float) -> ConnectionLimits:
        """Return the limits of a listener that may use a share of the descriptors."""
        limits = ConnectionLimits.for_share(
            share, descriptors=descriptor_limit(self.max_descriptors)
        )
        return dataclasses.replace(
            limits,
            max_buffered_bytes=self.max_buffered_bytes,
            stall_timeout_s=self.stall_timeout_s,
        )
