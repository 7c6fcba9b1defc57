"""How an attempt at an upstream ends."""

import dataclasses
import enum

from cassiawalk.crashes.losses import BEGINNING_S
from cassiawalk.crashes.losses import Progress
from cassiawalk.http1 import Ending
from cassiawalk.http1 import Framing


class AttemptEnd(enum.Enum):
    """How an attempt ended, and what this says about the request.

    - DELIVERED: the answer was complete.
    - UNSENT: the request was not sent.
    - NOT_RUN: the upstream refused to run the request, or another upstream answered.
    - FAILED: the answer was complete, with a status of 500 or more, or claimed without a proof that
      the request has not run; or it was none that could go on with a stream.
    - BROKEN: the answer was lost or unusable before any of it was sent to the caller.
    - BROKEN_MIDWAY: the answer was lost after a part of it had been sent to the caller.
    """

    DELIVERED = "delivered"
    UNSENT = "unsent"
    NOT_RUN = "not-run"
    FAILED = "failed"
    BROKEN = "broken"
    BROKEN_MIDWAY = "broken-midway"

    @property
    def surely_not_run(self) -> bool:
        """Return whether the upstream has certainly not run the request and never will."""
        return self in (AttemptEnd.UNSENT, AttemptEnd.NOT_RUN)

    @property
    def answer_lost(self) -> bool:
        """Return whether the upstream may have died while it ran the request."""
        return self in (AttemptEnd.BROKEN, AttemptEnd.BROKEN_MIDWAY)


@dataclasses.dataclass(kw_only=True)
class AnswerTrace:
    """What an attempt saw of its answer.

    :param reason: why the attempt failed; empty if it did not.
    :param first_s: time to the head or first event of the answer in seconds; None if none came.
    :param began_at: when the first event came, in monotonic seconds; None if none came.
    :param status: the status of the answer; None if no head came.
    :param framing: how the answer was framed; None if no head came.
    :param ending: how the answer ended; None if the attempt gave it up or did not read on.
    :param limit_per_s: the limit that the answer's head named, in requests a second; None if none.
    :param incomplete_bytes: how many bytes of an incomplete event came at the end of a stream.
    """

    reason: str = ""
    first_s: float | None = None
    began_at: float | None = None
    status: int | None = None
    framing: Framing | None = None
    ending: Ending | None = None
    limit_per_s: float | None = None
    incomplete_bytes: int = 0

    def progress(self, now: float) -> Progress:
        """Return how far the answer has come.

        :param now: the time in monotonic seconds.
        """
        if self.framing is None:
            return Progress.WAITING
        if self.began_at is None or now - self.began_at < BEGINNING_S:
            return Progress.BEGINNING
        return Progress.RUNNING
