"""Decides what becomes of the streams on an upstream that leaves.

The decision is a pure function of the streams, the notice and what is known of the transfers.
"""

import collections.abc as cabc
import dataclasses
import enum

from cassiawalk.ids import RequestId

FINISH_MARGIN_S = 0.5
FINISH_MARGIN_SHARE = 0.25
TRANSFER_MARGIN_S = 0.5
SMALLEST_TRANSFER_TOKENS = 32


class MigrationAction(enum.Enum):
    """What becomes of one stream."""

    FINISH = "finish in place"
    TRANSFER = "move with its KV cache"
    RECOMPUTE = "resume elsewhere from its text"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamState:
    """A stream in flight on a leaving upstream.

    ``stake_tokens`` would have to be computed again elsewhere; ``weight`` is the kind's worth.
    """

    request_id: RequestId
    stake_tokens: int
    remaining_tokens: int
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransferRates:
    """What moving costs: bytes for each token, fixed time and bandwidth of a transfer."""

    bytes_per_token: float
    bytes_per_s: float
    overhead_s: float = 0.02

    def duration_s(self, tokens: int) -> float:
        """Return how long an export and import of ``tokens`` takes, in seconds."""
        return self.overhead_s + 2 * tokens * self.bytes_per_token / self.bytes_per_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class MigrationDecision:
    """The decision on one stream."""

    request_id: RequestId
    action: MigrationAction


def finishes_in_place(remaining_tokens: int, token_interval_s: float, notice_s: float) -> bool:
    """Return whether a stream's remaining tokens fit in the notice with a margin."""
    needed_s = remaining_tokens * token_interval_s
    return needed_s * (1 + FINISH_MARGIN_SHARE) + FINISH_MARGIN_S <= notice_s


def plan_migrations(
    streams: cabc.Iterable[StreamState],
    *,
    notice_s: float,
    token_interval_s: float,
    rates: TransferRates,
) -> list[MigrationDecision]:
    """Return the moves in the order in which they shall begin.

    Streams that can finish do. The others are transferred one after the other, those with the
    most tokens at stake times weight for each byte first, while the notice lasts; the rest resume
    elsewhere at once, the largest stake first.

    :param notice_s: time until the upstream is taken away, in seconds.
    :param token_interval_s: time between tokens on the upstream, in seconds.
    """
    moves = []
    staying = []
    for stream in streams:
        if finishes_in_place(stream.remaining_tokens, token_interval_s, notice_s):
            moves.append(
                MigrationDecision(request_id=stream.request_id, action=MigrationAction.FINISH)
            )
        else:
            staying.append(stream)
    left_s = notice_s - TRANSFER_MARGIN_S
    for stream in sorted(staying, key=lambda s: _order(s, rates)):
        duration_s = rates.duration_s(stream.stake_tokens)
        if stream.stake_tokens < SMALLEST_TRANSFER_TOKENS or duration_s > left_s:
            moves.append(
                MigrationDecision(request_id=stream.request_id, action=MigrationAction.RECOMPUTE)
            )
            continue
        left_s -= duration_s
        moves.append(
            MigrationDecision(request_id=stream.request_id, action=MigrationAction.TRANSFER)
        )
    return moves


def _order(stream: StreamState, rates: TransferRates) -> tuple[float, RequestId]:
    """Return the sort key: worth for each byte, the overhead counted as bytes, highest first."""
    size = stream.stake_tokens * rates.bytes_per_token + rates.overhead_s * rates.bytes_per_s
    return (-stream.stake_tokens * stream.weight / max(1.0, size), stream.request_id)
