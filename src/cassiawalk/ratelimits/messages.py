"""Messages between a host that needs a permit and the host that lends them."""

import dataclasses

from cassiawalk.ids import HostId
from cassiawalk.peer.messages import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class NamedLimit:
    """A limit by name, as the caller knows it, in requests a second over all hosts.

    :param ready: how many permits may lie ready; None for what suits an upstream's limit.
    """

    name: str
    limit_per_s: float
    ready: float | None = None


@messages.register("permit")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitCall:
    """Asks for one permit, of the first of some limits that has one.

    :param group: decides which host lends; the same for all limits that are asked for together.
    """

    host: HostId
    group: str
    wanted: tuple[NamedLimit, ...]


@messages.register("permit-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitReply:
    """Answers a call for a permit.

    :param granted: the name of the limit of which one permit is lent, or None.
    :param wait_s: when to ask again for each of the limits that had none, in seconds.
    :param lender: the host that lends, as far as the one that answers knows.
    """

    granted: str | None
    wait_s: dict[str, float]
    lender: HostId
