"""Deaths of upstreams and what explains them."""

import dataclasses

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import UpstreamId

DOMAIN_WINDOW_S = 5.0
DEATHS_KEPT = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class Death:
    """An upstream that died with no notice, and what was running on it from this host.

    ``at`` is in monotonic seconds.
    """

    upstream: UpstreamId
    failure_domain: FailureDomain
    at: float
    running: frozenset[Fingerprint] = frozenset()


class DeathLog:
    """The latest deaths.

    Several deaths in one failure domain within seconds are a failure of the domain, unless a
    request that ran on all of them may be what they have in common. Each host knows only its own
    requests, so a death under an announced solo run tells nothing about its domain: it may be the
    second death of a request that other hosts ran before.
    """

    def __init__(self, *, window_s: float = DOMAIN_WINDOW_S) -> None:
        self._window_s = window_s
        self._deaths: list[Death] = []

    def note(self, death: Death) -> None:
        """Keep a death."""
        self._deaths = [*self._deaths, death][-DEATHS_KEPT:]

    def forget(self, death: Death) -> None:
        """Drop a death that tells nothing about its domain."""
        self._deaths = [other for other in self._deaths if other is not death]

    def near(self, death: Death) -> list[Death]:
        """Return the deaths that may have the cause of ``death``, which lies in their domain."""
        return [other for other in self._deaths if self._is_near(death, other)]

    def _is_near(self, death: Death, other: Death) -> bool:
        return (
            other.upstream != death.upstream
            and other.failure_domain == death.failure_domain
            and abs(other.at - death.at) <= self._window_s
            and not (other.running & death.running)
        )
