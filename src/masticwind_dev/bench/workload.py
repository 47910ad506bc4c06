"""Synthetic workloads: open-loop arrivals with a mix of lengths and tiers.

A workload is a list of planned requests made from a seed, so that every
variant of an experiment serves exactly the same requests at the same times.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, Literal

from masticwind.budget import MS_PER_S

LengthClass = Literal['short', 'medium', 'long']
TierName = Literal['paid', 'free']

SHORT_MAX_TOKENS: Final = 4000
LONG_MIN_TOKENS: Final = 100_000
BASE_TIMEOUT_MS: Final = 3000
# A request may take this many times its own prefill time on an idle engine.
PREFILL_STRETCH: Final = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Mix:
    """Shares and ranges of prompt lengths in tokens, and of tiers.

    Lengths are log-uniform within each range. `shared_share` of the
    requests begin with one of `documents` common prefixes.
    """

    short_share: float = 0.8
    long_share: float = 0.02
    paid_share: float = 0.8
    min_tokens: int = 1000
    max_tokens: int = 1_000_000
    shared_share: float = 0.2
    documents: int = 20
    document_tokens: int = 8192
    output_tokens: tuple[int, int] = (8, 48)
    large_team_share: float = 0.5
    teams: int = 10

    def mean_tokens(self) -> float:
        """Return the mean prompt length in tokens."""
        medium_share = 1 - self.short_share - self.long_share
        return (
            self.short_share * _mean(self.min_tokens, SHORT_MAX_TOKENS)
            + medium_share * _mean(SHORT_MAX_TOKENS, LONG_MIN_TOKENS)
            + self.long_share * _mean(LONG_MIN_TOKENS, self.max_tokens)
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Planned:
    """One request of a workload; `at_s` counts from the start."""

    number: int
    at_s: float
    tier: TierName
    team: str
    tokens: int
    output_tokens: int
    timeout_ms: int
    document: int

    @property
    def length_class(self) -> LengthClass:
        """Class of the prompt length."""
        if self.tokens <= SHORT_MAX_TOKENS:
            return 'short'
        return 'long' if self.tokens >= LONG_MIN_TOKENS else 'medium'

    def prompt(self, seed: int) -> str:
        """Return a prompt with one character for each token."""
        unique = f'{seed:x}-{self.number:x} '
        filler = unique * (self.tokens // len(unique) + 1)
        if self.document < 0:
            return filler[: self.tokens]
        shared = f'document {seed:x} {self.document} '
        return f'{shared * (8192 // len(shared))}{filler}'[: self.tokens]


def plan_arrivals(
    mix: Mix,
    rate_per_s: float,
    duration_s: float,
    prefill_tokens_per_s: float,
    seed: int,
) -> list[Planned]:
    """Return Poisson arrivals at `rate_per_s` for `duration_s` seconds."""
    rng = random.Random(seed)
    planned: list[Planned] = []
    for number, at_s in enumerate(_times(rng, rate_per_s, duration_s)):
        tokens = _length(rng, mix)
        prefill_ms = tokens / prefill_tokens_per_s * MS_PER_S
        tier: TierName = 'paid' if rng.random() < mix.paid_share else 'free'
        planned.append(
            Planned(
                number=number,
                at_s=at_s,
                tier=tier,
                team=_team(rng, mix, tier),
                tokens=tokens,
                output_tokens=rng.randint(*mix.output_tokens),
                timeout_ms=int(BASE_TIMEOUT_MS + PREFILL_STRETCH * prefill_ms),
                document=_document(rng, mix, tokens),
            )
        )
    return planned


def _times(
    rng: random.Random,
    rate_per_s: float,
    duration_s: float,
) -> Iterator[float]:
    if not rate_per_s:
        return
    at_s = rng.expovariate(rate_per_s)
    while at_s < duration_s:
        yield at_s
        at_s += rng.expovariate(rate_per_s)


def _length(rng: random.Random, mix: Mix) -> int:
    draw = rng.random()
    if draw < mix.short_share:
        return _log_uniform(rng, mix.min_tokens, SHORT_MAX_TOKENS)
    if draw < 1 - mix.long_share:
        return _log_uniform(rng, SHORT_MAX_TOKENS + 1, LONG_MIN_TOKENS - 1)
    return _log_uniform(rng, LONG_MIN_TOKENS, mix.max_tokens)


def _document(rng: random.Random, mix: Mix, tokens: int) -> int:
    shared = rng.random() < mix.shared_share
    number = rng.randrange(mix.documents)
    return number if shared and tokens > mix.document_tokens else -1


def _team(rng: random.Random, mix: Mix, tier: TierName) -> str:
    if rng.random() < mix.large_team_share:
        return f'{tier}-0'
    return f'{tier}-{rng.randrange(mix.teams // 2)}'


def _log_uniform(rng: random.Random, low: int, high: int) -> int:
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _mean(low: int, high: int) -> float:
    return (high - low) / math.log(high / low)
