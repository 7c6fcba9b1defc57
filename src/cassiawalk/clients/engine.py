"""Interface to a model engine."""

import abc
import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.ids import RequestId


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineRequest:
    """One generation on one engine.

    If the generation continues one that ran on another engine, ``resume_text`` and
    ``resume_tokens`` are the text and the token count of the answer so far. ``kv_handle`` names an
    imported KV cache. Lower ``priority`` runs first.
    """

    request_id: RequestId
    attempt: int
    prompt: str
    max_tokens: int
    priority: int = 0
    resume_text: str = ""
    resume_tokens: int = 0
    kv_handle: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tokens:
    """Consecutive tokens of the answer."""

    count: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished:
    """The end marker of a complete answer.

    ``completion_tokens`` counts the whole answer, resumed tokens included. Of the prompt and the
    resumed tokens, the engine computed ``computed_tokens`` and had cached ``cached_tokens``.
    """

    completion_tokens: int
    computed_tokens: int
    cached_tokens: int


class InterruptReason(enum.Enum):
    """Why a generation ended without its end marker."""

    CONNECT_FAILED = "connect failed"
    CONNECTION_LOST = "connection lost"
    REFUSED = "refused by the engine"
    LEAVING = "engine is leaving"
    REJECTED = "request rejected by the engine"
    SILENT = "no data within the silence limit"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Interrupted:
    """A generation that ended without its end marker.

    ``sent`` is False only if it is certain that the engine did not receive the request.
    """

    reason: InterruptReason
    sent: bool
    detail: str = ""
    retry_after_s: float | None = None


EngineEvent = Tokens | Finished | Interrupted


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """An engine's or plain service's report of its own load, which is always somewhat out of date.

    ``measured_s`` is the reporter's wall-clock time in seconds since the epoch, and
    ``token_interval_s`` the time between two tokens of a generation in seconds, or 0 if unknown.
    """

    slots: int
    running: int
    waiting: int
    measured_s: float
    token_interval_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheStored:
    """Prompt blocks that were added to the prefix cache."""

    seq: int
    blocks: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheRemoved:
    """Prompt blocks that were evicted from the prefix cache."""

    seq: int
    blocks: tuple[str, ...]


EngineNotice = LoadReport | CacheStored | CacheRemoved


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineOrder:
    """An order to an engine, with the fencing number of its sender."""

    fence: int
    action: str
    argument: str


class OrderOutcome(enum.Enum):
    """The result of an order; ``UNKNOWN`` means that it may have been carried out."""

    DONE = "done"
    STALE_FENCE = "stale fencing number"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class Engine(abc.ABC):
    """A model engine. Failures are returned as events and outcomes, never raised."""

    @abc.abstractmethod
    def generate(self, req: EngineRequest) -> cabc.AsyncGenerator[EngineEvent, None]:
        """Yield tokens, then exactly one ``Finished`` or ``Interrupted``.

        Closing the generator early cancels the generation on the engine.
        """

    @abc.abstractmethod
    def notices(self) -> cabc.AsyncGenerator[EngineNotice, None]:
        """Yield load reports and cache events until the connection ends."""

    @abc.abstractmethod
    async def export_kv(self, request_id: RequestId) -> bytes | None:
        """Return the KV cache of a running generation, or None if it can't be exported."""

    @abc.abstractmethod
    async def import_kv(self, blob: bytes) -> str | None:
        """Return the handle of an imported KV cache, or None if it was refused."""

    @abc.abstractmethod
    async def order(self, order: EngineOrder) -> OrderOutcome:
        """Send an order to the engine."""

    async def aclose(self) -> None:
        """Release connections."""
