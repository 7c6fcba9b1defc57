"""Decides how many new requests to refuse while a service's upstreams have more than they can run.

The load is that of many hosts whose knowledge of each other is older than a decision may be. What a
single upstream has is then a guess, but the sum over all of them changes slowly. It decides, with a
ramp and not a step: a step would be taken by all hosts at once, back and forth.
"""

import collections.abc as cabc
import dataclasses

from cassiawalk.storeview.upstream import Upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusalRamp:
    """The part that is refused rises from none to all between two loads.

    :param begins_at: the requests per slot up to which nothing is refused.
    :param ends_at: the requests per slot from which on everything is refused.
    """

    begins_at: float
    ends_at: float

    def ratio(self, upstreams: cabc.Iterable[Upstream]) -> float:
        """Return the part of new requests to refuse, from 0 to 1.

        :param upstreams: all upstreams of the service that accept requests.
        """
        requests = slots = 0
        for upstream in upstreams:
            requests += upstream.load.total
            slots += upstream.slots
        per_slot = requests / max(1, slots)
        ratio = (per_slot - self.begins_at) / (self.ends_at - self.begins_at)
        return min(1.0, max(0.0, ratio))


# A slot is free again soon, so a few requests that wait for it are still answered in time.
PLAIN_RAMP = RefusalRamp(begins_at=2.5, ends_at=5.5)
