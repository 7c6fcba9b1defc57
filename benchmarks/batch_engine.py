"""Simulates a batching model engine in virtual time.

Each step prefills a chunk of prompt tokens and generates one token of each running request.
"""

import collections
import dataclasses

from benchmarks.noise import Noise
from cassiawalk.ids import RequestId
from cassiawalk.storeview.load import ReportedLoad
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.storeview.promptparts import PromptPart


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineModel:
    """Speed and capacity of one engine.

    :param cache_tokens: the prompt tokens that the cache holds.
    :param step_s: the base duration of a step, in seconds.
    :param step_per_request_s: the seconds that each running request adds to a step.
    :param prefill_chunk_tokens: the most prompt tokens that one step prefills.
    :param fetch_tokens_per_s: how fast cached prompt parts are copied from another engine.
    :param fetch_setup_s: the seconds that a fetch takes before it copies.
    """

    slots: int = 64
    cache_tokens: int = 632_000
    step_s: float = 0.0056
    step_per_request_s: float = 0.00012
    prefill_tokens_per_s: float = 54_600.0
    prefill_chunk_tokens: int = 2048
    fetch_tokens_per_s: float = 1_200_000.0
    fetch_setup_s: float = 0.008


@dataclasses.dataclass(kw_only=True)
class EngineRun:
    """One request at an engine.

    :param urgency: requests with lower values are prefilled first.
    :param pending_tokens: the prompt tokens that are not prefilled yet.
    """

    request_id: RequestId
    urgency: int
    pending_tokens: int
    output_tokens_left: int
    first_token_at: float | None = None


class BatchEngine:
    """Runs requests step by step.

    ``next_step_at`` is the time at which the next call of ``step`` is due, or None if the engine
    is idle.

    :param slowness: how many times as long as in the model its steps always take.
    :param noise: how neighbours slow it at times.
    """

    def __init__(
        self,
        *,
        name: str,
        model: EngineModel,
        slowness: float = 1.0,
        noise: Noise | None = None,
    ) -> None:
        self.name = name
        self.slowness = slowness
        self._noise = noise
        self.next_step_at: float | None = None
        self.prefilled_tokens = 0
        self.fetched_tokens = 0
        self._model = model
        self._cached_parts: collections.OrderedDict[PartId, int] = collections.OrderedDict()
        self._cached_tokens = 0
        self._waiting: list[EngineRun] = []
        self._running: list[EngineRun] = []
        self._prefilling: list[EngineRun] = []

    @property
    def request_count(self) -> int:
        """Return the number of requests that wait or run."""
        return len(self._waiting) + len(self._running) + len(self._prefilling)

    def load(self, now: float) -> ReportedLoad:
        """Return what the engine states of its load in the head of an answer."""
        running = len(self._running) + len(self._prefilling)
        return ReportedLoad(
            running=running,
            waiting=len(self._waiting),
            slots=self._model.slots,
            pace=1.0 if self._noise is None else self._noise.pace(now),
        )

    def cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens of the longest prefix of ``parts`` whose parts are all cached."""
        cached = 0
        for part in parts:
            if part.part_id not in self._cached_parts:
                return cached
            cached += part.tokens
        return cached

    def submit(
        self,
        *,
        run: EngineRun,
        parts: tuple[PromptPart, ...],
        now: float,
        holder: "BatchEngine | None",
    ) -> None:
        """Queue a request, after fetching the cached parts of its prompt that ``holder`` has.

        :param holder: another engine that may have cached parts of the prompt; None fetches
            nothing.
        """
        cached = self.cached_tokens(parts)
        delay_s = 0.0
        if holder is not None and (fetched := holder.cached_tokens(parts) - cached) > 0:
            cached += fetched
            self.fetched_tokens += fetched
            delay_s = self._model.fetch_setup_s + fetched / self._model.fetch_tokens_per_s
        run.pending_tokens -= cached
        for part in parts:
            self._cache(part)
        self._waiting.append(run)
        self._waiting.sort(key=lambda waiting: waiting.urgency)
        if self.next_step_at is None:
            self.next_step_at = now + delay_s + self._step_s(now)

    def step(self, now: float) -> tuple[list[EngineRun], list[EngineRun]]:
        """Complete a step.

        :return: the requests whose first token it generated, and the requests that it completed.
        """
        self._admit()
        started = []
        budget = self._model.prefill_chunk_tokens
        for run in list(self._prefilling):
            chunk_tokens = min(budget, run.pending_tokens)
            run.pending_tokens -= chunk_tokens
            self.prefilled_tokens += chunk_tokens
            budget -= chunk_tokens
            if run.pending_tokens == 0:
                run.first_token_at = now
                self._prefilling.remove(run)
                self._running.append(run)
                started.append(run)
        ended = []
        for run in list(self._running):
            run.output_tokens_left -= 1
            if run.output_tokens_left <= 0:
                self._running.remove(run)
                ended.append(run)
        self.next_step_at = now + self._step_s(now) if self.request_count else None
        return started, ended

    def _admit(self) -> None:
        while self._waiting and len(self._prefilling) + len(self._running) < self._model.slots:
            self._prefilling.append(self._waiting.pop(0))

    def _step_s(self, now: float) -> float:
        pending_tokens = sum(run.pending_tokens for run in [*self._prefilling, *self._waiting])
        chunk_tokens = min(self._model.prefill_chunk_tokens, pending_tokens)
        running_s = len(self._running) * self._model.step_per_request_s
        usual_s = self._model.step_s + running_s + chunk_tokens / self._model.prefill_tokens_per_s
        return usual_s * self._slowed(now)

    def _slowed(self, now: float) -> float:
        """Return how many times as long as usual a step takes that begins now."""
        return self.slowness * (1.0 if self._noise is None else self._noise.pace(now))

    def _cache(self, part: PromptPart) -> None:
        if part.part_id in self._cached_parts:
            self._cached_parts.move_to_end(part.part_id)
            return
        self._cached_parts[part.part_id] = part.tokens
        self._cached_tokens += part.tokens
        while self._cached_tokens > self._model.cache_tokens:
            _, tokens = self._cached_parts.popitem(last=False)
            self._cached_tokens -= tokens


class PlannedEngine(BatchEngine):
    """Prefills in a step what it has chosen when the step began.

    ``BatchEngine`` prefills requests that came during a step without any time for it, and takes
    time for those that wait for a slot. Times to first tokens do not tell its speed.
    """

    def __init__(
        self, *, name: str, model: EngineModel, slowness: float = 1.0, noise: Noise | None = None
    ) -> None:
        super().__init__(name=name, model=model, slowness=slowness, noise=noise)
        self._planned: list[tuple[EngineRun, int]] = []

    def step(self, now: float) -> tuple[list[EngineRun], list[EngineRun]]:
        """Complete a step and plan the next one.

        Requests that came in the meantime are prefilled from the next step on.

        :return: the requests whose first token it generated, and the requests that it completed.
        """
        started = []
        for run, chunk_tokens in self._planned:
            run.pending_tokens -= chunk_tokens
            self.prefilled_tokens += chunk_tokens
            if run.pending_tokens == 0:
                run.first_token_at = now
                self._prefilling.remove(run)
                self._running.append(run)
                started.append(run)
        ended = []
        for run in list(self._running):
            run.output_tokens_left -= 1
            if run.output_tokens_left <= 0:
                self._running.remove(run)
                ended.append(run)
        self.next_step_at = now + self._step_s(now) if self.request_count else None
        return started, ended

    def _step_s(self, now: float) -> float:
        """Choose the prompt tokens that the next step prefills; return how long it takes."""
        self._admit()
        budget = self._model.prefill_chunk_tokens
        self._planned = []
        for run in self._prefilling:
            chunk_tokens = min(budget, run.pending_tokens)
            budget -= chunk_tokens
            self._planned.append((run, chunk_tokens))
        planned_tokens = self._model.prefill_chunk_tokens - budget
        running_s = len(self._running) * self._model.step_per_request_s
        usual_s = self._model.step_s + running_s + planned_tokens / self._model.prefill_tokens_per_s
        return usual_s * self._slowed(now)
