"""What a host is told of itself and of the bounds that it has to keep."""

import dataclasses
import typing as t

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ingress.quotas import QuotaTolerance
from cassiawalk.settings import Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class Promises:
    """Bounds over all hosts; times in seconds.

    :param stop_s: from the signal to stop until the process is killed.
    :param repeat_ratio: repeats for each request of callers, and ``repeat_extra`` besides, in
        ``repeat_window_s``.
    :param quota_amount: what workspaces may use beyond their quotas in ``quota_window_s``, besides
        ``quota_ratio`` of these.
    :param lease_s: how long a holder of a duty may be unheard before another acts.
    """

    # What a process can take over while it runs.
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
    quota_window_s: float = 8.0
    quota_ratio: float = 0.0
    quota_amount: float = 0.0

    @property
    def quota_tolerance(self) -> QuotaTolerance:
        """Return what is allowed beyond the quotas."""
        return QuotaTolerance(
            window_s=self.quota_window_s, ratio=self.quota_ratio, amount=self.quota_amount
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostProfile:
    """One host's name, place, addresses and bounds.

    :param strength: what it can do for other hosts: processor cores times Mbit/s of its link.
    """

    host_id: HostId
    failure_domain: FailureDomain
    caller_address: Address
    ready_address: Address
    peer_address: Address
    last_peer_port: int
    heartbeat_s: float
    promises: Promises
    strength: float = 1.0
