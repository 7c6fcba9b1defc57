"""The decision to accept or refuse a new request."""

from cassiawalk.admission.scheduler import Scheduler
from cassiawalk.clock import Clock
from cassiawalk.requests.record import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode


class AdmissionGate:
    """Refuses at once what can't be served in time."""

    def __init__(self, *, scheduler: Scheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock

    def check(self, record: RequestRecord) -> Refusal | None:
        """Return why the request is refused, or None to accept it."""
        if record.deadline_s <= self._clock.wall():
            return Refusal(code=ResultCode.BAD_DEADLINE, detail="the deadline has passed already")
        return self._scheduler.refusal(record)
