"""Places prompts on engines, alone or read by several engines together.

The load: thousands of short prompts, whose callers wait a few hundred
milliseconds and notice a pause of 200 ms, beside a few prompts that keep an
engine reading for seconds. A long read holds up every stream on its engine.
So short prompts gather on engines that write for short prompts already, long
ones are read in parts by engines that write for nobody or only for callers
who stand a longer pause, and each choice weighs what the caller gains
against what others lose. An engine reads the newest part for another engine
first and its own prompts last; a long prompt that would make earlier ones
late therefore waits here while it has the time.

Many entries place at the same time, with news of each other that are some
milliseconds old. The same best engine would be chosen by all of them, so a
short prompt goes to the best one of a few that are drawn at random.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.engine_view import (
    PREDICTION_MARGIN,
    EngineView,
    build_engine_view,
    free_memory,
)
from masticwind.serving.latency_model import (
    decode_iteration_ms,
    full_prefill,
    prefill_ms,
)
from masticwind.serving.load_table import Job
from masticwind.serving.model import Endpoint, EngineProfile, TokenCounts
from masticwind.serving.placement import (
    Deferral,
    HelperPlacement,
    Placement,
    PlacementQuery,
    Placer,
    no_candidates,
)
from masticwind.serving.plans import (
    MAX_HELPERS,
    RESERVABLE_MEMORY_SHARE,
    UNBLOCKED_ENGINE_SHARE,
    Plan,
    best_plan,
    max_parts,
    missing_tokens,
    request_value,
)

# Share of taken slots from which on requests are refused rather than late.
OVERLOAD_SLOT_SHARE: Final = 0.5
# Bounds of the hint to callers that are refused, and its spread, so that
# they do not return together.
MIN_RETRY_AFTER_MS: Final = 1000.0
MAX_RETRY_AFTER_MS: Final = 3000.0
RETRY_SPREAD: Final = 0.4
# Bounds of the wait before a deferred prompt is placed again.
MIN_DEFERRAL_MS: Final = 10.0
MAX_DEFERRAL_MS: Final = 100.0
# Time of two passes, which a prediction on idle engines leaves out.
ITERATION_ALLOWANCE_MS: Final = 80.0
# Engines that are drawn for a prompt that a single one reads. Of these, more
# than one is mostly good enough, and two entries seldom draw the same ones.
SAMPLED_ENGINES: Final = 16


class PromptPlacer(Placer):
    """Chooses how many engines read a prompt, and which."""

    def __init__(self, chance: random.Random | None = None) -> None:
        self._chance: Final = chance or random.Random()

    def place(self, query: PlacementQuery) -> Placement | Deferral | Failure:
        """Choose the plan with the largest gain, wait, or refuse."""
        profile = query.service.engine
        tokens = query.tokens
        if profile is None or tokens is None or not query.candidates:
            return no_candidates()
        engines = self._views(query, profile, tokens)
        plan = best_plan(query, profile, tokens, engines)
        if plan is None:
            return self._refusal('the engines have no memory for this prompt')
        if _overloaded(query, profile, engines, plan):
            return self._refusal(
                f'the first token would take {plan.first_token_ms:.0f} ms',
                plan.first_token_ms
                - query.first_event_target_ms * PREDICTION_MARGIN,
            )
        deferral = _deferral(query, profile, tokens, plan)
        if deferral is not None:
            return deferral
        if plan.net_value_tokens < 0:
            return self._refusal(
                f'others would lose {plan.lost_tokens:.0f} tokens',
                plan.first_token_ms,
            )
        return _placement(query, profile, tokens, plan)

    def _views(
        self,
        query: PlacementQuery,
        profile: EngineProfile,
        tokens: TokenCounts,
    ) -> list[EngineView]:
        """Return the engines among which the plans choose."""
        candidates = query.candidates
        helpers: Sequence[Endpoint] = ()
        if max_parts(profile, tokens) > 1:
            helpers = query.helpers
        elif len(candidates) > SAMPLED_ENGINES:
            candidates = self._chance.sample(candidates, SAMPLED_ENGINES)
        lead_candidates = [
            build_engine_view(query, profile, one) for one in candidates
        ]
        others = [
            build_engine_view(query, profile, one, may_lead=False)
            for one in helpers
        ]
        return lead_candidates + others

    def _refusal(self, reason: str, excess_ms: float = 0) -> Failure:
        wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess_ms))
        spread = self._chance.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason=reason,
            retry_after_ms=int(wait_ms * spread),
        )


def _overloaded(
    query: PlacementQuery,
    profile: EngineProfile,
    engines: Sequence[EngineView],
    plan: Plan,
) -> bool:
    """Tell whether a request is better refused than queued.

    Where many slots are taken and the wait goes beyond the aim, a queue makes
    all later requests late too. A refused caller comes back while the
    callers that are let in are served in time.
    """
    if plan.first_token_ms > query.remaining_ms:
        return True
    if not query.first_event_target_ms:
        return False
    if plan.first_token_ms <= query.first_event_target_ms * PREDICTION_MARGIN:
        return False
    slots = profile.slots * len(engines)
    taken = sum(min(engine.slot_requests, profile.slots) for engine in engines)
    return taken >= slots * OVERLOAD_SLOT_SHARE


def _deferral(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    plan: Plan,
) -> Deferral | None:
    """Return a wait that makes a loss or a late answer avoidable.

    It is avoidable while the time left suffices for a group of engines that
    have nothing else to read.
    """
    aim_ms = query.first_event_target_ms * PREDICTION_MARGIN
    if not aim_ms or (not plan.lost_tokens and plan.first_token_ms <= aim_ms):
        return None
    wait_ms = max(MIN_DEFERRAL_MS, _next_end_ms(query))
    group = int(len(query.candidates) * (1 - UNBLOCKED_ENGINE_SHARE))
    group = max(1, min(MAX_HELPERS + 1, group))
    reading_ms = prefill_ms(profile, full_prefill(tokens.prompt))
    if wait_ms + reading_ms / group + ITERATION_ALLOWANCE_MS > aim_ms:
        return None
    if plan.lost_tokens:
        reason = f'others would lose {plan.lost_tokens:.0f} tokens'
    else:
        reason = f'the first token would take {plan.first_token_ms:.0f} ms'
    return Deferral(wait_ms, reason)


def _next_end_ms(query: PlacementQuery) -> float:
    """Return the time until a reading ends, if that is soon."""
    soonest_ms = MAX_DEFERRAL_MS
    for jobs in query.jobs_by_endpoint.values():
        for job in jobs:
            if not job.decoding:
                end_ms = (job.first_token_at - query.now) * MS_PER_S
                soonest_ms = min(soonest_ms, end_ms)
    return soonest_ms


def _placement(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    plan: Plan,
) -> Placement:
    shares = _shares(tokens, plan)
    job = _lead_job(query, profile, tokens, plan)
    return Placement(
        lead=plan.engines[0].endpoint,
        helpers=shares,
        jobs=(job, *(_helper_job(job, share) for share in shares)),
        first_event_ms=plan.first_token_ms,
        total_ms=(job.end_at - query.now) * MS_PER_S,
    )


def _shares(tokens: TokenCounts, plan: Plan) -> tuple[HelperPlacement, ...]:
    """Return the helpers; what the leading engine lacks is reserved there."""
    lead, *helpers = plan.engines
    missing = missing_tokens(tokens, lead)
    shares: list[HelperPlacement] = []
    for engine in sorted(helpers, key=free_memory, reverse=True):
        tokens_there = min(
            missing, int(engine.free_tokens * RESERVABLE_MEMORY_SHARE)
        )
        missing -= tokens_there
        shares.append(
            HelperPlacement(
                endpoint=engine.endpoint, reserved_tokens=tokens_there
            )
        )
    return tuple(shares)


def _lead_job(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    plan: Plan,
) -> Job:
    lead = plan.engines[0]
    due_at = math.inf
    if query.first_event_target_ms:
        due_at = (
            query.now
            + query.first_event_target_ms * PREDICTION_MARGIN / MS_PER_S
        )
    passes = math.ceil(tokens.expected_output / profile.steps_per_iteration)
    contexts = (*lead.load.decode_context_tokens, tokens.prompt)
    whole_ms = plan.first_token_ms + passes * decode_iteration_ms(
        profile, contexts
    )
    needed = tokens.prompt + tokens.max_output
    return Job(
        job_id=0,
        request_id=query.request_id,
        endpoint_id=lead.endpoint.identity,
        prefill=full_prefill(tokens.prompt).scaled(1 / len(plan.engines)),
        context_tokens=tokens.prompt + tokens.expected_output // 2,
        held_tokens=min(needed, lead.free_tokens),
        started_at=query.now,
        first_token_at=query.now + plan.first_token_ms / MS_PER_S,
        end_at=query.now + whole_ms / MS_PER_S,
        event_gap_target_ms=query.event_gap_target_ms,
        value_tokens=request_value(tokens),
        first_token_due_at=due_at,
    )


def _helper_job(lead: Job, share: HelperPlacement) -> Job:
    return replace(
        lead,
        endpoint_id=share.endpoint.identity,
        context_tokens=0,
        held_tokens=share.reserved_tokens,
        end_at=lead.end_at if share.reserved_tokens else lead.first_token_at,
        event_gap_target_ms=0,
    )
