"""One process of an upstream, as a host knows it."""

import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.clock import Clock
from cassiawalk.http1 import ConnectionPool
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import VersionName
from cassiawalk.rollouts.types import NO_VERSION
from cassiawalk.rollouts.types import Role
from cassiawalk.storeview.departures import EntryVersion
from cassiawalk.storeview.health import UpstreamHealth
from cassiawalk.storeview.load import EngineLoad
from cassiawalk.storeview.pauses import RequestedPause
from cassiawalk.storeview.speeds import ServiceSpeed
from cassiawalk.storeview.speeds import UpstreamSpeed


class Presence(enum.Enum):
    """The state that an upstream reports in its entry."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Registration:
    """One upstream's entry.

    :param slots: the number of requests that it runs at once.
    :param started_ms: when its process started, in milliseconds since the epoch.
    :param reclaimable: whether the provider may reclaim it (spot) at short notice.
    :param leaves_s: the seconds from the writing of the entry until it leaves, or None if unknown.
    :param service_version: the version of the service that it runs; empty if it states none.
    :param sequence: the number of the entry among those of its process; None if it has none.
    """

    upstream_id: UpstreamId
    service: ServiceName
    address: str
    failure_domain: FailureDomain
    slots: int
    presence: Presence
    started_ms: int
    reclaimable: bool = False
    leaves_s: float | None = None
    service_version: VersionName = NO_VERSION
    sequence: int | None = dataclasses.field(default=None, compare=False)

    @property
    def version(self) -> EntryVersion | None:
        """Return the entry's place among those of its upstream, or None if it has no number."""
        if self.sequence is None:
            return None
        leaving = self.presence is Presence.LEAVING
        return EntryVersion(started_ms=self.started_ms, sequence=self.sequence, leaving=leaving)


def process_name(entry: Registration) -> str:
    """Return a name of an entry's process that no other process has."""
    return f"{entry.upstream_id}/{entry.started_ms}"


def is_other_process(known: Registration, new: Registration) -> bool:
    """Return whether two entries with the same id belong to different processes."""
    return (known.started_ms, known.address, known.service) != (
        new.started_ms,
        new.address,
        new.service,
    )


RoleFinder = cabc.Callable[["Upstream"], Role]


class Upstream:
    """One process of an upstream, with this host's connections to it, its load and its health.

    ``leaving`` is also set when its entry is gone; ``leaving_since`` is when it announced that it
    leaves, in monotonic seconds; ``said_leaving`` is set once it has done so in an answer.
    ``reserved_for`` is the only request that may be sent to it, or None. ``pause`` is the time for
    which it wants no requests of this host. ``superseded`` is set once another process has answered
    at its address. ``usable_until`` is set while its entry may only have expired, in monotonic
    seconds. ``heard_at`` is when its last entry was applied, and ``known_since`` its first one, in
    monotonic seconds.

    :param speed: what is known of its speed compared with the service's other upstreams.
    :param find_role: returns what its version may get; None if there are no rollouts.
    """

    def __init__(
        self,
        *,
        registration: Registration,
        clock: Clock,
        speed: UpstreamSpeed | None = None,
        find_role: RoleFinder | None = None,
    ) -> None:
        self._find_role = find_role
        self.registration = registration
        self._clock = clock
        self.pool = ConnectionPool(address=registration.address)
        self.load = EngineLoad(clock=clock)
        self.speed = speed or UpstreamSpeed(service=ServiceSpeed(clock=clock))
        self.health = UpstreamHealth(clock=clock)
        self.leaving = registration.presence is Presence.LEAVING
        self.leaving_since: float | None = None
        self.reserved_for: RequestId | None = None
        self.said_leaving = False
        self.pause = RequestedPause(clock=clock)
        self.superseded = False
        self.usable_until: float | None = None
        self.heard_at = self.known_since = clock.monotonic()

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the upstream's id."""
        return self.registration.upstream_id

    @property
    def process(self) -> str:
        """Return a name of the process; a restarted one may have the same id."""
        return process_name(self.registration)

    @property
    def failure_domain(self) -> FailureDomain:
        """Return the upstream's failure domain."""
        return self.registration.failure_domain

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream has announced that it leaves."""
        return self.said_leaving or self.registration.presence is Presence.LEAVING

    @property
    def is_busy(self) -> bool:
        """Return whether requests of this host are at the upstream."""
        return self.load.own > 0

    @property
    def slots(self) -> int:
        """Return the number of requests that it runs at once."""
        return self.registration.slots

    @property
    def slowness_now(self) -> float:
        """Return how many times as long as usual work takes there, as far as is known now."""
        return self.speed.slowness * self.load.pace

    @property
    def serves(self) -> bool:
        """Return whether it goes on serving, as far as is known; it may ask for time now."""
        in_doubt = self.usable_until is not None and self._clock.monotonic() > self.usable_until
        return not (self.leaving or self.superseded or in_doubt)

    @property
    def role(self) -> Role:
        """Return what its version may get now."""
        return Role.CARRIES if self._find_role is None else self._find_role(self)

    @property
    def is_usable(self) -> bool:
        """Return whether a request that was placed on it may still be sent to it."""
        return self.serves and self.pause.left_s <= 0.0 and self.role is not Role.BARRED

    @property
    def takes_work(self) -> bool:
        """Return whether new requests may be placed on it."""
        return self.is_usable and self.reserved_for is None
