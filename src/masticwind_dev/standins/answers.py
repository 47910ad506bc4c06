"""The text that the engine stand-in generates for a prompt.

The answer depends on every byte of the prompt, so a test can check that a
caller got the complete answer to its own request.
"""

import xxhash

from masticwind.tokens import BLOCK_BYTES


def prompt_digest(prompt: bytes, initial_digest: int = 0) -> int:
    """Return the digest of a prompt, or of a part of one.

    `initial_digest` is the digest of the bytes before the part. If all parts
    end on block boundaries, the digest of the last is that of the prompt.
    """
    view = memoryview(prompt)
    for start in range(0, len(view), BLOCK_BYTES):
        initial_digest = xxhash.xxh3_64_intdigest(
            view[start : start + BLOCK_BYTES], initial_digest
        )
    return initial_digest


def answer_token(digest: int, index: int) -> str:
    """Return one token of the answer to the prompt with this digest."""
    return f'{digest:016x}.{index} '


def expected_answer(prompt: bytes, count: int) -> str:
    """Return the complete answer of `count` tokens to a prompt."""
    digest = prompt_digest(prompt)
    return ''.join(answer_token(digest, index) for index in range(count))
