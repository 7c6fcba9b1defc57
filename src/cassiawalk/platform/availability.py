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
    :param limit_per_s: how many requests a second it takes from all hosts together; None if not
        said.
    :param unreadable: the headers whose values are ignored, with these values.
    """

    leaving: bool
    pause_s: float
    limit_per_s: float | None
    unreadable: tuple[str, ...]


def read_availability(status: int, headers: Headers) -> Availability:
    """Return what a head says; of repeated values, the most cautious that can be read counts."""
    leaving = False
    pause_s = 0.0
    limit_per_s: float | None = None
    unreadable: list[str] = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == names.LEAVING:
            if value.strip() == names.LEAVING_YES:
                leaving = True
            else:
                unreadable.append(header_text(name, value))
        elif lowered == names.ASKED_PAUSE and status == names.ASKED_PAUSE_STATUS:
            asked_s = _amount(value)
            if asked_s is None:
                unreadable.append(header_text(name, value))
            else:
                pause_s = max(pause_s, asked_s)
        elif lowered == names.NAMED_LIMIT:
            named = _amount(value)
            if named is None:
                unreadable.append(header_text(name, value))
            else:
                limit_per_s = named if limit_per_s is None else min(limit_per_s, named)
    return Availability(
        leaving=leaving, pause_s=pause_s, limit_per_s=limit_per_s, unreadable=tuple(unreadable)
    )


def _amount(value: bytes) -> float | None:
    """Return a number, or None if the value is none (a date, say), negative or not finite."""
    try:
        amount = float(value)
    except ValueError:
        return None
    return amount if amount >= 0.0 and math.isfinite(amount) else None


def header_text(name: bytes, value: bytes) -> str:
    """Return a header for a log line, with the begin of its value."""
    return f"{name.decode('latin-1')}: {value[:64].decode('latin-1')}"
