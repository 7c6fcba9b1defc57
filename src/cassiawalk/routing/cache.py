"""What an upstream's prefix cache is believed to hold, from late events with gaps."""

import collections
import collections.abc as cabc

from cassiawalk.platform.engine import CacheRemoved
from cassiawalk.platform.engine import CacheStored

BLOCKS_KEPT = 4096


class CacheView:
    """A bounded set of block hashes.

    After a gap in the sequence the blocks are kept, in doubt: an event that was missed may have
    removed them, and the engine may hold others.

    :param limit: how many blocks are kept, the latest first.
    """

    def __init__(self, *, limit: int = BLOCKS_KEPT) -> None:
        self._limit = limit
        self._blocks: collections.OrderedDict[str, bool] = collections.OrderedDict()
        self._last_seq: int | None = None
        self.doubtful = False

    def __contains__(self, block: str) -> bool:
        return block in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    def is_doubtful(self, block: str) -> bool:
        """Return whether a gap came after the last event about a block."""
        return self._blocks.get(block, True)

    def leading(self, blocks: cabc.Sequence[str]) -> int:
        """Return how many leading blocks of a prompt are believed to be cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count

    def note(self, event: CacheStored | CacheRemoved) -> None:
        """Take over an event; one that is older than the last is ignored."""
        if self._last_seq is not None:
            if event.seq <= self._last_seq:
                return
            if event.seq > self._last_seq + 1:
                self.note_gap()
        self._last_seq = event.seq
        if isinstance(event, CacheRemoved):
            for block in event.blocks:
                self._blocks.pop(block, None)
            return
        for block in event.blocks:
            self._blocks[block] = False
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)

    def note_gap(self) -> None:
        """Put all blocks in doubt, after events were missed."""
        self.doubtful = True
        for block in self._blocks:
            self._blocks[block] = True

    def note_reconnected(self) -> None:
        """Expect any sequence number next; events between two connections are missed."""
        if self._last_seq is not None:
            self.note_gap()

    def clear(self) -> None:
        """Forget all blocks, as after a restart of the engine."""
        self._blocks.clear()
        self._last_seq = None
        self.doubtful = False
