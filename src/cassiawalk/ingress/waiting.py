"""Decides whether a request is sent at once, waits on this host, or is rejected.

The load is that of many hosts before upstreams with few free slots, whose knowledge of each other
is up to 2 s old. Each host sends no more than its own part of what the upstreams can still answer
in time; what is beyond that waits here, in the order of ``FairQueue``, while it can be in time.

This module has no network and no clock; times are in monotonic seconds, and the caller passes the
present time and the room that it knows.
"""

import collections.abc as cabc
import dataclasses
import math
import random

from cassiawalk.admission.fairqueue import FairQueue
from cassiawalk.ingress.decisions import Asked
from cassiawalk.ingress.decisions import Decision
from cassiawalk.ingress.decisions import Reason
from cassiawalk.ingress.decisions import Room
from cassiawalk.ingress.decisions import Verdict
from cassiawalk.ingress.expectations import IN_TIME_RATIO
from cassiawalk.ingress.expectations import MAX_PLAIN_PER_SLOT
from cassiawalk.ingress.expectations import Expectations
from cassiawalk.ingress.fullness import excess
from cassiawalk.ingress.fullness import is_full
from cassiawalk.ingress.rankshares import RankShares
from cassiawalk.ingress.refusing import PromisedReturns
from cassiawalk.ingress.refusing import ReturnTimes

MAX_WAITING = 256  # requests of one service
MAX_WAITING_BYTES = 8 * 1024 * 1024  # of their heads and bodies
UNCONTENDED_RATIO = 0.5  # of the slots: below, nothing is rejected
LATE_RATIO = 0.75  # of the slots, up to which there is room for late answers
CONTENDED_RATIO = 0.9  # of the limit: from there on, a host keeps to its own part
CONTENDED_S = 2.0  # how long, after the load was seen to be that high
# Requests beyond its part that a host may have while it hears nothing: parts of less than a slot
# would else make requests wait on hosts that have just started.
UNKNOWN_SPARE = 1.0
HELD_TIME_CONSTANT_S = 1.0
RESERVED_RATIO = 0.25  # of a host's part, kept from ranks that are served more than urgent ones


class ServiceQueue:
    """The requests of one service that wait on this host, and the decisions about them.

    :param is_enabled: whether requests may wait. If not, they are served at once, or rejected
        when the upstreams are full.
    """

    def __init__(self, *, rng: random.Random, is_enabled: bool = True) -> None:
        self._rng = rng
        self._is_enabled = is_enabled
        self._queue: FairQueue[Asked] = FairQueue(moves_up=True)
        self._bytes = 0
        self._own = 0
        self._held = 0.0
        self._held_at = 0.0
        self._expectations = Expectations()
        self._contended_until = 0.0
        self._last_start_at = -math.inf
        self._expires_at = math.inf
        self.shares = RankShares()
        self.promises = PromisedReturns()
        self._returns = ReturnTimes(rng=rng)

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes of the heads and bodies of the requests that wait."""
        return self._bytes

    @property
    def own(self) -> int:
        """Return the number of this host's requests that are at upstreams."""
        return self._own

    def arrive(
        self, asked: Asked, room: Room, now: float, *, first_s: float | None = None
    ) -> Decision:
        """Decide about a request that has come, or is to be sent once more.

        :param first_s: the expected time to a stream's first event at the best candidate.
        """
        self._note_time(now)
        self._expectations.note_arrival(asked)
        if not self._is_enabled:
            return self._place_or_reject(asked, room, now, first_s)
        if self.promises and asked.returns is not None and not asked.sent_before:
            asked.returning = self.promises.redeem(asked.returns(), now)
        expected_s = self._expected_s(asked, room, first_s)
        reason = Reason.QUEUED
        if not self._queue or self._is_idle(room):
            reason = self._obstacle(asked, room, now, expected_s)
        if reason is Reason.NONE:
            return self._serve(asked, room, now, expected_s)
        least_s = self._least_s(asked, room)
        wait_s = self._wait_s(asked, room)
        missed = _missed(asked, now + wait_s + least_s)
        if missed is not Reason.NONE:
            return self._reject(asked, room, now, expected_s, wait_s, missed)
        self._push(asked, least_s)
        return self._decision(asked, Verdict.WAIT, reason, room, expected_s, wait_s)

    def take(self, asked: Asked, room: Room, now: float) -> Decision:
        """Count a request that is sent whatever the load, as an upstream has granted its place."""
        self._note_time(now)
        return self._serve(asked, room, now, self._expected_s(asked, room, None))

    def release(
        self,
        room: Room,
        now: float,
        find_first_s: cabc.Callable[[Asked], float | None],
    ) -> list[Decision]:
        """Return which of the waiting requests are to be sent or rejected now.

        :param find_first_s: returns the expected time to a stream's first event at the best
            candidate; None for a plain request, and infinity if there is no candidate.
        """
        self._note_time(now)
        decisions = self._shed(room, now)
        served = True
        while served and self._queue:
            served = False
            for asked in self._heads():
                expected_s = self._expected_s(asked, room, find_first_s(asked))
                if self._obstacle(asked, room, now, expected_s) is Reason.NONE:
                    self._remove(asked, served=True)
                    decisions.append(self._serve(asked, room, now, expected_s))
                    served = True
                    break
        return decisions

    def next_at(self, room: Room) -> float | None:
        """Return when ``release`` is to be called at the latest; None if nothing waits."""
        if not self._queue:
            return None
        paced_at = self._paced_at(room)
        # A time that has passed is no reason to look again; the last decision was after it.
        return min(self._expires_at, paced_at) if paced_at > self._held_at else self._expires_at

    def leave(self, asked: Asked) -> None:
        """Remove a request whose caller has left, or whose host stops."""
        self._remove(asked, served=False)

    def note_ended(self, asked: Asked, now: float, *, held_s: float | None = None) -> None:
        """Record that a request that was served is at its upstream no more.

        :param held_s: the time that it was there, if it was answered.
        """
        self._note_time(now)
        self._own = max(0, self._own - 1)
        if held_s is None:
            return
        self._expectations.note_held(asked, held_s)

    def note_first(self, expected_s: float, first_s: float) -> None:
        """Correct later expectations by how long a stream's first event took."""
        self._expectations.note_first(expected_s, first_s)

    def _place_or_reject(
        self, asked: Asked, room: Room, now: float, first_s: float | None
    ) -> Decision:
        """Decide without a queue and without regard to targets."""
        taken = room.others + self._own
        expected_s = self._expected_s(asked, room, first_s)
        if not is_full(asked, room, taken, expected_s, self._rng):
            return self._serve(asked, room, now, expected_s)
        slot_s = self._expectations.hold_s / max(1, room.slots)
        wait_s = max(excess(asked, room, taken) * slot_s, 1.0 / self._rate_per_s(room))
        return self._reject(asked, room, now, expected_s, wait_s, Reason.UPSTREAMS)

    def _serve(self, asked: Asked, room: Room, now: float, expected_s: float) -> Decision:
        decision = self._decision(asked, Verdict.SERVE, Reason.NONE, room, expected_s, 0.0)
        self._own += 1
        self._last_start_at = now
        asked.per_slot = (room.others + self._own) / max(1, room.slots)
        if not asked.sent_before:
            self.shares.note(asked.rank, now, served=True)
        return decision

    def _reject(
        self,
        asked: Asked,
        room: Room,
        now: float,
        expected_s: float,
        wait_s: float,
        reason: Reason,
    ) -> Decision:
        if not asked.sent_before:
            self.shares.note(asked.rank, now, served=False)
        left_s = asked.ends_at - now
        after_s, is_promised = self._returns.next(
            now=now, wait_s=wait_s, rate_per_s=self._rate_per_s(room), left_s=left_s
        )
        if is_promised and self._is_enabled and asked.returns is not None:
            self.promises.add(asked.returns(), now + after_s, now)
        decision = self._decision(asked, Verdict.REJECT, reason, room, expected_s, wait_s)
        return dataclasses.replace(decision, retry_after_s=after_s)

    def _decision(
        self,
        asked: Asked,
        verdict: Verdict,
        reason: Reason,
        room: Room,
        expected_s: float,
        wait_s: float,
    ) -> Decision:
        return Decision(
            asked=asked,
            verdict=verdict,
            reason=reason,
            room=room,
            expected_s=expected_s,
            wait_s=wait_s,
            taken=room.others + self._own,
            own=self._own,
            allowed=self._allowed(self._expectations.limit(asked, room), room),
            waiting=len(self._queue),
        )

    def _obstacle(self, asked: Asked, room: Room, now: float, expected_s: float) -> Reason:
        """Return what keeps a request from being sent now."""
        if expected_s == math.inf:
            return Reason.CANDIDATE
        taken = room.others + self._own
        if self._is_idle(room):
            return Reason.NONE
        if _missed(asked, now + expected_s / IN_TIME_RATIO) is not Reason.NONE:
            has_room_for_late = room.is_known and taken < LATE_RATIO * room.slots
            is_late = now + expected_s > asked.ends_at or not has_room_for_late
            return Reason.CANDIDATE if is_late else Reason.NONE
        limit = self._expectations.limit(asked, room)
        if taken >= CONTENDED_RATIO * limit:
            self._contended_until = now + CONTENDED_S
        if room.is_known and now >= self._contended_until:
            return Reason.NONE
        allowed = self._allowed(limit, room)
        if self.shares.is_ahead(asked.rank) and not self.shares.is_starved(asked.rank):
            allowed = min(allowed, max(1.0, allowed * (1.0 - RESERVED_RATIO)))
        if self._own + 1 > max(1.0, allowed) or now < self._paced_at(room):
            return Reason.ROOM
        return Reason.NONE

    def _is_idle(self, room: Room) -> bool:
        """Return whether so few slots are taken that every request is sent."""
        if not room.slots:
            return True  # nothing is known that could speak against it
        return room.is_known and room.others + self._own < UNCONTENDED_RATIO * room.slots

    def _allowed(self, limit: float, room: Room) -> float:
        """Return how many requests this host may have at the upstreams under contention.

        It is an equal part of the limit, or what it has and an equal part of what no host uses.
        """
        hosts = max(1, room.hosts)
        part = limit / hosts
        if not room.is_known:
            return part + UNKNOWN_SPARE
        return max(part, self._held + (limit - room.others - self._held) / hosts)

    def _paced_at(self, room: Room) -> float:
        """Return when a host whose part is less than one slot may send its next request."""
        if self._own or room.is_known and room.age_s is not None and self._held > 1.0:
            return -math.inf
        if room.slots * MAX_PLAIN_PER_SLOT >= room.hosts:
            return -math.inf
        return self._last_start_at + room.hosts * self._expectations.hold_s / max(1, room.slots)

    def _rate_per_s(self, room: Room) -> float:
        """Return how many requests this host may expect to send in a second."""
        taken = room.others + self._own
        per_slot = max(1.0, taken / max(1, room.slots))
        hold_s = max(0.001, self._expectations.hold_s)
        part = room.slots / hold_s / max(1, room.hosts)
        # One of its requests ends soon even if its part is less than one slot.
        return max(part, max(self._held, self._own) / (hold_s * per_slot), 0.01)

    def _expected_s(self, asked: Asked, room: Room, first_s: float | None) -> float:
        return self._expectations.answer_s(asked, room, room.others + self._own + 1, first_s)

    def _least_s(self, asked: Asked, room: Room) -> float:
        """Return the time to keep for a request at an upstream, once it is sent."""
        return self._expectations.least_s(asked, room, room.others + self._own + 1)

    def _wait_s(self, asked: Asked, room: Room) -> float:
        """Return the expected wait of a new request on this host."""
        ahead = 0.0
        if self._queue:
            ahead = self._queue.cost_ahead(
                workspace=asked.workspace,
                share=1.0,
                cost=asked.work,
                priority=asked.rank,
                order=asked.order,
            )
        return (ahead / max(1e-9, self._expectations.mean_work) + 1.0) / self._rate_per_s(room)

    def _heads(self) -> list[Asked]:
        """Return the first request of each rank; the one to send first comes first."""
        heads = self._queue.heads_by_priority()
        heads.sort(key=lambda head: (not self.shares.is_starved(head[0]), head[0]))
        return [asked for _, asked in heads]

    def _push(self, asked: Asked, least_s: float) -> None:
        self._queue.push(
            asked,
            workspace=asked.workspace,
            share=1.0,
            cost=asked.work,
            priority=asked.rank,
            order=asked.order,
        )
        self._bytes += asked.size_bytes
        self._expires_at = min(self._expires_at, min(asked.target_at, asked.ends_at) - least_s)

    def _remove(self, asked: Asked, *, served: bool) -> None:
        before = len(self._queue)
        self._queue.remove(asked, served=served)
        if len(self._queue) < before:
            self._bytes -= asked.size_bytes
        if not self._queue:
            self._expires_at = math.inf

    def _shed(self, room: Room, now: float) -> list[Decision]:
        """Reject what can no longer be in time, and what is over the bounds."""
        decisions = []
        while len(self._queue) > MAX_WAITING or self._bytes > MAX_WAITING_BYTES:
            last = self._queue.last()
            assert last is not None
            decisions.append(self._drop(last[1], room, now, Reason.FULL))
        if now < self._expires_at:
            return decisions
        self._expires_at = math.inf
        for asked in self._queue:
            least_s = self._least_s(asked, room)
            missed = _missed(asked, now + least_s)
            if missed is not Reason.NONE and not self._is_idle(room):
                decisions.append(self._drop(asked, room, now, missed))
                continue
            at = min(asked.target_at, asked.ends_at) - least_s
            self._expires_at = min(self._expires_at, max(at, now + 0.01))
        return decisions

    def _drop(self, asked: Asked, room: Room, now: float, reason: Reason) -> Decision:
        self._remove(asked, served=False)
        expected_s = self._least_s(asked, room)
        return self._reject(asked, room, now, expected_s, self._wait_s(asked, room), reason)

    def _note_time(self, now: float) -> None:
        part = 1.0 - math.exp(-max(0.0, now - self._held_at) / HELD_TIME_CONSTANT_S)
        self._held += part * (self._own - self._held)
        self._held_at = now


def _missed(asked: Asked, at: float) -> Reason:
    """Return what a request misses that is answered, or whose first event comes, at a time."""
    if at > asked.ends_at:
        return Reason.DEADLINE
    return Reason.TARGET if at > asked.target_at else Reason.NONE
