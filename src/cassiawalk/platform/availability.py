"""Parses what upstreams say in their answers' heads about the requests they still want."""

import dataclasses
import math

from cassiawalk.http1 import Headers
from cassiawalk.platform import names


@dataclasses.dataclass(frozen=True, kw_only=True)
class Availability:
    """What one answer's head says.

    :param leaving: whether the upstream leaves.
    :param pause_s: for how long it wants no request of this host, in seconds; 0 if not said.
    :param unreadable: the headers whose values are ignored, with these values.
    """

    leaving: bool
    pause_s: float
    unreadable: tuple[str, ...]


def read_availability(status: int, headers: Headers) -> Availability:
    """Return what a head says; of repeated times, the longest that can be read counts."""
    leaving = False
    pause_s = 0.0
    unreadable: list[str] = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == names.LEAVING:
            if value.strip() == names.LEAVING_YES:
                leaving = True
            else:
                unreadable.append(_text(name, value))
        elif lowered == names.ASKED_PAUSE and status == names.ASKED_PAUSE_STATUS:
            asked_s = _seconds(value)
            if asked_s is None:
                unreadable.append(_text(name, value))
            else:
                pause_s = max(pause_s, asked_s)
    return Availability(leaving=leaving, pause_s=pause_s, unreadable=tuple(unreadable))


def _seconds(value: bytes) -> float | None:
    """Return a time in seconds, or None if the value is a date, negative or no number."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if seconds >= 0.0 and math.isfinite(seconds) else None


def _text(name: bytes, value: bytes) -> str:
    return f"{name.decode('latin-1')}: {value[:64].decode('latin-1')}"
