"""Cuts a prompt into the shares of a group."""

from dataclasses import dataclass
from itertools import pairwise
from typing import Final

from masticwind.entry.predict import Job
from masticwind.tokens import BLOCK_BYTES

_CONTINUATION_MASK: Final = 0xC0
_CONTINUATION: Final = 0x80
# How many block boundaries are tried for one that splits no character.
MAX_TRIES: Final = 64


@dataclass(frozen=True, slots=True)
class Share:
    """A part of a prompt, in bytes, with its token counts."""

    number: int
    start: int
    end: int
    prompt_tokens: int
    max_tokens: int

    @property
    def tokens(self) -> int:
        """Tokens of memory that the share needs."""
        return self.prompt_tokens + self.max_tokens


def cut_prompt(prompt: bytes, job: Job, count: int) -> list[Share]:
    """Cut a prompt into `count` shares of about equal size.

    Cuts are at multiples of `BLOCK_BYTES` that split no character. The last
    share has the output. Fewer shares are returned for a short prompt.
    """
    size = len(prompt)
    cuts = [0]
    for number in range(1, count):
        cut = _boundary(prompt, size * number // count)
        if cuts[-1] < cut < size:
            cuts.append(cut)
    cuts.append(size)
    shares: list[Share] = []
    left = job.prompt_tokens
    for start, end in pairwise(cuts):
        last = end == size
        tokens = left
        if not last:
            tokens = job.prompt_tokens * (end - start) // size
        left -= tokens
        shares.append(
            Share(
                len(shares),
                start,
                end,
                tokens,
                job.max_tokens if last else 0,
            )
        )
    return shares


def _boundary(prompt: bytes, near: int) -> int:
    first = -(-near // BLOCK_BYTES) * BLOCK_BYTES
    for number in range(MAX_TRIES):
        cut = first + number * BLOCK_BYTES
        if cut >= len(prompt):
            break
        if not _splits(prompt, cut):
            return cut
    # A text whose characters lie across every boundary; only the reuse of
    # cached blocks suffers from another cut.
    cut = min(first, len(prompt) - 1)
    while cut and _splits(prompt, cut):
        cut -= 1
    return cut


def _splits(prompt: bytes, cut: int) -> bool:
    return prompt[cut] & _CONTINUATION_MASK == _CONTINUATION
