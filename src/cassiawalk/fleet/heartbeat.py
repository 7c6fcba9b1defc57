"""The heartbeat message: a host's own state and, from a hub, the aggregate of other hosts."""

import dataclasses

from cassiawalk.duties.progress import NO_WINDOW
from cassiawalk.duties.usage import WindowCounts
from cassiawalk.fleet.aggregates import HostAggregate
from cassiawalk.fleet.aggregates import UpstreamUse
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.peer.messages import messages
from cassiawalk.rollouts.counting import VersionCount
from cassiawalk.rollouts.types import RolloutOrder
from cassiawalk.rollouts.types import RolloutState
from cassiawalk.wire import OMITTED_IF_NONE


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutNews:
    """What the sender knows of rollouts.

    :param states: the states of rollouts, one for each service that has had one.
    :param ages_s: for how long the holder of the duties has not been known to announce each of
        them, in seconds; -1 if it is not known to have.
    :param orders: the orders of which no state is known.
    """

    states: tuple[RolloutState, ...]
    ages_s: tuple[float, ...]
    orders: tuple[RolloutOrder, ...] = ()


@messages.register("host-beat")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """One host's state; the receiver answers with its own.

    :param incarnation: identifies the process; changes with each restart of the host.
    :param now_s: the sender's corrected time, in seconds since the epoch.
    :param revision: the configuration revision in force at the sender, -1 if there is none.
    :param directory: the offset up to which the sender knows all changes of upstreams.
    :param store_ok: whether the platform's store answers the sender's reads.
    :param reads: whether the sender reads the store itself.
    :param knows: whether it reads the store or receives heartbeats from a host that does.
    :param duty: the host that holds the duties, as far as the sender knows.
    :param leaving: whether the sender drains before it stops.
    :param drawn: quota consumption since the sender's start, by workspace.
    :param lent: how much of ``drawn`` the lender of the fleet's quotas has lent.
    :param is_new: whether no host has counted the sender's consumption yet, so that it counts from
        the sender's start.
    :param use: the sender's load on each upstream.
    :param reading: the prefill demand of the sender's callers by service, in prompt tokens per
        second.
    :param usage: counts of started requests in the latest usage windows.
    :param first: whether the receiver is the sender's primary hub, which aggregates it.
    :param counted: from a hub, the aggregate of the hosts whose primary hub it is.
    :param rest: from a hub, the aggregate of all hosts except the receiver.
    :param share: with ``rest``, the fraction of all hosts that the hubs have heartbeats from.
    :param hosts: with ``rest``, the number of hosts that the hubs have heartbeats from.
    :param strength: the sender's capacity to serve other hosts, see ``HostProfile``.
    :param config_age_s: the age of the sender's knowledge of the configuration in seconds, see
        ``Freshness``; None if it has none.
    :param directory_age_s: the same of the upstreams.
    :param reported: the last usage window that is known to be reported, see ``SharedProgress``.
    :param made_at: when it was made, on a clock of the sender that also runs while it is suspended.
    :param repeats: ``made_at`` of the receiver's last heartbeat that has reached the sender.
    :param hears: the hosts that the sender hears itself; of a large fleet, the hubs. Only told
        while a host lends or borrows.
    :param borrows: whether the sender has lent or borrowed permits lately, see ``ratelimits``.
    :param census: the number of hosts that the sender counts itself, see ``HostCensus``.
    :param timings: the sender's last sample of the speed of each upstream that has answered it
        lately: its number and the cost of a unit of work in nanoseconds, see ``UpstreamSpeed``.
    :param rollouts: what the sender knows of rollouts; None if it knows of none.
    :param responses: the sender's counts of responses by version while a rollout runs, else None.
    :param slowness: from a hub, how many percent of the usual time the upstreams take that differ
        from the others; None if it does not know yet.
    """

    host: HostId
    incarnation: str
    failure_domain: str
    peer_address: str
    now_s: float
    revision: int
    directory: Offset
    store_ok: bool
    reads: bool
    knows: bool
    duty: HostId | None
    leaving: bool
    drawn: dict[WorkspaceName, float]
    use: tuple[UpstreamUse, ...]
    reading: dict[ServiceName, float]
    usage: tuple[WindowCounts, ...]
    first: bool = False
    counted: HostAggregate | None = None
    rest: HostAggregate | None = None
    share: float = 1.0
    hosts: int = 0
    strength: float = 1.0
    notes: str | None = None
    census: int = 0
    reported: int = NO_WINDOW
    config_age_s: float | None = None
    directory_age_s: float | None = None
    made_at: float = 0.0
    repeats: float | None = None
    hears: tuple[HostId, ...] = ()
    borrows: bool = False
    timings: dict[UpstreamId, tuple[int, ...]] = dataclasses.field(default_factory=dict)
    slowness: dict[UpstreamId, int] | None = None
    is_new: bool = False
    rollouts: RolloutNews | None = dataclasses.field(default=None, metadata=OMITTED_IF_NONE)
    responses: tuple[VersionCount, ...] | None = dataclasses.field(
        default=None, metadata=OMITTED_IF_NONE
    )
    lent: dict[WorkspaceName, float] = dataclasses.field(default_factory=dict)

    @property
    def process(self) -> str:
        """Return the host and incarnation, which identify one process."""
        return f"{self.host}/{self.incarnation}"


@dataclasses.dataclass(kw_only=True)
class PeerView:
    """The last heartbeat of another host and when it was received, in monotonic seconds."""

    heartbeat: Heartbeat
    received_at: float
