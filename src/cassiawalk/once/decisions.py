"""Decisions on claims, and their wire format."""

import dataclasses

from cassiawalk.once.records import Claim
from cassiawalk.once.records import Outcome
from cassiawalk.wire import Registry

decisions = Registry()


@decisions.register("granted")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The claim holds the key; its gateway may dispatch the request once."""


@decisions.register("taken")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """Another claim holds the key. ``outcome`` is its recorded answer, or None if not recorded."""

    claim: Claim
    outcome: Outcome | None = None


@decisions.register("unavailable")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The claim could not be decided; ``retry_after_s`` is in seconds.

    ``appended`` is False only if the record is known not to be in the stream. If it is True, the
    record may be in the stream, and the gateway must abandon its claim.
    """

    reason: str
    retry_after_s: float = 1.0
    appended: bool = True


ClaimDecision = Granted | Taken | Unavailable
