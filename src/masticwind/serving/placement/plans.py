"""Plans for one prompt: the engines that prefill it, and the value of that.

The net value of a plan is the value of the request, reduced if it will be
late, minus the value that other requests lose. Values are counted in prompt
tokens.
"""

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from masticwind.serving.costs.latency_model import (
    PrefillWork,
    first_token_ms,
    full_prefill,
    prefill_ms,
)
from masticwind.serving.model import EngineProfile, TokenCounts
from masticwind.serving.placement.engine_view import (
    LATE_VALUE_SHARE,
    USABLE_TARGET_SHARE,
    EngineView,
    engine_cost_ms,
    free_tokens_of,
    helper_prefill_ms,
    is_gap_sensitive,
    losses,
)
from masticwind.serving.placement.placer import PlacementQuery

# Value of an output token, in prompt tokens, as callers weigh them.
OUTPUT_TOKEN_VALUE: Final = 10
# Engines accept at most this many helpers for one prompt.
MAX_HELPERS: Final = 15
# Engines considered for a plan; three times as many as it can use.
SHORTLIST_SIZE: Final = 48
# A part with a shorter prefill than this saves no time.
MIN_PART_MS: Final = 12.0
# Callers abandon a stream without an event after this many times its target.
ABANDON_TARGET_FACTOR: Final = 4.0
# Value of an answer that its caller has probably abandoned, as a share.
ABANDONED_VALUE_SHARE: Final = 0.12
# Each helper adds a message and a step, so of equal plans the one with fewer
# helpers is better.
HELPER_COST_MS: Final = 3.0
# Prefills that occupy their engines for longer than this leave at least a
# share of all engines to other requests.
BLOCKING_PREFILL_MS: Final = 120.0
UNBLOCKED_ENGINE_SHARE: Final = 0.2
# Share of the slots of such an engine that its streams may fill.
STREAM_SLOT_SHARE: Final = 0.75
# Share of an engine's free KV cache that a reservation may take.
RESERVABLE_MEMORY_SHARE: Final = 0.9
# Share of its free KV cache that the lead engine uses for a prompt that does
# not fit there: engines round up to whole blocks and refuse a request that
# lacks a single one.
LEAD_MEMORY_SHARE: Final = 0.97
# Value of a millisecond, as a share of the request's value; small enough that
# meeting a target always outweighs it.
VALUE_SHARE_PER_MS: Final = 1e-5


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The engines that prefill a prompt, the lead first.

    `lost_tokens` is the value that other requests lose, and
    `net_value_tokens` the value of the request minus that.
    """

    engines: tuple[EngineView, ...]
    first_token_ms: float
    net_value_tokens: float
    lost_tokens: float


def request_value(tokens: TokenCounts) -> float:
    """Return the value of a request, in prompt tokens."""
    return tokens.prompt + OUTPUT_TOKEN_VALUE * tokens.expected_output


def missing_tokens(tokens: TokenCounts, lead: EngineView) -> int:
    """Return the tokens that do not fit into the lead's KV cache."""
    needed_tokens = tokens.prompt + tokens.max_output
    if needed_tokens <= lead.free_tokens:
        return 0
    return needed_tokens - int(lead.free_tokens * LEAD_MEMORY_SHARE)


def best_plan(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    engines: Sequence[EngineView],
) -> Plan | None:
    """Return the plan with the highest net value, None without memory."""
    best: Plan | None = None
    max_part_count = min(len(engines), max_parts(profile, tokens))
    # A long prefill must leave engines to gap-sensitive streams.
    max_blocked_engines = len(engines) - _min_unblocked_engines(
        profile, engines
    )
    smallest_part = full_prefill(tokens.prompt).scaled(1 / max_part_count)
    shortlist = _shortlist(query, profile, engines, smallest_part)
    for part_count in range(1, max_part_count + 1):
        if (
            1 < part_count
            and max_blocked_engines < part_count
            and _blocks_engine(profile, tokens, part_count)
        ):
            continue
        plan = _build_plan(query, profile, tokens, shortlist, part_count)
        if plan is not None and (
            best is None or plan.net_value_tokens > best.net_value_tokens
        ):
            best = plan
    return best


def max_parts(profile: EngineProfile, tokens: TokenCounts) -> int:
    """Return the largest number of parts for a prompt's prefill."""
    if not profile.distributed_prefill:
        return 1
    full_prefill_ms = prefill_ms(profile, full_prefill(tokens.prompt))
    return max(1, min(MAX_HELPERS + 1, int(full_prefill_ms / MIN_PART_MS)))


def _blocks_engine(
    profile: EngineProfile, tokens: TokenCounts, part_count: int
) -> bool:
    """Tell whether one of `part_count` parts blocks its engine for long."""
    part = full_prefill(tokens.prompt).scaled(1 / part_count)
    return prefill_ms(profile, part) > BLOCKING_PREFILL_MS


def _shortlist(
    query: PlacementQuery,
    profile: EngineProfile,
    engines: Sequence[EngineView],
    part: PrefillWork,
) -> Sequence[EngineView]:
    """Return the cheapest engines, so that planning time stays bounded.

    They include engines that may lead, if there are any.
    """
    if len(engines) <= SHORTLIST_SIZE:
        return engines
    ranked = heapq.nsmallest(
        SHORTLIST_SIZE,
        engines,
        key=lambda engine: engine_cost_ms(query, profile, engine, part),
    )
    if any(engine.may_lead for engine in ranked):
        return ranked
    lead_candidates = [engine for engine in engines if engine.may_lead]
    return ranked + lead_candidates[:SHORTLIST_SIZE]


def _build_plan(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    engines: Sequence[EngineView],
    part_count: int,
) -> Plan | None:
    part = full_prefill(tokens.prompt).scaled(1 / part_count)
    costs = {
        engine.endpoint.identity: engine_cost_ms(query, profile, engine, part)
        for engine in engines
    }
    ranked = sorted(engines, key=lambda engine: costs[engine.endpoint.identity])
    lead = _select_lead(query, tokens, ranked, part_count)
    if lead is None:
        return None
    selected = _select_engines(query, ranked, lead, part_count)
    if len(selected) < part_count:
        return None
    first_ms = _first_token_ms(profile, selected, part)
    lost_tokens = _lost_tokens(query, profile, selected, part)
    # Of two plans with the same value, the faster one is better.
    tie_break_ms = first_ms + part_count * HELPER_COST_MS
    tie_break_ms += max(costs[engine.endpoint.identity] for engine in selected)
    value_share = (
        _value_share(query, first_ms) - tie_break_ms * VALUE_SHARE_PER_MS
    )
    return Plan(
        engines=tuple(selected),
        first_token_ms=first_ms,
        net_value_tokens=request_value(tokens) * value_share - lost_tokens,
        lost_tokens=lost_tokens,
    )


def _min_unblocked_engines(
    profile: EngineProfile, engines: Sequence[EngineView]
) -> int:
    """Return how many engines a long prefill leaves to other streams."""
    streams = sum(
        is_gap_sensitive(job.event_gap_target_ms)
        for engine in engines
        for job in engine.jobs
    )
    needed_engines = math.ceil(streams / (profile.slots * STREAM_SLOT_SHARE))
    return max(math.ceil(len(engines) * UNBLOCKED_ENGINE_SHARE), needed_engines)


def _select_lead(
    query: PlacementQuery,
    tokens: TokenCounts,
    ranked: Sequence[EngineView],
    part_count: int,
) -> EngineView | None:
    """Return the cheapest engine that can hold the prompt's KV cache, alone
    or together with the reservations of its helpers.
    """
    needed_tokens = tokens.prompt + tokens.max_output
    for engine in ranked:
        if engine.may_lead and needed_tokens <= engine.free_tokens:
            return engine
    lead_candidates = [view for view in ranked if view.may_lead]
    if part_count == 1 or not lead_candidates:
        return None
    # The helpers hold a part of the KV cache under reservations.
    lead = max(lead_candidates[:part_count], key=free_tokens_of)
    capacity_tokens = int(lead.free_tokens * LEAD_MEMORY_SHARE)
    helpers = _select_engines(query, ranked, lead, part_count)[1:]
    capacity_tokens += sum(
        int(helper.free_tokens * RESERVABLE_MEMORY_SHARE) for helper in helpers
    )
    return lead if needed_tokens <= capacity_tokens else None


def _select_engines(
    query: PlacementQuery,
    ranked: Sequence[EngineView],
    lead: EngineView,
    part_count: int,
) -> list[EngineView]:
    """Return the lead and the cheapest other engines, fewer if there are not
    enough of them.
    """
    helpers = [
        engine
        for engine in ranked
        if engine is not lead
        and engine.may_help
        and query.may_help_lead(lead.endpoint, engine.endpoint)
    ]
    return [lead, *helpers[: part_count - 1]]


def _first_token_ms(
    profile: EngineProfile,
    selected: Sequence[EngineView],
    part: PrefillWork,
) -> float:
    lead, *helpers = selected
    first_ms = first_token_ms(profile, lead.times, part) * lead.target_factor
    for engine in helpers:
        first_ms = max(first_ms, helper_prefill_ms(profile, engine, part))
    return first_ms + lead.slot_wait_ms


def _lost_tokens(
    query: PlacementQuery,
    profile: EngineProfile,
    selected: Sequence[EngineView],
    part: PrefillWork,
) -> float:
    lost: dict[str, float] = {}
    for engine in selected:
        lost.update(losses(query, profile, engine, part))
    return sum(lost.values())


def _value_share(query: PlacementQuery, first_ms: float) -> float:
    target_ms = query.first_event_target_ms or query.remaining_ms
    if first_ms <= target_ms * USABLE_TARGET_SHARE:
        return 1.0
    if (
        first_ms
        <= min(query.remaining_ms, target_ms * ABANDON_TARGET_FACTOR)
        * USABLE_TARGET_SHARE
    ):
        return LATE_VALUE_SHARE
    return ABANDONED_VALUE_SHARE
