"""The text that the engine stand-in generates for a prompt.

The answer depends on every byte of the prompt, so that a test can tell from
outside whether a caller got the whole answer to its own request.
"""

import xxhash

from masticwind.tokens import BLOCK_BYTES


def prompt_digest(prompt: bytes, seed: int = 0) -> int:
    """Return a chained digest; `seed` is the digest of what comes before.

    Parts that end on block boundaries chain to the digest of the whole.
    """
    view = memoryview(prompt)
    for start in range(0, len(view), BLOCK_BYTES):
        seed = xxhash.xxh3_64_intdigest(view[start : start + BLOCK_BYTES], seed)
    return seed


def answer_token(digest: int, index: int) -> str:
    """Return one token of the answer to the prompt with this digest."""
    return f'{digest:016x}.{index} '


def expected_answer(prompt: bytes, count: int) -> str:
    """Return the whole answer of `count` tokens to a prompt."""
    digest = prompt_digest(prompt)
    return ''.join(answer_token(digest, index) for index in range(count))
