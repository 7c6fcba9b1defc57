"""Which hosts a time limit binds: those that were neither disrupted nor cut off for a while."""

import dataclasses

SETTLE_S = 3.0  # after its last disruption


@dataclasses.dataclass(frozen=True, kw_only=True)
class Span:
    """A disruption, in monotonic seconds.

    :param host: a host, the address of an upstream's link, or None for the store.
    """

    host: str | None
    began_at: float
    ended_at: float


class Touch:
    """The disruptions of a run."""

    def __init__(self) -> None:
        self._spans: list[Span] = []

    def add(self, host: str | None, began_at: float, ended_at: float) -> None:
        """Record a disruption, see ``Span``."""
        self._spans.append(Span(host=host, began_at=began_at, ended_at=ended_at))

    def is_calm(self, host: str | None, since: float, until: float) -> bool:
        """Return whether nothing disrupted a host, or the store, from ``SETTLE_S`` s before on."""
        return not any(
            span.host == host and span.began_at < until and span.ended_at > since - SETTLE_S
            for span in self._spans
        )

    def binds(self, host: str, acknowledged_at: float, until: float) -> bool:
        """Return whether a host has to have applied what the store acknowledged."""
        stable = self.is_calm(None, acknowledged_at, until)
        return stable and self.is_calm(host, acknowledged_at, until)
