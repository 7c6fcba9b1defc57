"""Learns from first tokens how fast a service's engines prefill prompts.

Operators do not declare it, and services differ by a factor of several. The time to a first token
has a part that all requests share, a part in proportion to the prompt's uncached tokens, and
waiting. The second one is estimated as the median slope over pairs of requests. Requests that had
to wait, or whose prompt was cached after all, hardly change it while they are a minority.
"""

import collections
import itertools
import statistics

from cassiawalk.ids import ServiceName

# Until enough first tokens were seen, and the least that is believed: engines under load seem
# slower than they are, and more of them would be ordered than the load needs.
MIN_TOKENS_PER_S = 50_000.0
SAMPLES_KEPT = 64
MIN_TOKENS_APART = 500  # of a pair: below that, waiting decides the slope
MIN_PAIRS = 100
SAMPLES_PER_ESTIMATE = 8


class PrefillSpeed:
    """The prefill speed of one service's engines."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[int, float]] = collections.deque(maxlen=SAMPLES_KEPT)
        self._noted = 0
        self.tokens_per_s = MIN_TOKENS_PER_S

    def note(self, tokens: int, first_s: float) -> None:
        """Take in a request's uncached prompt tokens, and the time until its first token came."""
        self._samples.append((tokens, first_s))
        self._noted += 1
        if self._noted % SAMPLES_PER_ESTIMATE == 0:
            self._estimate()

    def _estimate(self) -> None:
        slopes = [
            (later[1] - earlier[1]) / (later[0] - earlier[0])
            for earlier, later in itertools.combinations(self._samples, 2)
            if abs(later[0] - earlier[0]) >= MIN_TOKENS_APART
        ]
        if len(slopes) < MIN_PAIRS:
            return
        seconds_per_token = statistics.median(slopes)
        if seconds_per_token > 0:
            self.tokens_per_s = max(MIN_TOKENS_PER_S, 1 / seconds_per_token)


class PrefillSpeeds:
    """The prefill speeds of all services, as this host has seen them."""

    def __init__(self) -> None:
        self._speeds: dict[ServiceName, PrefillSpeed] = {}

    def note(self, service: ServiceName, tokens: int, first_s: float) -> None:
        """Take in a first token, see ``PrefillSpeed.note``."""
        self._speeds.setdefault(service, PrefillSpeed()).note(tokens, first_s)

    def tokens_per_s(self, service: ServiceName) -> float:
        """Return how many prompt tokens one engine prefills in a second."""
        found = self._speeds.get(service)
        return MIN_TOKENS_PER_S if found is None else found.tokens_per_s
