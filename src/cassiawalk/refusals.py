"""The latest final answers without a result, for operators' questions."""

import collections
import collections.abc as cabc
import dataclasses

from cassiawalk.ids import KindName
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.results import Refusal

REFUSALS_KEPT = 5000


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusalNote:
    """A refusal and when it was given, in monotonic seconds."""

    workspace: WorkspaceName
    service: ServiceName
    kind: KindName
    refusal: Refusal
    at_s: float


class RefusalLog:
    """Keeps the newest refusals of this host in memory."""

    def __init__(self, *, kept: int = REFUSALS_KEPT) -> None:
        self._notes: collections.deque[RefusalNote] = collections.deque(maxlen=kept)

    def __iter__(self) -> cabc.Iterator[RefusalNote]:
        return iter(list(self._notes))

    def add(self, note: RefusalNote) -> None:
        """Keep a note, and drop the oldest one if there are too many."""
        self._notes.append(note)
