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
    MARGIN,
    EngineView,
    free_memory,
    view_engine,
)
from masticwind.serving.load import Job
from masticwind.serving.model import Endpoint, EngineSpeed, TokenCounts
from masticwind.serving.passes import read_ms, whole_prompt, write_pass_ms
from masticwind.serving.placement import (
    Deferral,
    Placement,
    Placer,
    Query,
    Share,
    no_candidates,
)
from masticwind.serving.plans import (
    FREE_SHARE,
    MAX_HELPERS,
    RESERVE_SHARE,
    Plan,
    best_plan,
    missing_memory,
    most_parts,
    worth_of,
)

# Share of taken slots from which on requests are refused rather than late.
FULL_SHARE: Final = 0.5
# Bounds of the hint to callers that are refused, and its spread, so that
# they do not return together.
SHORTEST_RETRY_MS: Final = 1000.0
LONGEST_RETRY_MS: Final = 3000.0
RETRY_SPREAD: Final = 0.4
# Bounds of the wait before a deferred prompt is placed again.
SHORTEST_WAIT_MS: Final = 10.0
LONGEST_WAIT_MS: Final = 100.0
# Time of two passes, which a prediction on idle engines leaves out.
PASS_ALLOWANCE_MS: Final = 80.0
# Engines that are drawn for a prompt that a single one reads. Of these, more
# than one is mostly good enough, and two entries seldom draw the same ones.
DRAWN_ENGINES: Final = 16


class PromptPlacer(Placer):
    """Chooses how many engines read a prompt, and which."""

    def __init__(self, chance: random.Random | None = None) -> None:
        self._chance: Final = chance or random.Random()

    def place(self, query: Query) -> Placement | Deferral | Failure:
        """Choose the plan with the largest gain, wait, or refuse."""
        speed = query.service.speed
        tokens = query.tokens
        if speed is None or tokens is None or not query.candidates:
            return no_candidates()
        engines = self._views(query, speed, tokens)
        plan = best_plan(query, speed, tokens, engines)
        if plan is None:
            return self._refusal('the engines have no memory for this prompt')
        if _overloaded(query, speed, engines, plan):
            return self._refusal(
                f'the first token would take {plan.first_ms:.0f} ms',
                plan.first_ms - query.first_answer_ms * MARGIN,
            )
        deferral = _deferral(query, speed, tokens, plan)
        if deferral is not None:
            return deferral
        if plan.gain < 0:
            return self._refusal(
                f'others would lose {plan.lost:.0f} tokens',
                plan.first_ms,
            )
        return _placement(query, speed, tokens, plan)

    def _views(
        self,
        query: Query,
        speed: EngineSpeed,
        tokens: TokenCounts,
    ) -> list[EngineView]:
        """Return the engines among which the plans choose."""
        candidates = query.candidates
        helpers: Sequence[Endpoint] = ()
        if most_parts(speed, tokens) > 1:
            helpers = query.helpers
        elif len(candidates) > DRAWN_ENGINES:
            candidates = self._chance.sample(candidates, DRAWN_ENGINES)
        leads = [view_engine(query, speed, one) for one in candidates]
        others = [
            view_engine(query, speed, one, may_lead=False) for one in helpers
        ]
        return leads + others

    def _refusal(self, reason: str, excess_ms: float = 0) -> Failure:
        wait_ms = min(LONGEST_RETRY_MS, max(SHORTEST_RETRY_MS, excess_ms))
        spread = self._chance.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason=reason,
            retry_after_ms=int(wait_ms * spread),
        )


def _overloaded(
    query: Query,
    speed: EngineSpeed,
    engines: Sequence[EngineView],
    plan: Plan,
) -> bool:
    """Tell whether a request is better refused than queued.

    Where many slots are taken and the wait goes beyond the aim, a queue makes
    all later requests late too. A refused caller comes back while the
    callers that are let in are served in time.
    """
    if plan.first_ms > query.left_ms:
        return True
    if not query.first_answer_ms:
        return False
    if plan.first_ms <= query.first_answer_ms * MARGIN:
        return False
    slots = speed.slots * len(engines)
    taken = sum(min(engine.leads, speed.slots) for engine in engines)
    return taken >= slots * FULL_SHARE


def _deferral(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    plan: Plan,
) -> Deferral | None:
    """Return a wait that makes a loss or a late answer avoidable.

    It is avoidable while the time left suffices for a group of engines that
    have nothing else to read.
    """
    aim_ms = query.first_answer_ms * MARGIN
    if not aim_ms or (not plan.lost and plan.first_ms <= aim_ms):
        return None
    wait_ms = max(SHORTEST_WAIT_MS, _next_end_ms(query))
    group = int(len(query.candidates) * (1 - FREE_SHARE))
    group = max(1, min(MAX_HELPERS + 1, group))
    reading_ms = read_ms(speed, whole_prompt(tokens.prompt))
    if wait_ms + reading_ms / group + PASS_ALLOWANCE_MS > aim_ms:
        return None
    if plan.lost:
        reason = f'others would lose {plan.lost:.0f} tokens'
    else:
        reason = f'the first token would take {plan.first_ms:.0f} ms'
    return Deferral(wait_ms, reason)


def _next_end_ms(query: Query) -> float:
    """Return the time until a reading ends, if that is soon."""
    soonest_ms = LONGEST_WAIT_MS
    for jobs in query.jobs.values():
        for job in jobs:
            if not job.writing:
                end_ms = (job.first_at - query.now) * MS_PER_S
                soonest_ms = min(soonest_ms, end_ms)
    return soonest_ms


def _placement(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    plan: Plan,
) -> Placement:
    shares = _shares(tokens, plan)
    job = _lead_job(query, speed, tokens, plan)
    return Placement(
        lead=plan.engines[0].endpoint,
        shares=shares,
        jobs=(job, *(_helper_job(job, share) for share in shares)),
        first_ms=plan.first_ms,
        whole_ms=(job.end_at - query.now) * MS_PER_S,
    )


def _shares(tokens: TokenCounts, plan: Plan) -> tuple[Share, ...]:
    """Return the helpers; what the leading engine lacks is reserved there."""
    lead, *helpers = plan.engines
    missing = missing_memory(tokens, lead)
    shares: list[Share] = []
    for engine in sorted(helpers, key=free_memory, reverse=True):
        tokens_there = min(missing, int(engine.memory * RESERVE_SHARE))
        missing -= tokens_there
        shares.append(
            Share(endpoint=engine.endpoint, reserved_tokens=tokens_there)
        )
    return tuple(shares)


def _lead_job(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    plan: Plan,
) -> Job:
    lead = plan.engines[0]
    due_at = math.inf
    if query.first_answer_ms:
        due_at = query.now + query.first_answer_ms * MARGIN / MS_PER_S
    passes = math.ceil(tokens.expected_output / speed.stride)
    contexts = (*lead.state.contexts, tokens.prompt)
    whole_ms = plan.first_ms + passes * write_pass_ms(speed, contexts)
    needed = tokens.prompt + tokens.max_output
    return Job(
        number=0,
        request=query.request,
        endpoint=lead.endpoint.identity,
        reading=whole_prompt(tokens.prompt).part(1 / len(plan.engines)),
        context=tokens.prompt + tokens.expected_output // 2,
        memory=min(needed, lead.memory),
        started=query.now,
        first_at=query.now + plan.first_ms / MS_PER_S,
        end_at=query.now + whole_ms / MS_PER_S,
        pause_ms=query.pause_ms,
        worth=worth_of(tokens),
        due_at=due_at,
    )


def _helper_job(lead: Job, share: Share) -> Job:
    return replace(
        lead,
        endpoint=share.endpoint.identity,
        context=0,
        memory=share.reserved_tokens,
        end_at=lead.end_at if share.reserved_tokens else lead.first_at,
        pause_ms=0,
    )
