"""Streams in flight and where they may go on."""

import asyncio
import dataclasses

from cassiawalk.admission import SlotLease
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.routing import UpstreamView


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Placement:
    """A slot for the next attempt, and the handle of its imported KV cache if there is one."""

    lease: SlotLease
    kv_handle: str | None = None


@dataclasses.dataclass(kw_only=True, eq=False)
class RunningStream:
    """One attempt in flight.

    ``scope`` ends the reading of the attempt when its next place is ready. ``move`` is the task
    that looks for that place; its result is the place, or why there is none. ``hurry`` is set once
    the attempt has ended by itself. ``reclaim_s`` is when the upstream goes, in wall-clock seconds.
    """

    record: RequestRecord
    view: UpstreamView
    scope: asyncio.Timeout | None = None
    move: asyncio.Task[Placement | Refusal] | None = None
    taken: bool = False
    reclaim_s: float = 0.0
    hurry: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def interrupt(self) -> None:
        """End the reading of the attempt, if it still goes on."""
        if self.scope is not None:
            self.scope.reschedule(asyncio.get_running_loop().time())
