"""This host's view of one upstream."""

import enum

import transitions

from cassiawalk.clock import Clock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId
from cassiawalk.platform import HostEntry
from cassiawalk.platform import LoadReport
from cassiawalk.routing.load import UpstreamLoad
from cassiawalk.routing.prefix import CacheView

DEFAULT_SLOTS = 8


class UpstreamState(enum.Enum):
    """The life of an upstream as seen from this host."""

    STARTING = "starting"
    SERVING = "serving"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


_TRANSITIONS = [
    {
        "trigger": "note_serving",
        "source": [UpstreamState.STARTING, UpstreamState.SUSPECT, UpstreamState.SERVING],
        "dest": UpstreamState.SERVING,
    },
    {
        "trigger": "note_failure",
        "source": [UpstreamState.STARTING, UpstreamState.SERVING, UpstreamState.SUSPECT],
        "dest": UpstreamState.SUSPECT,
    },
    {"trigger": "note_leaving", "source": "*", "dest": UpstreamState.LEAVING},
    {"trigger": "note_gone", "source": "*", "dest": UpstreamState.GONE},
]


class UpstreamView:
    """Identity, state and load of one upstream."""

    state: UpstreamState

    def __init__(self, *, entry: HostEntry, clock: Clock) -> None:
        self.upstream_id = UpstreamId(entry.host)
        self.entry = entry
        self._clock = clock
        self.own_running: set[RequestId] = set()
        self.report: LoadReport | None = None
        self.reported_at: float | None = None
        self.load = UpstreamLoad(clock=clock)
        self.cache = CacheView()
        self._machine = transitions.Machine(
            model=self,
            states=UpstreamState,
            transitions=_TRANSITIONS,
            initial=UpstreamState.STARTING,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    @property
    def pool(self) -> PoolName:
        """Return the pool that the upstream belongs to."""
        return self.entry.pool

    @property
    def failure_domain(self) -> FailureDomain:
        """Return the upstream's failure domain."""
        return self.entry.failure_domain

    @property
    def takes_work(self) -> bool:
        """Return whether new work may be sent to the upstream."""
        return self.state in (UpstreamState.STARTING, UpstreamState.SERVING)

    @property
    def slots(self) -> int:
        """Return how many requests the upstream runs at once."""
        return self.report.slots if self.report is not None else DEFAULT_SLOTS

    def note_report(self, report: LoadReport) -> None:
        """Keep a load report and when it came."""
        self.report = report
        self.reported_at = self._clock.monotonic()
        self.load.note_report(report)
        self.fire("note_serving")

    def fire(self, trigger: str) -> None:
        """Run a transition; one that does not apply in the present state is ignored."""
        self.trigger(trigger)  # type: ignore[attr-defined]
