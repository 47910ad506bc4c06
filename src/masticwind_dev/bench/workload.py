"""Synthetic workloads: open-loop arrivals with a mix of lengths and tiers.

A workload is a list of planned requests drawn from a seed, so that every
variant of an experiment gets the same requests at the same times.
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
# The timeout grows by this many times the prefill time on an idle engine.
TIMEOUT_PREFILL_FACTOR: Final = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkloadMix:
    """Shares and ranges of prompt lengths in tokens, and of tiers.

    Lengths are log-uniform within each range. Of the prompts longer than
    `shared_prefix_tokens`, `shared_prefix_share` begin with one of
    `shared_prefix_count` common prefixes. `large_team_share` of the requests
    come from the first team of a tier, the others from a random team of it.
    """

    short_share: float = 0.8
    long_share: float = 0.02
    paid_share: float = 0.8
    min_prompt_tokens: int = 1000
    max_prompt_tokens: int = 1_000_000
    shared_prefix_share: float = 0.2
    shared_prefix_count: int = 20
    shared_prefix_tokens: int = 8192
    output_tokens_range: tuple[int, int] = (8, 48)
    large_team_share: float = 0.5
    team_count: int = 10

    def mean_prompt_tokens(self) -> float:
        """Return the mean prompt length in tokens."""
        medium_share = 1 - self.short_share - self.long_share
        return (
            self.short_share
            * _log_uniform_mean(self.min_prompt_tokens, SHORT_MAX_TOKENS)
            + medium_share
            * _log_uniform_mean(SHORT_MAX_TOKENS, LONG_MIN_TOKENS)
            + self.long_share
            * _log_uniform_mean(LONG_MIN_TOKENS, self.max_prompt_tokens)
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedRequest:
    """One request of a workload; `at_s` is seconds since the start.

    `shared_prefix` is the number of the common prefix, or -1 for none.
    """

    number: int
    at_s: float
    tier: TierName
    team: str
    prompt_tokens: int
    output_tokens: int
    timeout_ms: int
    shared_prefix: int

    @property
    def length_class(self) -> LengthClass:
        """Length class of the prompt."""
        if self.prompt_tokens <= SHORT_MAX_TOKENS:
            return 'short'
        return 'long' if self.prompt_tokens >= LONG_MIN_TOKENS else 'medium'

    def prompt(self, seed: int) -> str:
        """Return a prompt with one character for each token."""
        unique_text = f'{seed:x}-{self.number:x} '
        filler = unique_text * (self.prompt_tokens // len(unique_text) + 1)
        if self.shared_prefix < 0:
            return filler[: self.prompt_tokens]
        prefix_text = f'document {seed:x} {self.shared_prefix} '
        return f'{prefix_text * (8192 // len(prefix_text))}{filler}'[
            : self.prompt_tokens
        ]


def plan_arrivals(
    mix: WorkloadMix,
    rate_per_s: float,
    duration_s: float,
    prefill_tokens_per_s: float,
    seed: int,
) -> list[PlannedRequest]:
    """Return Poisson arrivals at `rate_per_s` for `duration_s` seconds."""
    rng = random.Random(seed)
    workload: list[PlannedRequest] = []
    for number, at_s in enumerate(_arrival_times(rng, rate_per_s, duration_s)):
        prompt_tokens = _draw_prompt_tokens(rng, mix)
        prefill_ms = prompt_tokens / prefill_tokens_per_s * MS_PER_S
        tier: TierName = 'paid' if rng.random() < mix.paid_share else 'free'
        workload.append(
            PlannedRequest(
                number=number,
                at_s=at_s,
                tier=tier,
                team=_draw_team(rng, mix, tier),
                prompt_tokens=prompt_tokens,
                output_tokens=rng.randint(*mix.output_tokens_range),
                timeout_ms=int(
                    BASE_TIMEOUT_MS + TIMEOUT_PREFILL_FACTOR * prefill_ms
                ),
                shared_prefix=_draw_shared_prefix(rng, mix, prompt_tokens),
            )
        )
    return workload


def _arrival_times(
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


def _draw_prompt_tokens(rng: random.Random, mix: WorkloadMix) -> int:
    draw = rng.random()
    if draw < mix.short_share:
        return _log_uniform(rng, mix.min_prompt_tokens, SHORT_MAX_TOKENS)
    if draw < 1 - mix.long_share:
        return _log_uniform(rng, SHORT_MAX_TOKENS + 1, LONG_MIN_TOKENS - 1)
    return _log_uniform(rng, LONG_MIN_TOKENS, mix.max_prompt_tokens)


def _draw_shared_prefix(
    rng: random.Random, mix: WorkloadMix, prompt_tokens: int
) -> int:
    is_shared = rng.random() < mix.shared_prefix_share
    number = rng.randrange(mix.shared_prefix_count)
    return (
        number if is_shared and prompt_tokens > mix.shared_prefix_tokens else -1
    )


def _draw_team(rng: random.Random, mix: WorkloadMix, tier: TierName) -> str:
    if rng.random() < mix.large_team_share:
        return f'{tier}-0'
    return f'{tier}-{rng.randrange(mix.team_count // 2)}'


def _log_uniform(rng: random.Random, low: int, high: int) -> int:
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _log_uniform_mean(low: int, high: int) -> float:
    return (high - low) / math.log(high / low)
