"""The decision to accept or refuse a new request."""

import collections.abc as cabc

from cassiawalk.admission.scheduler import Scheduler
from cassiawalk.clock import Clock
from cassiawalk.requests.record import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

Screen = cabc.Callable[[RequestRecord], Refusal | None]


def _no_quarantine(_: RequestRecord) -> Refusal | None:
    """Let every request pass."""
    return None


class AdmissionGate:
    """Refuses at once what can't be served in time or is quarantined.

    :param quarantine: returns the final answer of a quarantined request.
    """

    def __init__(
        self, *, scheduler: Scheduler, clock: Clock, quarantine: Screen = _no_quarantine
    ) -> None:
        self._scheduler = scheduler
        self._quarantine = quarantine
        self._clock = clock

    def check(self, record: RequestRecord) -> Refusal | None:
        """Return why the request is refused, or None to accept it."""
        if record.deadline_s <= self._clock.wall():
            return Refusal(code=ResultCode.BAD_DEADLINE, detail="the deadline has passed already")
        return self._quarantine(record) or self._scheduler.refusal(record)
