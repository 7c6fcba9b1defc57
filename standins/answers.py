"""The text that every engine stand-in generates for a prompt.

It depends on the prompt alone, so that a checker can tell a whole answer from a mixed-up one.
"""

import hashlib

SHORTEST_ANSWER_TOKENS = 4


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens in the whole answer."""
    spread = max(1, max_tokens - SHORTEST_ANSWER_TOKENS)
    seed = int.from_bytes(hashlib.blake2b(prompt.encode(), digest_size=4).digest(), "big")
    return min(max_tokens, SHORTEST_ANSWER_TOKENS + seed % spread)


def answer_token(prompt: str, index: int) -> str:
    """Return one token of the answer, with its leading space."""
    digest = hashlib.blake2b(f"{index}\0{prompt}".encode(), digest_size=3).hexdigest()
    return f" {digest}"


def full_answer(prompt: str, max_tokens: int) -> str:
    """Return the whole answer."""
    count = answer_length(prompt, max_tokens)
    return "".join(answer_token(prompt, index) for index in range(count))
