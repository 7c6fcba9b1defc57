"""The prefix cache of an engine stand-in."""

import collections
import hashlib

BLOCK_TOKENS = 16


def prompt_blocks(prompt: str) -> list[str]:
    """Return the chained hashes of a prompt's full blocks of ``BLOCK_TOKENS`` words."""
    words = prompt.split()
    blocks = []
    chain = ""
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = chain + " ".join(words[start : start + BLOCK_TOKENS])
        chain = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        blocks.append(chain)
    return blocks


class PrefixCache:
    """An LRU cache of block hashes."""

    def __init__(self, *, limit_blocks: int) -> None:
        self._limit_blocks = limit_blocks
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()

    def cached_tokens(self, blocks: list[str]) -> int:
        """Return how many leading tokens of a prompt are cached; marks their blocks as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, blocks: list[str]) -> tuple[list[str], list[str]]:
        """Add blocks; return the new ones and the evicted ones."""
        added = [block for block in blocks if block not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._limit_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        return added, removed
