"""What the crash guard has to know of a request and of an upstream."""

import typing as t

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId


class GuardedRequest(t.Protocol):
    """A request that the guard may refuse or isolate."""

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request already."""

    @property
    def request_id(self) -> RequestId:
        """Return the request's id, which differs for each repeat."""

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the digest that all repeats of the request share."""


class GuardedUpstream(t.Protocol):
    """An upstream that may die.

    ``reserved_for`` is the only request that this host may send to it, or None.
    """

    reserved_for: RequestId | None

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the upstream's id, which a restarted process may have again."""

    @property
    def process(self) -> str:
        """Return a name that no other process of an upstream has."""

    @property
    def failure_domain(self) -> FailureDomain:
        """Return the upstream's failure domain."""

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream is known to leave, so that its end needs no explanation."""

    @property
    def is_busy(self) -> bool:
        """Return whether this host has requests at the upstream."""
