"""Places prompts on engines; several engines can share a prompt's prefill.

The workload mixes thousands of short prompts, which have a few hundred
milliseconds to their first token and an event gap target of 200 ms, with a few
long prompts whose prefill takes seconds and delays every stream of the engine.
Short prompts are therefore gathered on engines that already decode short
prompts. Long prompts are split among engines that decode nothing or only
streams with a larger gap target. Each choice weighs the value for the caller
against the value that other requests lose. An engine runs the newest part
for another engine first and its own prompts last, so a long prompt that would
make earlier ones late is deferred while it has time.

Many entries place at the same time, and know of each other's placements some
milliseconds late. So that they do not all choose the same engine, a short
prompt goes to the best of a few engines that are sampled at random.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.serving.admission.overload import (
    OverloadPolicy,
    PlannedRequest,
    Refuse,
    RefuseLate,
    ServeLate,
)
from masticwind.serving.costs.latency_model import (
    decode_iteration_ms,
    full_prefill,
    prefill_ms,
)
from masticwind.serving.model import Endpoint, EngineProfile, TokenCounts
from masticwind.serving.placement.engine_view import (
    USABLE_TARGET_SHARE,
    EngineView,
    build_engine_view,
    free_tokens_of,
)
from masticwind.serving.placement.load_table import Job
from masticwind.serving.placement.placer import (
    Deferral,
    HelperPlacement,
    Placement,
    PlacementQuery,
    Placer,
    no_endpoint_failure,
    waiting_failure,
)
from masticwind.serving.placement.plans import (
    MAX_HELPERS,
    RESERVABLE_MEMORY_SHARE,
    UNBLOCKED_ENGINE_SHARE,
    Plan,
    best_plan,
    max_parts,
    missing_tokens,
    request_value,
)

# Bounds of the delay before a deferred prompt is placed again.
MIN_DEFERRAL_MS: Final = 10.0
MAX_DEFERRAL_MS: Final = 100.0
# Time of two iterations; the prediction for idle engines does not include it.
ITERATION_ALLOWANCE_MS: Final = 80.0
# Engines sampled for a prompt that is not split. Usually several of them are
# good enough, and two entries rarely sample the same ones.
SAMPLED_ENGINES: Final = 16


class PromptPlacer(Placer):
    """Chooses the engines that prefill a prompt, and how many of them."""

    def __init__(
        self,
        rng: random.Random | None = None,
        overload: OverloadPolicy | None = None,
    ) -> None:
        self._rng: Final = rng or random.Random()
        self._overload: Final = overload or RefuseLate(self._rng)

    def preview(self) -> 'PromptPlacer':
        """Return a placer whose placements have no effect on later ones."""
        return PromptPlacer(overload=self._overload.preview())

    def place(self, query: PlacementQuery) -> Placement | Deferral | Failure:
        """Use the plan with the highest net value, defer, or refuse."""
        profile = query.service.engine
        tokens = query.tokens
        if profile is None or tokens is None or not query.candidates:
            return no_endpoint_failure()
        tokens = _expected_tokens(query, tokens)
        engines = self._view_engines(query, profile, tokens)
        plan = best_plan(query, profile, tokens, engines)
        if plan is None:
            return self._overload.refuse(
                query, 'the engines have no memory for this prompt'
            ).failure
        if _waits_too_long_to_start(query, plan):
            return waiting_failure(query, plan.engines[0].endpoint.identity)
        planned = PlannedRequest(
            query=query, profile=profile, engines=engines, plan=plan
        )
        decision = self._overload.decide(planned)
        if isinstance(decision, Refuse):
            return decision.failure
        deferral = _deferral(query, profile, tokens, plan)
        if deferral is not None and not isinstance(decision, ServeLate):
            return deferral
        if plan.net_value_tokens < 0:
            return self._overload.refuse(
                query,
                f'others would lose {plan.lost_tokens:.0f} tokens',
                plan.first_token_ms,
            ).failure
        self._overload.record_placement(planned)
        return _build_placement(query, profile, tokens, plan)

    def _view_engines(
        self,
        query: PlacementQuery,
        profile: EngineProfile,
        tokens: TokenCounts,
    ) -> list[EngineView]:
        """Return the state of the engines that a plan may use."""
        candidates = query.candidates
        helpers: Sequence[Endpoint] = ()
        if max_parts(profile, tokens) > 1:
            helpers = query.helpers
        elif len(candidates) > SAMPLED_ENGINES:
            candidates = self._overload.extend_sample(
                query, profile, self._rng.sample(candidates, SAMPLED_ENGINES)
            )
        lead_candidates = [
            build_engine_view(query, profile, endpoint)
            for endpoint in candidates
        ]
        helper_views = [
            build_engine_view(query, profile, endpoint, may_lead=False)
            for endpoint in helpers
        ]
        return lead_candidates + helper_views


def _waits_too_long_to_start(query: PlacementQuery, plan: Plan) -> bool:
    """Tell whether to refuse a request since it would wait for a permit or for
    the end of a pause.

    As no plan with an unrestricted engine is better, a queue for permits would
    make all later requests late as well. A refused caller retries.
    """
    wait_ms = plan.engines[0].start_wait_ms
    target_ms = query.first_event_target_ms or query.remaining_ms
    usable_ms = target_ms * USABLE_TARGET_SHARE
    if wait_ms > usable_ms:
        return True
    return plan.first_token_ms - wait_ms <= usable_ms < plan.first_token_ms


def _deferral(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    plan: Plan,
) -> Deferral | None:
    """Return a delay if a later placement can avoid a loss or a late answer.

    That is possible while the remaining time suffices for engines that have
    nothing else to prefill.
    """
    target_ms = query.first_event_target_ms * USABLE_TARGET_SHARE
    if not target_ms or (
        not plan.lost_tokens and plan.first_token_ms <= target_ms
    ):
        return None
    wait_ms = max(MIN_DEFERRAL_MS, _next_prefill_end_ms(query))
    engine_count = int(len(query.candidates) * (1 - UNBLOCKED_ENGINE_SHARE))
    engine_count = max(1, min(MAX_HELPERS + 1, engine_count))
    single_engine_ms = prefill_ms(profile, full_prefill(tokens.prompt))
    if (
        wait_ms + single_engine_ms / engine_count + ITERATION_ALLOWANCE_MS
        > target_ms
    ):
        return None
    if plan.lost_tokens:
        reason = f'others would lose {plan.lost_tokens:.0f} tokens'
    else:
        reason = f'the first token would take {plan.first_token_ms:.0f} ms'
    return Deferral(wait_ms, reason)


def _next_prefill_end_ms(query: PlacementQuery) -> float:
    """Return the time to the next end of a prefill, capped."""
    soonest_ms = MAX_DEFERRAL_MS
    for jobs in query.jobs_by_endpoint.values():
        for job in jobs:
            if not job.decoding:
                end_ms = (job.first_token_at - query.now) * MS_PER_S
                soonest_ms = min(soonest_ms, end_ms)
    return soonest_ms


def _build_placement(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    plan: Plan,
) -> Placement:
    helpers = _place_helpers(tokens, plan)
    job = _lead_job(query, profile, tokens, plan)
    return Placement(
        lead=plan.engines[0].endpoint,
        helpers=helpers,
        jobs=(job, *(_helper_job(job, helper) for helper in helpers)),
        first_event_ms=plan.first_token_ms,
        total_ms=(job.end_at - query.now) * MS_PER_S,
    )


def _place_helpers(
    tokens: TokenCounts, plan: Plan
) -> tuple[HelperPlacement, ...]:
    """Return the helpers; they reserve the memory that the lead lacks."""
    lead, *engines = plan.engines
    remaining_tokens = missing_tokens(tokens, lead)
    helpers: list[HelperPlacement] = []
    for engine in sorted(engines, key=free_tokens_of, reverse=True):
        reserved_tokens = min(
            remaining_tokens, int(engine.free_tokens * RESERVABLE_MEMORY_SHARE)
        )
        remaining_tokens -= reserved_tokens
        helpers.append(
            HelperPlacement(
                endpoint=engine.endpoint, reserved_tokens=reserved_tokens
            )
        )
    return tuple(helpers)


def _lead_job(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    plan: Plan,
) -> Job:
    lead = plan.engines[0]
    first_token_due_at = math.inf
    if query.first_event_target_ms:
        first_token_due_at = (
            query.now
            + query.first_event_target_ms * USABLE_TARGET_SHARE / MS_PER_S
        )
    iterations = math.ceil(tokens.expected_output / profile.steps_per_iteration)
    context_tokens = (*lead.load.decode_context_tokens, tokens.prompt)
    total_ms = (
        plan.first_token_ms
        + iterations
        * decode_iteration_ms(profile, context_tokens)
        * lead.speed_factor
    )
    needed_tokens = tokens.prompt + tokens.max_output
    return Job(
        job_id=0,
        request_id=query.request_id,
        endpoint_id=lead.endpoint.identity,
        prefill=full_prefill(tokens.prompt).scaled(1 / len(plan.engines)),
        context_tokens=tokens.prompt + tokens.expected_output // 2,
        held_tokens=min(needed_tokens, lead.free_tokens),
        started_at=query.now,
        first_token_at=query.now + plan.first_token_ms / MS_PER_S,
        end_at=query.now + total_ms / MS_PER_S,
        event_gap_target_ms=query.event_gap_target_ms,
        value_tokens=request_value(tokens),
        first_token_due_at=first_token_due_at,
        route_key=query.route_key,
        team_key=query.team_key,
        priority=query.standing.priority,
        speed_factor=lead.speed_factor,
        output_factor=_output_factor(query, tokens),
        expected_output=tokens.expected_output,
    )


def _expected_tokens(query: PlacementQuery, tokens: TokenCounts) -> TokenCounts:
    """Return the counts with the output length to plan with."""
    expected_output = query.costs.expected_output(
        tokens, query.route_key, query.team_key
    )
    if expected_output == tokens.expected_output:
        return tokens
    return replace(tokens, expected_output=expected_output)


def _output_factor(query: PlacementQuery, tokens: TokenCounts) -> float:
    """Return by what the caller's estimate was multiplied."""
    if query.tokens is None or not query.tokens.expected_output:
        return 1.0
    return tokens.expected_output / query.tokens.expected_output


def _helper_job(lead: Job, helper: HelperPlacement) -> Job:
    return replace(
        lead,
        endpoint_id=helper.endpoint.identity,
        context_tokens=0,
        held_tokens=helper.reserved_tokens,
        end_at=lead.end_at if helper.reserved_tokens else lead.first_token_at,
        event_gap_target_ms=0,
    )
