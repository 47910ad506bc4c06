"""Runs prompts that exceed one engine's memory on groups of engines.

Either all shares of a prompt are reserved, in one availability zone, or none.
Reservations are made in order of node name, so that two entries cannot deadlock
with a part of a group each. A reservation is a lease that this entry
renews, and releases however the request ends.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Final

import anyio

from masticwind.budget import MS_PER_S
from masticwind.engines.base import Done
from masticwind.entry.agent_pool import AgentLink, Inbox, LinkEvent
from masticwind.entry.attempts import (
    RESUME_TIMEOUT_S,
    Attempt,
    Emit,
    ModelRequest,
    run_attempt,
)
from masticwind.entry.predict import Job, Predictor
from masticwind.entry.prompt_shares import PromptShare, split_prompt
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.protocol.messages import Release, Reserve, Reserved
from masticwind.tracing import Tracer

LEASE_MS: Final = 3000
# Applies while another availability zone can be tried.
RESERVE_TIMEOUT_S: Final = 1.0
# A lease survives the loss of two renewals.
RENEW_INTERVAL_S: Final = LEASE_MS / MS_PER_S / 3
MAX_SHARES: Final = 8
MIN_RETRY_AFTER_MS: Final = 2000


@dataclass(slots=True)
class _Member:
    share: PromptShare
    link: AgentLink
    inbox: Inbox


@dataclass(slots=True)
class _Group:
    req: ModelRequest
    number: int
    generation: int
    members: list[_Member]
    reserved: list[_Member] = field(default_factory=list)

    @property
    def key(self) -> tuple[str, int]:
        return self.req.request_id, self.number


class GroupRunner:
    """Plans and reserves groups of engines and runs requests on them."""

    def __init__(self, predictor: Predictor, tracer: Tracer) -> None:
        self._predictor: Final = predictor
        self._tracer: Final = tracer

    def needs_group(self, job: Job, links: Sequence[AgentLink]) -> bool:
        """Whether `links` serve the model but none has enough memory."""
        needed_tokens = job.prompt_tokens + job.max_tokens
        memory_totals = [
            link.reported_load.memory_total_tokens
            for link in links
            if link.reported_load is not None
        ]
        return bool(memory_totals) and max(memory_totals) < needed_tokens

    async def run(
        self,
        req: ModelRequest,
        generation: int,
        links: Sequence[AgentLink],
        emit: Emit,
    ) -> Done | Failure:
        """Reserve a group in one of the zones and run the request on it.

        Returns a `Failure` of a not-run kind if no zone has enough memory or
        no group could finish in time.
        """
        refusal = Failure(
            kind=ErrorKind.NO_CAPACITY,
            reason='no availability zone has memory for the prompt',
            retry_after_ms=MIN_RETRY_AFTER_MS,
        )
        plans = [
            plan
            for members in _group_by_zone(links)
            if (plan := plan_group(req, members))
        ]
        for number, plan in enumerate(plans):
            too_late = self._check_deadline(req, plan)
            if too_late is not None:
                refusal = too_late
                continue
            timeout_s = RESERVE_TIMEOUT_S
            if number == len(plans) - 1:
                timeout_s = min(RESUME_TIMEOUT_S, req.budget.remaining_s())
            group = _open_group(req, number, generation, plan)
            try:
                outcome = await self._run_group(group, timeout_s, emit)
            finally:
                _release(group)
            if len(group.reserved) == len(plan):
                return outcome
            assert isinstance(outcome, Failure)
            refusal = outcome
        return refusal

    async def _run_group(
        self, group: _Group, timeout_s: float, emit: Emit
    ) -> Done | Failure:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_renew, group)
            refusal = await _reserve(group, timeout_s)
            outcome = refusal or await self._run_shares(group, emit)
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
                attempt = self._open_attempt(group, member, handles)
                attempt.req = replace(attempt.req, trace=span.traceparent)
                outcome = await run_attempt(attempt, group.generation, emit)
            if isinstance(outcome, Failure):
                return _as_failed_after_start(outcome) if handles else outcome
            if member is group.members[-1]:
                return outcome
            if not attempt.cache_handle:
                return Failure(
                    kind=ErrorKind.FAILED_AFTER_START,
                    reason='an agent returned no handle',
                )
            handles.append(attempt.cache_handle)
        return Failure(kind=ErrorKind.INTERNAL, reason='empty group')

    def _open_attempt(
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
            prefix_hashes=(),
        )
        return Attempt(
            req=replace(
                req,
                job=job,
                prompt=req.prompt[share.start : share.end],
                earlier_handles=' '.join(handles) or '-',
            ),
            number=group.number,
            link=member.link,
            inbox=member.inbox,
            predictor=self._predictor,
            send_record=self._predictor.record_send(
                member.link,
                share.prompt_tokens,
                paid=job.paid,
            ),
        )

    def _check_deadline(
        self,
        req: ModelRequest,
        plan: Sequence[tuple[AgentLink, PromptShare]],
    ) -> Failure | None:
        predicted_s = sum(
            self._predictor.predict_ttft_s(
                link,
                share.prompt_tokens,
                paid=req.job.paid,
            )
            for link, share in plan
        )
        excess_s = predicted_s - req.budget.remaining_s()
        if excess_s <= 0:
            return None
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason='no group can finish the request in its time budget',
            retry_after_ms=max(MIN_RETRY_AFTER_MS, round(excess_s * MS_PER_S)),
        )


def plan_group(
    req: ModelRequest,
    links: Sequence[AgentLink],
) -> list[tuple[AgentLink, PromptShare]]:
    """Choose the smallest group of a zone's agents that can hold the prompt.

    Agents with the most free memory are preferred. The result is in order of
    node name; it is empty if the zone has too little memory.
    """
    by_free_memory = sorted(links, key=_free_tokens, reverse=True)
    for count in range(2, min(MAX_SHARES, len(by_free_memory)) + 1):
        chosen = sorted(
            by_free_memory[:count],
            key=lambda link: link.instance.node,
        )
        shares = split_prompt(req.prompt, req.job, count)
        plan = list(zip(chosen, shares, strict=False))
        if len(shares) == count and all(
            share.memory_tokens <= _total_tokens(link) for link, share in plan
        ):
            return plan
    return []


def _group_by_zone(links: Sequence[AgentLink]) -> list[list[AgentLink]]:
    """Return the agents of each zone, most free memory first."""
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
    plan: Sequence[tuple[AgentLink, PromptShare]],
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


async def _reserve(group: _Group, timeout_s: float) -> Failure | None:
    """Reserve the shares in order; stop at the first that is refused.

    The time is for each share. Those that are reserved are renewed meanwhile.
    """
    for member in group.members:
        if not member.link.send(_reserve_message(group, member)):
            return _reservation_failure('not connected')
        answer: Reserved | None = None
        with anyio.move_on_after(timeout_s):
            answer = await _await_reservation(group, member)
        if answer is None:
            return _reservation_failure('an agent does not answer')
        if answer.kind:
            return _reservation_failure(answer.reason)
        group.reserved.append(member)
    return None


async def _await_reservation(group: _Group, member: _Member) -> Reserved:
    while True:
        item = await member.inbox.get()
        if isinstance(item, Reserved):
            return item
        if item is LinkEvent.RESTORED:
            # The last message may be lost; a second one renews the lease.
            member.link.send(_reserve_message(group, member))


async def _renew(group: _Group) -> None:
    while True:
        await anyio.sleep(RENEW_INTERVAL_S)
        for member in group.reserved:
            member.link.send(_reserve_message(group, member))


def _release(group: _Group) -> None:
    """Release every share, also those whose answer did not arrive."""
    for member in group.members:
        member.link.send(Release(*group.key, member.share.number))
        member.link.unregister_attempt(group.key)


def _reserve_message(group: _Group, member: _Member) -> Reserve:
    return Reserve(
        *group.key,
        member.share.number,
        member.share.memory_tokens,
        LEASE_MS,
        group.generation,
        group.req.job.paid,
    )


def _reservation_failure(reason: str) -> Failure:
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason=f'no group of engines: {reason}',
        retry_after_ms=MIN_RETRY_AFTER_MS,
    )


def _as_failed_after_start(failure: Failure) -> Failure:
    """Return the failure of a request whose earlier shares have run."""
    if guarantees_not_run(failure.kind):
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
