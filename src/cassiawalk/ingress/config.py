"""What operators have put in force for requests that arrive by host and path."""

import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.http1 import CallerLimits
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Revision
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName


class RetryRule(enum.Enum):
    """What may be done again after an attempt that may have run."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM_ONCE = "stream-once"
    STREAM_RESUMABLE = "stream-resumable"

    @property
    def is_stream(self) -> bool:
        """Return whether answers are series of events."""
        return self in (RetryRule.STREAM_ONCE, RetryRule.STREAM_RESUMABLE)

    @property
    def repeatable(self) -> bool:
        """Return whether a second run does no harm."""
        return self in (RetryRule.REPEATABLE, RetryRule.STREAM_RESUMABLE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Split:
    """A service's share of a route's requests; shares are relative to one another."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go.

    :param limit_s: the longest time until the whole answer.
    :param target_latency_s: the time in which an answer, or a stream's first event, is worth most.
    :param rank: 0 is the most urgent.
    """

    name: str
    host: bytes
    prefix: bytes
    splits: tuple[Split, ...]
    rule: RetryRule
    limit_s: float
    target_latency_s: float
    max_attempts: int
    rank: int
    allow_anonymous: bool
    session_affinity: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineTraits:
    """What operators declare of a service's model engines.

    :param kv_capacity_tokens: what running requests and cached prompt parts share.
    :param event_feed_callers: how many waiting calls for cache events an engine keeps.
    """

    slots: int
    kv_capacity_tokens: int
    moves: bool
    backups: bool
    event_feed_callers: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScalingBounds:
    """How many upstreams a service may have in each failure domain, and what they cost."""

    min_per_domain: int
    max_per_domain: int
    boot_s: float
    reclaimable_price: float
    domain_prices: cabc.Mapping[FailureDomain, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceConfig:
    """One service; ``engine`` is None for plain services."""

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingBounds | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceConfig:
    """One workspace and its quota over all hosts together; a rate of 0 is no limit.

    :param by_tokens: whether rate and burst count tokens rather than requests.
    :param plain_tokens: what a request without stated tokens counts.
    """

    name: WorkspaceName
    keys: frozenset[bytes]
    rank: int | None
    rate_per_s: float
    burst: float
    by_tokens: bool
    plain_tokens: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class IngressConfig:
    """One revision, whole."""

    revision: Revision
    routes: tuple[Route, ...]
    services: cabc.Mapping[ServiceName, ServiceConfig]
    workspaces: tuple[WorkspaceConfig, ...]
    limits: CallerLimits

    def __post_init__(self) -> None:
        by_host: dict[bytes, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: len(route.prefix), reverse=True):
            by_host.setdefault(route.host, []).append(route)
        by_key = {key: space for space in self.workspaces for key in space.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_key", by_key)

    def route_for(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
        candidates: list[Route] = self._by_host.get(host, [])  # type: ignore[attr-defined]
        for route in candidates:
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_for(self, key: bytes) -> WorkspaceConfig | None:
        """Return the workspace that holds a key."""
        found: WorkspaceConfig | None = self._by_key.get(key)  # type: ignore[attr-defined]
        return found


class ConfigView:
    """The newest revision that this process knows; it never goes back.

    ``checked_at`` is when the source last confirmed that there is no newer one, in monotonic
    seconds.
    """

    def __init__(self) -> None:
        self.current: IngressConfig | None = None
        self.checked_at: float | None = None

    def offer(self, config: IngressConfig) -> bool:
        """Take a revision over; return False if one as new is in force."""
        if self.current is not None and config.revision <= self.current.revision:
            return False
        self.current = config
        return True

    def fetches_prefixes(self, service: ServiceName) -> bool:
        """Return whether a service's engines fetch prompt parts from one another."""
        found = None if self.current is None else self.current.services.get(service)
        return found is not None and found.engine is not None and found.engine.moves

    def limits(self) -> CallerLimits:
        """Return what callers may send now."""
        return CallerLimits() if self.current is None else self.current.limits
