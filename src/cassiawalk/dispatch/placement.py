"""Streams in flight and the placement of their next attempts."""

import asyncio
import dataclasses

from cassiawalk.admission import SlotLease
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.routing import UpstreamView


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Placement:
    """A slot for the next attempt, and the handle of its imported KV cache if any."""

    lease: SlotLease
    kv_handle: str | None = None


@dataclasses.dataclass(kw_only=True, eq=False)
class RunningStream:
    """One attempt in flight.

    ``scope`` is the time-out scope in which the attempt is read; ``interrupt`` ends it when the
    next placement is ready. ``migration`` is the task that finds that placement and returns it, or
    the refusal if there is none. ``consumed`` tells whether its result was taken. ``ended`` is set
    once the attempt has ended. ``reclaim_s`` is when the upstream is reclaimed, in wall-clock
    seconds.
    """

    record: RequestRecord
    view: UpstreamView
    scope: asyncio.Timeout | None = None
    migration: asyncio.Task[Placement | Refusal] | None = None
    consumed: bool = False
    reclaim_s: float = 0.0
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def interrupt(self) -> None:
        """Stop reading the attempt if it is still being read."""
        if self.scope is not None:
            self.scope.reschedule(asyncio.get_running_loop().time())
