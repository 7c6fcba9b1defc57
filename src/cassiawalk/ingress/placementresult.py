"""What a placement consists of: a chosen upstream and the values that led to the choice."""

import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.ingress.prefixestimate import PrefixCost
from cassiawalk.ratelimits import Permit
from cassiawalk.storeview.upstream import Upstream


class Choice(enum.Enum):
    """By what an upstream was chosen.

    - SPREAD: a plain request, by own requests and speed.
    - PREFERRED: it is the preferred upstream of the shared prefix, and no other is much cheaper.
    - EQUAL: several have about the same cost; by own requests, free slots and speed.
    - CHEAPEST: all that cost about as little are full.
    - GIVEN: it was not chosen by cost, as the request has to run alone or needs a permit.
    """

    SPREAD = "spread"
    PREFERRED = "preferred"
    EQUAL = "equal"
    CHEAPEST = "cheapest"
    GIVEN = "given"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """A chosen upstream and the values that led to the choice.

    :param cost: the value that upstreams were compared by, in seconds.
    :param first_s: the expected time to the first token, in seconds.
    :param unread_tokens: the prompt tokens that the upstream is expected to prefill.
    :param pending_tokens: the prompt tokens of other requests that it is expected to prefill first.
    :param candidates: the number of upstreams that accepted requests.
    :param permit: the permit to send a request to the upstream, if it names a limit.
    :param holder: another upstream from which the prompt's shared prefix may be fetched.
    :param slowness: how many times as long as usual work takes on the upstream, as far as known.
    :param pace: the part of it that neighbours cause at this moment.
    :param choice: by what it was chosen.
    :param wait_s: the expected time until the upstream begins to prefill the prompt, in seconds.
    :param prefix: how the upstream comes to have the shared prefix; None if it is not estimated.
    :param on_fetched: learns from a fetch; called with the time that it was expected to take, and
        the time that it took.
    :param on_sent: called when the request is sent.
    :param is_full: whether all its slots are taken, as far as known.
    :param work: the units of work by which the time to the answer is divided to learn how fast the
        upstream is: prompt tokens, or 1 for a plain request; None if waiting or a cache decides it.
    """

    upstream: Upstream
    cost: float
    first_s: float
    unread_tokens: int
    pending_tokens: int
    candidates: int
    permit: Permit | None = None
    holder: Upstream | None = None
    slowness: float = 1.0
    pace: float = 1.0
    work: float | None = None
    is_full: bool = False
    choice: Choice = Choice.GIVEN
    wait_s: float = 0.0
    prefix: PrefixCost | None = None
    on_fetched: cabc.Callable[[float, float], None] | None = None
    on_sent: cabc.Callable[[], None] | None = None

    def note_sent(self) -> None:
        """Record that the request is sent to the upstream."""
        if self.on_sent is not None:
            self.on_sent()

    def note_answer(self, first_s: float) -> None:
        """Learn the upstream's speed from the answer, or how long its fetch took.

        :param first_s: the time until the first token, or the head of a plain answer, in seconds.
        """
        # A fetch that ends within the wait leaves no trace in the time to the first token.
        if (
            self.on_fetched is not None
            and self.prefix is not None
            and self.prefix.fetch_s > self.wait_s
        ):
            rest_s = self.first_s - self.prefix.delay_s
            self.on_fetched(self.prefix.fetch_s, first_s - rest_s + self.wait_s)
        if self.work is None or self.holder is not None:
            return
        self.upstream.speed.note(first_s / (self.work * self.upstream.load.pace))
