"""Prompt blocks that an engine stand-in has computed before."""

import collections
import hashlib

BLOCK_TOKENS = 16


def prompt_blocks(prompt: str) -> list[str]:
    """Return the chained hashes of a prompt's whole blocks of 16 words."""
    words = prompt.split()
    blocks = []
    chain = ""
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = chain + " ".join(words[start : start + BLOCK_TOKENS])
        chain = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        blocks.append(chain)
    return blocks


class PrefixCache:
    """Least recently used blocks, up to a limit."""

    def __init__(self, *, limit_blocks: int) -> None:
        self._limit = limit_blocks
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()

    def cached_tokens(self, blocks: list[str]) -> int:
        """Return how many leading tokens of a prompt are cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, blocks: list[str]) -> tuple[list[str], list[str]]:
        """Add blocks; return those that are new and those that had to leave."""
        added = [block for block in blocks if block not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._limit:
            removed.append(self._blocks.popitem(last=False)[0])
        return added, removed
