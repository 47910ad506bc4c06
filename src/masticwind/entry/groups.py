"""Prompts beyond one engine's memory: groups of engines that share them.

The shares of a group are reserved all or nothing, in one availability zone
and in order of node name, so that two entries cannot hold parts of two
groups and wait for each other. A reservation is a lease that this entry
renews; whatever was granted is released on every path.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

import anyio

from masticwind.budget import MS_PER_S
from masticwind.engines.base import Done
from masticwind.entry.agent_pool import AgentLink, Inbox
from masticwind.entry.attempts import (
    Attempt,
    Emit,
    ModelRequest,
    run_attempt,
)
from masticwind.entry.predict import Job, Predictor
from masticwind.entry.prompt_shares import Share, cut_prompt
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.protocol.messages import Release, Reserve, Reserved
from masticwind.tracing import Tracer

LEASE_MS: Final = 3000
RESERVE_TIMEOUT_S: Final = 1.0
# Two renewals may be lost before a lease ends.
RENEW_INTERVAL_S: Final = LEASE_MS / MS_PER_S / 3
MAX_SHARES: Final = 8
HINT_MS: Final = 2000


@dataclass(slots=True)
class _Member:
    share: Share
    link: AgentLink
    inbox: Inbox


@dataclass(slots=True)
class _Group:
    req: ModelRequest
    number: int
    generation: int
    members: list[_Member]

    @property
    def key(self) -> tuple[str, int]:
        return self.req.request_id, self.number


class Groups:
    """Runs requests on groups of engines."""

    def __init__(self, predictor: Predictor, tracer: Tracer) -> None:
        self._predictor: Final = predictor
        self._tracer: Final = tracer

    def needed(self, job: Job, links: Sequence[AgentLink]) -> bool:
        """Tell whether `links` serve the model but none can hold the job."""
        need = job.prompt_tokens + job.max_tokens
        totals = [
            link.reported_load.memory_total_tokens
            for link in links
            if link.reported_load is not None
        ]
        return bool(totals) and max(totals) < need

    async def run(
        self,
        req: ModelRequest,
        generation: int,
        links: Sequence[AgentLink],
        emit: Emit,
    ) -> Done | Failure:
        """Reserve a group in one of the zones and run the request on it.

        Returns a `Failure` of a not-run kind if no zone has a whole group
        or the group could not finish in time.
        """
        refusal = Failure(
            kind=ErrorKind.NO_CAPACITY,
            reason='no availability zone has memory for the prompt',
            retry_after_ms=HINT_MS,
        )
        plans = [
            plan_group(req, members) for members in _by_zone(links) if members
        ]
        for number, plan in enumerate(plans):
            if not plan:
                continue
            late = self._too_late(req, plan)
            if late is not None:
                refusal = late
                continue
            group = _open_group(req, number, generation, plan)
            try:
                refused = await _reserve(group)
                if refused is None:
                    return await self._run_group(group, emit)
            finally:
                _release(group)
            refusal = refused
        return refusal

    async def _run_group(self, group: _Group, emit: Emit) -> Done | Failure:
        outcome: Done | Failure = Failure(
            kind=ErrorKind.INTERNAL,
            reason='empty group',
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_renew, group)
            outcome = await self._run_shares(group, emit)
            tasks.cancel_scope.cancel()
        return outcome

    async def _run_shares(self, group: _Group, emit: Emit) -> Done | Failure:
        handles: list[str] = []
        for member in group.members:
            with self._tracer.span(
                'entry.attempt',
                group.req.trace,
                {'attempt': group.number, 'agent': member.link.instance.node},
            ) as span:
                attempt = self._attempt(group, member, handles)
                attempt.req = replace(attempt.req, trace=span.context)
                outcome = await run_attempt(attempt, group.generation, emit)
            if isinstance(outcome, Failure):
                return _after_start(outcome) if handles else outcome
            if member is group.members[-1]:
                return outcome
            if not attempt.handle:
                return Failure(
                    kind=ErrorKind.FAILED_AFTER_START,
                    reason='an agent returned no handle',
                )
            handles.append(attempt.handle)
        return Failure(kind=ErrorKind.INTERNAL, reason='empty group')

    def _attempt(
        self,
        group: _Group,
        member: _Member,
        handles: Sequence[str],
    ) -> Attempt:
        share, req = member.share, group.req
        job = replace(
            req.job,
            prompt_tokens=share.prompt_tokens,
            max_tokens=share.max_tokens,
            prefix=(),
        )
        return Attempt(
            req=replace(
                req,
                job=job,
                prompt=req.prompt[share.start : share.end],
                share_of=' '.join(handles) or '-',
            ),
            number=group.number,
            link=member.link,
            inbox=member.inbox,
            predictor=self._predictor,
            send=self._predictor.sent(
                member.link,
                share.prompt_tokens,
                paid=job.paid,
            ),
        )

    def _too_late(
        self,
        req: ModelRequest,
        plan: Sequence[tuple[AgentLink, Share]],
    ) -> Failure | None:
        seconds = sum(
            self._predictor.predict_s(
                link,
                share.prompt_tokens,
                paid=req.job.paid,
            )
            for link, share in plan
        )
        excess_s = seconds - req.budget.remaining_s()
        if excess_s <= 0:
            return None
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason='no group can finish the request in its time budget',
            retry_after_ms=max(HINT_MS, round(excess_s * MS_PER_S)),
        )


def plan_group(
    req: ModelRequest,
    links: Sequence[AgentLink],
) -> list[tuple[AgentLink, Share]]:
    """Choose the fewest of one zone's agents that can hold the prompt.

    Agents with the most free memory are preferred; the result is in order
    of node name, and empty if the zone is too small.
    """
    roomy = sorted(links, key=_free_tokens, reverse=True)
    for count in range(2, min(MAX_SHARES, len(roomy)) + 1):
        chosen = sorted(
            roomy[:count],
            key=lambda link: link.instance.node,
        )
        shares = cut_prompt(req.prompt, req.job, count)
        plan = list(zip(chosen, shares, strict=False))
        if len(shares) == count and all(
            share.tokens <= _total_tokens(link) for link, share in plan
        ):
            return plan
    return []


def _by_zone(links: Sequence[AgentLink]) -> list[list[AgentLink]]:
    """Return the agents of each zone, the zone with most room first."""
    zones: dict[str, list[AgentLink]] = {}
    for link in links:
        zones.setdefault(link.instance.zone, []).append(link)
    return sorted(
        zones.values(),
        key=lambda members: -sum(map(_free_tokens, members)),
    )


def _open_group(
    req: ModelRequest,
    number: int,
    generation: int,
    plan: Sequence[tuple[AgentLink, Share]],
) -> _Group:
    return _Group(
        req,
        number,
        generation,
        [
            _Member(
                share, link, link.register_attempt((req.request_id, number))
            )
            for link, share in plan
        ],
    )


async def _reserve(group: _Group) -> Failure | None:
    """Reserve all shares in order; stop at the first that is not granted."""
    for member in group.members:
        if not member.link.send(_reserve_message(group, member)):
            return _not_reserved('not connected')
        with anyio.move_on_after(RESERVE_TIMEOUT_S):
            answer = await member.inbox.get()
            if isinstance(answer, Reserved):
                if answer.kind:
                    return _not_reserved(answer.reason)
                continue
        return _not_reserved('an agent does not answer')
    return None


async def _renew(group: _Group) -> None:
    while True:
        await anyio.sleep(RENEW_INTERVAL_S)
        for member in group.members:
            member.link.send(_reserve_message(group, member))


def _release(group: _Group) -> None:
    """Release every share, also one whose answer did not arrive."""
    for member in group.members:
        member.link.send(Release(*group.key, member.share.number))
        member.link.unregister_attempt(group.key)


def _reserve_message(group: _Group, member: _Member) -> Reserve:
    return Reserve(
        *group.key,
        member.share.number,
        member.share.tokens,
        LEASE_MS,
        group.generation,
        group.req.job.paid,
    )


def _not_reserved(reason: str) -> Failure:
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason=f'no group of engines: {reason}',
        retry_after_ms=HINT_MS,
    )


def _after_start(failure: Failure) -> Failure:
    """Return the failure as it is after earlier shares were computed."""
    if not_run(failure.kind):
        return replace(failure, kind=ErrorKind.FAILED_AFTER_START)
    return failure


def _free_tokens(link: AgentLink) -> int:
    return (
        0
        if link.reported_load is None
        else link.reported_load.memory_free_tokens
    )


def _total_tokens(link: AgentLink) -> int:
    return (
        0
        if link.reported_load is None
        else link.reported_load.memory_total_tokens
    )
