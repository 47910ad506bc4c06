"""Runs a model request on an agent and relays its stream."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.budget import Budget
from masticwind.config.current import CurrentConfig
from masticwind.engines.base import Done, Tokens
from masticwind.entry.peers import (
    AgentLink,
    AgentPool,
    AttemptMessage,
    Inbox,
    LinkEvent,
)
from masticwind.entry.router import Job, Router
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.protocol.messages import (
    CHUNK_BYTES,
    INLINE_BODY_BYTES,
    Accepted,
    Body,
    Cancel,
    End,
    Load,
    Offer,
    Output,
    Refused,
    Resume,
    Revoke,
    Revoked,
)

OFFER_TIMEOUT_S: Final = 1.0
REVOKE_TIMEOUT_S: Final = 1.0
RESUME_TIMEOUT_S: Final = 5.0
MAX_ATTEMPTS: Final = 4
# The agent ends a request at its deadline; this lets its answer arrive.
DEADLINE_GRACE_S: Final = 0.25
_SERVING: Final = ('serving', 'cold')

Emit = Callable[[Tokens], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRequest:
    """A checked model request of a team."""

    request_id: str
    team: str
    weight: float
    job: Job
    prompt: bytes
    budget: Budget
    trace: str = ''


@dataclass(slots=True)
class _Attempt:
    req: ModelRequest
    number: int
    link: AgentLink
    inbox: Inbox
    incarnation: str
    received: int = 0
    offered: bool = False
    lost: bool = False

    @property
    def key(self) -> tuple[str, int]:
        return self.req.request_id, self.number


class Relay:
    """Runs requests over the pool of agents."""

    def __init__(
        self,
        pool: AgentPool,
        router: Router,
        config: CurrentConfig,
    ) -> None:
        self._pool: Final = pool
        self._router: Final = router
        self._config: Final = config

    async def run(self, req: ModelRequest, emit: Emit) -> Done | Failure:
        """Run a request and pass its tokens to `emit` as they arrive.

        If the caller leaves, cancel the task: the agent is then told.
        """
        refusal = Failure(
            kind=ErrorKind.NO_CAPACITY,
            reason='no endpoint can take the request',
            retry_after_ms=1000,
        )
        tried: set[AgentLink] = set()
        ran: Failure | None = None
        for number in range(MAX_ATTEMPTS):
            links = self._candidates(req.job, tried)
            if not links or req.budget.expired():
                break
            link = self._router.choose(req.job, links)
            tried.add(link)
            attempt = _Attempt(
                req,
                number,
                link,
                link.open(
                    (req.request_id, number),
                ),
                link.incarnation,
            )
            outcome = await self._run_attempt(attempt, emit)
            if isinstance(outcome, Done) or not _retryable(outcome, attempt):
                return outcome
            refusal = outcome
            if not not_run(outcome.kind):
                ran = outcome
        # A later refusal must not hide that an earlier attempt may have run.
        return refusal if ran is None else ran

    def _candidates(
        self,
        job: Job,
        tried: set[AgentLink],
    ) -> Sequence[AgentLink]:
        found: list[AgentLink] = []
        for link in self._pool.links:
            if link in tried or not self._may_serve(link):
                continue
            if not _fits(job, link.load_view):
                continue
            found.append(link)
        return found

    def _may_serve(self, link: AgentLink) -> bool:
        load = link.load_view
        if load is None or not link.connected or link.leaving:
            return False
        if load.state not in _SERVING:
            return False
        return self._config.zone_in_service(link.instance.zone)

    async def _run_attempt(
        self,
        attempt: _Attempt,
        emit: Emit,
    ) -> Done | Failure:
        link, job = attempt.link, attempt.req.job
        link.outstanding += 1
        link.outstanding_tokens += job.prompt_tokens
        finished = False
        try:
            refusal = await self._offer(attempt)
            if refusal is None:
                outcome = await self._receive(attempt, emit)
                finished = isinstance(outcome, Done)
                return outcome
            return refusal
        finally:
            link.outstanding -= 1
            link.outstanding_tokens -= job.prompt_tokens
            link.close(attempt.key)
            if attempt.offered and not finished:
                link.send(Cancel(*attempt.key))

    async def _offer(self, attempt: _Attempt) -> Failure | None:
        req, link = attempt.req, attempt.link
        inline = len(req.prompt) <= INLINE_BODY_BYTES
        sent = link.send(
            Offer(
                *attempt.key,
                team=req.team,
                paid=req.job.paid,
                model=req.job.model,
                prompt_tokens=req.job.prompt_tokens,
                max_tokens=req.job.max_tokens,
                timeout_ms=req.budget.remaining_ms(),
                generation=self._config.number,
                body_bytes=len(req.prompt),
                body=req.prompt if inline else b'',
                prefix=req.job.prefix,
                weight=req.weight,
                trace=req.trace,
            )
        )
        if not sent:
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='not connected')
        attempt.offered = True
        answer = None
        with anyio.move_on_after(OFFER_TIMEOUT_S):
            answer = await attempt.inbox.get()
        if isinstance(answer, Refused):
            attempt.offered = False
            return Failure(
                kind=ErrorKind(answer.kind),
                reason=answer.reason,
                retry_after_ms=answer.retry_after_ms,
            )
        if not isinstance(answer, Accepted):
            return await self._revoke(attempt)
        if not inline:
            await self._send_body(attempt, 0)
        return None

    async def _send_body(self, attempt: _Attempt, offset: int) -> None:
        """Send the body from `offset` on over the present connection.

        If the connection is lost, the agent answers the resume on the next
        one with the offset from which the body goes on.
        """
        prompt, channel = attempt.req.prompt, attempt.link.channel
        if channel is None:
            return
        with anyio.move_on_after(attempt.req.budget.remaining_s()):
            for start in range(offset, len(prompt), CHUNK_BYTES):
                end = start + CHUNK_BYTES
                chunk = prompt[start:end]
                last = end >= len(prompt)
                if not await channel.send_bulk(
                    Body(*attempt.key, chunk, last, start),
                ):
                    return

    async def _revoke(self, attempt: _Attempt) -> Failure:
        """Withdraw an attempt whose fate is unclear."""
        with anyio.move_on_after(REVOKE_TIMEOUT_S):
            attempt.link.send(Revoke(*attempt.key))
            while True:
                answer = await attempt.inbox.get()
                if answer is LinkEvent.RESTORED:
                    attempt.link.send(Revoke(*attempt.key))
                if not isinstance(answer, Revoked):
                    continue
                if attempt.link.incarnation != attempt.incarnation:
                    return _restarted()
                if answer.started:
                    return Failure(
                        kind=ErrorKind.FAILED_AFTER_START,
                        reason='revoked',
                    )
                return Failure(kind=ErrorKind.REVOKED, reason='revoked')
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason='the agent does not answer',
        )

    async def _receive(
        self,
        attempt: _Attempt,
        emit: Emit,
    ) -> Done | Failure:
        deadline_s = attempt.req.budget.remaining_s() + DEADLINE_GRACE_S
        limit = anyio.current_time() + deadline_s
        while True:
            item = None
            wait_s = limit - anyio.current_time()
            with anyio.move_on_after(
                min(wait_s, RESUME_TIMEOUT_S) if attempt.lost else wait_s,
            ):
                item = await attempt.inbox.get()
            if item is None:
                return _no_answer(lost=attempt.lost)
            if isinstance(item, End):
                return _end_event(attempt, item)
            if isinstance(item, LinkEvent):
                if not _resume(attempt, item):
                    return _restarted()
            elif isinstance(item, Accepted):
                await self._send_body(attempt, item.body_received)
            elif not await _pass_in_time(attempt, item, emit, limit):
                return _no_answer(lost=False)


def _resume(attempt: _Attempt, event: LinkEvent) -> bool:
    """Follow a connection event; false if the agent has lost its state."""
    if attempt.link.incarnation != attempt.incarnation:
        return False
    attempt.lost = event is LinkEvent.LOST
    if event is LinkEvent.RESTORED:
        attempt.link.send(Resume(*attempt.key, attempt.received))
    return True


def _fits(job: Job, load: Load | None) -> bool:
    if load is None or job.model not in load.models:
        return False
    return job.prompt_tokens + job.max_tokens <= load.memory_total_tokens


async def _pass_in_time(
    attempt: _Attempt,
    item: AttemptMessage,
    emit: Emit,
    limit: float,
) -> bool:
    """Pass tokens on; false if the caller does not read them in time."""
    if not isinstance(item, Output):
        return True
    with anyio.move_on_after(limit - anyio.current_time()):
        await _pass_on(attempt, item, emit)
        return True
    return False


async def _pass_on(attempt: _Attempt, item: Output, emit: Emit) -> None:
    if item.offset > attempt.received:
        return
    fresh = item.tokens[attempt.received - item.offset :]
    if not fresh:
        return
    tokens = Tokens(attempt.received, fresh)
    attempt.received += len(fresh)
    await emit(tokens)


def _restarted() -> Failure:
    return Failure(
        kind=ErrorKind.FAILED_AFTER_START,
        reason='the agent restarted and lost the request',
    )


def _no_answer(*, lost: bool) -> Failure:
    if lost:
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason='the agent is unreachable',
        )
    return Failure(kind=ErrorKind.TIMED_OUT, reason='time budget is used up')


def _end_event(attempt: _Attempt, end: End) -> Done | Failure:
    if end.kind == ErrorKind.NOT_FOUND:
        return _restarted()
    if end.kind:
        return Failure(kind=ErrorKind(end.kind), reason=end.reason)
    if end.count != attempt.received:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'{attempt.received} of {end.count} tokens arrived',
        )
    return Done(end.count, end.cached_tokens)


def _retryable(failure: Failure, attempt: _Attempt) -> bool:
    """Model requests have no effects, so one without output may move."""
    if attempt.received or attempt.req.budget.expired():
        return False
    return failure.kind not in (ErrorKind.BAD_REQUEST, ErrorKind.TIMED_OUT)
