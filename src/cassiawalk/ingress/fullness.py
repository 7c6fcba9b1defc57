"""Decides about requests when the queue is switched off: whether the upstreams are full.

The load is that of many hosts whose knowledge of each other is older than a decision may be. A step
would be taken by all hosts at once, back and forth, so the part that is rejected rises gradually.
"""

import math
import random

from cassiawalk.ingress.decisions import Asked
from cassiawalk.ingress.decisions import Room

# Requests per slot of all upstreams between which the rejected part of plain requests rises from
# none to all. A slot is free again soon, so a few that wait for it are still answered in time.
PLAIN_FULL_FROM, PLAIN_FULL_AT = 2.5, 5.5
STREAMS_FULL_AT = 1.0  # an engine's candidates are full one by one, see ``Placer.has_room``


def is_full(asked: Asked, room: Room, taken: int, expected_s: float, rng: random.Random) -> bool:
    """Return whether a request is to be rejected, as its upstreams are full.

    :param taken: the requests at all upstreams.
    :param expected_s: the expected time to its answer; infinity if there is no candidate.
    """
    if expected_s == math.inf:
        return True
    if asked.is_stream:
        return False
    per_slot = taken / max(1, room.slots)
    return rng.random() < (per_slot - PLAIN_FULL_FROM) / (PLAIN_FULL_AT - PLAIN_FULL_FROM)


def excess(asked: Asked, room: Room, taken: int) -> float:
    """Return how many requests have to end until the upstreams are full no more."""
    per_slot = STREAMS_FULL_AT if asked.is_stream else PLAIN_FULL_FROM
    return max(0.0, taken + 1 - per_slot * room.slots)
