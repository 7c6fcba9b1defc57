"""The folded configuration."""

import dataclasses
import enum

from cassiawalk.ids import CommandId
from cassiawalk.ids import Offset
from cassiawalk.ids import PoolName
from cassiawalk.ids import Revision
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName


class KindMode(enum.Enum):
    """What a request kind promises its callers."""

    QUICK = "quick"
    MUST_ARRIVE = "must_arrive"
    AT_MOST_ONCE = "at_most_once"


class PoolType(enum.Enum):
    """What the upstreams of a pool are."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """Upstreams of one type. ``checks_fencing`` says whether they refuse old orders.

    ``cost_weight`` and ``recompute_weight`` set what routing saves first: price, or recomputed
    tokens. ``orders`` names the model that the engines shall hold, or is empty.
    """

    type: PoolType
    checks_fencing: bool = True
    cost_weight: float = 1.0
    recompute_weight: float = 1.0
    model: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A named service and the pool behind it. ``look_up`` is the path for outcomes by key."""

    pool: PoolName
    look_up: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One request kind of a service.

    ``target_ms`` is the latency target: for streams the time to the first token, else to the whole
    answer. ``deadline_s`` applies when the caller names none. ``weight`` is the kind's worth in
    the answered-within-target measure.
    """

    mode: KindMode
    target_ms: int = 1400
    deadline_s: float = 60.0
    max_tokens: int = 256
    weight: float = 1.0
    path: str = "/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer's space. ``token_sha256`` is the hex digest of its callers' bearer token.

    ``services`` lists the services it may use, separated by spaces; empty means all.
    """

    token_sha256: str
    share: float = 1.0
    services: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """Limits of a workspace over all hosts together."""

    requests_per_s: float = 0.0
    concurrent: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drain:
    """A host or upstream that takes no new work."""

    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Quarantine:
    """A request fingerprint that must not run until ``until_s`` (wall-clock seconds)."""

    until_s: float
    reason: str = ""


class Verdict(enum.Enum):
    """How the fold decided a command."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandVerdict:
    """The decision on one command, kept for the audit and for repeats of its id."""

    verdict: Verdict
    revision: Revision
    detail: str = ""
    operator: str = ""
    statement: str = ""
    issued_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """Who last changed an object, and at which revision."""

    revision: Revision
    command_id: CommandId
    operator: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigState:
    """The whole configuration after the record at ``through_offset``.

    ``verdicts`` and ``removals`` are bounded. ``verdict_floor_s`` is the newest time in a command
    id whose verdict was dropped, in wall-clock seconds; ``removal_floor`` is the newest revision of
    a removal that was dropped.
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
        """Return the quarantine of a fingerprint unless it has expired by ``now_s``."""
        found = self.quarantines.get(fingerprint)
        return found if found is not None and found.until_s > now_s else None
