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
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.load import Job, state_of
from masticwind.serving.model import Endpoint, EngineSpeed, TokenCounts
from masticwind.serving.passes import (
    EngineState,
    Reading,
    first_token_ms,
    longest_pause_ms,
    read_ms,
    whole_prompt,
    write_pass_ms,
)
from masticwind.serving.placement import (
    Deferral,
    Placement,
    Placer,
    Query,
    Share,
    no_candidates,
)

MS_PER_S: Final = 1000
# A token that is written counts as this many that are read.
WRITTEN_WORTH: Final = 10
# The platform's engines take a list of at most this many helpers.
MAX_HELPERS: Final = 15
# A part that takes less time than this gains nothing.
SMALLEST_PART_MS: Final = 12.0
# Part of a time limit that a prediction may use up.
MARGIN: Final = 0.85
# What an answer after its aim is worth, and one that is probably too late.
LATE_CREDIT: Final = 0.25
# Callers give a stream up that has not begun after this many times its aim.
ABANDON_FACTOR: Final = 4.0
# A helper costs a message and a step more; a tie goes to fewer helpers.
HELPER_COST_MS: Final = 3.0
# Opening a further engine for short prompts costs as much as this wait.
SPREAD_COST_MS: Final = 150.0
# Slots that are left for what other entries are placing right now.
SPARE_SLOTS: Final = 2
FULL_COST_MS: Final = 150.0
SUSPECT_COST_MS: Final = 400.0
OTHER_ZONE_COST_MS: Final = 2.0
# A part that blocks its engine longer leaves this share of all engines free.
BLOCKING_MS: Final = 120.0
FREE_SHARE: Final = 0.2
# Share of taken slots from which on requests are refused rather than late,
# and the part of the aim that a prediction may use up there.
FULL_SHARE: Final = 0.5
ADMIT_SHARE: Final = 0.85
# Slots that the streams on these engines fill.
FILLED_SHARE: Final = 0.75
# Streams that stand pauses up to this are held up by a long read.
SENSITIVE_PAUSE_MS: Final = 300.0
# Memory that a reservation leaves free on its engine.
RESERVE_SHARE: Final = 0.9
RETRY_AFTER_MS: Final = 500
# Bounds of the hint to callers that are refused for overload, and its
# spread, so that they do not return together.
SHORTEST_RETRY_MS: Final = 1000.0
LONGEST_RETRY_MS: Final = 3000.0
RETRY_SPREAD: Final = 0.4
# A request that has outlived its prediction ends within about this time.
OVERDUE_END_S: Final = 0.3
# Bounds of the wait before a deferred prompt is placed again.
SHORTEST_WAIT_MS: Final = 10.0
LONGEST_WAIT_MS: Final = 100.0
# Time of a pass that a prediction on idle engines leaves out.
PASS_ALLOWANCE_MS: Final = 80.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Engine:
    """An engine as a placement sees it."""

    endpoint: Endpoint
    state: EngineState
    jobs: tuple[Job, ...]
    leads: int
    memory: int
    sensitive: bool
    extra_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Plan:
    engines: tuple[_Engine, ...]
    first_ms: float
    gain: float
    lost: float


class PromptPlacer(Placer):
    """Chooses how many engines read a prompt, and which."""

    def place(self, query: Query) -> Placement | Deferral | Failure:
        """Choose the plan with the largest gain."""
        speed = query.service.speed
        tokens = query.tokens
        if speed is None or tokens is None or not query.candidates:
            return no_candidates()
        engines = [_engine(query, speed, one) for one in query.candidates]
        best: _Plan | None = None
        for parts in _part_counts(speed, tokens, len(engines)):
            plan = _plan(query, speed, tokens, engines, parts)
            if plan is not None and (best is None or plan.gain > best.gain):
                best = plan
        if best is None:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the engines have no memory for this prompt',
                retry_after_ms=RETRY_AFTER_MS,
            )
        if best.first_ms > query.left_ms:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason=f'the first token would take {best.first_ms:.0f} ms',
                retry_after_ms=RETRY_AFTER_MS,
            )
        if _overloaded(query, speed, engines, best):
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason=(
                    'all slots are taken, the first token would take'
                    f' {best.first_ms:.0f} ms'
                ),
                retry_after_ms=_retry_after_ms(query, best),
            )
        deferral = _deferral(query, speed, tokens, best)
        if deferral is not None:
            return deferral
        if best.gain < 0:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason=f'others would lose {best.lost:.0f} tokens',
                retry_after_ms=_retry_after_ms(query, best),
            )
        return _placement(query, speed, tokens, best)


def _overloaded(
    query: Query,
    speed: EngineSpeed,
    engines: list[_Engine],
    plan: _Plan,
) -> bool:
    """Tell whether a request is better refused than queued.

    Where every slot is taken and the wait goes beyond the aim, a queue makes
    all later requests late too. A refused caller comes back while the
    callers that are let in are served in time.
    """
    if plan.first_ms <= query.first_answer_ms * ADMIT_SHARE:
        return False
    if not query.first_answer_ms:
        return False
    slots = speed.slots * len(engines)
    taken = sum(min(engine.leads, speed.slots) for engine in engines)
    return taken >= slots * FULL_SHARE


def _retry_after_ms(query: Query, plan: _Plan) -> int:
    excess_ms = plan.first_ms - query.first_answer_ms * MARGIN
    wait_ms = min(LONGEST_RETRY_MS, max(SHORTEST_RETRY_MS, excess_ms))
    return int(wait_ms * random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD))


def _deferral(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    plan: _Plan,
) -> Deferral | None:
    """Return a wait that makes a loss or a late answer avoidable.

    It is avoidable while the time left suffices for a group of engines that
    have nothing else to read.
    """
    aim_ms = query.first_answer_ms * MARGIN
    if not aim_ms or (not plan.lost and plan.first_ms <= aim_ms):
        return None
    ends = [
        (job.first_at - query.now) * MS_PER_S
        for jobs in query.jobs.values()
        for job in jobs
        if not job.writing
    ]
    ends.append(LONGEST_WAIT_MS)
    wait_ms = min(LONGEST_WAIT_MS, max(SHORTEST_WAIT_MS, min(ends)))
    count = len(query.candidates)
    group = max(1, min(MAX_HELPERS + 1, int(count * (1 - FREE_SHARE))))
    reading_ms = read_ms(speed, whole_prompt(tokens.prompt))
    if wait_ms + reading_ms / group + PASS_ALLOWANCE_MS > aim_ms:
        return None
    if plan.lost:
        reason = f'others would lose {plan.lost:.0f} tokens'
    else:
        reason = f'the first token would take {plan.first_ms:.0f} ms'
    return Deferral(wait_ms, reason)


def worth_of(tokens: TokenCounts) -> float:
    """Return the work that a caller gets, in tokens read."""
    return tokens.prompt + WRITTEN_WORTH * tokens.expected_output


def _part_counts(
    speed: EngineSpeed,
    tokens: TokenCounts,
    engines: int,
) -> Iterable[int]:
    if not speed.joint:
        return (1,)
    whole_ms = read_ms(speed, whole_prompt(tokens.prompt))
    most = min(engines, MAX_HELPERS + 1, int(whole_ms / SMALLEST_PART_MS))
    return range(1, max(1, most) + 1)


def _engine(query: Query, speed: EngineSpeed, endpoint: Endpoint) -> _Engine:
    jobs = tuple(query.jobs.get(endpoint.identity, ()))
    leads = sum(1 for job in jobs if job.context)
    extra_ms = query.failure_shares.get(endpoint.identity, 0) * SUSPECT_COST_MS
    if endpoint.zone != query.zone:
        extra_ms += OTHER_ZONE_COST_MS
    return _Engine(
        endpoint=endpoint,
        state=state_of(jobs, query.now),
        jobs=jobs,
        leads=leads,
        memory=speed.memory_tokens - sum(job.memory for job in jobs),
        sensitive=any(_sensitive(job) for job in jobs),
        extra_ms=extra_ms,
    )


def _sensitive(job: Job) -> bool:
    return 0 < job.pause_ms <= SENSITIVE_PAUSE_MS


def _plan(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    engines: list[_Engine],
    parts: int,
) -> _Plan | None:
    part = whole_prompt(tokens.prompt).part(1 / parts)
    ranked = sorted(
        engines,
        key=lambda engine: _cost_ms(query, speed, engine, part),
    )
    part_ms = read_ms(speed, part)
    if part_ms > BLOCKING_MS and parts > 1:
        if parts > len(engines) - _kept(speed, engines):
            return None
    lead = _lead(query, speed, tokens, ranked, parts)
    if lead is None:
        return None
    group = [lead]
    for engine in ranked:
        if len(group) < parts and engine is not lead:
            group.append(engine)
    first_ms = first_token_ms(speed, lead.state, part)
    for engine in group[1:]:
        first_ms = max(first_ms, _part_ms(speed, engine, part))
    first_ms += _slot_wait_ms(query, speed, lead)
    losses: dict[str, float] = {}
    for engine in group:
        losses.update(_losses(query, speed, engine, part))
    lost = sum(losses.values())
    gain = worth_of(tokens) * _credit(query, first_ms) - lost
    cost_ms = first_ms + parts * HELPER_COST_MS
    cost_ms += max(_cost_ms(query, speed, one, part) for one in group)
    # Among plans that serve everybody as well, the quicker one is better.
    gain -= cost_ms * worth_of(tokens) * _TIE_BREAK
    return _Plan(
        engines=tuple(group),
        first_ms=first_ms,
        gain=gain,
        lost=lost,
    )


# Worth of a millisecond, far below that of being in time.
_TIE_BREAK: Final = 1e-5


def _kept(speed: EngineSpeed, engines: list[_Engine]) -> int:
    """Return how many engines a long read leaves to sensitive streams."""
    streams = sum(
        1 for engine in engines for job in engine.jobs if _sensitive(job)
    )
    needed = math.ceil(streams / (speed.slots * FILLED_SHARE))
    return max(math.ceil(len(engines) * FREE_SHARE), needed)


def _lead(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    ranked: list[_Engine],
    parts: int,
) -> _Engine | None:
    """Return the leading engine: the best one that holds the memory."""
    needed = tokens.prompt + tokens.max_output
    for engine in ranked:
        if needed <= engine.memory:
            return engine
    if parts == 1:
        return None
    # The others of the group hold a part of the memory under reservations.
    group = sorted(ranked[:parts], key=_memory, reverse=True)
    room = group[0].memory
    room += sum(int(one.memory * RESERVE_SHARE) for one in group[1:])
    return group[0] if needed <= room else None


def _memory(engine: _Engine) -> int:
    return engine.memory


def _cost_ms(
    query: Query,
    speed: EngineSpeed,
    engine: _Engine,
    part: Reading,
) -> float:
    """Return how unfavourable an engine is for one part, as a wait."""
    cost = first_token_ms(speed, engine.state, part) + engine.extra_ms
    cost += _slot_wait_ms(query, speed, engine)
    cost += sum(_losses(query, speed, engine, part).values())
    slots = speed.slots
    if engine.leads >= slots - SPARE_SLOTS:
        cost += FULL_COST_MS * (engine.leads - slots + SPARE_SLOTS + 1)
    own_sensitive = 0 < query.pause_ms <= SENSITIVE_PAUSE_MS
    if own_sensitive and not engine.sensitive:
        cost += SPREAD_COST_MS
    return cost


def _part_ms(speed: EngineSpeed, engine: _Engine, part: Reading) -> float:
    """Return the time until an engine has read a part for another one.

    The part goes before what waits there, but not into a running pass.
    """
    state = EngineState(contexts=engine.state.contexts)
    running_ms = 0.0
    if state.contexts:
        running_ms = read_ms(speed, engine.state.waiting) / 2
    return running_ms + first_token_ms(speed, state, part)


def _losses(
    query: Query,
    speed: EngineSpeed,
    engine: _Engine,
    part: Reading,
) -> dict[str, float]:
    """Return what the engine's other requests lose by this part.

    Writers lose by a long pause, and what is being read waits for the part.
    """
    pause_ms = longest_pause_ms(speed, engine.state, part)
    read_s = read_ms(speed, part) / MS_PER_S
    lost: dict[str, float] = {}
    for job in engine.jobs:
        if job.writing:
            late = 0 < job.pause_ms * MARGIN < pause_ms
        else:
            first_at = max(query.now, job.first_at)
            # One that is late already loses nothing more.
            late = first_at <= job.due_at < first_at + read_s
        if late:
            lost[job.request] = job.worth * (1 - LATE_CREDIT)
    return lost


def _slot_wait_ms(
    query: Query,
    speed: EngineSpeed,
    engine: _Engine,
) -> float:
    """Return the time until a slot is free for one more request."""
    queued = engine.leads - speed.slots
    if queued < 0:
        return 0.0
    ends = sorted(
        max(job.end_at, query.now + OVERDUE_END_S)
        for job in engine.jobs
        if job.context
    )
    return (ends[queued] - query.now) * MS_PER_S


def _credit(query: Query, first_ms: float) -> float:
    aim_ms = query.first_answer_ms or query.left_ms
    if first_ms <= aim_ms * MARGIN:
        return 1.0
    if first_ms <= min(query.left_ms, aim_ms * ABANDON_FACTOR) * MARGIN:
        return LATE_CREDIT
    return LATE_CREDIT / 2


def _placement(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    plan: _Plan,
) -> Placement:
    lead, *helpers = plan.engines
    needed = tokens.prompt + tokens.max_output
    missing = max(0, needed - lead.memory)
    shares: list[Share] = []
    for engine in sorted(helpers, key=_memory, reverse=True):
        reserved = min(missing, int(engine.memory * RESERVE_SHARE))
        missing -= reserved
        shares.append(Share(endpoint=engine.endpoint, reserved_tokens=reserved))
    whole_ms = plan.first_ms + _write_ms(speed, lead.state, tokens)
    part = whole_prompt(tokens.prompt).part(1 / len(plan.engines))
    job = Job(
        number=0,
        request=query.request,
        endpoint=lead.endpoint.identity,
        reading=part,
        context=tokens.prompt + tokens.expected_output // 2,
        memory=min(needed, lead.memory),
        started=query.now,
        first_at=query.now + plan.first_ms / MS_PER_S,
        end_at=query.now + whole_ms / MS_PER_S,
        pause_ms=query.pause_ms,
        worth=worth_of(tokens),
        due_at=_due_at(query),
    )
    jobs = [job]
    for share in shares:
        jobs.append(
            replace(
                job,
                endpoint=share.endpoint.identity,
                context=0,
                memory=share.reserved_tokens,
                end_at=job.end_at if share.reserved_tokens else job.first_at,
                pause_ms=0,
            )
        )
    return Placement(
        lead=lead.endpoint,
        shares=tuple(shares),
        jobs=tuple(jobs),
        first_ms=plan.first_ms,
        whole_ms=whole_ms,
    )


def _due_at(query: Query) -> float:
    if not query.first_answer_ms:
        return math.inf
    return query.now + query.first_answer_ms * MARGIN / MS_PER_S


def _write_ms(
    speed: EngineSpeed,
    state: EngineState,
    tokens: TokenCounts,
) -> float:
    passes = math.ceil(tokens.expected_output / speed.stride)
    return passes * write_pass_ms(speed, (*state.contexts, tokens.prompt))
