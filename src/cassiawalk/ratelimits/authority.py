"""Decides which host lends the permits of a group of limits, and how much of them.

Each group has one lender: the first candidate in the group's rendezvous order. It lends only while
hosts have confirmed that they hear it, each within ``CONTACT_S``. Hosts look for another lender
only when neither they nor the hosts that they hear have heard it for longer, and that one waits
``SETTLE_S`` and begins with nothing. So no two lend at once:

- A host that is killed, frozen, cut off or not heard (one way) loses its confirmations first.
- Of the sides of a partition, only one holds more than half of the hosts; it lends the whole. One
  with a quarter or more lends its part by number of hosts, times ``MINORITY_RATIO``; a smaller one
  lends nothing, as there may be many of them.
"""

import abc
import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.membership.rendezvous import rank

CONTACT_S = 2.0  # no longer than a host counts as live without a heartbeat
SETTLE_S = 0.6  # more than the interval of heartbeats, and than PERMIT_S
MINORITY_RATIO = 0.5
MIN_MINORITY = 0.25  # of all hosts
MAX_GROUPS = 1024


class FleetContact(abc.ABC):
    """What a host knows of the others, for the choice of lenders."""

    @abc.abstractmethod
    def candidates(self) -> cabc.Sequence[HostId]:
        """Return the hosts that may lend, as far as possible the same on all hosts."""

    @abc.abstractmethod
    def confirmed(self, within_s: float) -> cabc.Set[HostId]:
        """Return the other hosts that have heard this one, and that it has heard since.

        :param within_s: the age of what they heard, at most, on a clock that also runs while this
            host is suspended.
        """

    @abc.abstractmethod
    def host_count(self) -> int:
        """Return how many hosts there may be, including silent ones and this one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lending:
    """That this host lends.

    :param share: the part of each limit that it may lend, from 0 to 1.
    :param since: when it began, in monotonic seconds.
    """

    share: float
    since: float

    @property
    def is_whole(self) -> bool:
        """Return whether no other side of a partition lends as much."""
        return self.share >= 1.0


class LendingAuthority:
    """Knows who lends, and whether it is this host.

    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(self, *, host: HostId, contact: FleetContact, clock: Clock) -> None:
        self._host = host
        self._contact = contact
        self._clock = clock
        self._lending: dict[str, Lending] = {}
        self._ranked: tuple[HostId, ...] = ()
        self._lenders: dict[str, HostId] = {}

    def lender(self, group: str) -> HostId | None:
        """Return the host that lends the limits of a group, as far as this one knows."""
        candidates = tuple(self._contact.candidates())
        if candidates != self._ranked:
            self._ranked = candidates
            self._lenders.clear()
        if not candidates:
            return None
        lender = self._lenders.get(group)
        if lender is None:
            lender = self._lenders[group] = rank(group, candidates)[0]
            while len(self._lenders) > MAX_GROUPS:
                del self._lenders[next(iter(self._lenders))]
        return lender

    def refresh(self) -> None:
        """Look again at the groups of which this host lends, as contact may have been lost."""
        for group in list(self._lending):
            self.lending(group)

    def lending(self, group: str) -> Lending | None:
        """Return what this host lends of a group's limits; None if it lends nothing now."""
        now = self._clock.monotonic()
        share = self._share() if self.lender(group) == self._host else 0.0
        known = self._lending.get(group)
        if share <= 0.0:
            self._note(group, None)
            return None
        if known is None or share > known.share:
            known = Lending(share=share, since=now + SETTLE_S)
            self._note(group, known)
        elif share < known.share:
            known = dataclasses.replace(known, share=share)
            self._note(group, known)
        return known if now >= known.since else None

    def _share(self) -> float:
        hosts = self._contact.host_count()
        heard = len(self._contact.confirmed(CONTACT_S)) + 1
        if 2 * heard > hosts:
            return 1.0
        part = heard / hosts
        return MINORITY_RATIO * part if part >= MIN_MINORITY else 0.0

    def _note(self, group: str, lending: Lending | None) -> None:
        before = self._lending.pop(group, None)
        if lending is not None:
            self._lending[group] = lending
        while len(self._lending) > MAX_GROUPS:
            del self._lending[next(iter(self._lending))]
        if lending != before:
            eliot.log_message(
                message_type="limit:lending",
                group=group,
                share=0.0 if lending is None else round(lending.share, 4),
                before=0.0 if before is None else round(before.share, 4),
                confirmed=len(self._contact.confirmed(CONTACT_S)),
                hosts=self._contact.host_count(),
            )
