"""The blocks of a prompt, as engines name them in their cache events."""

import hashlib

BLOCK_TOKENS = 16


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
