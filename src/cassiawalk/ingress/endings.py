"""Decides whether an answer that only the end of its connection ended is whole.

Such an answer has neither a length nor chunks. The end of its connection is that of the answer if
the upstream closed it, and that of the upstream if it died. The upstream is asked after the end: if
the same process answers, it has outlived its answer. One that has started again under its id
answers alike, so that after a stall of this host the store has to list the same process too.
"""

import asyncio
import collections.abc as cabc
import dataclasses
import enum
import math

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.inquiry import UpstreamInquiry
from cassiawalk.storeview.inquiry import Witness
from cassiawalk.storeview.upstream import Upstream

STALL_S = 0.3  # between two looks; this host did not run meanwhile
STALLED_FOR_S = 1.0  # what arrived in a stall is handled within this time after it
# After a crash, nothing listens at an address for longer than this. Whoever does is the upstream.
PROMPT_S = 0.08


class Wholeness(enum.Enum):
    """Whether an answer is whole; UNKNOWN is to be treated like BROKEN."""

    WHOLE = "whole"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """What is known of an upstream after the end of its answer.

    :param witness: who was found at its address.
    :param asked_after_s: the time from the end of the answer to the question, in seconds.
    :param stalled: whether this host did not run for a while around the end.
    :param is_current: whether the store lists no later process under the upstream's id; None if
        that is not known. Without a stall there was no time to start again.
    """

    witness: Witness
    asked_after_s: float
    stalled: bool
    is_current: bool | None = None


def judge(evidence: Evidence) -> Wholeness:
    """Return whether an answer was whole."""
    match evidence.witness:
        case Witness.SAME if evidence.is_current or not evidence.stalled:
            return Wholeness.WHOLE
        case Witness.SAME if evidence.is_current is False:
            return Wholeness.BROKEN
        case Witness.OTHER | Witness.NOBODY:
            return Wholeness.BROKEN
        case Witness.SOMEONE if evidence.asked_after_s <= PROMPT_S and not evidence.stalled:
            return Wholeness.WHOLE
        case _:
            return Wholeness.UNKNOWN


class StallWatch:
    """Tells whether this host was stopped or starved lately.

    :param boot_clock: a clock that also runs while the host is suspended.
    """

    def __init__(self, *, boot_clock: Clock) -> None:
        self._clock = boot_clock
        self._looked_at = boot_clock.monotonic()
        self._stalled_at: float | None = None

    def look(self) -> None:
        """Note that the host runs; called several times within ``STALL_S``."""
        now = self._clock.monotonic()
        if now - self._looked_at > STALL_S:
            self._stalled_at = now
        self._looked_at = now

    @property
    def stalled(self) -> bool:
        """Return whether what is handled now may have arrived in a stall, or before one."""
        self.look()
        if self._stalled_at is None:
            return False
        return self._clock.monotonic() - self._stalled_at < STALLED_FOR_S


async def _may_always_ask(_: Upstream) -> bool:
    return True


async def _is_not_known(_: Upstream) -> bool | None:
    return None


class Endings(Component):
    """Asks upstreams after the ends of their answers.

    As long as no other process can be there, it is enough that something listens. Else the health
    check tells who it is. ``may_ask`` is called before each check, and ``on_judged`` with each
    judgement and the witness it goes by. ``is_current`` returns what ``Evidence`` holds.
    """

    def __init__(
        self, *, inquiry: UpstreamInquiry, config: ConfigView, stalls: StallWatch, clock: Clock
    ) -> None:
        self._inquiry = inquiry
        self._config = config
        self._stalls = stalls
        self._clock = clock
        self._next: dict[str, _Question] = {}
        self._running: dict[str, _Question] = {}
        self.may_ask: cabc.Callable[[Upstream], cabc.Awaitable[bool]] = _may_always_ask
        self.is_current: cabc.Callable[[Upstream], cabc.Awaitable[bool | None]] = _is_not_known
        self.on_judged: cabc.Callable[[Wholeness, Witness], None] = lambda *_: None

    async def judge(self, upstream: Upstream, *, wait_s: float) -> Wholeness:
        """Return whether an answer of an upstream, which its connection has just ended, is whole.

        :param wait_s: how long the question may take, in seconds.
        """
        evidence = await self.find(upstream, wait_s=wait_s)
        if evidence.witness is Witness.SAME and evidence.stalled:
            is_current = await self.is_current(upstream)
            evidence = dataclasses.replace(evidence, is_current=is_current)
        found = judge(evidence)
        self.on_judged(found, evidence.witness)
        return found

    async def find(self, upstream: Upstream, *, wait_s: float) -> Evidence:
        """Find out who is at an upstream's address now that its connection has ended.

        :param wait_s: how long the question may take, in seconds.
        """
        ended_at = self._clock.monotonic()
        stalled = self._stalls.stalled
        question = self._question(upstream)
        await asyncio.wait([question.task], timeout=wait_s)
        return Evidence(
            witness=question.task.result() if question.task.done() else Witness.UNKNOWN,
            asked_after_s=question.asked_at - ended_at,
            stalled=stalled or self._stalls.stalled,
        )

    def _question(self, upstream: Upstream) -> "_Question":
        """Return a question that has not begun, which all answers that end before it share."""
        process = upstream.process
        question = self._next.get(process)
        if question is None:
            question = _Question(began_at=self._clock.monotonic())
            question.task = self.spawn(self._ask_next(upstream, question), name=f"end-{process}")
            self._next[process] = question
        return question

    async def _ask_next(self, upstream: Upstream, question: "_Question") -> Witness:
        process = upstream.process
        running = self._running.get(process)
        if running is not None:
            await asyncio.wait([running.task])
        self._running[process] = self._next.pop(process)
        question.asked_at = self._clock.monotonic()
        is_prompt = question.asked_at - question.began_at <= PROMPT_S and not self._stalls.stalled
        try:
            return await (self._knock(upstream) if is_prompt else self._ask(upstream))
        finally:
            del self._running[process]

    async def _knock(self, upstream: Upstream) -> Witness:
        """Find out whether something listens; ask who it is only if that is not known."""
        found = await self._try_address(upstream)
        return await self._ask(upstream) if found is Witness.UNKNOWN else found

    async def _ask(self, upstream: Upstream) -> Witness:
        path = self._config.health_path(upstream.registration.service)
        if path is None or not await self.may_ask(upstream):
            return await self._try_address(upstream)
        return (await self._inquiry.ask(upstream.registration, path=path)).witness

    async def _try_address(self, upstream: Upstream) -> Witness:
        is_open = await upstream.pool.probe()
        if is_open is None:
            return Witness.UNKNOWN
        return Witness.SOMEONE if is_open else Witness.NOBODY


class _Question:
    """A question to an upstream; times in monotonic seconds.

    ``task`` finds the witness. ``began_at`` is when the first answer ended that waits for it, and
    ``asked_at`` when it was asked.
    """

    def __init__(self, *, began_at: float) -> None:
        self.began_at = began_at
        self.asked_at = math.inf
        self.task: asyncio.Task[Witness]
