"""The directory of registered upstreams, built from their entries on the platform."""

import collections.abc as cabc
import dataclasses
import enum
import math

import eliot

from cassiawalk.clock import Clock
from cassiawalk.http1 import ConnectionPool
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Offset
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.storeview.health import UpstreamHealth
from cassiawalk.storeview.load import EngineLoad

# Upstreams renew their entries. In an outage of the source they cannot, and entries of upstreams
# that still run expire. Both times count from the source's recovery.
STALE_GRACE_S = 2.3  # until running upstreams have entries again
DEPARTED_S = 60.0  # longer than an older copy of the source is behind
MAX_DEPARTED = 1024
EXPIRY_WINDOW_S = 0.4  # while removals from the outage are still being read
# A lapsed upstream is used without an answer of its own for so long after it has been asked.
UNANSWERED_S = 0.3
# Shorter gaps in what all hosts know of the source let no entry expire.
MIN_LAPSE_GAP_S = 2.0


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
    """One process of an upstream, with this host's connections to it, its load and its health.

    ``leaving`` is also set when its entry is gone; ``leaving_since`` is when it announced that it
    leaves, in monotonic seconds. ``reserved_for`` is the only request that may be sent to it, or
    None. ``superseded`` is set once another process has its address. ``usable_until`` is set while
    its entry may only have expired, in monotonic seconds.
    """

    def __init__(self, *, registration: Registration, clock: Clock) -> None:
        self.registration = registration
        self._clock = clock
        self.pool = ConnectionPool(address=registration.address)
        self.load = EngineLoad(clock=clock)
        self.health = UpstreamHealth(clock=clock)
        self.leaving = registration.presence is Presence.LEAVING
        self.leaving_since: float | None = None
        self.reserved_for: RequestId | None = None
        self.superseded = False
        self.usable_until: float | None = None

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the upstream's id."""
        return self.registration.upstream_id

    @property
    def process(self) -> str:
        """Return a name of the process; a restarted one may have the same id."""
        return _process(self.registration)

    @property
    def failure_domain(self) -> FailureDomain:
        """Return the upstream's failure domain."""
        return self.registration.failure_domain

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream has announced that it leaves."""
        return self.registration.presence is Presence.LEAVING

    @property
    def is_busy(self) -> bool:
        """Return whether requests of this host are at the upstream."""
        return self.load.own > 0

    @property
    def slots(self) -> int:
        """Return the number of requests that it runs at once."""
        return self.registration.slots

    @property
    def is_usable(self) -> bool:
        """Return whether a request that was placed on it may still be sent to it."""
        in_doubt = self.usable_until is not None and self._clock.monotonic() > self.usable_until
        return not (self.leaving or self.superseded or in_doubt)

    @property
    def takes_work(self) -> bool:
        """Return whether new requests may be placed on it."""
        return self.is_usable and self.reserved_for is None


UpstreamListener = cabc.Callable[[Upstream], None]


class Directory:
    """Upstreams by service. An entry or removal older than the last one applied is ignored.

    ``changed`` is the offset of the last entry that changed the directory, or of a removal.
    ``loaded_at`` is when the complete list was first read, in monotonic seconds.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[UpstreamId, Upstream] = {}
        self._offsets: dict[UpstreamId, Offset] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._stale: set[UpstreamId] = set()
        self._source_recovered_at: float | None = None
        self._departed: dict[str, float] = {}
        self._is_restored = False
        self._departure_listeners: list[UpstreamListener] = []
        self._leaving_listeners: list[UpstreamListener] = []
        self._lapse_listeners: list[UpstreamListener] = []
        self.changed: Offset = Offset(-1)
        self.loaded_at: float | None = None

    def add_departure_listener(self, listener: UpstreamListener) -> None:
        """Call ``listener`` with each upstream that is gone without having announced it."""
        self._departure_listeners.append(listener)

    def add_leaving_listener(self, listener: UpstreamListener) -> None:
        """Call ``listener`` with each upstream that announces that it leaves."""
        self._leaving_listeners.append(listener)

    def add_lapse_listener(self, listener: UpstreamListener) -> None:
        """Call ``listener`` with each upstream whose entry may only have expired."""
        self._lapse_listeners.append(listener)

    def is_lapsed(self, upstream: Upstream) -> bool:
        """Return whether an upstream's entry may only have expired, and is not back yet."""
        found = self._by_id.get(upstream.upstream_id)
        return found is upstream and upstream.upstream_id in self._stale

    def keep_lapsed(self, upstream: Upstream, *, for_s: float) -> None:
        """Use a lapsed upstream for ``for_s`` s more, as it has said that it serves."""
        if self.is_lapsed(upstream):
            upstream.usable_until = self._clock.monotonic() + for_s

    def drop_lapsed(self, upstream: Upstream) -> None:
        """Remove a lapsed upstream, as it has said that it leaves, or is gone."""
        if self.is_lapsed(upstream):
            self._stale.discard(upstream.upstream_id)
            self._discard(upstream.upstream_id)

    @property
    def loaded(self) -> bool:
        """Return whether the complete list has been read."""
        return self.loaded_at is not None

    def note_loaded(self) -> None:
        """Record that the complete list has been read."""
        if self.loaded_at is None:
            self.loaded_at = self._clock.monotonic()

    def available_for(self, service: ServiceName) -> list[Upstream]:
        """Return the service's upstreams that accept new requests."""
        return [found for found in self._by_service.get(service, ()) if found.takes_work]

    def all_for(self, service: ServiceName) -> cabc.Sequence[Upstream]:
        """Return the service's upstreams, including those that are leaving."""
        return self._by_service.get(service, [])

    def get(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return an upstream by its id, or None."""
        return self._by_id.get(upstream_id)

    def offset_of(self, upstream_id: UpstreamId) -> Offset:
        """Return the offset of the last entry or removal of an upstream; -1 if there is none."""
        return self._offsets.get(upstream_id, Offset(-1))

    def upstreams(self) -> list[Upstream]:
        """Return all upstreams."""
        return list(self._by_id.values())

    def note_source_recovered(self) -> None:
        """Record that the source answers again after an outage."""
        self._source_recovered_at = self._clock.monotonic()

    def note_restored(self) -> None:
        """Expect the list of an older copy of the source.

        What upstreams wrote last is missing there until they have written it again. Until then, an
        upstream that is missing is kept as stale, and one that was leaving or gone stays so.
        """
        self._is_restored = True
        self.note_source_recovered()

    def end_restoration(self) -> None:
        """Record that the list of the older copy has been applied."""
        self._is_restored = False

    def put(self, registration: Registration, offset: Offset) -> bool:
        """Apply an entry and return whether it changed anything.

        An entry that is no newer than the last one applied is ignored.
        """
        upstream_id = registration.upstream_id
        if offset <= self._offsets.get(upstream_id, Offset(-1)):
            return False
        self._offsets[upstream_id] = offset
        was_lapsed = upstream_id in self._stale
        self._stale.discard(upstream_id)
        known = self._by_id.get(upstream_id)
        if self._is_restored and self._has_begun_to_leave(known, registration):
            return False
        if known is None or _is_other_process(known.registration, registration):
            self._replace(known, registration)
            self.advance_to(offset)
            return True
        if known.registration == registration and not was_lapsed:
            return False
        self.advance_to(offset)
        known.registration = registration
        known.usable_until = None
        self._apply_presence(known, registration)
        return True

    def remove(
        self, upstream_id: UpstreamId, offset: Offset, *, may_have_expired: bool = True
    ) -> None:
        """Apply an entry's removal.

        Soon after an outage of the source, the entry may only have expired because the upstream
        could not renew it. It is then kept as stale, unless the upstream was leaving.

        :param may_have_expired: False if the upstream is known to have renewed its entry until
            then.
        """
        if offset <= self._offsets.get(upstream_id, Offset(-1)):
            return
        self._offsets[upstream_id] = offset
        self.advance_to(offset)
        if upstream_id not in self._by_id:
            return
        expired = may_have_expired and self._may_be_expiry()
        if expired and not self._by_id[upstream_id].leaving:
            self._note_lapsed(self._by_id[upstream_id])
            return
        self._discard(upstream_id)

    def _note_lapsed(self, upstream: Upstream) -> None:
        self._stale.add(upstream.upstream_id)
        upstream.usable_until = self._clock.monotonic() + UNANSWERED_S
        eliot.log_message(message_type="directory:lapsed", upstream=upstream.upstream_id)
        for listener in self._lapse_listeners:
            listener(upstream)

    def reconcile(self, present: cabc.Collection[UpstreamId], offset: Offset) -> None:
        """Remove upstreams that are missing from a complete list, which was read at ``offset``."""
        for upstream_id in [known for known in self._by_id if known not in present]:
            self.remove(upstream_id, offset)

    def remove_stale(self) -> None:
        """Remove stale entries if they have not been renewed ``STALE_GRACE_S`` s after recovery."""
        if not self._stale or self._since_recovery_s() < STALE_GRACE_S:
            return
        for upstream_id in self._stale:
            self._discard(upstream_id)
        self._stale.clear()

    def advance_to(self, offset: Offset) -> None:
        """Record that all changes up to ``offset`` have been applied."""
        self.changed = max(self.changed, offset)

    def _has_begun_to_leave(self, known: Upstream | None, entry: Registration) -> bool:
        """Return whether an entry is of a process that was seen to leave or to be gone."""
        if known is not None and not _is_other_process(known.registration, entry):
            return known.leaving
        departed_at = self._departed.get(_process(entry))
        return departed_at is not None and self._clock.monotonic() - departed_at < DEPARTED_S

    def _may_be_expiry(self) -> bool:
        return self._is_restored or self._since_recovery_s() < EXPIRY_WINDOW_S

    def _since_recovery_s(self) -> float:
        if self._source_recovered_at is None:
            return math.inf
        return self._clock.monotonic() - self._source_recovered_at

    def _apply_presence(self, known: Upstream, registration: Registration) -> None:
        leaving = registration.presence is Presence.LEAVING
        if leaving and not known.leaving:
            known.leaving_since = self._clock.monotonic()
            for listener in self._leaving_listeners:
                listener(known)
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
            self._discard(known.upstream_id)
        upstream = Upstream(registration=registration, clock=self._clock)
        if upstream.leaving:
            upstream.leaving_since = self._clock.monotonic()
        self._supersede_at(registration)
        self._by_id[upstream.upstream_id] = upstream
        self._by_service.setdefault(registration.service, []).append(upstream)
        eliot.log_message(
            message_type="directory:joined",
            upstream=upstream.upstream_id,
            service=registration.service,
            address=registration.address,
            failure_domain=registration.failure_domain,
            reclaimable=registration.reclaimable,
            leaving=upstream.leaving,
        )

    def _supersede_at(self, new: Registration) -> None:
        """Mark upstreams as superseded whose address a later process has now."""
        for known in self._by_id.values():
            before = known.registration
            if before.address == new.address and before.started_ms < new.started_ms:
                known.superseded = True

    def _discard(self, upstream_id: UpstreamId) -> None:
        upstream = self._by_id.pop(upstream_id)
        self._departed[upstream.process] = self._clock.monotonic()
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        if not upstream.leaving:
            for listener in self._departure_listeners:
                listener(upstream)
        upstream.leaving = True
        upstream.pool.close()
        self._by_service[upstream.registration.service].remove(upstream)
        eliot.log_message(message_type="directory:gone", upstream=upstream_id)


def _process(entry: Registration) -> str:
    return f"{entry.upstream_id}/{entry.started_ms}"


def _is_other_process(known: Registration, new: Registration) -> bool:
    """Return whether two entries with the same id belong to different processes."""
    return (known.started_ms, known.address, known.service) != (
        new.started_ms,
        new.address,
        new.service,
    )
