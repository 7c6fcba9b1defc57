"""What upstreams say of themselves when they are asked, and who answers at their address."""

import abc
import dataclasses
import enum

from cassiawalk.storeview.upstream import Registration


class UpstreamState(enum.Enum):
    """What an upstream says of itself; UNKNOWN also if it is too busy to answer."""

    SERVING = "serving"
    LEAVING = "leaving"
    UNKNOWN = "unknown"


class Witness(enum.Enum):
    """Who was found at an upstream's address.

    - SAME: the upstream, as its answer says.
    - OTHER: another one, as its answer says.
    - SOMEONE: a process that accepts connections; it did not say which one it is.
    - NOBODY: nothing listens there.
    - UNKNOWN: the address can't be reached, or the question was not asked.
    """

    SAME = "same"
    OTHER = "other"
    SOMEONE = "someone"
    NOBODY = "nobody"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamReport:
    """An upstream's answer, or what its absence tells.

    :param limit_per_s: how many requests a second it takes from all hosts together; None if it
        names no limit, or did not answer.
    """

    state: UpstreamState
    witness: Witness = Witness.UNKNOWN
    limit_per_s: float | None = None


class UpstreamInquiry(abc.ABC):
    """Asks upstreams for their state."""

    @abc.abstractmethod
    async def ask(self, registration: Registration, *, path: str) -> UpstreamReport:
        """Return what the process of a registration says of itself; another one is no answer.

        :param path: the path of the service's health check.
        """
