"""Deaths of upstreams, and which of them are failures of a whole failure domain."""

import collections.abc as cabc
import dataclasses

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Fingerprint

DOMAIN_WINDOW_S = 5.0
MAX_DEATHS = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class Death:
    """A process of an upstream that died without notice, and the requests that ran on it.

    ``at`` is the time of the death in wall-clock seconds. ``running`` holds only the requests of
    the host that noticed the death.
    """

    process: str
    failure_domain: FailureDomain
    at: float
    running: frozenset[Fingerprint] = frozenset()


class DeathLog:
    """The most recent deaths.

    Several deaths in one failure domain within seconds are a failure of the domain, unless a
    request that ran on all of these upstreams may be the cause. A death during an announced
    isolated run is no evidence of a failure of the domain: that request may be its cause.

    :param window_s: greatest time between two deaths of one domain failure, in seconds.
    """

    def __init__(self, *, window_s: float = DOMAIN_WINDOW_S) -> None:
        self._window_s = window_s
        self._deaths: list[Death] = []

    def add(self, death: Death) -> None:
        """Add a death; drop the oldest beyond ``MAX_DEATHS``."""
        self._deaths = [*self._deaths, death][-MAX_DEATHS:]

    def remove(self, process: str) -> None:
        """Remove a death that is no evidence of a failure of its domain."""
        self._deaths = [other for other in self._deaths if other.process != process]

    def processes(self) -> set[str]:
        """Return the processes whose deaths are in the log."""
        return {death.process for death in self._deaths}

    def replace(self, death: Death) -> None:
        """Replace what is known of the death of a process."""
        self._deaths = [
            death if other.process == death.process else other for other in self._deaths
        ]

    def related(self, death: Death, others: cabc.Iterable[Death] = ()) -> list[Death]:
        """Return the deaths that a failure of ``death``'s domain may explain as well.

        :param others: deaths that are not in this log.
        """
        return [other for other in (*self._deaths, *others) if self._is_related(death, other)]

    def _is_related(self, death: Death, other: Death) -> bool:
        return (
            other.process != death.process
            and other.failure_domain == death.failure_domain
            and abs(other.at - death.at) <= self._window_s
            and not (other.running & death.running)
        )
