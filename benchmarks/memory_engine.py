"""An engine whose running requests and cached parts share one memory, and whose link is limited.

Cached parts are looked up when a request begins to run: what was evicted while it waited is
prefilled again. Parts of running requests can't be evicted, and a request that does not fit waits.
Fetches use the links of both engines in turn, and the request does not run before its fetch ends.
"""

import collections

from benchmarks.batch_engine import BatchEngine
from benchmarks.batch_engine import EngineModel
from benchmarks.batch_engine import EngineRun
from benchmarks.batch_engine import PlannedEngine
from benchmarks.noise import Noise
from cassiawalk.ids import RequestId
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.storeview.promptparts import PromptPart


class MemoryEngine(PlannedEngine):
    """Like ``PlannedEngine``, with one memory of ``cache_tokens`` for all that it holds."""

    def __init__(
        self, *, name: str, model: EngineModel, slowness: float = 1.0, noise: Noise | None = None
    ) -> None:
        super().__init__(name=name, model=model, slowness=slowness, noise=noise)
        self.link_free_at = 0.0
        self.evicted_tokens = 0
        self._now = 0.0
        self._parts: dict[RequestId, tuple[PromptPart, ...]] = {}
        self._ready_at: dict[RequestId, float] = {}
        self._pins: collections.Counter[PartId] = collections.Counter()
        self._output_tokens: dict[RequestId, int] = {}

    def submit(
        self,
        *,
        run: EngineRun,
        parts: tuple[PromptPart, ...],
        now: float,
        holder: BatchEngine | None,
    ) -> None:
        """Queue a request; fetch the cached parts of its prompt that ``holder`` has."""
        ready_at = now
        cached = self.cached_tokens(parts)
        if holder is not None and (fetched := holder.cached_tokens(parts) - cached) > 0:
            ready_at = self._fetch(holder, fetched, now)
            for part in parts[: _part_count(parts, cached + fetched)]:
                self._cache(part)
        self._parts[run.request_id] = parts
        self._ready_at[run.request_id] = ready_at
        self._waiting.append(run)
        self._waiting.sort(key=lambda waiting: waiting.urgency)
        if self.next_step_at is None:
            self.next_step_at = ready_at

    def step(self, now: float) -> tuple[list[EngineRun], list[EngineRun]]:
        """Complete a step; see ``PlannedEngine``."""
        self._now = now
        started, ended = super().step(now)
        for run in ended:
            self._release(run)
        if not self._prefilling and not self._running and self._waiting:
            self.next_step_at = max(now, min(self._ready_at.values()))
        return started, ended

    def _fetch(self, holder: BatchEngine, tokens: int, now: float) -> float:
        """Return when a fetch ends that begins as soon as both links are free."""
        self.fetched_tokens += tokens
        copy_s = self._model.fetch_setup_s + tokens / self._model.fetch_tokens_per_s
        begins_at = max(now, self.link_free_at)
        if isinstance(holder, MemoryEngine):
            begins_at = max(begins_at, holder.link_free_at)
            holder.link_free_at = begins_at + copy_s
        self.link_free_at = begins_at + copy_s
        return self.link_free_at

    def _admit(self) -> None:
        for run in list(self._waiting):
            if len(self._prefilling) + len(self._running) >= self._model.slots:
                return
            if self._ready_at[run.request_id] <= self._now and self._start(run):
                self._waiting.remove(run)
                self._prefilling.append(run)

    def _start(self, run: EngineRun) -> bool:
        """Take memory for a request; return False if the running ones leave too little."""
        parts = self._parts[run.request_id]
        needed = sum(part.tokens for part in parts if part.part_id not in self._pins)
        pinned = sum(tokens for name, tokens in self._cached_parts.items() if name in self._pins)
        taken = pinned + sum(self._output_tokens.values())
        if self._pins and taken + needed + run.output_tokens_left > self._model.cache_tokens:
            return False
        run.pending_tokens -= self.cached_tokens(parts)
        del self._ready_at[run.request_id]
        self._output_tokens[run.request_id] = run.output_tokens_left
        self._pins.update(part.part_id for part in parts)
        for part in parts:
            self._cache(part)
        return True

    def _release(self, run: EngineRun) -> None:
        del self._output_tokens[run.request_id]
        for part in self._parts.pop(run.request_id):
            self._pins[part.part_id] -= 1
            if not self._pins[part.part_id]:
                del self._pins[part.part_id]

    def _cache(self, part: PromptPart) -> None:
        if part.part_id in self._cached_parts:
            self._cached_parts.move_to_end(part.part_id)
        else:
            self._cached_parts[part.part_id] = part.tokens
            self._cached_tokens += part.tokens
        limit = self._model.cache_tokens - sum(self._output_tokens.values())
        if self._cached_tokens <= limit:
            return
        for name in list(self._cached_parts):
            if self._cached_tokens <= limit:
                return
            if name not in self._pins and name != part.part_id:
                tokens = self._cached_parts.pop(name)
                self._cached_tokens -= tokens
                self.evicted_tokens += tokens


def _part_count(parts: tuple[PromptPart, ...], tokens: int) -> int:
    """Return how many of the first parts have so many tokens."""
    count = 0
    for part in parts:
        tokens -= part.tokens
        if tokens < 0:
            break
        count += 1
    return count
