"""Which requests run on which upstreams, and which may run on after their connection was lost."""

import collections.abc as cabc
import contextlib

from cassiawalk.clock import Clock
from cassiawalk.crashes.subjects import GuardedRequest
from cassiawalk.crashes.subjects import GuardedUpstream
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import RequestId

LOST_RETENTION_S = 8.0  # longer than it takes until the entry of a dead upstream is removed


class RunningRequests:
    """The requests of this host that a death of an upstream may be due to."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._running: dict[RequestId, tuple[str, Fingerprint]] = {}
        # Until when a death of the process counts against the request, in monotonic seconds.
        self._lost: dict[str, dict[Fingerprint, float]] = {}

    @contextlib.contextmanager
    def running(self, request: GuardedRequest, upstream: GuardedUpstream) -> cabc.Iterator[None]:
        """Count the request as running on an upstream while the context is open."""
        self._running[request.request_id] = (upstream.process, request.fingerprint)
        try:
            yield
        finally:
            self._running.pop(request.request_id, None)

    def note_lost(
        self, request: GuardedRequest, upstream: GuardedUpstream, *, runs_for_s: float
    ) -> None:
        """Record that the connection was lost on which an upstream ran the request.

        :param runs_for_s: how much longer the upstream may run it all the same, in seconds.
        """
        now = self._clock.monotonic()
        self._lost = {
            process: kept
            for process, found in self._lost.items()
            if (kept := {name: until for name, until in found.items() if until > now})
        }
        until = now + runs_for_s + LOST_RETENTION_S
        found = self._lost.setdefault(upstream.process, {})
        found[request.fingerprint] = max(until, found.get(request.fingerprint, until))

    def has_lost(self, upstream: GuardedUpstream) -> bool:
        """Return whether requests lost their connection to the upstream recently."""
        return upstream.process in self._lost

    def forget_lost(self, process: str) -> None:
        """Forget the requests that lost their connection to a process."""
        self._lost.pop(process, None)

    def on(self, process: str) -> frozenset[Fingerprint]:
        """Return the requests that run on a process, or may have run on it until now."""
        running = {name for found, name in self._running.values() if found == process}
        return frozenset(running | self._lost.get(process, {}).keys())
