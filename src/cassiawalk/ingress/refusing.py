"""When rejected callers should return, and which of them did so at the stated time.

A caller that returns has a new request id. It is known by its workspace, target and fingerprint.
"""

import collections
import dataclasses
import random

from cassiawalk.ids import Fingerprint

MAX_RETURN_S = 5.0
MIN_RETURN_S = 0.05
RETURNING_RATIO = 0.5  # of what this host sends; the rest is for requests that come first
HONOURED_RATIO = 1 / 3  # of their remaining time, up to which callers wait to return
MAX_PROMISES = 1024
EARLY_S = 0.03  # by which a caller may be early, as its clock and the network differ
LATE_S = 1.0  # after which it is a newcomer


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReturnKey:
    """What a caller repeats when it returns.

    :param caller: the key that the caller sent, or an empty one.
    """

    caller: bytes
    target: bytes
    fingerprint: Fingerprint


class PromisedReturns:
    """The times that rejected callers were told, up to ``MAX_PROMISES``."""

    def __init__(self) -> None:
        self._return_at: collections.OrderedDict[ReturnKey, float] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._return_at)

    def add(self, key: ReturnKey, return_at: float, now: float) -> None:
        """Record when a rejected caller was asked to return, in monotonic seconds."""
        self._return_at.pop(key, None)
        self._return_at[key] = return_at
        while self._return_at:
            oldest = next(iter(self._return_at))
            if len(self._return_at) <= MAX_PROMISES and self._return_at[oldest] + LATE_S > now:
                break
            del self._return_at[oldest]

    def redeem(self, key: ReturnKey, now: float) -> bool:
        """Return whether a caller returns at its time; it does so once."""
        return_at = self._return_at.get(key)
        if return_at is None or now < return_at - EARLY_S:
            return False
        del self._return_at[key]
        return now <= return_at + LATE_S


class ReturnTimes:
    """Lets callers return one after the other, as fast as a part of this host's room comes up."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._next_at = 0.0

    def next(
        self, *, now: float, wait_s: float, rate_per_s: float, left_s: float
    ) -> tuple[float, bool]:
        """Return after how many seconds room is expected, and whether it is kept for the caller.

        It is kept only for callers that can be expected to return: within a third of their time.

        :param wait_s: the time until the requests that wait are sent.
        :param rate_per_s: the requests that this host sends in a second.
        :param left_s: the time until the caller gives up.
        """
        step_s = 1.0 / (RETURNING_RATIO * rate_per_s)
        at = max(now + max(MIN_RETURN_S, wait_s), self._next_at)
        after_s = at - now + min(step_s, 0.5) * self._rng.random()
        if after_s > min(MAX_RETURN_S, HONOURED_RATIO * left_s):
            # Room comes up for others first. Callers that ask all the same are spread.
            return min(MAX_RETURN_S, after_s) * self._rng.uniform(0.75, 1.25), False
        self._next_at = at + step_s
        return after_s, True
