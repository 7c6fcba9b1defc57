"""What the rule on named limits allows, judged by what reaches upstreams."""

import bisect
import collections.abc as cabc
import dataclasses

WINDOW_S = 4.0
STABILITY_S = 3.0  # from the naming of a limit, or its fall, until the rule counts
ALLOWED_RATIO = 1.5
ALLOWED_MORE = 5.0


def allowed(limit_per_s: float) -> float:
    """Return how many requests may reach an upstream in a window."""
    return ALLOWED_RATIO * limit_per_s * WINDOW_S + ALLOWED_MORE


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorstWindow:
    """The window with the most arrivals beyond what is allowed; ``begins_at`` is its first one."""

    begins_at: float
    arrivals: int
    allowed: float

    @property
    def breaks_rule(self) -> bool:
        """Return whether more arrived than is allowed."""
        return self.arrivals > self.allowed


def worst_window(
    times: cabc.Iterable[float], limit_per_s: float, *, named_at: float, until: float
) -> WorstWindow:
    """Return the worst window of an upstream that names one limit for a time.

    :param times: when requests reached it.
    :param until: when it names another limit, or none.
    """
    counted = sorted(at for at in times if named_at + STABILITY_S <= at < until)
    windows = [
        (bisect.bisect_left(counted, at + WINDOW_S) - index, at) for index, at in enumerate(counted)
    ]
    arrivals, begins_at = max(windows, default=(0, named_at))
    return WorstWindow(begins_at=begins_at, arrivals=arrivals, allowed=allowed(limit_per_s))


def used_share(
    times: cabc.Iterable[float], limit_per_s: float, *, since: float, until: float
) -> float:
    """Return the arrivals of a time as a share of what the limit admits in the long run."""
    return sum(since <= at < until for at in times) / (limit_per_s * (until - since))
