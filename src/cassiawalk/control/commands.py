"""Records of the ``control`` stream."""

import dataclasses
import enum

from cassiawalk.ids import CommandId
from cassiawalk.ids import Revision
from cassiawalk.wire import Registry

CONTROL_STREAM = "control"
FORMAT_VERSION = 1
SYSTEM_OPERATOR = "system"
records = Registry()

FieldValue = str | int | float | bool


class ObjectType(enum.Enum):
    """Types of objects that commands change."""

    SERVICE = "service"
    WORKSPACE = "workspace"
    KIND = "kind"
    LIMIT = "limit"
    POOL = "pool"
    DRAIN = "drain"
    QUARANTINE = "quarantine"


class Verb(enum.Enum):
    """How an operation changes an object.

    ``CREATE`` fails if the object exists. ``SET`` changes fields of an existing object, and
    ``PUT`` creates or replaces an object.
    """

    CREATE = "create"
    SET = "set"
    PUT = "put"
    REMOVE = "remove"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operation:
    """A change to one object, which is identified by its type and name."""

    verb: Verb
    object_type: ObjectType
    name: str
    fields: dict[str, object] = dataclasses.field(default_factory=dict)

    @property
    def target(self) -> str:
        """Return the object's type and name as one key, such as ``kind beds/hold``."""
        return f"{self.object_type.value} {self.name}"


@records.register("command")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Command:
    """Operations that are accepted or rejected as a whole.

    ``command_id`` is a version 7 UUID. ``expected`` is the revision at which the operator read the
    objects; a change after it is a conflict. None means that no such check is made. ``issued_s`` is
    in wall-clock seconds and is kept for the audit only. A host that doesn't support ``version``
    stops folding at the record.
    """

    command_id: CommandId
    operator: str
    operations: tuple[Operation, ...]
    statement: str
    issued_s: float
    expected: Revision | None = None
    version: int = FORMAT_VERSION
