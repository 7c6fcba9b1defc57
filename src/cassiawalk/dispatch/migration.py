"""Plans what to do with the streams in flight on an upstream that is leaving.

The plan is a pure function of the streams, the notice time and the measured transfer rates.
"""

import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.ids import RequestId

FINISH_MARGIN_S = 0.5
FINISH_MARGIN_RATIO = 0.25
TRANSFER_MARGIN_S = 0.5
MIN_TRANSFER_TOKENS = 32


class MigrationAction(enum.Enum):
    """How one stream is handled."""

    FINISH = "finish in place"
    TRANSFER = "move with its KV cache"
    RECOMPUTE = "resume elsewhere from its text"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamState:
    """A stream in flight on a leaving upstream.

    ``context_tokens`` counts the prompt and the generated tokens, which another upstream would
    have to recompute. ``weight`` is the relative value of the request kind.
    """

    request_id: RequestId
    context_tokens: int
    remaining_tokens: int
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransferRates:
    """KV cache size for each token in bytes, bandwidth, and fixed time of a transfer in seconds."""

    bytes_per_token: float
    bytes_per_s: float
    overhead_s: float = 0.02

    def duration_s(self, tokens: int) -> float:
        """Return the time to export and import the KV cache of ``tokens``, in seconds."""
        return self.overhead_s + 2 * tokens * self.bytes_per_token / self.bytes_per_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class MigrationDecision:
    """The decision on one stream."""

    request_id: RequestId
    action: MigrationAction


def finishes_in_place(remaining_tokens: int, token_interval_s: float, notice_s: float) -> bool:
    """Return whether a stream's remaining tokens can be generated within the notice.

    The check requires a margin of ``FINISH_MARGIN_RATIO`` plus ``FINISH_MARGIN_S``.
    """
    needed_s = remaining_tokens * token_interval_s
    return needed_s * (1 + FINISH_MARGIN_RATIO) + FINISH_MARGIN_S <= notice_s


def plan_migrations(
    streams: cabc.Iterable[StreamState],
    *,
    notice_s: float,
    token_interval_s: float,
    rates: TransferRates,
) -> list[MigrationDecision]:
    """Return a decision for each stream, in the order in which they are to be started.

    Streams that can finish within the notice stay and come first. The others are ordered by
    context tokens times weight for each byte to transfer, highest first. In that order, their KV
    caches are transferred one after the other for as long as the notice lasts. A stream whose
    transfer does not fit, or whose context is below ``MIN_TRANSFER_TOKENS``, is recomputed on
    another upstream at once.

    :param notice_s: time until the upstream is reclaimed, in seconds.
    :param token_interval_s: time between tokens on the upstream, in seconds.
    """
    decisions = []
    leaving = []
    for stream in streams:
        if finishes_in_place(stream.remaining_tokens, token_interval_s, notice_s):
            decisions.append(
                MigrationDecision(request_id=stream.request_id, action=MigrationAction.FINISH)
            )
        else:
            leaving.append(stream)
    left_s = notice_s - TRANSFER_MARGIN_S
    for stream in sorted(leaving, key=lambda s: _transfer_order(s, rates)):
        duration_s = rates.duration_s(stream.context_tokens)
        if stream.context_tokens < MIN_TRANSFER_TOKENS or duration_s > left_s:
            decisions.append(
                MigrationDecision(request_id=stream.request_id, action=MigrationAction.RECOMPUTE)
            )
            continue
        left_s -= duration_s
        decisions.append(
            MigrationDecision(request_id=stream.request_id, action=MigrationAction.TRANSFER)
        )
    return decisions


def _transfer_order(stream: StreamState, rates: TransferRates) -> tuple[float, RequestId]:
    """Return the sort key: highest value for each byte first, the overhead counted as bytes."""
    size = stream.context_tokens * rates.bytes_per_token + rates.overhead_s * rates.bytes_per_s
    return (-stream.context_tokens * stream.weight / max(1.0, size), stream.request_id)
