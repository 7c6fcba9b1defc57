"""Decides which requests of a leaving host finish in place and which are handed over."""

import dataclasses

from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.requests import RequestRecord

DEFAULT_TOKEN_INTERVAL_S = 0.036
PLAIN_CALL_S = 0.25
HANDOVER_RESERVE_S = 5.0
HANDOVER_RESERVE_RATIO = 0.5
ANSWER_MARGIN_S = 2.0
ANSWER_MARGIN_RATIO = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainWindow:
    """The schedule of a host that is leaving, in monotonic seconds.

    Requests predicted to run past ``handover_at`` are handed over. Those still on the host at
    ``end_at`` are aborted, which leaves time to send their final answers.
    """

    handover_at: float
    end_at: float


def drain_window(*, now: float, left_s: float) -> DrainWindow:
    """Return the window of a host that has ``left_s`` seconds left."""
    margin_s = min(ANSWER_MARGIN_S, left_s * ANSWER_MARGIN_RATIO)
    reserve_s = min(HANDOVER_RESERVE_S, left_s * HANDOVER_RESERVE_RATIO)
    return DrainWindow(handover_at=now + left_s - reserve_s, end_at=now + left_s - margin_s)


class DrainPlan:
    """Predicts when requests end, and selects those that do not fit into the drain window."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock

    def to_hand_over(
        self, records: list[RequestRecord], window: DrainWindow
    ) -> list[RequestRecord]:
        """Return the requests to hand over now, those with the most generated tokens first.

        At-most-once requests are never handed over: they end on the host that made their claim.
        """
        selected = [
            record
            for record in records
            if record.kind.mode is not KindMode.AT_MOST_ONCE
            and self._clock.monotonic() + self.remaining_s(record) > window.handover_at
        ]
        return sorted(selected, key=lambda record: record.tokens, reverse=True)

    def remaining_s(self, record: RequestRecord) -> float:
        """Return the longest time that a request is expected to take from now, in seconds.

        For streams this assumes an answer of the maximum length.
        """
        if not record.prompt:
            return PLAIN_CALL_S
        return (record.kind.max_tokens - record.tokens) * self._token_interval_s(record)

    def _token_interval_s(self, record: RequestRecord) -> float:
        if record.first_text_at is None or record.tokens < 2:
            return DEFAULT_TOKEN_INTERVAL_S
        return (self._clock.monotonic() - record.first_text_at) / (record.tokens - 1)
