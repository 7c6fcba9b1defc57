"""Costs of limits that upstreams name: a call for a permit, a note, and a request's look-up.

``python -m benchmarks.permit_costs``; microseconds of one core.
"""

import asyncio
import collections.abc as cabc
import random
import time
import typing as t

from cassiawalk.clock import SystemClock
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteSharing
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic
from cassiawalk.peer import _frames
from cassiawalk.ratelimits import FleetContact
from cassiawalk.ratelimits import LendingAuthority
from cassiawalk.ratelimits import LimitBook
from cassiawalk.ratelimits import NamedLimit
from cassiawalk.ratelimits import PermitCall
from cassiawalk.ratelimits import PermitReply
from cassiawalk.ratelimits import Permits

HOST = HostId("host-0")
ROUNDS = 2000


class _Hubs(FleetContact):
    def __init__(self, count: int) -> None:
        self._hosts = [HostId(f"host-{number}") for number in range(count)]

    def candidates(self) -> cabc.Sequence[HostId]:
        return self._hosts

    def confirmed(self, within_s: float) -> cabc.Set[HostId]:
        return frozenset(self._hosts[1:])

    def host_count(self) -> int:
        return len(self._hosts)


class _Alone(NoteSharing):
    async def share(self, notes: cabc.Sequence[Note]) -> None:
        return


def _note(number: int, limit: float, at_s: float) -> Note:
    return Note(
        topic=NoteTopic.NAMED_LIMIT,
        name=f"u-{number}/1",
        at_s=at_s,
        until_s=at_s + 600.0,
        items=(repr(limit),),
    )


def _report(name: str, began_at: float, count: int) -> None:
    print(f"{name}: {(time.perf_counter() - began_at) / count * 1e6:.1f} us")


async def main() -> None:
    clock = SystemClock()
    for limits in (1, 100, 1000):
        notes = NoteStore(clock=clock)
        book = LimitBook(notes=notes, sharing=_Alone(), clock=clock)
        now_s = clock.wall()
        began_at = time.perf_counter()
        for number in range(limits):
            notes.merge(_note(number, 4.25, now_s))
        _report(f"take in a note, {limits} limits", began_at, limits)
        authority = LendingAuthority(host=HOST, contact=_Hubs(62), clock=clock)
        group = next(name for name in map(str, range(1000)) if authority.lender(name) == HOST)
        permits = Permits(
            host=HOST,
            book=book,
            authority=authority,
            links=t.cast(t.Any, None),
            clock=clock,
            rng=random.Random(1),
        )
        call = PermitCall(
            host=HOST, group=group, wanted=(NamedLimit(name="u-0/1", limit_per_s=4.25),)
        )
        await permits.handle(call)
        await asyncio.sleep(1.0)
        began_at = time.perf_counter()
        for _ in range(ROUNDS):
            reply = await permits.handle(call)
        _report(f"decide on a call, {limits} limits, 62 hubs", began_at, ROUNDS)
        began_at = time.perf_counter()
        for number in range(ROUNDS):
            book.get(f"u-{number % limits}/1")
        _report(f"look up a limit, {limits} limits", began_at, ROUNDS)
    began_at = time.perf_counter()
    for _ in range(ROUNDS):
        frame = _frames.encode_frame(1, call)
        _frames.decode_frame(frame)
        answer = _frames.encode_frame(
            1, PermitReply(granted=None, wait_s=reply.wait_s, lender=HOST)
        )
        _frames.decode_frame(answer)
    _report("encode and decode a call and its answer", began_at, ROUNDS)
    print(f"bytes of a call and its answer: {len(frame)} + {len(answer)}")


if __name__ == "__main__":
    asyncio.run(main())
