"""What this host believes an engine's prefix cache holds."""

import collections
import collections.abc as cabc
import hashlib

BLOCK_TOKENS = 16
MAX_BLOCKS = 2048
DOUBTED_SHARE = 0.5


def prompt_blocks(prompt: str) -> tuple[str, ...]:
    """Return the chained hashes of a prompt's whole blocks, as engines publish them."""
    words = prompt.split()
    blocks = []
    chain = ""
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = chain + " ".join(words[start : start + BLOCK_TOKENS])
        chain = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        blocks.append(chain)
    return tuple(blocks)


class CacheView:
    """Blocks in an engine's cache, from its events and from this host's own requests.

    A gap in the events' sequence means doubt: blocks learnt before it may have left unseen, so
    they count in part until an event or an own request confirms them.
    """

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._epoch = 0
        self._seq: int | None = None

    def __len__(self) -> int:
        return len(self._blocks)

    def note_stored(self, seq: int, blocks: cabc.Iterable[str]) -> None:
        """Take over an event that blocks entered the cache."""
        self._note_seq(seq)
        self.note_sent(blocks)

    def note_removed(self, seq: int, blocks: cabc.Iterable[str]) -> None:
        """Take over an event that blocks left the cache."""
        self._note_seq(seq)
        for block in blocks:
            self._blocks.pop(block, None)

    def note_sent(self, blocks: cabc.Iterable[str]) -> None:
        """Note that the engine computes these blocks for a request of this host."""
        for block in blocks:
            self._blocks[block] = self._epoch
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def holds(self, block: str) -> bool:
        """Return whether a block is believed to be in the cache."""
        return block in self._blocks

    def expected_tokens(self, blocks: cabc.Sequence[str]) -> float:
        """Return how many leading tokens are expected in the cache.

        Blocks are chained and leave in the order of their last use, so the end of the cached run
        is found by bisection.
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
        certain = self._blocks[blocks[low - 1]] == self._epoch
        return low * BLOCK_TOKENS * (1.0 if certain else DOUBTED_SHARE)

    def _note_seq(self, seq: int) -> None:
        if self._seq is not None and seq != self._seq + 1:
            self._epoch += 1
        self._seq = seq
