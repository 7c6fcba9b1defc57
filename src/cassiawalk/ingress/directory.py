"""The upstreams that registered, from their entries on the platform."""

import collections.abc as cabc
import dataclasses
import enum
import math

import eliot

from cassiawalk.clock import Clock
from cassiawalk.http1 import ConnectionPool
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.health import UpstreamHealth
from cassiawalk.ingress.load import EngineLoad

LAPSE_GRACE_S = 2.3  # after the source's return, until live upstreams have entries again
LAPSE_WINDOW_S = 0.4  # after the source's return, while removals from before it are still read


class Presence(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Registration:
    """One upstream's entry.

    :param started_ms: when its process started, in milliseconds since the epoch.
    :param leaves_s: how long it stays after the entry was written, if it says so.
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


class Upstream:
    """One incarnation of an upstream as this host sees it."""

    def __init__(self, *, registration: Registration, clock: Clock) -> None:
        self.registration = registration
        self.pool = ConnectionPool(address=registration.address)
        self.load = EngineLoad(clock=clock)
        self.health = UpstreamHealth(clock=clock)
        self.leaving = registration.presence is Presence.LEAVING
        self.leaving_since: float | None = None

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the upstream's id."""
        return self.registration.upstream_id

    @property
    def slots(self) -> int:
        """Return how many requests it runs at once."""
        return self.registration.slots

    @property
    def takes_work(self) -> bool:
        """Return whether new requests may go there."""
        return not self.leaving


class Directory:
    """Upstreams by service; entries are taken in the order of their offsets.

    ``changed`` is the offset of the last entry that changed what is known, or of a removal.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[UpstreamId, Upstream] = {}
        self._offsets: dict[UpstreamId, Offset] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._lapsed: set[UpstreamId] = set()
        self._returned_at: float | None = None
        self.changed: Offset = Offset(-1)
        self.loaded_at: float | None = None

    @property
    def loaded(self) -> bool:
        """Return whether the whole list was read once."""
        return self.loaded_at is not None

    def note_loaded(self) -> None:
        """Note that the whole list was read."""
        if self.loaded_at is None:
            self.loaded_at = self._clock.monotonic()

    def available_for(self, service: ServiceName) -> list[Upstream]:
        """Return the service's upstreams that take work."""
        return [found for found in self._by_service.get(service, ()) if found.takes_work]

    def all_for(self, service: ServiceName) -> cabc.Sequence[Upstream]:
        """Return the service's upstreams, leaving ones too."""
        return self._by_service.get(service, [])

    def get(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return an upstream by its id."""
        return self._by_id.get(upstream_id)

    def offset_of(self, upstream_id: UpstreamId) -> Offset:
        """Return the offset of the last entry or removal of an upstream; -1 if there is none."""
        return self._offsets.get(upstream_id, Offset(-1))

    def upstreams(self) -> list[Upstream]:
        """Return all upstreams."""
        return list(self._by_id.values())

    def note_source_returned(self) -> None:
        """Note that the source answers again after it was away."""
        self._returned_at = self._clock.monotonic()

    def put(self, registration: Registration, offset: Offset) -> bool:
        """Take an entry over and return whether it changed anything.

        One older than what is known is ignored.
        """
        upstream_id = registration.upstream_id
        if offset <= self._offsets.get(upstream_id, Offset(-1)):
            return False
        self._offsets[upstream_id] = offset
        self._lapsed.discard(upstream_id)
        known = self._by_id.get(upstream_id)
        if known is None or _is_other(known.registration, registration):
            self._replace(known, registration)
            self.note_change(offset)
            return True
        if known.registration == registration:
            return False
        self.note_change(offset)
        known.registration = registration
        self._note_presence(known, registration)
        return True

    def remove(self, upstream_id: UpstreamId, offset: Offset) -> None:
        """Take an entry's removal over; after an outage of the source it may be a lapse."""
        if offset <= self._offsets.get(upstream_id, Offset(-1)):
            return
        self._offsets[upstream_id] = offset
        self.note_change(offset)
        if upstream_id not in self._by_id:
            return
        if self._may_be_lapse() and not self._by_id[upstream_id].leaving:
            self._lapsed.add(upstream_id)
            eliot.log_message(message_type="directory:lapsed", upstream=upstream_id)
            return
        self._drop(upstream_id)

    def reconcile(self, present: cabc.Collection[UpstreamId], offset: Offset) -> None:
        """Remove what is missing from a whole list that was read at ``offset``."""
        for upstream_id in [known for known in self._by_id if known not in present]:
            self.remove(upstream_id, offset)

    def expire_lapsed(self) -> None:
        """Drop entries that lapsed and did not come back in time."""
        if not self._lapsed or self._since_return_s() < LAPSE_GRACE_S:
            return
        for upstream_id in self._lapsed:
            self._drop(upstream_id)
        self._lapsed.clear()

    def note_change(self, offset: Offset) -> None:
        """Note that everything up to ``offset`` that changed anything is known."""
        self.changed = max(self.changed, offset)

    def _may_be_lapse(self) -> bool:
        return self._since_return_s() < LAPSE_WINDOW_S

    def _since_return_s(self) -> float:
        if self._returned_at is None:
            return math.inf
        return self._clock.monotonic() - self._returned_at

    def _note_presence(self, known: Upstream, registration: Registration) -> None:
        leaving = registration.presence is Presence.LEAVING
        if leaving and not known.leaving:
            known.leaving_since = self._clock.monotonic()
        if leaving != known.leaving:
            eliot.log_message(
                message_type="directory:presence",
                upstream=known.upstream_id,
                leaving=leaving,
                leaves_s=registration.leaves_s,
            )
        known.leaving = leaving

    def _replace(self, known: Upstream | None, registration: Registration) -> None:
        if known is not None:
            self._drop(known.upstream_id)
        made = Upstream(registration=registration, clock=self._clock)
        if made.leaving:
            made.leaving_since = self._clock.monotonic()
        self._by_id[made.upstream_id] = made
        self._by_service.setdefault(registration.service, []).append(made)
        eliot.log_message(
            message_type="directory:joined",
            upstream=made.upstream_id,
            service=registration.service,
            address=registration.address,
            failure_domain=registration.failure_domain,
            reclaimable=registration.reclaimable,
            leaving=made.leaving,
        )

    def _drop(self, upstream_id: UpstreamId) -> None:
        gone = self._by_id.pop(upstream_id)
        gone.leaving = True
        gone.pool.close()
        self._by_service[gone.registration.service].remove(gone)
        eliot.log_message(message_type="directory:gone", upstream=upstream_id)


def _is_other(known: Registration, now: Registration) -> bool:
    """Return whether an entry under the same id is of another process."""
    return (known.started_ms, known.address, known.service) != (
        now.started_ms,
        now.address,
        now.service,
    )
