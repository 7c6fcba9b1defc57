"""The tables that operators can query, and their columns."""

import dataclasses
import enum
import typing as t


class Scope(enum.Enum):
    """Source of a table's rows."""

    CONFIGURATION = "configuration"
    THIS_HOST = "the queried host"
    EVERY_HOST = "every live host"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Table:
    """The columns of a table, each with its description."""

    scope: Scope
    columns: t.Mapping[str, str]


TABLES: t.Mapping[str, Table] = {
    "requests": Table(
        scope=Scope.EVERY_HOST,
        columns={
            "request_id": "id given to the caller",
            "host": "host that holds the request",
            "failure_domain": "failure domain of that host",
            "workspace": "workspace of the caller",
            "service": "service",
            "kind": "request kind",
            "state": "waiting, running, done, failed or handed over",
            "upstream": "upstream that runs it",
            "attempt": "number of dispatches",
            "tokens": "tokens of the answer so far",
            "age": "seconds since it was accepted",
        },
    ),
    "refused": Table(
        scope=Scope.EVERY_HOST,
        columns={
            "host": "host that gave the answer",
            "failure_domain": "failure domain of that host",
            "workspace": "workspace of the caller",
            "service": "service",
            "kind": "request kind",
            "code": "numbered result code",
            "name": "name of the result code",
            "ran": "not run, ran or unknown",
            "detail": "text given to the caller",
            "age": "seconds since the answer",
        },
    ),
    "nodes": Table(
        scope=Scope.EVERY_HOST,
        columns={
            "host": "host",
            "failure_domain": "failure domain of the host",
            "revision": "configuration revision in force",
            "freshness": "starting, fresh or stale",
            "draining": "whether it takes no new requests",
            "running": "running requests",
            "waiting": "waiting requests",
            "pending_outcomes": "outcomes not yet written to the log",
        },
    ),
    "upstreams": Table(
        scope=Scope.THIS_HOST,
        columns={
            "upstream": "upstream",
            "pool": "pool",
            "failure_domain": "failure domain of the upstream",
            "state": "starting, serving, suspect, leaving or gone",
            "own_running": "requests of the queried host that run on it",
            "slots": "largest number of requests that it runs concurrently",
            "running": "running requests, as reported by the upstream",
            "waiting": "waiting requests, as reported by the upstream",
            "report_age": "seconds since its last report",
            "price": "cost units per hour",
            "reclaimable": "whether its host can be reclaimed",
        },
    ),
    "services": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "service",
            "pool": "pool",
            "look_up": "path for looking up an outcome by key",
        },
    ),
    "workspaces": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "workspace",
            "share": "weight in fair queueing",
            "services": "services it may use",
        },
    ),
    "kinds": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "service and kind",
            "mode": "quick, must_arrive or at_most_once",
            "target_ms": "latency target in milliseconds",
            "deadline_s": "default deadline in seconds",
            "max_tokens": "longest answer in tokens",
            "weight": "value of an answer within the target",
            "path": "path on a plain service",
        },
    ),
    "limits": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "workspace",
            "requests_per_s": "requests per second over all hosts; 0 means no limit",
            "concurrent": "concurrent requests over all hosts; 0 means no limit",
        },
    ),
    "pools": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "pool",
            "type": "engine or plain",
            "checks_fencing": "whether its engines refuse orders with an old fencing token",
            "cost_weight": "weight of price in routing",
            "recompute_weight": "weight of recomputed tokens in routing",
            "model": "model that its engines should load",
        },
    ),
    "drains": Table(
        scope=Scope.CONFIGURATION, columns={"name": "host or upstream", "reason": "reason given"}
    ),
    "quarantines": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "fingerprint of the request",
            "until_s": "end, in seconds since the epoch",
            "reason": "reason given",
        },
    ),
    "commands": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "command_id": "id of the command",
            "operator": "operator who issued it",
            "statement": "text of the statement",
            "issued_s": "time of issue, in seconds since the epoch",
            "verdict": "accepted, conflict or rejected",
            "revision": "revision after the command",
            "detail": "reason why it was not accepted",
        },
    ),
}
