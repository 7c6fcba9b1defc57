"""The answers that the engine stand-ins generate.

An answer depends only on the prompt and the token limit, so a test can compute the expected text
and detect an answer that is incomplete or mixed up with another one.
"""

import hashlib

MIN_ANSWER_TOKENS = 4


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens in the full answer; at most ``max_tokens``."""
    spread = max(1, max_tokens - MIN_ANSWER_TOKENS)
    seed = int.from_bytes(hashlib.blake2b(prompt.encode(), digest_size=4).digest(), "big")
    return min(max_tokens, MIN_ANSWER_TOKENS + seed % spread)


def answer_token(prompt: str, index: int) -> str:
    """Return the answer's token at a zero-based index, with a leading space."""
    digest = hashlib.blake2b(f"{index}\0{prompt}".encode(), digest_size=3).hexdigest()
    return f" {digest}"


def full_answer(prompt: str, max_tokens: int) -> str:
    """Return the text of the full answer."""
    count = answer_length(prompt, max_tokens)
    return "".join(answer_token(prompt, index) for index in range(count))
