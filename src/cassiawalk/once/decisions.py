"""What a claim attempt can end in."""

import dataclasses

from cassiawalk.once.records import Claim
from cassiawalk.once.records import Outcome
from cassiawalk.wire import Registry

decisions = Registry()


@decisions.register("granted")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The claim won; its gateway may dispatch once."""


@decisions.register("taken")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """Another claim holds the key; ``outcome`` is its recorded answer, if there is one yet."""

    claim: Claim
    outcome: Outcome | None = None


@decisions.register("unavailable")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """No decision could be had; ``retry_after_s`` is in seconds.

    ``appended`` is False only if the record is certainly not in the stream. Otherwise it may be,
    and the gateway of a claim must abandon it.
    """

    reason: str
    retry_after_s: float = 1.0
    appended: bool = True


ClaimDecision = Granted | Taken | Unavailable
