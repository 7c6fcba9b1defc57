"""This host's estimate of which prompt blocks an engine's prefix cache holds."""

import collections
import collections.abc as cabc

from cassiawalk.clients.engine import CacheRemoved
from cassiawalk.clients.engine import CacheStored
from cassiawalk.routing.prefix import BLOCK_TOKENS

MAX_BLOCKS = 4096
UNCONFIRMED_WEIGHT = 0.5


class CacheView:
    """Blocks in an engine's cache, learnt from its delayed events and this host's requests.

    A gap in the sequence numbers means that events were missed: the engine may have evicted any
    block that was learnt before the gap. Such blocks are unconfirmed and count with
    ``UNCONFIRMED_WEIGHT`` until an event or a request of this host confirms them.

    :param limit: maximum number of blocks; beyond it the least recently confirmed are dropped.
    """

    def __init__(self, *, limit: int = MAX_BLOCKS) -> None:
        self._limit = limit
        self._blocks: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._epoch = 0
        self._seq: int | None = None

    def __contains__(self, block: str) -> bool:
        return block in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    @property
    def may_be_stale(self) -> bool:
        """Return whether events may have been missed since the cache was last cleared."""
        return self._epoch > 0

    def is_unconfirmed(self, block: str) -> bool:
        """Return whether the block is unknown, or events were missed after its confirmation."""
        return self._blocks.get(block) != self._epoch

    def note(self, event: CacheStored | CacheRemoved) -> None:
        """Apply an event; ignore it if its sequence number is not above the last one."""
        if self._seq is not None and event.seq <= self._seq:
            return
        if self._seq is not None and event.seq > self._seq + 1:
            self.note_gap()
        self._seq = event.seq
        if isinstance(event, CacheStored):
            self.note_sent(event.blocks)
            return
        for block in event.blocks:
            self._blocks.pop(block, None)

    def note_sent(self, blocks: cabc.Iterable[str]) -> None:
        """Record that the engine computes these blocks for a request of this host."""
        for block in blocks:
            self._blocks[block] = self._epoch
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)

    def note_gap(self) -> None:
        """Mark all blocks as unconfirmed after events were missed."""
        self._epoch += 1

    def note_reconnected(self) -> None:
        """Accept any next sequence number; events between two connections were missed."""
        if self._seq is not None:
            self.note_gap()
            self._seq = None

    def clear(self) -> None:
        """Remove all blocks, for example after a restart of the engine."""
        self._blocks.clear()
        self._seq = None
        self._epoch = 0

    def count_leading(self, blocks: cabc.Sequence[str]) -> int:
        """Return how many leading blocks of a prompt are expected in the cache."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count

    def expected_tokens(self, blocks: cabc.Sequence[str]) -> float:
        """Return approximately how many leading tokens of a prompt are expected in the cache.

        The end of the cached run of blocks is found by bisection, because blocks are chained and
        mostly evicted in the order of their last use. A missing block inside the run may go
        unnoticed.
        """
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high) // 2
            if blocks[middle] in self._blocks:
                low = middle + 1
            else:
                high = middle
        if low == 0:
            return 0.0
        share = UNCONFIRMED_WEIGHT if self.is_unconfirmed(blocks[low - 1]) else 1.0
        return low * BLOCK_TOKENS * share
