"""The message in which a host tells others of itself, and a hub of the hosts that it counts."""

import dataclasses

from cassiawalk.duties.usage import WindowCounts
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.aggregates import HostAggregate
from cassiawalk.ingress.aggregates import UpstreamUse
from cassiawalk.peer.messages import messages


@messages.register("host-beat")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """One host's state; answered with the other's.

    :param now_s: what the host takes for true time, in seconds since the epoch.
    :param directory: the offset of the last change of an upstream that it knows.
    :param store_ok: whether the host could read the platform's store.
    :param reads: whether it does.
    :param knows: whether it does, or hears a host that does.
    :param duty: which host holds the duties, as far as it knows.
    :param drawn: what it drew of workspaces' quotas since its start.
    :param reading: prompt tokens a second that its callers ask for.
    :param first: whether the receiver is the hub that counts this host.
    :param counted: of a hub, the hosts that it counts.
    :param rest: in a hub's answer, all hosts but the asker.
    :param share: in a hub's answer, the part of all hosts that the hubs hear.
    :param hosts: in a hub's answer, how many hosts the hubs hear.
    :param strength: what the host can do for others.
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

    @property
    def process(self) -> str:
        """Return the name of the process."""
        return f"{self.host}/{self.incarnation}"


@dataclasses.dataclass(kw_only=True)
class PeerView:
    """The last beat of another host and when it came, in monotonic seconds."""

    heartbeat: Heartbeat
    heard_at: float
