"""Decodes the operators' configuration from the store."""

from cassiawalk.http1 import CallerLimits
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Revision
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.platform import _fields as fields
from cassiawalk.storeview.config import EngineTraits
from cassiawalk.storeview.config import IngressConfig
from cassiawalk.storeview.config import RetryRule
from cassiawalk.storeview.config import Route
from cassiawalk.storeview.config import ScalingBounds
from cassiawalk.storeview.config import ServiceConfig
from cassiawalk.storeview.config import Split
from cassiawalk.storeview.config import WorkspaceConfig


def decode_config(data: bytes) -> IngressConfig:
    """Return the configuration in a record.

    :raises WireError: if it is malformed.
    """
    table = fields.parse_object(data)
    services = [_service(row) for row in fields.object_list(table, "services")]
    return IngressConfig(
        revision=Revision(fields.integer_field(table, "version")),
        routes=tuple(_route(row) for row in fields.object_list(table, "routes")),
        services={service.name: service for service in services},
        workspaces=tuple(_workspace(row) for row in fields.object_list(table, "tenants")),
        limits=_limits(fields.object_field(table, "limits")),
    )


def _route(row: fields.JsonObject) -> Route:
    return Route(
        name=fields.string_field(row, "name", ""),
        host=fields.string_field(row, "host").lower().encode(),
        prefix=fields.string_field(row, "path_prefix").encode(),
        splits=_splits(row),
        rule=_retry_rule(row),
        limit_s=fields.number_field(row, "timeout_ms") / 1000,
        target_latency_s=fields.number_field(
            row, "target_latency_ms", fields.number_field(row, "timeout_ms")
        )
        / 1000,
        max_attempts=max(1, fields.integer_field(row, "max_attempts", 1)),
        rank=fields.integer_field(row, "priority", 0),
        anonymous=fields.boolean_field(row, "allow_anonymous"),
        by_prefix=fields.boolean_field(row, "session_affinity"),
    )


def _splits(row: fields.JsonObject) -> tuple[Split, ...]:
    split = [
        Split(
            service=ServiceName(fields.string_field(part, "service")),
            weight=fields.number_field(part, "weight"),
        )
        for part in fields.object_list(row, "traffic_split")
    ]
    positive = tuple(part for part in split if part.weight > 0)
    if positive:
        return positive
    return (Split(service=ServiceName(fields.string_field(row, "service")), weight=1.0),)


def _retry_rule(row: fields.JsonObject) -> RetryRule:
    kind = fields.string_field(row, "kind")
    if kind == "streaming":
        resumable = fields.boolean_field(row, "resume_streams")
        return RetryRule.STREAM_RESUMABLE if resumable else RetryRule.STREAM_ONCE
    # All other kinds are sent once: a kind that is unknown here may not be repeatable.
    return RetryRule.REPEATABLE if kind == "safe" else RetryRule.ONCE


def _service(row: fields.JsonObject) -> ServiceConfig:
    return ServiceConfig(
        name=ServiceName(fields.string_field(row, "name")),
        max_connections=fields.integer_field(row, "max_connections", 64),
        health_path=fields.string_field(row, "health_path", "") or None,
        engine=_engine(fields.object_field(row, "engine")) if row.get("engine") else None,
        scaling=_scaling(fields.object_field(row, "scaling")) if row.get("scaling") else None,
    )


def _engine(row: fields.JsonObject) -> EngineTraits:
    return EngineTraits(
        slots=fields.integer_field(row, "slots"),
        memory_tokens=fields.integer_field(row, "kv_capacity_tokens"),
        moves=fields.boolean_field(row, "moves"),
        backups=fields.boolean_field(row, "backups"),
        # "most" is how many waiting calls for cache events an engine keeps.
        event_feed_callers=fields.integer_field(row, "most", 0),
        token_bytes=fields.integer_field(row, "kv_token_bytes", 0),
        link_mbps=fields.number_field(row, "link_mbps", 0.0),
    )


def _scaling(row: fields.JsonObject) -> ScalingBounds:
    prices = fields.number_map(row, "zone_prices")
    return ScalingBounds(
        min_per_domain=fields.integer_field(row, "min"),
        max_per_domain=fields.integer_field(row, "max"),
        boot_s=fields.number_field(row, "boot_time_s"),
        reclaimable_price=fields.number_field(row, "spot_price", 1.0),
        domain_prices={FailureDomain(name): price for name, price in prices.items()},
    )


def _workspace(row: fields.JsonObject) -> WorkspaceConfig:
    keys = fields.string_list(row, "api_keys")
    return WorkspaceConfig(
        name=WorkspaceName(fields.string_field(row, "name")),
        keys=frozenset(key.encode() for key in keys),
        rank=None if row.get("priority") is None else fields.integer_field(row, "priority"),
        rate_per_s=fields.number_field(row, "rate_per_s", 0.0),
        burst=fields.number_field(row, "burst", 0.0),
        by_tokens=fields.string_field(row, "unit", "") == "tokens",
        plain_tokens=fields.number_field(row, "plain_tokens", 1.0),
    )


def _limits(row: fields.JsonObject) -> CallerLimits:
    return CallerLimits(
        max_head_bytes=fields.integer_field(row, "max_header_bytes"),
        max_body_bytes=fields.integer_field(row, "max_body_bytes"),
        head_timeout_s=fields.number_field(row, "header_timeout_ms") / 1000,
        idle_timeout_s=fields.number_field(row, "idle_timeout_ms") / 1000,
    )
