"""The directory of registered upstreams, built from their entries on the platform."""

import collections.abc as cabc

import eliot

from cassiawalk.clock import Clock
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.storeview.contests import contest_address
from cassiawalk.storeview.contests import contradicts
from cassiawalk.storeview.contests import is_disproved
from cassiawalk.storeview.departures import Departure
from cassiawalk.storeview.departures import Departures
from cassiawalk.storeview.departures import is_late
from cassiawalk.storeview.foreignentries import ForeignEntries
from cassiawalk.storeview.knownthrough import KnownThrough
from cassiawalk.storeview.lateentries import LateEntries
from cassiawalk.storeview.outages import SourceOutages
from cassiawalk.storeview.recentprocesses import RecentProcesses
from cassiawalk.storeview.speeds import ServiceSpeeds
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration
from cassiawalk.storeview.upstream import RoleFinder
from cassiawalk.storeview.upstream import Upstream
from cassiawalk.storeview.upstream import is_other_process

# A lapsed upstream is used without an answer of its own for so long after it has been asked.
UNANSWERED_S = 0.3

UpstreamListener = cabc.Callable[[Upstream], None]


class Directory:
    """Upstreams by service. An entry or removal older than the last one applied is ignored.

    An entry of a service that is not configured is another writer's. It is kept, as the service may
    be added later, but takes no upstream's place until then.

    ``known`` tells up to where all changes are known; renewals of entries are none. ``loaded_at``
    is when the complete list was first read, in monotonic seconds, and ``lists_read`` how often it
    was read from the source. ``find_role`` returns what an upstream's version may get; None if
    there are no rollouts.

    :param is_configured: returns whether the configuration has a service.
    """

    def __init__(
        self, *, clock: Clock, is_configured: cabc.Callable[[ServiceName], bool] = lambda _: True
    ) -> None:
        self._clock = clock
        self._is_configured = is_configured
        self._by_id: dict[UpstreamId, Upstream] = {}
        self._offsets: dict[UpstreamId, Offset] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._stale: set[UpstreamId] = set()
        self.outages = SourceOutages(clock=clock)
        self.departures = Departures(clock=clock)
        self.late_entries = LateEntries()
        self.foreign_entries = ForeignEntries()
        self.speeds = ServiceSpeeds(clock=clock)
        self._said_leaving = RecentProcesses()
        self._departure_listeners: list[UpstreamListener] = []
        self._leaving_listeners: list[UpstreamListener] = []
        self._lapse_listeners: list[UpstreamListener] = []
        self.find_role: RoleFinder | None = None
        self.known = KnownThrough()
        self.loaded_at: float | None = None
        self.lists_read = 0

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

    def note_said_leaving(self, upstream: Upstream) -> None:
        """Use an upstream no more, as it has said that it leaves, whatever its entry states.

        A later process at its address, or with its id, is another upstream.
        """
        if upstream.said_leaving:
            return
        upstream.said_leaving = True
        self._said_leaving.add(upstream.process)
        self._begin_to_leave(upstream)

    def pause_left_s(self, service: ServiceName) -> float | None:
        """Return when the first upstream wants requests again, if all that serve ask for time.

        The time is in seconds from now; None if one of the upstreams asks for none, or there are
        none.
        """
        serving = [found for found in self._by_service.get(service, ()) if not found.leaving]
        left_s = min((found.pause.left_s for found in serving), default=0.0)
        return left_s or None

    @property
    def changed(self) -> Offset:
        """Return the offset up to which all changes are known."""
        return self.known.offset

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
        self.outages.note_recovered()

    def note_restored(self) -> None:
        """Expect the list of an older copy of the source.

        What upstreams wrote last is missing there until they have written it again. Until then, an
        upstream that is missing is kept as stale, and one that was leaving or gone stays so.
        """
        self.outages.is_restored = True
        self.outages.note_recovered()

    def end_restoration(self) -> None:
        """Record that the list of the older copy has been applied."""
        self.outages.is_restored = False

    def put(self, registration: Registration, offset: Offset, *, gapless: bool = True) -> bool:
        """Apply an entry and return whether it changed anything.

        One that is no newer than the last one applied is ignored, and one that its upstream wrote
        before that, though the store took it later.

        :param gapless: whether all changes before ``offset`` have been applied.
        """
        upstream_id = registration.upstream_id
        if offset <= self._offsets.get(upstream_id, Offset(-1)):
            return False
        known = self._by_id.get(upstream_id)
        if known is not None and self._is_foreign(known, registration):
            self.foreign_entries.note(registration, offset)
            return False
        if self._is_late(registration):
            is_repeat = known is not None and known.registration.version == registration.version
            if not is_repeat:
                self.late_entries.note(registration, offset, is_known=known is not None)
            return False
        self._offsets[upstream_id] = offset
        was_lapsed = upstream_id in self._stale
        self._stale.discard(upstream_id)
        if self._has_begun_to_leave(known, registration):
            return False
        if known is None or is_other_process(known.registration, registration):
            self._replace(known, registration)
            self.known.note_change(offset, gapless=gapless)
            return True
        is_changed = was_lapsed or known.registration != registration
        known.registration = registration
        known.heard_at = self._clock.monotonic()
        known.health.end_doubt()
        if not is_changed:
            return False
        self.known.note_change(offset, gapless=gapless)
        known.usable_until = None
        self._apply_presence(known, registration)
        return True

    def remove(
        self,
        upstream_id: UpstreamId,
        offset: Offset,
        *,
        may_have_expired: bool = True,
        gapless: bool = True,
    ) -> None:
        """Apply an entry's removal.

        Soon after an outage of the source, the entry may only have expired because the upstream
        could not renew it. It is then kept as stale, unless the upstream was leaving.

        :param may_have_expired: False if the upstream is known to have renewed its entry until
            then.
        :param gapless: whether all changes before ``offset`` have been applied.
        """
        if offset <= self._offsets.get(upstream_id, Offset(-1)):
            return
        self._offsets[upstream_id] = offset
        self.known.note_change(offset, gapless=gapless)
        if upstream_id not in self._by_id:
            return
        expired = may_have_expired and self.outages.may_explain_removals
        if expired and not self._by_id[upstream_id].leaving:
            self._note_lapsed(self._by_id[upstream_id])
            return
        self._discard(upstream_id)

    def learn_departures(self, departures: cabc.Iterable[Departure]) -> None:
        """Take over what another host remembers of upstreams that have left.

        An upstream that came back by an entry that it wrote before it left is removed.
        """
        for found in departures:
            self.departures.note(found)
            known = self._by_id.get(found.upstream_id)
            if known is None or found.version is None:
                continue
            is_back = self.offset_of(found.upstream_id) > found.removed
            if is_back and is_late(known.registration.version, found.version, silent_for_s=0.0):
                offset = self.offset_of(found.upstream_id)
                self.late_entries.note(known.registration, offset, is_known=True)
                self._stale.discard(found.upstream_id)
                self._discard(found.upstream_id)

    def _is_foreign(self, known: Upstream, registration: Registration) -> bool:
        """Return whether an entry under an upstream's id is another writer's."""
        if self._displaces(known.registration, registration):
            return True
        if not self._is_configured(known.registration.service):
            return False
        unheard_s = self._clock.monotonic() - known.heard_at
        silent_for_s = min(unheard_s, self.outages.since_recovery_s)  # it can't write in an outage
        return contradicts(known, registration, silent_for_s=silent_for_s)

    def _displaces(self, one: Registration, other: Registration) -> bool:
        """Return whether only the first of two entries with one id is of a configured service."""
        return self._is_configured(one.service) and not self._is_configured(other.service)

    def _is_late(self, registration: Registration) -> bool:
        """Return whether an entry was written before the last one that is known."""
        now = self._clock.monotonic()
        known = self._by_id.get(registration.upstream_id)
        if known is not None and self._displaces(registration, known.registration):
            return False
        if known is not None:
            last, last_at = known.registration.version, known.heard_at
        else:
            departure = self.departures.get(registration.upstream_id)
            if departure is None:
                return False
            last, last_at = departure.version, departure.at
        return is_late(registration.version, last, silent_for_s=now - last_at)

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

    def remove_stale(self, *, age_s: float = 0.0) -> None:
        """Remove stale entries that were not renewed ``STALE_GRACE_S`` s after the recovery.

        :param age_s: how old the knowledge of all entries is, in seconds; renewals since may be
            unknown.
        """
        if not self.outages.has_grace_ended(age_s=age_s):
            return
        for upstream_id in self._stale:
            self._discard(upstream_id)
        self._stale.clear()

    def _has_begun_to_leave(self, known: Upstream | None, entry: Registration) -> bool:
        """Return whether an older copy lists a process that was seen to leave or to be gone."""
        if not self.outages.is_restored or entry.version is not None:
            return False
        if known is not None and not is_other_process(known.registration, entry):
            return known.leaving
        departure = self.departures.get(entry.upstream_id)
        return departure is not None and departure.started_ms == entry.started_ms

    def _apply_presence(self, known: Upstream, registration: Registration) -> None:
        leaving = known.said_leaving or registration.presence is Presence.LEAVING
        if leaving and not known.leaving:
            self._begin_to_leave(known)
            return
        if leaving != known.leaving:
            eliot.log_message(
                message_type="directory:presence",
                upstream=known.upstream_id,
                leaving=leaving,
                leaves_s=registration.leaves_s,
            )
        known.leaving = leaving

    def _begin_to_leave(self, upstream: Upstream) -> None:
        upstream.leaving = True
        upstream.leaving_since = self._clock.monotonic()
        eliot.log_message(
            message_type="directory:presence",
            upstream=upstream.upstream_id,
            leaving=True,
            leaves_s=upstream.registration.leaves_s,
            by_answer=upstream.said_leaving,
        )
        for listener in self._leaving_listeners:
            listener(upstream)

    def _replace(self, known: Upstream | None, registration: Registration) -> None:
        if known is not None:
            self._discard(known.upstream_id)
        speed = self.speeds.new_upstream(registration.service)
        upstream = Upstream(
            registration=registration, clock=self._clock, speed=speed, find_role=self.find_role
        )
        if upstream.process in self._said_leaving:
            upstream.said_leaving = upstream.leaving = True
        if upstream.leaving:
            upstream.leaving_since = self._clock.monotonic()
        if known is not None and is_disproved(known, registration):
            upstream.health.note_unproven()
        elif self._is_configured(registration.service):
            contest_address(self._by_id.values(), registration)
        self._by_id[upstream.upstream_id] = upstream
        self.departures.forget(upstream.upstream_id)
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

    def _note_departure(self, registration: Registration) -> None:
        is_foreign = not self._is_configured(registration.service)
        self.departures.note(
            Departure(
                upstream_id=registration.upstream_id,
                started_ms=registration.started_ms,
                version=None if is_foreign else registration.version,
                removed=self.offset_of(registration.upstream_id),
                at=self._clock.monotonic(),
            )
        )
        for forgotten in self.departures.forget_old():
            if forgotten not in self._by_id:
                self._offsets.pop(forgotten, None)

    def _discard(self, upstream_id: UpstreamId) -> None:
        upstream = self._by_id.pop(upstream_id)
        self._note_departure(upstream.registration)
        if not upstream.leaving:
            for listener in self._departure_listeners:
                listener(upstream)
        upstream.leaving = True
        upstream.pool.close()
        self._by_service[upstream.registration.service].remove(upstream)
        eliot.log_message(message_type="directory:gone", upstream=upstream_id)
