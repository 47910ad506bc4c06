"""One attempt of a model request on one agent.

An attempt owns the offer, the body, the revocation and the stream. It never
raises for expected failures, and after it has ended the agent either has
finished, has refused, or has been told to stop.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.budget import Budget
from masticwind.engines.base import Done, Tokens
from masticwind.entry.agent_pool import (
    AgentLink,
    AttemptMessage,
    Inbox,
    LinkEvent,
)
from masticwind.entry.predict import Job, PendingSend, Predictor
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.protocol.messages import (
    BODY_CHUNK_BYTES,
    MAX_INLINE_BODY_BYTES,
    Accepted,
    Body,
    Cancel,
    End,
    Offer,
    Output,
    Refused,
    Reserved,
    Resume,
    Revoke,
    Revoked,
)

OFFER_TIMEOUT_S: Final = 1.0
REVOKE_TIMEOUT_S: Final = 1.0
RESUME_TIMEOUT_S: Final = 5.0
# Without output there is nothing to resume that another agent could not
# repeat; a silent connection is replaced within about this time.
RESTART_TIMEOUT_S: Final = 2.0
# The agent ends a request at its deadline; this lets its answer arrive.
DEADLINE_GRACE_S: Final = 0.25
_KINDS: Final = frozenset(ErrorKind)
_RESTARTED: Final = Failure(
    kind=ErrorKind.FAILED_AFTER_START,
    reason='the agent restarted and lost the request',
)

Emit = Callable[[Tokens], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRequest:
    """A checked model request of a team.

    `share_of` has the handles of the shares before this one of a group, "-"
    for the first, and is empty where one engine has the whole prompt.
    """

    request_id: str
    team: str
    weight: float
    job: Job
    prompt: bytes
    budget: Budget
    trace: str = ''
    share_of: str = ''


@dataclass(slots=True, kw_only=True)
class Attempt:
    """State of one attempt.

    `received` counts the tokens passed on; `handle` names the cache that a
    share of a group has left at its agent.
    """

    req: ModelRequest
    number: int
    link: AgentLink
    inbox: Inbox
    predictor: Predictor
    send: PendingSend
    received: int = 0
    offered: bool = False
    lost: bool = False
    incarnation: str = ''
    handle: str = ''

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt number."""
        return self.req.request_id, self.number

    def wait_s(self, limit: float) -> float:
        """Return for how many seconds to wait for the agent.

        `limit` is the end of the time budget on the event loop's clock.
        """
        left_s = limit - anyio.current_time()
        if not self.lost:
            return left_s
        lost_s = RESUME_TIMEOUT_S if self.received else RESTART_TIMEOUT_S
        return min(left_s, lost_s)


async def run_attempt(
    attempt: Attempt,
    generation: int,
    emit: Emit,
) -> Done | Failure:
    """Offer the request, send its body and relay its stream.

    Cancelling the task, like every end but an answer or a refusal, cancels
    the request at the agent.
    """
    link, job = attempt.link, attempt.req.job
    attempt.incarnation = link.incarnation
    link.outstanding_requests += 1
    link.outstanding_tokens += job.prompt_tokens
    try:
        return await _offer_and_receive(attempt, generation, emit)
    finally:
        link.outstanding_requests -= 1
        link.outstanding_tokens -= job.prompt_tokens
        attempt.predictor.ended(link, attempt.send)
        link.unregister_attempt(attempt.key)
        if attempt.offered:
            link.send(Cancel(*attempt.key))


async def _offer_and_receive(
    attempt: Attempt,
    generation: int,
    emit: Emit,
) -> Done | Failure:
    refusal = await _offer(attempt, generation)
    if refusal is not None:
        return refusal
    outcome = await _receive(attempt, emit)
    if isinstance(outcome, Done):
        attempt.offered = False
    return outcome


async def _offer(attempt: Attempt, generation: int) -> Failure | None:
    offer = _offer_message(attempt, generation)
    attempt.offered = attempt.link.send(offer)
    if not attempt.offered:
        return Failure(kind=ErrorKind.NO_CAPACITY, reason='not connected')
    answer = None
    with anyio.move_on_after(OFFER_TIMEOUT_S):
        answer = await attempt.inbox.get()
        while isinstance(answer, Reserved):
            # A renewed lease is confirmed at any time.
            answer = await attempt.inbox.get()
    if isinstance(answer, Refused):
        attempt.offered = False
        return Failure(
            kind=_refusal_kind(answer.kind),
            reason=answer.reason,
            retry_after_ms=answer.retry_after_ms,
        )
    if not isinstance(answer, Accepted):
        return await _revoke(attempt)
    if offer.body_bytes > len(offer.body):
        await _send_body(attempt, 0)
    return None


def _offer_message(attempt: Attempt, generation: int) -> Offer:
    req = attempt.req
    inline = len(req.prompt) <= MAX_INLINE_BODY_BYTES
    return Offer(
        *attempt.key,
        team=req.team,
        paid=req.job.paid,
        model=req.job.model,
        prompt_tokens=req.job.prompt_tokens,
        max_tokens=req.job.max_tokens,
        timeout_ms=req.budget.remaining_ms(),
        generation=generation,
        body_bytes=len(req.prompt),
        body=req.prompt if inline else b'',
        prefix=req.job.prefix,
        weight=req.weight,
        trace=req.trace,
        share_of=req.share_of,
    )


async def _send_body(attempt: Attempt, offset: int) -> None:
    """Send the body from `offset` on over the present connection.

    If the connection is lost, the agent answers the resume on the next one
    with the offset from which the body goes on.
    """
    prompt, channel = attempt.req.prompt, attempt.link.channel
    if channel is None:
        return
    with anyio.move_on_after(attempt.req.budget.remaining_s()):
        for start in range(offset, len(prompt), BODY_CHUNK_BYTES):
            end = start + BODY_CHUNK_BYTES
            chunk = prompt[start:end]
            last = end >= len(prompt)
            if not await channel.send_bulk(
                Body(*attempt.key, chunk, last, start),
            ):
                return


async def _revoke(attempt: Attempt) -> Failure:
    """Withdraw an attempt whose fate is unclear."""
    with anyio.move_on_after(REVOKE_TIMEOUT_S):
        attempt.link.send(Revoke(*attempt.key))
        while True:
            answer = await attempt.inbox.get()
            if answer is LinkEvent.RESTORED:
                attempt.link.send(Revoke(*attempt.key))
            if not isinstance(answer, Revoked):
                continue
            attempt.offered = False
            if attempt.link.incarnation != attempt.incarnation:
                return _RESTARTED
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


async def _receive(attempt: Attempt, emit: Emit) -> Done | Failure:
    deadline_s = attempt.req.budget.remaining_s() + DEADLINE_GRACE_S
    limit = anyio.current_time() + deadline_s
    while True:
        item = None
        with anyio.move_on_after(attempt.wait_s(limit)):
            item = await attempt.inbox.get()
        if item is None:
            return _no_answer(lost=attempt.lost)
        if isinstance(item, End):
            return _end_event(attempt, item)
        if isinstance(item, LinkEvent):
            _resume(attempt, item)
        elif isinstance(item, Accepted):
            await _send_body(attempt, item.body_received)
        elif not await _pass_in_time(attempt, item, emit, limit):
            return _no_answer(lost=False)


def _resume(attempt: Attempt, event: LinkEvent) -> None:
    """Follow a connection event; a restarted agent may adopt the stream."""
    attempt.lost = event is LinkEvent.LOST
    if event is LinkEvent.RESTORED:
        attempt.link.send(
            Resume(
                *attempt.key,
                attempt.received,
                attempt.req.budget.remaining_ms(),
            )
        )


async def _pass_in_time(
    attempt: Attempt,
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


async def _pass_on(attempt: Attempt, item: Output, emit: Emit) -> None:
    if item.offset > attempt.received:
        return
    fresh = item.tokens[attempt.received - item.offset :]
    if not fresh:
        return
    if not attempt.received:
        attempt.predictor.first_token(attempt.link, attempt.send)
    tokens = Tokens(attempt.received, fresh)
    attempt.received += len(fresh)
    await emit(tokens)


def _no_answer(*, lost: bool) -> Failure:
    if lost:
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason='the agent is unreachable',
        )
    return Failure(kind=ErrorKind.TIMED_OUT, reason='time budget is used up')


def _end_event(attempt: Attempt, end: End) -> Done | Failure:
    if end.kind:
        return Failure(kind=_end_kind(attempt, end), reason=end.reason)
    if end.count != attempt.received:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'{attempt.received} of {end.count} tokens arrived',
        )
    attempt.handle = end.reason
    return Done(end.count, end.cached_tokens)


def _end_kind(attempt: Attempt, end: End) -> ErrorKind:
    """Return a kind that is true for an accepted attempt."""
    if end.kind == ErrorKind.NOT_FOUND:
        # A restarted agent does not know what it ran before.
        return ErrorKind.OUTCOME_UNKNOWN
    if end.kind not in _KINDS:
        return ErrorKind.OUTCOME_UNKNOWN
    kind = ErrorKind(end.kind)
    if not_run(kind) and max(attempt.received, end.count):
        return ErrorKind.FAILED_AFTER_START
    return kind


def _refusal_kind(text: str) -> ErrorKind:
    """Return the kind of a refusal, also of a newer release."""
    if text in _KINDS and not_run(ErrorKind(text)):
        return ErrorKind(text)
    return ErrorKind.NO_CAPACITY
