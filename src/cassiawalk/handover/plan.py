"""Which requests of a leaving host finish in place, and which are moved first."""

import dataclasses

from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.requests import RequestRecord

TOKEN_INTERVAL_S = 0.036
CALL_S = 0.25
RESERVE_S = 5.0
RESERVE_SHARE = 0.5
ANSWER_MARGIN_S = 2.0
ANSWER_MARGIN_SHARE = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainWindow:
    """The time that a host has left, in monotonic seconds.

    Requests that remain are moved from ``move_at`` on. At ``end_at`` those that could not be moved
    get their final answer, while there is time to send it.
    """

    move_at: float
    end_at: float


def drain_window(*, now: float, left_s: float) -> DrainWindow:
    """Return the window of a host that has ``left_s`` seconds left."""
    margin_s = min(ANSWER_MARGIN_S, left_s * ANSWER_MARGIN_SHARE)
    reserve_s = min(RESERVE_S, left_s * RESERVE_SHARE)
    return DrainWindow(move_at=now + left_s - reserve_s, end_at=now + left_s - margin_s)


class DrainPlan:
    """Predicts when requests end, to tell those that fit into the window."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock

    def to_move(self, records: list[RequestRecord], window: DrainWindow) -> list[RequestRecord]:
        """Return the requests to hand over now, those with the most tokens first.

        At-most-once requests are never moved: they end where their claim was made.
        """
        moving = [
            record
            for record in records
            if record.kind.mode is not KindMode.AT_MOST_ONCE
            and self._clock.monotonic() + self.remaining_s(record) > window.move_at
        ]
        return sorted(moving, key=lambda record: record.tokens, reverse=True)

    def remaining_s(self, record: RequestRecord) -> float:
        """Return the time that a request may still take, in seconds; answers may be shorter."""
        if not record.prompt:
            return CALL_S
        return (record.kind.max_tokens - record.tokens) * self._token_interval_s(record)

    def _token_interval_s(self, record: RequestRecord) -> float:
        if record.first_text_at is None or record.tokens < 2:
            return TOKEN_INTERVAL_S
        return (self._clock.monotonic() - record.first_text_at) / (record.tokens - 1)
