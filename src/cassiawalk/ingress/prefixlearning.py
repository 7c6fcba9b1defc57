"""Learns what the estimate of prefixes needs: how fast memory fills, and how long fetches take.

All times are arguments. A host sees its own requests only and takes the other hosts' for as many.
"""

import collections
import math

from cassiawalk.storeview.config import EngineTraits

TIME_CONSTANT_S = 15.0
FETCH_SAMPLES = 32
MIN_FETCH_SAMPLES = 4
# Answers that also waited seem to have fetched for longer; a low quantile leaves them out.
QUANTILE = 0.25
MAX_FETCH_FACTOR = 20.0
MIN_FETCH_FACTOR = 0.2
FETCH_SETUP_S = 0.008  # a fetch's time before its first byte; longer ones are learned
BITS_PER_BYTE = 8


class MemoryUse:
    """The rate at which requests add tokens to the engines of a service, and their mean size."""

    def __init__(self) -> None:
        self._added = 0.0
        self._at = -math.inf
        self._began_at = math.inf
        self._mean_tokens = 0.0

    def note(self, new_tokens: int, held_tokens: int, now: float) -> None:
        """Count a request.

        :param new_tokens: the tokens that it adds to an engine's memory.
        :param held_tokens: the tokens that it holds there while it runs.
        """
        self._began_at = min(self._began_at, now)
        self._added = self._left(now) + new_tokens
        self._at = now
        part = 0.1 if self._mean_tokens else 1.0
        self._mean_tokens += part * (held_tokens - self._mean_tokens)

    def added_per_s(self, now: float) -> float:
        """Return the tokens that this host's requests add in a second."""
        seen_s = min(TIME_CONSTANT_S, max(1.0, now - self._began_at))
        return self._left(now) / seen_s

    @property
    def mean_tokens(self) -> float:
        """Return the mean of the tokens that a request holds while it runs."""
        return self._mean_tokens

    def _left(self, now: float) -> float:
        return self._added * math.exp((self._at - now) / TIME_CONSTANT_S) if self._added else 0.0


class FetchTimes:
    """How long fetches between the engines of a service take, compared with the declared link."""

    def __init__(self) -> None:
        self._factors: collections.deque[float] = collections.deque(maxlen=FETCH_SAMPLES)
        self._factor = 1.0

    def expected_s(self, tokens: int, traits: EngineTraits) -> float:
        """Return the expected time of a fetch; infinite if the link is not declared."""
        if traits.token_bytes <= 0 or traits.link_mbps <= 0:
            return math.inf
        bits = tokens * traits.token_bytes * BITS_PER_BYTE
        return self._factor * (FETCH_SETUP_S + bits / (traits.link_mbps * 1e6))

    def note(self, expected_s: float, took_s: float) -> None:
        """Take in how long a fetch took that was expected to take ``expected_s``."""
        if expected_s <= 0:
            return
        factor = self._factor * took_s / expected_s
        self._factors.append(min(MAX_FETCH_FACTOR, max(MIN_FETCH_FACTOR, factor)))
        if len(self._factors) >= MIN_FETCH_SAMPLES:
            self._factor = sorted(self._factors)[int(len(self._factors) * QUANTILE)]
