"""A model engine in virtual time: prompts read in chunks between the tokens of running requests."""

import collections
import dataclasses

from cassiawalk.ids import RequestId
from cassiawalk.ingress.codec import PartId
from cassiawalk.ingress.codec import PromptPart


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineModel:
    """What one engine can do; times in seconds.

    :param fetch_tokens_per_s: how fast prompt parts come from another engine.
    """

    slots: int = 64
    memory_tokens: int = 632_000
    step_s: float = 0.0056
    step_per_request_s: float = 0.00012
    read_tokens_per_s: float = 54_600.0
    chunk_tokens: int = 2048
    fetch_tokens_per_s: float = 1_200_000.0
    fetch_setup_s: float = 0.008


@dataclasses.dataclass(kw_only=True)
class EngineRun:
    """One request at an engine; ``unread`` counts prompt tokens that it still has to read."""

    request_id: RequestId
    urgency: int
    unread: int
    tokens_left: int
    first_at: float | None = None


class BatchEngine:
    """Runs requests step by step; ``due_at`` is when the next step ends, or None if idle."""

    def __init__(self, *, name: str, model: EngineModel) -> None:
        self.name = name
        self.due_at: float | None = None
        self.read_tokens = 0
        self.fetched_tokens = 0
        self._model = model
        self._kept: collections.OrderedDict[PartId, int] = collections.OrderedDict()
        self._kept_tokens = 0
        self._waiting: list[EngineRun] = []
        self._running: list[EngineRun] = []
        self._reading: list[EngineRun] = []

    @property
    def requests(self) -> int:
        """Return how many requests are here."""
        return len(self._waiting) + len(self._running) + len(self._reading)

    def holds(self, parts: tuple[PromptPart, ...]) -> int:
        """Return how many tokens of ``parts`` are kept, up to the first that is not."""
        held = 0
        for part in parts:
            if part.part_id not in self._kept:
                return held
            held += part.tokens
        return held

    def begin(
        self,
        *,
        run: EngineRun,
        parts: tuple[PromptPart, ...],
        now: float,
        holder: "BatchEngine | None",
    ) -> None:
        """Queue a request, after fetching what ``holder`` keeps of its shared parts."""
        held = self.holds(parts)
        delay_s = 0.0
        if holder is not None and (more := holder.holds(parts) - held) > 0:
            held += more
            self.fetched_tokens += more
            delay_s = self._model.fetch_setup_s + more / self._model.fetch_tokens_per_s
        run.unread -= held
        for part in parts:
            self._keep(part)
        self._waiting.append(run)
        self._waiting.sort(key=lambda waiting: waiting.urgency)
        if self.due_at is None:
            self.due_at = now + delay_s + self._step_s()

    def step(self, now: float) -> tuple[list[EngineRun], list[EngineRun]]:
        """End a step; return the requests that had their first token in it, and that ended."""
        self._admit()
        begun = []
        budget = self._model.chunk_tokens
        for run in list(self._reading):
            read = min(budget, run.unread)
            run.unread -= read
            self.read_tokens += read
            budget -= read
            if run.unread == 0:
                run.first_at = now
                self._reading.remove(run)
                self._running.append(run)
                begun.append(run)
        ended = []
        for run in list(self._running):
            run.tokens_left -= 1
            if run.tokens_left <= 0:
                self._running.remove(run)
                ended.append(run)
        self.due_at = now + self._step_s() if self.requests else None
        return begun, ended

    def _admit(self) -> None:
        while self._waiting and len(self._reading) + len(self._running) < self._model.slots:
            self._reading.append(self._waiting.pop(0))

    def _step_s(self) -> float:
        unread = sum(run.unread for run in [*self._reading, *self._waiting])
        chunk = min(self._model.chunk_tokens, unread)
        busy = len(self._running) * self._model.step_per_request_s
        return self._model.step_s + busy + chunk / self._model.read_tokens_per_s

    def _keep(self, part: PromptPart) -> None:
        if part.part_id in self._kept:
            self._kept.move_to_end(part.part_id)
            return
        self._kept[part.part_id] = part.tokens
        self._kept_tokens += part.tokens
        while self._kept_tokens > self._model.memory_tokens:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
