"""Followers of the store's streams of configuration and upstream records."""

import collections
import collections.abc as cabc
import dataclasses
import random

import eliot

from cassiawalk.clients import KeyedChanges
from cassiawalk.clients import KeyedList
from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clock import Clock
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.ids import UpstreamId
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.config import IngressConfig
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.follow import StreamFollower
from cassiawalk.storeview.outages import MIN_LAPSE_GAP_S
from cassiawalk.storeview.upstream import Registration

MAX_REMOVALS_KEPT = 256
# Renewals of one entry in the first read after an outage, from which on the outage was this host's
# alone. After one of the source there are fewer: one before it, and those since its end.
MIN_RENEWALS = 4
MIN_OWN_RENEWALS = 2  # an entry renewed this often in one read has not expired by the end of it

ConfigDecoder = cabc.Callable[[bytes], IngressConfig]
RegistrationDecoder = cabc.Callable[[str, bytes], Registration | None]


class ConfigFollower(StreamFollower):
    """Follows the configuration and puts new revisions in force.

    ``raw`` is the encoded revision in force, for hosts that copy it from this one. ``on_other`` is
    called with each other record of the stream.

    :param key: the key of the configuration's record.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        options: ReadOptions,
        key: str,
        decode: ConfigDecoder,
        view: ConfigView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(log=log, options=options, clock=clock, rng=rng)
        self._key = key
        self._decode = decode
        self._view = view
        self.raw: bytes | None = None
        self.on_other: cabc.Callable[[KeyedRecord], None] = lambda _: None

    def apply_record(self, record: KeyedRecord) -> None:
        """Put a revision in force if it is newer."""
        if record.key != self._key:
            self.on_other(record)
            return
        if record.value is None:
            return
        self.apply_value(record.value, source="record")

    def apply_value(self, value: bytes, *, source: str) -> None:
        """Put an encoded revision in force if it is newer.

        If it cannot be decoded, that is logged and the current revision stays in force.
        """
        try:
            config = self._decode(value)
        except WireError as exc:
            eliot.log_message(message_type="config:unreadable", reason=exc.message, source=source)
            return
        if self._view.offer(config):
            eliot.log_message(
                message_type="config:in-force",
                revision=config.revision,
                routes=len(config.routes),
                quotas={space.name: space.rate_per_s for space in config.workspaces},
                source=source,
            )
            self.raw = value

    def version(self) -> int:
        """Return the revision in force, -1 if there is none."""
        return -1 if self._view.current is None else self._view.current.revision

    def on_caught_up(self) -> None:
        """Record as of when there is no newer revision."""
        self._view.note_checked(self._clock.monotonic() - self.freshness.age_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class DirectoryChanges:
    """What one host tells another of the upstreams that changed after an offset.

    :param records: the entries that changed, and the removals that the host knows.
    :param present: the keys of all entries there are, if the host may not know all removals: one
        that has read the complete list does not know what was removed before. None if it does.
    :param through: the offset up to which the host knows all changes; -1 if it does not say so.
        Records beyond it say nothing of other changes before them.
    """

    records: tuple[KeyedRecord, ...]
    present: tuple[str, ...] | None = None
    through: Offset = Offset(-1)


class DirectoryFollower(StreamFollower):
    """Follows the upstreams' registrations and updates the directory."""

    def __init__(
        self,
        *,
        log: KeyedLog,
        options: ReadOptions,
        decode: RegistrationDecoder,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(log=log, options=options, clock=clock, rng=rng)
        self._decode = decode
        self._directory = directory
        self._raw: dict[str, KeyedRecord] = {}
        self._removed: dict[str, Offset] = {}
        self._unreadable: set[str] = set()  # keys whose newest entry names no upstream here
        self._removals_known_after = Offset(-1)
        # Of the current batch.
        self._renewals: collections.Counter[str] = collections.Counter()
        self._gap_at: Offset | None = None  # records from this offset on may be missing

    @property
    def known_through(self) -> Offset:
        """Return the offset up to which this host knows all changes."""
        return self._directory.changed

    def changes_since(self, offset: Offset) -> DirectoryChanges:
        """Return what changed after ``offset``."""
        removed = [KeyedRecord(key=key, value=None, offset=at) for key, at in self._removed.items()]
        present = [record for record in self._raw.values() if self._is_known(record)]
        records = [*present, *removed]
        changed = tuple(record for record in records if record.offset > offset)
        if offset >= self._removals_known_after:
            return DirectoryChanges(records=changed, through=self.known_through)
        return DirectoryChanges(
            records=changed,
            present=(*(record.key for record in present), *self._unreadable),
            through=self.known_through,
        )

    def _is_known(self, record: KeyedRecord) -> bool:
        """Return whether an entry's upstream has not been dropped since."""
        return self._directory.get(UpstreamId(record.key)) is not None

    def apply_copy(self, changes: DirectoryChanges) -> None:
        """Apply what another host has read, except records older than known ones."""
        if self.freshness.gap_s >= MIN_LAPSE_GAP_S:
            self._directory.note_source_recovered()
        self._begin_batch(gap_at=Offset(0))
        for record in sorted(changes.records, key=lambda record: record.offset):
            self.apply_record(record)
        if changes.present is not None:
            self._keep_only({UpstreamId(key) for key in changes.present}, changes.through)
        self._directory.known.advance_to(changes.through)
        self._directory.note_loaded()
        self._remove_stale()

    def on_batch(self, batch: KeyedList | KeyedChanges) -> None:
        """Count renewals anew."""
        self._begin_batch(gap_at=batch.end if isinstance(batch, KeyedList) else None)

    def _begin_batch(self, *, gap_at: Offset | None) -> None:
        self._renewals.clear()
        self._gap_at = gap_at

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply an upstream's entry or its removal."""
        upstream_id = UpstreamId(record.key)
        gapless = self._gap_at is None or record.offset < self._gap_at
        if record.value is None:
            if record.offset > self._directory.offset_of(upstream_id):
                self._record_removal(record.key, record.offset)
            may_have_expired = self._renewals[record.key] < MIN_OWN_RENEWALS
            self._directory.remove(
                upstream_id, record.offset, may_have_expired=may_have_expired, gapless=gapless
            )
            return
        if self._is_outdated(record):
            return
        self._renewals[record.key] += 1
        registration = self._decode(record.key, record.value)
        if registration is None:
            self._unreadable.add(record.key)
            return
        self._unreadable.discard(record.key)
        newer = record.offset > self._directory.offset_of(upstream_id)
        changed = self._directory.put(registration, record.offset, gapless=gapless)
        is_taken = newer and record.offset == self._directory.offset_of(upstream_id)
        # Lists and copies have only the newest record of each entry. One that changes nothing here
        # may undo a change that was left out, and hosts that copy from this one know that change.
        if changed or (is_taken and self._gap_at is not None):
            self._raw[record.key] = record
            self._removed.pop(record.key, None)

    def _is_outdated(self, record: KeyedRecord) -> bool:
        """Return whether the upstream of an entry was missing from all entries at a later time.

        A host that has copied all entries since its last read goes on where that ended, and so
        reads records from before the copy.
        """
        is_old = self._gap_at is None and record.offset <= self._removals_known_after
        return is_old and self._directory.get(UpstreamId(record.key)) is None

    def _record_removal(self, key: str, offset: Offset) -> None:
        self._raw.pop(key, None)
        self._unreadable.discard(key)
        self._removed[key] = offset
        while len(self._removed) > MAX_REMOVALS_KEPT:
            forgotten = self._removed.pop(next(iter(self._removed)))
            self._removals_known_after = max(self._removals_known_after, forgotten)

    def _keep_only(self, present: cabc.Collection[UpstreamId], through: Offset) -> None:
        """Remove upstreams that are missing from all entries there are as of ``through``."""
        for key in [key for key in self._raw if key not in present]:
            if self._directory.offset_of(UpstreamId(key)) < through:
                self._record_removal(key, through)
        self._unreadable &= set(present)
        self._unreadable |= set(present) - self._raw.keys()
        self._directory.reconcile(present, through)
        self._removals_known_after = max(self._removals_known_after, through)

    def apply_list(self, batch: KeyedList) -> None:
        """Remove upstreams that are not in a complete list."""
        present = {UpstreamId(record.key) for record in batch.records if record.value is not None}
        through = Offset(batch.end - 1)
        self._keep_only(present, through)
        self._directory.known.advance_to(through)
        self._directory.note_loaded()
        self._directory.lists_read += 1
        self._directory.end_restoration()

    def version(self) -> int:
        """Return the offset of the directory's last change."""
        return self._directory.changed

    def on_read_before(self, end: Offset) -> None:
        """Record that what a list held beyond its end is known without gaps."""
        self._directory.known.note_read_before(end)

    def on_caught_up(self) -> None:
        """Remove stale entries that were not renewed in time."""
        self._remove_stale()

    def _remove_stale(self) -> None:
        self._directory.remove_stale(age_s=self.freshness.age_s)

    def on_restored(self) -> None:
        """Expect an older copy of the list, in which upstreams may be missing or be back."""
        self._directory.note_restored()

    def on_source_recovered(self, batch: KeyedList | KeyedChanges) -> None:
        """Treat removals that follow as entries that may only have expired in the outage.

        If upstreams went on to renew their entries, or other hosts could read, only this host was
        turned away, and no entry has expired for that reason.
        """
        if self.freshness.gap_s < MIN_LAPSE_GAP_S:
            return
        renewals = collections.Counter(
            record.key for record in batch.records if record.value is not None
        )
        if isinstance(batch, KeyedList) or max(renewals.values(), default=0) < MIN_RENEWALS:
            self._directory.note_source_recovered()
