"""Token estimates and prefix block hashes of prompts.

Masticwind runs no tokenizer. An estimate from the size of the text is enough to
route requests; only the engine knows the exact count. The hash of a prefix
block includes the previous block's hash, so equal hashes mean equal prefixes.
"""

from collections.abc import Container
from typing import Final

import xxhash

BLOCK_BYTES: Final = 4096
# Limits the size of an offer; a million-token prompt has about 1,000 blocks.
MAX_PREFIX_BLOCKS: Final = 2048


def estimate_tokens(size_bytes: int, bytes_per_token: float) -> int:
    """Return the estimated token count of a text of `size_bytes` bytes."""
    return max(1, round(size_bytes / bytes_per_token))


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return one chained 64-bit hash for each full block of the prompt.

        assert prefix_hashes(a + b)[:len(prefix_hashes(a))] \\
            == prefix_hashes(a)
    """
    view = memoryview(prompt)
    hashes: list[int] = []
    seed = 0
    for start in range(0, len(view) - BLOCK_BYTES + 1, BLOCK_BYTES):
        if len(hashes) == MAX_PREFIX_BLOCKS:
            break
        seed = xxhash.xxh3_64_intdigest(view[start : start + BLOCK_BYTES], seed)
        hashes.append(seed)
    return tuple(hashes)


def count_cached_blocks(hashes: tuple[int, ...], cached: Container[int]) -> int:
    """Return how many leading blocks of a prompt are cached."""
    count = 0
    for block in hashes:
        if block not in cached:
            break
        count += 1
    return count
