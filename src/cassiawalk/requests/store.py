"""The request records held by this host."""

import collections
import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.ids import RequestId
from cassiawalk.requests.record import FINAL_STATES
from cassiawalk.requests.record import RequestRecord
from cassiawalk.requests.record import RequestState

FINISHED_RETENTION_S = 60.0


class RequestStore:
    """Request records by id; finished ones are retained so that callers can read them again.

    :param finished_retention_s: how long a finished record is retained, in seconds.
    """

    def __init__(self, *, clock: Clock, finished_retention_s: float = FINISHED_RETENTION_S) -> None:
        self._clock = clock
        self._finished_retention_s = finished_retention_s
        self._records: dict[RequestId, RequestRecord] = {}
        self._finished: collections.deque[tuple[float, RequestId]] = collections.deque()

    def __iter__(self) -> cabc.Iterator[RequestRecord]:
        return iter(list(self._records.values()))

    def add(self, record: RequestRecord) -> None:
        """Add a record, and drop finished ones whose retention has expired."""
        self._drop_expired()
        self._records[record.request_id] = record

    def get(self, request_id: RequestId) -> RequestRecord | None:
        """Return a record, or None if this host does not hold it."""
        return self._records.get(request_id)

    def finish(self, record: RequestRecord, state: RequestState) -> None:
        """Set a record's final state and start its retention period.

        A record that already has a final state keeps it.
        """
        if record.state in FINAL_STATES:
            return
        record.state = state
        record.finished_at = self._clock.monotonic()
        self._finished.append((record.finished_at, record.request_id))

    def replace(self, record: RequestRecord) -> None:
        """Add a record, replacing a finished one with the same id if there is one."""
        self._finished = collections.deque(
            (at_s, request_id)
            for at_s, request_id in self._finished
            if request_id != record.request_id
        )
        self.add(record)

    def unfinished(self) -> list[RequestRecord]:
        """Return the records that are not in a final state."""
        return [record for record in self._records.values() if record.state not in FINAL_STATES]

    def count(self, state: RequestState) -> int:
        """Return the number of records in a state."""
        return sum(1 for record in self._records.values() if record.state is state)

    def _drop_expired(self) -> None:
        limit = self._clock.monotonic() - self._finished_retention_s
        while self._finished and self._finished[0][0] < limit:
            self._records.pop(self._finished.popleft()[1], None)
