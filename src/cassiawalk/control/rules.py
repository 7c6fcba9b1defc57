"""Validation of configuration objects and of the references between them.

Messages of ``RejectedError`` are stored in the folded state, so they must be the same on all hosts.
"""

import dataclasses
import math
import re
import typing as t

from cassiawalk.control.commands import ObjectType
from cassiawalk.control.commands import Operation
from cassiawalk.control.draft import Draft
from cassiawalk.control.state import Drain
from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import Limit
from cassiawalk.control.state import Pool
from cassiawalk.control.state import PoolType
from cassiawalk.control.state import Quarantine
from cassiawalk.control.state import Service
from cassiawalk.control.state import Workspace

TEXT_LIMIT = 1024
_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.:-]{0,127}", re.ASCII)
_KIND_NAME = re.compile(rf"{_NAME.pattern}/{_NAME.pattern}", re.ASCII)
_FREE_NAME = re.compile(r"[!-~]{1,256}", re.ASCII)


class RejectedError(Exception):
    """An operation is invalid or doesn't fit the current state."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableSpec:
    """The table, schema and allowed names of one object type."""

    attribute: str
    schema: type
    names: re.Pattern[str] = _NAME


TABLES: t.Mapping[ObjectType, TableSpec] = {
    ObjectType.SERVICE: TableSpec(attribute="services", schema=Service),
    ObjectType.WORKSPACE: TableSpec(attribute="workspaces", schema=Workspace),
    ObjectType.KIND: TableSpec(attribute="kinds", schema=Kind, names=_KIND_NAME),
    ObjectType.LIMIT: TableSpec(attribute="limits", schema=Limit),
    ObjectType.POOL: TableSpec(attribute="pools", schema=Pool),
    ObjectType.DRAIN: TableSpec(attribute="drains", schema=Drain, names=_FREE_NAME),
    ObjectType.QUARANTINE: TableSpec(attribute="quarantines", schema=Quarantine, names=_FREE_NAME),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Range:
    """A range of allowed numbers; ``above_low`` excludes the lower bound."""

    low: float
    high: float
    above_low: bool = False

    def __str__(self) -> str:
        return f"{'above' if self.above_low else 'from'} {self.low:g} up to {self.high:g}"

    def allows(self, value: float) -> bool:
        """Return whether the range contains a number."""
        return self.low <= value <= self.high and not (self.above_low and value == self.low)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pattern:
    """A pattern of allowed texts."""

    regex: re.Pattern[str]
    meaning: str

    def __str__(self) -> str:
        return self.meaning

    def allows(self, value: str) -> bool:
        """Return whether the whole text matches the pattern."""
        return self.regex.fullmatch(value) is not None


_WEIGHT = _Range(low=0, high=1e6)
_SHARE = _Range(low=0, high=1e6, above_low=True)
_PATH = _Pattern(regex=re.compile(r"/[!-~]*"), meaning="a path that starts with '/'")
_OPTIONAL_PATH = _Pattern(regex=re.compile(r"(/[!-~]*)?"), meaning="a path, or empty")
_SHA256 = _Pattern(regex=re.compile(r"[0-9a-f]{64}"), meaning="64 hex digits in lower case")
_SERVICES = _Pattern(
    regex=re.compile(rf"({_NAME.pattern}( +{_NAME.pattern})*)?"),
    meaning="names of services, separated by spaces",
)

_FIELD_RULES: t.Mapping[type, t.Mapping[str, _Range | _Pattern]] = {
    Pool: {"cost_weight": _WEIGHT, "recompute_weight": _WEIGHT},
    Service: {"look_up": _OPTIONAL_PATH},
    Kind: {
        "target_ms": _Range(low=1, high=86_400_000),
        "deadline_s": _Range(low=0, high=86_400, above_low=True),
        "max_tokens": _Range(low=1, high=10_000_000),
        "weight": _SHARE,
        "path": _PATH,
    },
    Workspace: {"token_sha256": _SHA256, "share": _SHARE, "services": _SERVICES},
    Limit: {
        "requests_per_s": _Range(low=0, high=1e9),
        "concurrent": _Range(low=0, high=1e9),
    },
    Quarantine: {"until_s": _Range(low=0, high=1e11)},
}


def check_name(operation: Operation) -> None:
    """Check the name of an operation's object.

    :raises RejectedError: if the name is not allowed.
    """
    if TABLES[operation.object_type].names.fullmatch(operation.name) is not None:
        return
    if operation.object_type is ObjectType.KIND:
        raise RejectedError(f"{operation.target}: write the name as service/kind")
    raise RejectedError(
        f"{operation.target}: the name is not allowed; use letters, digits, '_', '.', ':' or '-'"
    )


def check_fields(operation: Operation, value: object) -> None:
    """Check the field values of an object.

    :raises RejectedError: if a value is not allowed; the message names the first such field.
    """
    rules = _FIELD_RULES.get(type(value), {})
    for field in dataclasses.fields(t.cast(t.Any, value)):
        found = getattr(value, field.name)
        if isinstance(found, str) and len(found) > TEXT_LIMIT:
            raise RejectedError(f"{operation.target}: {field.name} is over {TEXT_LIMIT} characters")
        if isinstance(found, float) and not math.isfinite(found):
            raise RejectedError(f"{operation.target}: {field.name} is not a finite number")
        rule = rules.get(field.name)
        if rule is None:
            continue
        if isinstance(found, bool) or not rule.allows(found):
            raise RejectedError(
                f"{operation.target}: {field.name} has the value {found!r}; allowed: {rule}"
            )


def check_references(draft: Draft, operation: Operation, value: object) -> None:
    """Check the references from and to an object.

    :raises RejectedError: if a referenced object doesn't exist or doesn't allow the reference.
    """
    if isinstance(value, Pool):
        _check_pool(draft, operation, value)
    elif isinstance(value, Service):
        _check_service(draft, operation, value)
    elif isinstance(value, Kind):
        _check_kind(draft, operation, value)
    elif isinstance(value, Workspace):
        _check_workspace(draft, operation, value)
    elif isinstance(value, Limit) and operation.name not in draft.table("workspaces"):
        raise RejectedError(f"{operation.target}: workspace {operation.name!r} does not exist")


def check_unused(draft: Draft, operation: Operation) -> None:
    """Check that no object refers to one that is to be removed.

    :raises RejectedError: if the object is still used; the message names one of its users.
    """
    users: list[str] = []
    if operation.object_type is ObjectType.POOL:
        users = [f"service {name}" for name in _services_on(draft, operation.name)]
    elif operation.object_type is ObjectType.SERVICE:
        users = [f"kind {name}" for name in _kinds_of(draft, operation.name)]
        users += [
            f"workspace {name}"
            for name, item in draft.table("workspaces").items()
            if operation.name in item.services.split()
        ]
    elif operation.object_type is ObjectType.WORKSPACE:
        users = [f"limit {operation.name}"] if operation.name in draft.table("limits") else []
    if users:
        raise RejectedError(f"{operation.target} is used by {min(users)}")


def _check_pool(draft: Draft, operation: Operation, value: Pool) -> None:
    before = draft.table("pools").get(operation.name)
    users = _services_on(draft, operation.name)
    if before is not None and before.type is not value.type and users:
        raise RejectedError(
            f"{operation.target}: the type can't change while service {min(users)} uses the pool"
        )


def _check_service(draft: Draft, operation: Operation, value: Service) -> None:
    pool = draft.table("pools").get(value.pool)
    if pool is None:
        raise RejectedError(f"{operation.target}: pool {value.pool!r} does not exist")
    for name in _kinds_of(draft, operation.name):
        _check_mode(operation, draft.table("kinds")[name], pool)


def _check_kind(draft: Draft, operation: Operation, value: Kind) -> None:
    service_name = operation.name.partition("/")[0]
    service = draft.table("services").get(service_name)
    if service is None:
        raise RejectedError(f"{operation.target}: service {service_name!r} does not exist")
    _check_mode(operation, value, draft.table("pools")[service.pool])


def _check_mode(operation: Operation, kind: Kind, pool: Pool) -> None:
    if kind.mode is KindMode.AT_MOST_ONCE and pool.type is not PoolType.PLAIN:
        raise RejectedError(f"{operation.target}: at_most_once needs a pool of type plain")


def _check_workspace(draft: Draft, operation: Operation, value: Workspace) -> None:
    for name in value.services.split():
        if name not in draft.table("services"):
            raise RejectedError(f"{operation.target}: service {name!r} does not exist")
    before = draft.table("workspaces").get(operation.name)
    if before is not None and before.token_sha256 == value.token_sha256:
        return
    for name, other in draft.table("workspaces").items():
        if name != operation.name and other.token_sha256 == value.token_sha256:
            raise RejectedError(f"{operation.target}: workspace {name} has the same token")


def _services_on(draft: Draft, pool: str) -> list[str]:
    return [name for name, item in draft.table("services").items() if item.pool == pool]


def _kinds_of(draft: Draft, service: str) -> list[str]:
    return [name for name in draft.table("kinds") if name.startswith(f"{service}/")]
