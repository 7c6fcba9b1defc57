"""Hashes of prompt blocks, as engines publish them in their cache events."""

import hashlib

BLOCK_TOKENS = 16


def prompt_blocks(prompt: str) -> tuple[str, ...]:
    """Return the chained hashes of a prompt's complete blocks.

    Words stand for tokens. Each hash covers the block and the hash of the block before it. The
    incomplete block at the end is left out.
    """
    words = prompt.split()
    blocks = []
    chain = ""
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = chain + " ".join(words[start : start + BLOCK_TOKENS])
        chain = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        blocks.append(chain)
    return tuple(blocks)
