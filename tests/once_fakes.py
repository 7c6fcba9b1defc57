"""A log in memory with fault injection, a manual clock, and factories for records."""

import asyncio
import collections
import dataclasses
import enum

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendOutcome
from cassiawalk.clients import AppendRefused
from cassiawalk.clients import AppendUnknown
from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clients import ReadFailed
from cassiawalk.clients import ReadOutcome
from cassiawalk.clock import Clock
from cassiawalk.ids import ClaimId
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import Partition
from cassiawalk.ids import RequestId
from cassiawalk.once import Abandon
from cassiawalk.once import Claim
from cassiawalk.once import Outcome
from cassiawalk.once import Sequencer

EPOCH_S = 1_800_000_000.0
KEEP_S = 1000.0
OUTAGE_RETRY_S = 1.0


class Effect(enum.Enum):
    """The effect and the answer of one append."""

    ANSWERED = "answered"
    LOST = "in the stream, answer lost"
    DROPPED = "not in the stream, no answer"
    LATE = "in the stream later, no answer"


class FakeClock(Clock):
    """A clock that advances only by ``sleep`` and ``advance``."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return EPOCH_S + self.now

    async def sleep(self, delay_s: float) -> None:
        self.now += max(0.0, delay_s)
        await asyncio.sleep(0)

    def advance(self, span_s: float) -> None:
        self.now += span_s


@dataclasses.dataclass
class _Stream:
    first: int = 0
    payloads: list[bytes] = dataclasses.field(default_factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.payloads)


class FakeLog(LogService):
    """Streams in memory; ``effects`` are the effects of the next appends.

    ``outage`` lasts until it is reset, and ``outage_calls`` is the number of calls that fail.
    """

    def __init__(self) -> None:
        self.streams: dict[str, _Stream] = collections.defaultdict(_Stream)
        self.effects: collections.deque[Effect] = collections.deque()
        self.late: list[tuple[str, bytes]] = []
        self.outage = False
        self.outage_calls = 0
        self.failing_reads = 0
        self.appends = 0
        self.answering = asyncio.Event()
        self.answering.set()
        self.broken = False

    async def append(self, *, stream: str, payload: bytes) -> AppendOutcome:
        await asyncio.sleep(0)
        self.appends += 1
        await self.answering.wait()
        if self.broken:
            raise RuntimeError("a fault in the log client")
        if self._consume_outage():
            return AppendRefused(reason="outage", retry_after_s=OUTAGE_RETRY_S)
        effect = self.effects.popleft() if self.effects else Effect.ANSWERED
        if effect is Effect.LATE:
            self.late.append((stream, payload))
        if effect in (Effect.LATE, Effect.DROPPED):
            return AppendUnknown(reason=effect.value)
        self.streams[stream].payloads.append(payload)
        if effect is Effect.LOST:
            return AppendUnknown(reason=effect.value)
        return Appended(offset=Offset(self.streams[stream].end - 1))

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        await asyncio.sleep(0)
        if self.failing_reads > 0:
            self.failing_reads -= 1
            return ReadFailed(reason="read lost")
        if self._consume_outage():
            return ReadFailed(reason="outage")
        stored = self.streams[stream]
        begin = max(start, stored.first)
        payloads = stored.payloads[begin - stored.first : begin - stored.first + limit]
        return ReadBatch(
            entries=tuple(
                LogEntry(offset=Offset(begin + index), payload=payload)
                for index, payload in enumerate(payloads)
            ),
            first_offset=Offset(stored.first),
            end_offset=Offset(stored.end),
        )

    def _consume_outage(self) -> bool:
        if self.outage_calls > 0:
            self.outage_calls -= 1
            return True
        return self.outage

    def deliver_late(self) -> None:
        """Add the late appends to their streams."""
        late, self.late = self.late, []
        for stream, payload in late:
            self.streams[stream].payloads.append(payload)

    def expire(self, stream: str, through: int) -> None:
        """Remove entries up to and including an offset, as retention does."""
        stored = self.streams[stream]
        count = max(0, min(through + 1 - stored.first, len(stored.payloads)))
        del stored.payloads[:count]
        stored.first += count


def make_claim(
    key: str, number: int, *, at_s: float = 0.0, gateway: str = "host-a", digest: str = "d"
) -> Claim:
    """Return a claim made at ``at_s`` seconds of the fake clock."""
    return Claim(
        key=key,
        claim_id=ClaimId(f"claim-{number}"),
        body_digest=digest,
        gateway=HostId(gateway),
        incarnation="one",
        request_id=RequestId(f"request-{number}"),
        claimed_s=EPOCH_S + at_s,
    )


def outcome_of(claim: Claim, *, status: int = 200) -> Outcome:
    """Return an outcome for a claim."""
    return Outcome(key=claim.key, claim_id=claim.claim_id, status=status, body=b"{}")


def abandon_of(claim: Claim) -> Abandon:
    """Return the abandonment of a claim."""
    return Abandon(key=claim.key, claim_id=claim.claim_id, claimed_s=claim.claimed_s)


def make_sequencer(log: LogService, clock: Clock) -> Sequencer:
    """Return a sequencer of partition 0, not yet started."""
    return Sequencer(log=log, partition=Partition(0), clock=clock, keep_s=KEEP_S)
