"""This host's view of one upstream."""

import collections.abc as cabc
import enum

import transitions

from cassiawalk.clients import HostEntry
from cassiawalk.clients import LoadReport
from cassiawalk.clock import Clock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId
from cassiawalk.routing.cache import CacheView
from cassiawalk.routing.load import UpstreamLoad

DEFAULT_SLOTS = 8


class UpstreamState(enum.Enum):
    """Lifecycle state of an upstream as seen by this host."""

    STARTING = "starting"
    SERVING = "serving"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class Trigger(enum.Enum):
    """Events that change the state of an upstream."""

    SERVING = "note_serving"
    FAILURE = "note_failure"
    LEAVING = "note_leaving"
    GONE = "note_gone"


_LIVE_STATES = [UpstreamState.STARTING, UpstreamState.SERVING, UpstreamState.SUSPECT]

_TRANSITIONS = [
    {"trigger": Trigger.SERVING.value, "source": _LIVE_STATES, "dest": UpstreamState.SERVING},
    {"trigger": Trigger.FAILURE.value, "source": _LIVE_STATES, "dest": UpstreamState.SUSPECT},
    {"trigger": Trigger.LEAVING.value, "source": _LIVE_STATES, "dest": UpstreamState.LEAVING},
    {
        "trigger": Trigger.GONE.value,
        "source": [*_LIVE_STATES, UpstreamState.LEAVING],
        "dest": UpstreamState.GONE,
    },
]


class _StateMachine:
    """State machine shared by all upstreams; one for each would take 15 KB of memory apiece."""

    state: UpstreamState

    def __init__(self) -> None:
        self._machine = transitions.Machine(
            model=self,
            states=UpstreamState,
            transitions=_TRANSITIONS,
            initial=UpstreamState.STARTING,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    def next_state(self, state: UpstreamState, trigger: Trigger) -> UpstreamState | None:
        """Return the state after a trigger, or None if it does not apply in ``state``."""
        self.state = state
        applied = self.trigger(trigger.value)  # type: ignore[attr-defined]
        return self.state if applied else None


_STATE_MACHINE = _StateMachine()

Listener = cabc.Callable[["UpstreamView"], None]


def _ignore(_: "UpstreamView") -> None:
    """Ignore the event."""


class UpstreamView:
    """Identity, state and load of one upstream.

    ``failed_at`` and ``reported_at`` are in monotonic seconds. The table sets ``ejected``; a
    suspect upstream that is not ejected still takes work, because too many others are suspect.
    ``drained`` is set while an operator has drained the upstream. ``reserved_for``, if set, is the
    only request that may be sent to the upstream.

    :param on_failure: called after each failure.
    :param on_leaving: called once, when the upstream starts to leave.
    """

    def __init__(
        self,
        *,
        entry: HostEntry,
        clock: Clock,
        on_failure: Listener = _ignore,
        on_leaving: Listener = _ignore,
    ) -> None:
        self.upstream_id = UpstreamId(entry.host)
        self.entry = entry
        self._clock = clock
        self._on_failure = on_failure
        self._on_leaving = on_leaving
        self.own_running: set[RequestId] = set()
        self.report: LoadReport | None = None
        self.reported_at: float | None = None
        self.failures = 0
        self.failed_at: float | None = None
        self.ejected = False
        self.drained = False
        self.reserved_for: RequestId | None = None
        self._measured_at_failure_s = 0.0
        self.load = UpstreamLoad(clock=clock)
        self.cache = CacheView()
        self.state = UpstreamState.STARTING

    @property
    def pool(self) -> PoolName:
        """Return the upstream's pool."""
        return self.entry.pool

    @property
    def failure_domain(self) -> FailureDomain:
        """Return the upstream's failure domain."""
        return self.entry.failure_domain

    @property
    def process(self) -> str:
        """Return a name of the upstream's process: its id, as each process has its own."""
        return self.upstream_id

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream is leaving."""
        return self.state is UpstreamState.LEAVING

    @property
    def is_busy(self) -> bool:
        """Return whether requests of this host run on the upstream."""
        return bool(self.own_running)

    @property
    def price(self) -> float:
        """Return the price of the upstream's host, in cost units an hour."""
        return self.entry.price

    @property
    def reclaimable(self) -> bool:
        """Return whether the cloud may reclaim the upstream's host."""
        return self.entry.reclaimable

    @property
    def takes_work(self) -> bool:
        """Return whether new work may be sent to the upstream."""
        if self.drained or self.reserved_for is not None:
            return False
        if self.state is UpstreamState.SUSPECT:
            return not self.ejected
        return self.state in (UpstreamState.STARTING, UpstreamState.SERVING)

    @property
    def slots(self) -> int:
        """Return how many requests the upstream runs at a time."""
        return self.report.slots if self.report is not None else DEFAULT_SLOTS

    def note_report(self, report: LoadReport, *, connected_at: float | None = None) -> None:
        """Store a load report and the time of its arrival.

        A suspect upstream is serving again only after a report that was measured after the failure
        and that arrived over a connection opened after the failure.

        :param connected_at: when the connection of the report was opened, in monotonic
            seconds; None if it was opened just now.
        """
        self.report = report
        self.reported_at = self._clock.monotonic()
        self.load.note_report(report)
        if self._ends_suspicion(report, connected_at):
            self.fire("note_serving")

    def fire(self, trigger: str) -> None:
        """Apply a trigger; ignore it if the current state has no transition for it."""
        state = _STATE_MACHINE.next_state(self.state, Trigger(trigger))
        if state is None:
            return
        self.state = state
        if trigger == Trigger.FAILURE.value:
            self._handle_failure()
        elif trigger == Trigger.LEAVING.value:
            self._on_leaving(self)

    def _ends_suspicion(self, report: LoadReport, connected_at: float | None) -> bool:
        if self.state is not UpstreamState.SUSPECT or self.failed_at is None:
            return True
        if connected_at is not None and connected_at < self.failed_at:
            return False
        return report.measured_s > self._measured_at_failure_s

    def _handle_failure(self) -> None:
        self.failures += 1
        self.failed_at = self._clock.monotonic()
        if self.report is not None:
            self._measured_at_failure_s = self.report.measured_s
        self._on_failure(self)
