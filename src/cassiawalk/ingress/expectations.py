"""Learns how long requests of a service take, and expects the times of others by it."""

import math

from cassiawalk.ingress.decisions import Asked
from cassiawalk.ingress.decisions import Room

# Part of a target for which a request may wait at an upstream; the rest is for the wait on this
# host, and for requests that take longer than the mean.
TARGET_RATIO_AT_UPSTREAM = 0.5
IN_TIME_RATIO = 0.9  # of the time left, as expected times are means
# A request that waits at an engine is not in the order of a host's queue, so none should.
MAX_STREAMS_PER_SLOT = 1.0
MAX_PLAIN_PER_SLOT = 4.0
DEFAULT_STREAM_S = 1.0  # time that a stream takes a slot, until one has ended
DEFAULT_PLAIN_RATIO = 0.25  # of its target, for which a plain request is taken to run
HOLD_LEARNING_RATE = 0.05
BIAS_LEARNING_RATE = 0.05
MIN_RELATIVE_WORK, MAX_RELATIVE_WORK = 0.5, 4.0  # of a plain request, to the mean
MIN_BIAS, MAX_BIAS = 0.25, 1.5  # bounds on the correction of expected times


class Expectations:
    """The times that requests of one service are expected to take at upstreams.

    ``hold_s`` is the mean time that a request takes a slot, and ``mean_work`` its mean work.
    """

    def __init__(self) -> None:
        self.hold_s = DEFAULT_STREAM_S
        self.mean_work = 1.0
        self._knows_hold = False
        self._bias = 1.0

    def note_arrival(self, asked: Asked) -> None:
        """Learn the mean work of requests, whether they are served or not."""
        self.mean_work += HOLD_LEARNING_RATE * (asked.work - self.mean_work)
        if not self._knows_hold and not asked.is_stream:
            self.hold_s = DEFAULT_PLAIN_RATIO * (asked.target_at - asked.arrived_at)

    def note_held(self, asked: Asked, held_s: float) -> None:
        """Learn from the time that an answered request was at its upstream."""
        # The requests that were there before it were before it in the upstreams' queues. With the
        # load at its end instead, the estimate and the limit that follows from it oscillate.
        sample_s = held_s / max(1.0, asked.per_slot)
        if not self._knows_hold:
            self._knows_hold = True
            self.hold_s = sample_s
        self.hold_s += HOLD_LEARNING_RATE * (sample_s - self.hold_s)

    def note_first(self, expected_s: float, first_s: float) -> None:
        """Correct later expectations by how long a stream's first event took."""
        if expected_s <= 0.0:
            return
        sample = min(MAX_BIAS, max(MIN_BIAS, first_s / expected_s))
        self._bias += BIAS_LEARNING_RATE * (sample - self._bias)

    def limit(self, asked: Asked, room: Room) -> float:
        """Return how many requests may be at all upstreams so that this one is in time."""
        if asked.is_stream:
            return MAX_STREAMS_PER_SLOT * room.slots
        target_s = TARGET_RATIO_AT_UPSTREAM * max(0.0, asked.target_at - asked.arrived_at)
        per_slot = target_s / max(0.001, self.hold_s)
        return min(MAX_PLAIN_PER_SLOT, max(1.0, per_slot)) * room.slots

    def answer_s(self, asked: Asked, room: Room, taken: float, first_s: float | None) -> float:
        """Return the expected time at an upstream to the answer, or to a stream's first event.

        :param taken: the requests at all upstreams, with this one.
        :param first_s: the time to a stream's first event at the best candidate, if it is known;
            infinity if there is no candidate.
        """
        if asked.is_stream:
            return asked.base_s * self._bias if first_s is None else first_s * self._bias
        return math.inf if first_s == math.inf else self._plain_s(asked, room, taken)

    def least_s(self, asked: Asked, room: Room, taken: float) -> float:
        """Return the time to keep for a request at an upstream, once it is sent."""
        if asked.is_stream:
            return asked.base_s * self._bias / IN_TIME_RATIO
        return self._plain_s(asked, room, min(taken, self.limit(asked, room))) / IN_TIME_RATIO

    def _plain_s(self, asked: Asked, room: Room, taken: float) -> float:
        """Return the expected time to a plain answer: its own, and that of those before it."""
        # Bounded, as the mean may be that of streams of the same service.
        own = min(MAX_RELATIVE_WORK, max(MIN_RELATIVE_WORK, asked.work / self.mean_work))
        return self.hold_s * (own + max(0.0, taken / max(1, room.slots) - 1.0))
