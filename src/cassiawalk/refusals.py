"""The latest refusals, kept in memory for operators' queries."""

import collections
import collections.abc as cabc
import dataclasses

from cassiawalk.ids import KindName
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.results import Refusal

MAX_REFUSALS = 5000


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoggedRefusal:
    """A refusal and the kind of request it answered; ``at_s`` is monotonic time in seconds."""

    workspace: WorkspaceName
    service: ServiceName
    kind: KindName
    refusal: Refusal
    at_s: float


class RefusalLog:
    """The newest refusals of this host, oldest first.

    :param max_refusals: how many refusals are kept.
    """

    def __init__(self, *, max_refusals: int = MAX_REFUSALS) -> None:
        self._entries: collections.deque[LoggedRefusal] = collections.deque(maxlen=max_refusals)

    def __iter__(self) -> cabc.Iterator[LoggedRefusal]:
        return iter(list(self._entries))

    def add(self, entry: LoggedRefusal) -> None:
        """Add a refusal; the oldest one is dropped if the log is full."""
        self._entries.append(entry)
