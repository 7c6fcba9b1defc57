"""Checks of the limits that hold over all hosts: news of the store, and repeats."""

import collections.abc as cabc
import dataclasses
import math

from soak.record import RunRecord
from soak.touch import Touch
from standins.platform_upstream import PlatformUpstream
from standins.platform_upstream import UpstreamRun

NEWS_LIMIT_S = 2.0  # from an acknowledgement of the store
REPEAT_RATIO, REPEAT_EXTRA, REPEAT_WINDOW_S = 0.2, 50.0, 10.0  # defaults of the hosts' settings


@dataclasses.dataclass(kw_only=True)
class Departure:
    """A time in which an upstream was leaving, in monotonic seconds."""

    upstream: PlatformUpstream
    acknowledged_at: float
    back_at: float = math.inf


def check_departures(
    departures: cabc.Iterable[Departure], record: RunRecord, touch: Touch
) -> cabc.Iterator[str]:
    """Yield each request that reached a leaving upstream too late."""
    for gone in departures:
        for run in gone.upstream.arrivals:
            sent = record.requests.get(run.request_id)
            if sent is None or not _is_late(gone, run):
                continue
            link = gone.upstream.public_address
            held_up = not touch.is_calm(link, gone.acknowledged_at, run.at)
            if not held_up and touch.binds(sent.host, gone.acknowledged_at, run.at):
                after_s = run.at - gone.acknowledged_at
                yield f"{run.request_id}: reached a leaving upstream {after_s:.2f} s after"


def _is_late(gone: Departure, run: UpstreamRun) -> bool:
    crashed = any(gone.acknowledged_at < at < run.at for at in gone.upstream.crashed_at)
    return gone.acknowledged_at + NEWS_LIMIT_S < run.at < gone.back_at and not crashed


def check_repeats(
    upstreams: cabc.Iterable[PlatformUpstream], sent_at: cabc.Sequence[float]
) -> cabc.Iterator[str]:
    """Yield each window in which upstreams got too many repeats.

    :param sent_at: when callers sent their requests, in monotonic seconds.
    """
    repeats = repeat_times(upstreams)
    for begin in repeats:
        found = _within(repeats, begin)
        before = (begin, begin - REPEAT_WINDOW_S, begin - REPEAT_WINDOW_S / 2)
        allowed = REPEAT_RATIO * max(_within(sent_at, at) for at in before) + REPEAT_EXTRA
        if found > allowed:
            yield f"{found} repeats in {REPEAT_WINDOW_S} s, allowed are {allowed}"


def repeat_times(upstreams: cabc.Iterable[PlatformUpstream]) -> list[float]:
    """Return when requests arrived that had arrived before."""
    seen: set[str] = set()
    times = []
    arrivals = [run for upstream in upstreams for run in upstream.arrivals]
    for run in sorted(arrivals, key=lambda run: run.at):
        if run.request_id in seen:
            times.append(run.at)
        seen.add(run.request_id)
    return times


def _within(times: cabc.Sequence[float], begin: float) -> int:
    return sum(begin <= at < begin + REPEAT_WINDOW_S for at in times)
