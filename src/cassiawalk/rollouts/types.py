"""Orders, phases and states of rollouts."""

import dataclasses
import enum

from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import VersionName

NO_VERSION = VersionName("")  # of upstreams whose entry states none


class Phase(enum.Enum):
    """How far a rollout has come.

    - PROBING: few requests go to the new version, on several of its upstreams.
    - CANARY: its share is larger, on as few upstreams as carry a usual load then.
    - PROMOTED: it was judged good and gets all new work; requests end at the old one.
    - ROLLED_BACK: it was judged bad and gets nothing.
    - COMPLETED: the old version gets nothing, as the platform stops it.
    """

    PROBING = "probing"
    CANARY = "canary"
    PROMOTED = "promoted"
    ROLLED_BACK = "rolled-back"
    COMPLETED = "completed"

    @property
    def is_final(self) -> bool:
        """Return whether nothing follows it."""
        return self in (Phase.ROLLED_BACK, Phase.COMPLETED)

    @property
    def is_unjudged(self) -> bool:
        """Return whether the new version has not been judged yet."""
        return self in (Phase.PROBING, Phase.CANARY)

    @property
    def rank(self) -> int:
        """Return its place among the phases; a later one replaces an earlier one.

        COMPLETED is last: it is announced only once it is in the store, and the old upstreams may
        be gone then.
        """
        return _ORDER.index(self)


_ORDER = tuple(Phase)


class Role(enum.Enum):
    """What an upstream's version may get now.

    - CARRIES: the load of the service.
    - CANARY: the requests that are chosen for an unjudged version.
    - OUTGOING: requests that fail at the new version or find no place there.
    - BARRED: nothing.
    """

    CARRIES = "carries"
    CANARY = "canary"
    OUTGOING = "outgoing"
    BARRED = "barred"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    :param offset: the offset of its record; a later order of a service replaces an earlier one.
    :param seen_s: when a host read it first, in corrected seconds since the epoch.
    """

    service: ServiceName
    to: VersionName
    duration_s: float
    offset: Offset
    seen_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutState:
    """The state of one order, as the holder of the duties decides it.

    :param base: the version that carried the service before.
    :param order: the offset of the order.
    :param started_s: when the order was seen, in corrected seconds since the epoch.
    :param since_s: when the phase was reached, in corrected seconds since the epoch.
    :param width: how many upstreams of an unjudged version get requests.
    :param reason: why the phase was reached.
    """

    service: ServiceName
    to: VersionName
    base: VersionName
    order: Offset
    phase: Phase
    duration_s: float
    started_s: float
    since_s: float
    width: int = 1
    reason: str = ""

    @property
    def deadline_s(self) -> float:
        """Return when the rollout has to be completed, in corrected seconds since the epoch."""
        return self.started_s + self.duration_s

    @property
    def key(self) -> tuple[int, int]:
        """Return the place of the state among those of its service; the highest one is in force."""
        return self.order, self.phase.rank


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutLimits:
    """What an unjudged version may get, from all hosts together.

    :param share: of the service's requests since the order.
    :param slack: requests in addition to ``share``.
    """

    share: float
    slack: float
