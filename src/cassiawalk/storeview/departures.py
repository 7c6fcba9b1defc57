"""The order of what an upstream says of itself, and the last words of those that have left.

The store's offsets tell in which order it took entries, not in which order they were written: one
that was held up on its way may arrive after newer ones, and after the removal of all of them. What
an upstream wrote last is told by when its process started and by the number of the entry.
"""

import collections.abc as cabc
import dataclasses

from cassiawalk.clock import Clock
from cassiawalk.ids import Offset
from cassiawalk.ids import UpstreamId

KEPT_S = 60.0  # longer than an entry is held up, or an older copy of the source is behind
MAX_KEPT = 1024
# A process may have an earlier start than the one before it, if the host's clock stepped back. It
# is taken for the later one when the other has said nothing for so long.
EARLIER_START_S = 20.0


@dataclasses.dataclass(frozen=True, order=True, kw_only=True)
class EntryVersion:
    """The place of an entry among all that were written under its upstream's id.

    :param started_ms: when the process started that wrote it, in milliseconds since the epoch.
    :param sequence: the number of the entry, which rises with each that the process writes.
    :param leaving: whether it says that the upstream leaves; of two entries with the same number,
        the one that does is the later.
    """

    started_ms: int
    sequence: int
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Departure:
    """The last that an upstream said before it left.

    :param removed: the offset of its removal.
    :param at: when this host learned of it, in monotonic seconds; not told to other hosts.
    """

    upstream_id: UpstreamId
    started_ms: int
    version: EntryVersion | None
    removed: Offset
    at: float


class Departures:
    """The upstreams that left in the last ``KEPT_S`` s; at most ``MAX_KEPT``."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[UpstreamId, Departure] = {}

    def __iter__(self) -> cabc.Iterator[Departure]:
        return iter(list(self._by_id.values()))

    def get(self, upstream_id: UpstreamId) -> Departure | None:
        """Return the departure of an upstream, or None if it is unknown or too long ago."""
        found = self._by_id.get(upstream_id)
        if found is None or self._clock.monotonic() - found.at > KEPT_S:
            return None
        return found

    def note(self, departure: Departure) -> None:
        """Keep a departure, unless a later one of the same upstream is known."""
        known = self.get(departure.upstream_id)
        if known is not None and not _is_later(departure.version, known.version):
            departure = dataclasses.replace(
                known, removed=max(known.removed, departure.removed), at=departure.at
            )
        self._by_id.pop(departure.upstream_id, None)
        self._by_id[departure.upstream_id] = departure

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget a departure, as the upstream is back."""
        self._by_id.pop(upstream_id, None)

    def forget_old(self) -> list[UpstreamId]:
        """Forget what is beyond the bounds; return the upstreams whose departure was forgotten."""
        oldest = self._clock.monotonic() - KEPT_S
        forgotten: list[UpstreamId] = []
        for found in list(self._by_id.values()):
            if len(self._by_id) <= MAX_KEPT and found.at >= oldest:
                break
            del self._by_id[found.upstream_id]
            forgotten.append(found.upstream_id)
        return forgotten


def is_late(
    version: EntryVersion | None, last: EntryVersion | None, *, silent_for_s: float
) -> bool:
    """Return whether an entry was written before the last one that is known of its upstream.

    An entry without a number is taken in the order of the store, unless its upstream numbers its
    entries: then it is another writer's.

    :param silent_for_s: how long ago the last one came, in seconds.
    """
    if last is None:
        return False
    if version is None:
        return True
    if version.started_ms < last.started_ms:
        return silent_for_s < EARLIER_START_S
    return version <= last


def _is_later(version: EntryVersion | None, last: EntryVersion | None) -> bool:
    if version is None or last is None:
        return last is None
    return version > last
