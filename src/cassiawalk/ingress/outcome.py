"""How an attempt at an upstream ends."""

import enum


class AttemptEnd(enum.Enum):
    """How an attempt ended, and what this says about the request.

    - DELIVERED: the answer was complete.
    - UNSENT: the request was not sent.
    - NOT_RUN: the upstream refused to run the request, or another upstream answered.
    - FAILED: the answer was complete, with a status of 500 or more.
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
