"""Splits a prompt into shares, one for each engine of a group."""

from dataclasses import dataclass
from itertools import pairwise
from typing import Final

from masticwind.entry.predict import Job
from masticwind.tokens import BLOCK_BYTES

_CONTINUATION_MASK: Final = 0xC0
_CONTINUATION_BITS: Final = 0x80
# Block boundaries that are tried to find one that splits no character.
MAX_BOUNDARIES_TRIED: Final = 64


@dataclass(frozen=True, slots=True)
class PromptShare:
    """A byte range of a prompt with its token counts."""

    number: int
    start: int
    end: int
    prompt_tokens: int
    max_tokens: int

    @property
    def memory_tokens(self) -> int:
        """Tokens of cache memory that the share needs."""
        return self.prompt_tokens + self.max_tokens


def split_prompt(prompt: bytes, job: Job, count: int) -> list[PromptShare]:
    """Split a prompt into `count` shares of about equal size.

    Cuts are at multiples of `BLOCK_BYTES` that split no UTF-8 character. The
    last share generates the output. A short prompt has fewer shares.
    """
    size = len(prompt)
    cuts = [0]
    for number in range(1, count):
        cut = _find_cut(prompt, size * number // count)
        if cuts[-1] < cut < size:
            cuts.append(cut)
    cuts.append(size)
    shares: list[PromptShare] = []
    remaining_tokens = job.prompt_tokens
    for start, end in pairwise(cuts):
        last = end == size
        tokens = remaining_tokens
        if not last:
            tokens = job.prompt_tokens * (end - start) // size
        remaining_tokens -= tokens
        shares.append(
            PromptShare(
                len(shares),
                start,
                end,
                tokens,
                job.max_tokens if last else 0,
            )
        )
    return shares


def _find_cut(prompt: bytes, target: int) -> int:
    first = -(-target // BLOCK_BYTES) * BLOCK_BYTES
    for number in range(MAX_BOUNDARIES_TRIED):
        cut = first + number * BLOCK_BYTES
        if cut >= len(prompt):
            break
        if not _splits_character(prompt, cut):
            return cut
    # In this text, characters cross every boundary tried. A cut elsewhere
    # only prevents the reuse of cached blocks.
    cut = min(first, len(prompt) - 1)
    while cut and _splits_character(prompt, cut):
        cut -= 1
    return cut


def _splits_character(prompt: bytes, cut: int) -> bool:
    return prompt[cut] & _CONTINUATION_MASK == _CONTINUATION_BITS
