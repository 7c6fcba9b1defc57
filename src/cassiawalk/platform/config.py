"""The operators' configuration as it lies in the store."""

from cassiawalk.http1 import CallerLimits
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Revision
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.config import EngineTraits
from cassiawalk.ingress.config import IngressConfig
from cassiawalk.ingress.config import RetryRule
from cassiawalk.ingress.config import Route
from cassiawalk.ingress.config import ScalingBounds
from cassiawalk.ingress.config import ServiceConfig
from cassiawalk.ingress.config import Split
from cassiawalk.ingress.config import WorkspaceConfig
from cassiawalk.platform import _fields as fields


def decode_config(data: bytes) -> IngressConfig:
    """Return the configuration in a record.

    :raises WireError: if it can't be read.
    """
    table = fields.parse_table(data)
    services = [_service(row) for row in fields.rows(table, "services")]
    return IngressConfig(
        revision=Revision(fields.whole(table, "version")),
        routes=tuple(_route(row) for row in fields.rows(table, "routes")),
        services={service.name: service for service in services},
        workspaces=tuple(_workspace(row) for row in fields.rows(table, "tenants")),
        limits=_limits(fields.table_of(table, "limits")),
    )


def _route(row: fields.Table) -> Route:
    return Route(
        name=fields.text(row, "name", ""),
        host=fields.text(row, "host").lower().encode(),
        prefix=fields.text(row, "path_prefix").encode(),
        splits=_splits(row),
        rule=_rule(row),
        limit_s=fields.number(row, "timeout_ms") / 1000,
        target_latency_s=fields.number(row, "target_latency_ms", fields.number(row, "timeout_ms"))
        / 1000,
        max_attempts=max(1, fields.whole(row, "max_attempts", 1)),
        rank=fields.whole(row, "priority", 0),
        allow_anonymous=fields.flag(row, "allow_anonymous"),
        session_affinity=fields.flag(row, "session_affinity"),
    )


def _splits(row: fields.Table) -> tuple[Split, ...]:
    split = [
        Split(
            service=ServiceName(fields.text(part, "service")),
            weight=fields.number(part, "weight"),
        )
        for part in fields.rows(row, "traffic_split")
    ]
    positive = tuple(part for part in split if part.weight > 0)
    if positive:
        return positive
    return (Split(service=ServiceName(fields.text(row, "service")), weight=1.0),)


def _rule(row: fields.Table) -> RetryRule:
    kind = fields.text(row, "kind")
    if kind == "streaming":
        resumable = fields.flag(row, "resume_streams")
        return RetryRule.STREAM_RESUMABLE if resumable else RetryRule.STREAM_ONCE
    # What is not known to be repeatable is sent once.
    return RetryRule.REPEATABLE if kind == "safe" else RetryRule.ONCE


def _service(row: fields.Table) -> ServiceConfig:
    return ServiceConfig(
        name=ServiceName(fields.text(row, "name")),
        max_connections=fields.whole(row, "max_connections", 64),
        engine=_engine(fields.table_of(row, "engine")) if row.get("engine") else None,
        scaling=_scaling(fields.table_of(row, "scaling")) if row.get("scaling") else None,
    )


def _engine(row: fields.Table) -> EngineTraits:
    return EngineTraits(
        slots=fields.whole(row, "slots"),
        kv_capacity_tokens=fields.whole(row, "kv_capacity_tokens"),
        moves=fields.flag(row, "moves"),
        backups=fields.flag(row, "backups"),
        event_feed_callers=fields.whole(row, "most", 0),
    )


def _scaling(row: fields.Table) -> ScalingBounds:
    prices = fields.numbers(row, "zone_prices")
    return ScalingBounds(
        min_per_domain=fields.whole(row, "min"),
        max_per_domain=fields.whole(row, "max"),
        boot_s=fields.number(row, "boot_time_s"),
        reclaimable_price=fields.number(row, "spot_price", 1.0),
        domain_prices={FailureDomain(name): price for name, price in prices.items()},
    )


def _workspace(row: fields.Table) -> WorkspaceConfig:
    keys = fields.texts(row, "api_keys")
    return WorkspaceConfig(
        name=WorkspaceName(fields.text(row, "name")),
        keys=frozenset(key.encode() for key in keys),
        rank=None if row.get("priority") is None else fields.whole(row, "priority"),
        rate_per_s=fields.number(row, "rate_per_s", 0.0),
        burst=fields.number(row, "burst", 0.0),
        by_tokens=fields.text(row, "unit", "") == "tokens",
        plain_tokens=fields.number(row, "plain_tokens", 1.0),
    )


def _limits(row: fields.Table) -> CallerLimits:
    return CallerLimits(
        head_bytes=fields.whole(row, "max_header_bytes"),
        body_bytes=fields.whole(row, "max_body_bytes"),
        head_s=fields.number(row, "header_timeout_ms") / 1000,
        idle_s=fields.number(row, "idle_timeout_ms") / 1000,
    )
