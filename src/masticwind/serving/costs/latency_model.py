"""Predicts an engine's latencies from its performance profile and its load.

An engine batches its requests in iterations. One iteration runs
`steps_per_iteration` decode steps, each of which yields one token for every
decoding request, and prefills at most as many prompt chunks. A long prompt
therefore delays the requests that decode beside it, and a new request waits
for the running iteration. All functions here are pure: no I/O, no clock.

    load = EngineLoad((5000, 12_000), PrefillWork(4000, 8))
    times = engine_times(profile, load)
    delay_ms = first_token_ms(profile, times, PrefillWork(5000, 12.5))
"""

import math
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.model import EngineProfile

TOKENS_PER_K: Final = 1000
PAIRS_PER_M: Final = 1_000_000
# A new request waits for the rest of the running iteration before its prefill
# starts, and for its first event to be assembled; both together take this
# share of an iteration.
RUNNING_ITERATION_SHARE: Final = 0.85


@dataclass(frozen=True, slots=True)
class PrefillWork:
    """Prompt tokens to prefill.

    `attention_pairs_m` counts, in millions, the pairs of a token and an
    earlier one that attention covers.
    """

    tokens: float
    attention_pairs_m: float

    def scaled(self, share: float) -> 'PrefillWork':
        """Return a share of this work."""
        return PrefillWork(self.tokens * share, self.attention_pairs_m * share)

    def plus(self, other: 'PrefillWork') -> 'PrefillWork':
        """Return the sum of both."""
        return PrefillWork(
            self.tokens + other.tokens,
            self.attention_pairs_m + other.attention_pairs_m,
        )


NO_PREFILL: Final = PrefillWork(0, 0)


def full_prefill(tokens: int) -> PrefillWork:
    """Return the work of prefilling a whole prompt."""
    return PrefillWork(tokens, tokens * tokens / 2 / PAIRS_PER_M)


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """The context size of each decoding request, and the prefill to do."""

    decode_context_tokens: tuple[int, ...] = ()
    pending_prefill: PrefillWork = field(default=NO_PREFILL)


def prefill_ms(profile: EngineProfile, prefill: PrefillWork) -> float:
    """Return the time for this prefill without any decode steps."""
    linear_ms = prefill.tokens / profile.prefill_tokens_per_s * MS_PER_S
    return (
        linear_ms + prefill.attention_pairs_m * profile.prefill_ms_per_m_pairs
    )


def decode_iteration_ms(
    profile: EngineProfile, context_tokens: tuple[int, ...]
) -> float:
    """Return the time of one iteration's decode steps.

    `context_tokens` has the context size of each decoding request.
    """
    step_ms = (
        profile.step_ms + len(context_tokens) * profile.step_ms_per_request
    )
    step_ms += (
        sum(context_tokens) / TOKENS_PER_K * profile.step_ms_per_k_context
    )
    return step_ms * profile.steps_per_iteration


@dataclass(frozen=True, slots=True)
class EngineTimes:
    """Times of an engine's load, computed once for many predictions.

    `pending_prefill_ms` is the time to prefill `pending_prefill_tokens`, and
    `decode_iteration_ms` the time of one iteration's decode steps; zero means
    that no request decodes.
    """

    pending_prefill_tokens: float = 0
    pending_prefill_ms: float = 0
    decode_iteration_ms: float = 0

    def without_pending_prefill(self) -> 'EngineTimes':
        """Return the times with nothing left to prefill."""
        return EngineTimes(decode_iteration_ms=self.decode_iteration_ms)


def engine_times(profile: EngineProfile, load: EngineLoad) -> EngineTimes:
    """Compute the times of an engine's load."""
    decode_ms = 0.0
    if load.decode_context_tokens:
        decode_ms = decode_iteration_ms(profile, load.decode_context_tokens)
    return EngineTimes(
        load.pending_prefill.tokens,
        prefill_ms(profile, load.pending_prefill),
        decode_ms,
    )


def first_token_ms(
    profile: EngineProfile,
    times: EngineTimes,
    prefill: PrefillWork,
) -> float:
    """Return the time to the first token of a new request.

    The pending prefill runs first. Where other requests decode, the new one
    waits for the rest of the running iteration, and its first token comes
    with the decode steps of the iteration that completes its prefill.
    """
    tokens = times.pending_prefill_tokens + prefill.tokens
    chunks = math.ceil(tokens / profile.prefill_chunk_tokens)
    delay_ms = times.pending_prefill_ms + prefill_ms(profile, prefill)
    if not times.decode_iteration_ms:
        return delay_ms + chunks * profile.step_ms
    iterations = math.ceil(chunks / profile.steps_per_iteration)
    return (
        delay_ms
        + (iterations + RUNNING_ITERATION_SHARE) * times.decode_iteration_ms
    )


def max_token_gap_ms(
    profile: EngineProfile,
    times: EngineTimes,
    prefill: PrefillWork,
) -> float:
    """Return the longest gap between two tokens of a decoding request while
    the engine also runs `prefill` and its pending prefill.
    """
    tokens = times.pending_prefill_tokens + prefill.tokens
    total_prefill_ms = times.pending_prefill_ms + prefill_ms(profile, prefill)
    max_tokens = profile.prefill_chunk_tokens * profile.steps_per_iteration
    if tokens > max_tokens:
        total_prefill_ms *= max_tokens / tokens
    decode_ms = times.decode_iteration_ms or decode_iteration_ms(profile, ())
    return total_prefill_ms + decode_ms
