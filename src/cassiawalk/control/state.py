"""The configuration that results from folding the ``control`` stream."""

import dataclasses
import enum

from cassiawalk.ids import CommandId
from cassiawalk.ids import Offset
from cassiawalk.ids import PoolName
from cassiawalk.ids import Revision
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName


class KindMode(enum.Enum):
    """The delivery guarantee of a request kind."""

    QUICK = "quick"
    MUST_ARRIVE = "must_arrive"
    AT_MOST_ONCE = "at_most_once"


class PoolType(enum.Enum):
    """The type of the upstreams of a pool."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """A pool of upstreams of one type.

    ``checks_fencing`` states whether they refuse orders with an old fencing token. ``cost_weight``
    and ``recompute_weight`` are the weights of price and of recomputed tokens in routing.
    ``model`` is the model that the engines should load; empty for none.
    """

    type: PoolType
    checks_fencing: bool = True
    cost_weight: float = 1.0
    recompute_weight: float = 1.0
    model: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service and its pool. ``look_up`` is the upstream path to look up outcomes by key."""

    pool: PoolName
    look_up: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One request kind of a service.

    ``target_ms`` is the latency target: the time to the first token of a stream, or to the whole
    answer otherwise. ``deadline_s`` is the default deadline of requests without their own.
    ``weight`` is the kind's weight in the measure of requests answered within their target.
    """

    mode: KindMode
    target_ms: int = 1400
    deadline_s: float = 60.0
    max_tokens: int = 256
    weight: float = 1.0
    path: str = "/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer. ``token_sha256`` is the hex digest of the bearer token of its callers.

    ``services`` lists the services that it may use, separated by spaces; empty allows all.
    """

    token_sha256: str
    share: float = 1.0
    services: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """Limits of a workspace, summed over all hosts."""

    requests_per_s: float = 0.0
    concurrent: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drain:
    """Marks a host or upstream that must not get new work."""

    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Quarantine:
    """Blocks requests with a fingerprint until ``until_s`` (wall-clock seconds)."""

    until_s: float
    reason: str = ""


class Verdict(enum.Enum):
    """The decision of the fold on a command."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandVerdict:
    """The verdict on a command, kept for the audit and to answer repeats of its id."""

    verdict: Verdict
    revision: Revision
    detail: str = ""
    operator: str = ""
    statement: str = ""
    issued_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """The last change to an object: revision, command and operator."""

    revision: Revision
    command_id: CommandId
    operator: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigState:
    """The whole configuration after the record at ``through_offset``.

    ``verdicts`` and ``removals`` are bounded. ``verdict_floor_s`` is the latest time, in wall-clock
    seconds, of the command ids whose verdicts were dropped. ``removal_floor`` is the highest
    revision of the removals that were dropped.
    """

    revision: Revision = Revision(0)
    through_offset: Offset = Offset(-1)
    services: dict[ServiceName, Service] = dataclasses.field(default_factory=dict)
    kinds: dict[str, Kind] = dataclasses.field(default_factory=dict)
    workspaces: dict[WorkspaceName, Workspace] = dataclasses.field(default_factory=dict)
    limits: dict[WorkspaceName, Limit] = dataclasses.field(default_factory=dict)
    pools: dict[PoolName, Pool] = dataclasses.field(default_factory=dict)
    drains: dict[str, Drain] = dataclasses.field(default_factory=dict)
    quarantines: dict[str, Quarantine] = dataclasses.field(default_factory=dict)
    changes: dict[str, Change] = dataclasses.field(default_factory=dict)
    removals: dict[str, Change] = dataclasses.field(default_factory=dict)
    removal_floor: Revision = Revision(0)
    verdicts: dict[CommandId, CommandVerdict] = dataclasses.field(default_factory=dict)
    verdict_floor_s: float = 0.0

    def kind(self, service: str, kind: str) -> Kind | None:
        """Return a request kind of a service, or None."""
        return self.kinds.get(f"{service}/{kind}")

    def quarantine(self, fingerprint: str, *, now_s: float) -> Quarantine | None:
        """Return the quarantine of a fingerprint, or None if there is none or it has expired.

        :param now_s: wall-clock time in seconds.
        """
        found = self.quarantines.get(fingerprint)
        return found if found is not None and found.until_s > now_s else None
