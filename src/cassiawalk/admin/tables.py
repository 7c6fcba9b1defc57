"""The tables that operators can ask, and their columns."""

import dataclasses
import enum
import typing as t


class Scope(enum.Enum):
    """Where a table's rows come from."""

    CONFIGURATION = "configuration"
    THIS_HOST = "the asked host"
    EVERY_HOST = "every live host"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Table:
    """A table's columns, with what each means."""

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
            "running": "requests that run",
            "waiting": "requests that wait",
            "pending_outcomes": "outcomes that are not on the log yet",
        },
    ),
    "upstreams": Table(
        scope=Scope.THIS_HOST,
        columns={
            "upstream": "upstream",
            "pool": "pool",
            "failure_domain": "failure domain of the upstream",
            "state": "starting, serving, suspect, leaving or gone",
            "own_running": "requests of the asked host that run there",
            "slots": "requests that it runs at once",
            "running": "requests that run, as reported",
            "waiting": "requests that wait, as reported",
            "report_age": "seconds since its report",
            "price": "cost units an hour",
            "reclaimable": "whether its host can be reclaimed",
        },
    ),
    "services": Table(
        scope=Scope.CONFIGURATION,
        columns={"name": "service", "pool": "pool", "look_up": "path for outcomes by key"},
    ),
    "workspaces": Table(
        scope=Scope.CONFIGURATION,
        columns={"name": "workspace", "share": "weight", "services": "services it may use"},
    ),
    "kinds": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "service and kind",
            "mode": "quick, must_arrive or at_most_once",
            "target_ms": "latency target in milliseconds",
            "deadline_s": "default deadline in seconds",
            "max_tokens": "longest answer in tokens",
            "weight": "worth of an answer within target",
            "path": "path at a plain service",
        },
    ),
    "limits": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "workspace",
            "requests_per_s": "requests a second over all hosts; 0 for no limit",
            "concurrent": "requests at once over all hosts; 0 for no limit",
        },
    ),
    "pools": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "pool",
            "type": "engine or plain",
            "checks_fencing": "whether its engines refuse old orders",
            "cost_weight": "weight of price in routing",
            "recompute_weight": "weight of recomputed tokens in routing",
            "model": "model that its engines shall hold",
        },
    ),
    "drains": Table(
        scope=Scope.CONFIGURATION, columns={"name": "host or upstream", "reason": "why"}
    ),
    "quarantines": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "name": "fingerprint of the request",
            "until_s": "end, in seconds since the epoch",
            "reason": "why",
        },
    ),
    "commands": Table(
        scope=Scope.CONFIGURATION,
        columns={
            "command_id": "id of the command",
            "operator": "who issued it",
            "statement": "what it said",
            "issued_s": "when, in seconds since the epoch",
            "verdict": "accepted, conflict or rejected",
            "revision": "revision after it",
            "detail": "why it was not accepted",
        },
    ),
}
