"""Interface to a plain service."""

import abc
import dataclasses

from cassiawalk.clients.engine import LoadReport
from cassiawalk.ids import RequestId
from cassiawalk.results import NOT_RUN_STATUSES

SERVER_ERROR_STATUS = 500  # and above


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """One call. ``key`` is the caller's idempotency key, or None if the caller sent none.

    Two workspaces may use the same key, so only ``workspace`` and ``key`` together identify a call.
    ``timeout_s`` limits the whole call, in seconds.
    """

    request_id: RequestId
    path: str
    body: bytes
    key: str | None = None
    workspace: str = ""
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallAnswered:
    """A complete answer with its HTTP status."""

    status: int
    body: bytes

    @property
    def is_result(self) -> bool:
        """Return whether the status may be passed on to the caller of the request.

        A failure may not, nor may a status that would say to the caller that nothing has run:
        services are not asked to say so, and have no way to prove it.
        """
        return self.status < SERVER_ERROR_STATUS and self.status not in NOT_RUN_STATUSES


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallFailed:
    """No complete answer. ``sent`` is False only if it is certain that no byte was sent."""

    reason: str
    sent: bool


CallOutcome = CallAnswered | CallFailed


class PlainService(abc.ABC):
    """A plain service. Failures are returned as outcomes, never raised."""

    @abc.abstractmethod
    async def call(self, call: ServiceCall) -> CallOutcome:
        """Send the call exactly once and return its outcome."""

    @abc.abstractmethod
    async def look_up(self, *, path: str, workspace: str, key: str) -> CallOutcome:
        """Return the outcome of an earlier call, found by its workspace and key.

        Status 200 carries the call's answer. Status 404 does not prove that the call has not run:
        it may still arrive.
        """

    async def load(self) -> LoadReport | None:
        """Return the service's load, or None if it is not reported or can't be read."""
        return None

    async def aclose(self) -> None:
        """Release connections."""
