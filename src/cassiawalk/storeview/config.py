"""The operators' configuration of the HTTP ingress: routes, services, workspaces and limits."""

import collections.abc as cabc
import dataclasses
import enum
import functools
import math

from cassiawalk.http1 import CallerLimits
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Revision
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName


class RetryRule(enum.Enum):
    """Whether requests of a route may be retried after an attempt that may have run."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM_ONCE = "stream-once"
    STREAM_RESUMABLE = "stream-resumable"

    @property
    def is_stream(self) -> bool:
        """Return whether answers are streams of events."""
        return self in (RetryRule.STREAM_ONCE, RetryRule.STREAM_RESUMABLE)

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in (RetryRule.REPEATABLE, RetryRule.STREAM_RESUMABLE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Split:
    """One service of a route; it gets requests in proportion to its weight."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go.

    :param prefix: the prefix of the paths that the route applies to.
    :param limit_s: the maximum time until the complete answer, in seconds.
    :param target_latency_s: the time within which a complete answer, or the first event of a
        stream, is worth most.
    :param max_attempts: the maximum number of attempts per request.
    :param rank: the priority; 0 is the most urgent.
    :param anonymous: whether requests without the key of a workspace are accepted.
    :param by_prefix: whether operators ask for placement by the shared prefix of prompts.
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
    anonymous: bool
    by_prefix: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineTraits:
    """The properties of a service's model engines, as operators declare them.

    :param slots: the number of requests that one engine runs at once.
    :param memory_tokens: the size of the KV cache, which running requests and cached
        prefix blocks share.
    :param moves: whether engines can fetch prefix blocks from one another.
    :param event_feed_callers: the maximum number of pending calls for cache events at an engine.
    :param token_bytes: the size of one token's entry in the KV cache; 0 if it is not declared.
    :param link_mbps: the speed of an engine's link in Mbit/s; 0 if it is not declared.
    """

    slots: int
    memory_tokens: int
    moves: bool
    backups: bool
    event_feed_callers: int
    token_bytes: int = 0
    link_mbps: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScalingBounds:
    """The number of upstreams that a service may have in each failure domain, and their prices.

    :param boot_s: the time from an order until the new upstream is ready, in seconds.
    :param reclaimable_price: the price of a reclaimable (spot) upstream.
    :param domain_prices: the price of an upstream in each failure domain.
    """

    min_per_domain: int
    max_per_domain: int
    boot_s: float
    reclaimable_price: float
    domain_prices: cabc.Mapping[FailureDomain, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceConfig:
    """One service.

    :param health_path: the path of its upstreams' health check, or None if they have none.
    :param engine: None if the upstreams are not model engines.
    :param scaling: None if the service is not scaled.
    """

    name: ServiceName
    max_connections: int
    health_path: str | None = None
    engine: EngineTraits | None = None
    scaling: ScalingBounds | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceConfig:
    """One workspace and its quota, which applies to all hosts together.

    :param keys: the API keys of its callers.
    :param rank: the priority of its requests, instead of the route's; None for the route's.
    :param rate_per_s: the quota in requests or tokens per second; 0 means no limit.
    :param burst: the maximum number of requests or tokens that can be used at once.
    :param by_tokens: whether rate and burst count tokens and not requests.
    :param plain_tokens: the tokens counted for a request that does not state them.
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
    """One complete revision of the configuration."""

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
        object.__setattr__(self, "_by_name", {space.name: space for space in self.workspaces})

    @functools.cached_property
    def has_quotas(self) -> bool:
        """Return whether any workspace has a quota."""
        return any(space.rate_per_s > 0 for space in self.workspaces)

    def route_for(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None."""
        candidates: list[Route] = self._by_host.get(host, [])  # type: ignore[attr-defined]
        for route in candidates:
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_for(self, key: bytes) -> WorkspaceConfig | None:
        """Return the workspace that an API key belongs to, or None."""
        found: WorkspaceConfig | None = self._by_key.get(key)  # type: ignore[attr-defined]
        return found

    def workspace_named(self, name: WorkspaceName) -> WorkspaceConfig | None:
        """Return the workspace of a name, or None."""
        found: WorkspaceConfig | None = self._by_name.get(name)  # type: ignore[attr-defined]
        return found


class ConfigView:
    """The configuration in force: the newest revision that this process has received.

    ``checked_at`` is when this revision was last confirmed as the newest, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.current: IngressConfig | None = None
        self.checked_at: float | None = None

    def offer(self, config: IngressConfig) -> bool:
        """Put a revision in force; return False if the current one is as new or newer."""
        if self.current is not None and config.revision <= self.current.revision:
            return False
        self.current = config
        return True

    def note_checked(self, at: float) -> None:
        """Record that the revision in force was the newest at a time, in monotonic seconds.

        An infinite time in the past says that it is not known.
        """
        if math.isfinite(at) and (self.checked_at is None or at > self.checked_at):
            self.checked_at = at

    def has_service(self, service: ServiceName) -> bool:
        """Return whether the configuration has a service, or none is known yet."""
        return self.current is None or service in self.current.services

    def fetches_prefixes(self, service: ServiceName) -> bool:
        """Return whether a service's engines can fetch prefix blocks from one another."""
        engine = self.engine_traits(service)
        return engine is not None and engine.moves

    def engine_traits(self, service: ServiceName) -> EngineTraits | None:
        """Return the properties of a service's engines; None if its upstreams are none."""
        found = None if self.current is None else self.current.services.get(service)
        return None if found is None else found.engine

    @property
    def has_quotas(self) -> bool:
        """Return whether any workspace has a quota."""
        return self.current is not None and self.current.has_quotas

    def workspace_named(self, name: WorkspaceName) -> WorkspaceConfig | None:
        """Return the workspace of a name, or None."""
        return None if self.current is None else self.current.workspace_named(name)

    def health_path(self, service: ServiceName) -> str | None:
        """Return the path of the health check of a service's upstreams, or None."""
        found = None if self.current is None else self.current.services.get(service)
        return None if found is None else found.health_path

    def limits(self) -> CallerLimits:
        """Return the limits for callers' requests that are in force."""
        return CallerLimits() if self.current is None else self.current.limits
