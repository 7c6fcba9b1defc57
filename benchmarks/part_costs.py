"""Measures what refusing crashing parts of prompts costs a host, and what it keeps.

Run with ``python -m benchmarks.part_costs``.
"""

import asyncio
import time
import tracemalloc
import typing as t

import cbor2

from cassiawalk.clock import SystemClock
from cassiawalk.crashes.blame import MAX_DEATHS
from cassiawalk.crashes.losses import MAX_LOST_REQUESTS
from cassiawalk.crashes.losses import Losses
from cassiawalk.crashes.losses import LostRequest
from cassiawalk.crashes.losses import Parts
from cassiawalk.crashes.losses import Progress
from cassiawalk.crashes.losses import items_of
from cassiawalk.crashes.losses import losses_name
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.crashes.parts import LOSSES_KEEP_S
from cassiawalk.crashes.parts import PartGuard
from cassiawalk.crashes.verdicts import Verdicts
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.wire import to_plain

LOOKUPS = 100_000
REPORTERS = 4
PARTS_OF_A_PROMPT = 3


class LocalNotes:
    """Stores notes on this host only."""

    def __init__(self, store: NoteStore) -> None:
        self._store = store

    async def share(self, notes: t.Sequence[t.Any]) -> None:
        """Store notes."""
        for note in notes:
            self._store.merge(note)


def _prompt(number: int) -> Parts:
    return frozenset(PartId(f"{number * PARTS_OF_A_PROMPT + index:08x}") for index in range(3))


def _lookup_us(guard: PartGuard) -> float:
    prompts = [_prompt(number) for number in range(1000)]
    began_at = time.perf_counter()
    for number in range(LOOKUPS):
        if not guard.is_idle:
            parts = prompts[number % len(prompts)]
            guard.verdict_against(parts)
            guard.is_held(parts)
    return (time.perf_counter() - began_at) / LOOKUPS * 1e6


class _Host:
    """The notes of one host, and what refuses parts there."""

    def __init__(self) -> None:
        self._clock = SystemClock()
        self.store = NoteStore(clock=self._clock, limit=MAX_DEATHS * REPORTERS * 4)
        sharing = t.cast(t.Any, LocalNotes(self.store))
        self.notes = CrashNotes(note_store=self.store, sharing=sharing, clock=self._clock)
        self.guard = PartGuard(
            host=HostId("h-0"),
            notes=self.notes,
            clock=self._clock,
            on_explained=lambda _: None,
            on_change=lambda _: None,
            may_try=lambda _: False,
        )
        self.store.add_listener(self.guard.note_changed)

    def fill(self) -> tuple[list[float], int]:
        """Take notes of ``MAX_DEATHS`` deaths; return the seconds for each, and a note's size."""
        took_s = []
        size = 0
        for death in range(MAX_DEATHS):
            for number in range(REPORTERS):
                note = self._note(death, HostId(f"h-{number}"))
                size = len(cbor2.dumps(to_plain(note)))
                began_at = time.perf_counter()
                self.store.merge(note)
                took_s.append(time.perf_counter() - began_at)
        return took_s, size

    def _note(self, death: int, reporter: HostId) -> Note:
        lost = [
            LostRequest(parts=_prompt(death * 16 + number), progress=Progress.WAITING)
            for number in range(MAX_LOST_REQUESTS // REPORTERS)
        ]
        losses = Losses(
            process=f"i-{death:010x}/1771383781062",
            failure_domain=FailureDomain("here"),
            reporter=reporter,
            at_s=self._clock.wall(),
            requests=frozenset(lost),
        )
        name = losses_name(losses.process, reporter)
        return self.notes.new(
            NoteTopic.LOST_PARTS, name, keep_s=LOSSES_KEEP_S, items=items_of(losses)
        )


async def main() -> None:
    """Print the costs."""
    host = _Host()
    print(f"a request while no upstream has died: {_lookup_us(host.guard):.2f} us")
    took_s, size = host.fill()
    verdicts = Verdicts(notes=host.notes, host=HostId("h-0"))
    for number in range(100):
        host.store.merge(verdicts.new_note(_prompt(number), processes=("a", "b", "c")))
    print(f"the same with {MAX_DEATHS} deaths and 100 verdicts: {_lookup_us(host.guard):.2f} us")
    few, many = took_s[:32], took_s[-32:]
    print(f"a note of a host's losses: {1e3 * sum(few) / len(few):.2f} ms after few deaths,")
    print(f"  {1e3 * sum(many) / len(many):.2f} ms after {MAX_DEATHS}; {size} bytes each")
    tracemalloc.start()
    traced = _Host()
    traced.fill()
    kept_mb = tracemalloc.get_traced_memory()[0] / 1e6
    print(f"kept at {MAX_DEATHS} deaths with {MAX_LOST_REQUESTS} requests each: {kept_mb:.1f} MB")
    await host.guard.stop()
    await traced.guard.stop()


if __name__ == "__main__":
    asyncio.run(main())
