"""One attempt of a model request on one agent.

An attempt sends the offer and the body, revokes the offer if needed, and
receives the stream. Expected failures are returned, not raised. When an attempt
ends, the agent has finished or refused the request or has been sent a `Cancel`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
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
from masticwind.entry.predict import Job, Predictor, SendRecord
from masticwind.entry.stop import ActiveRequest
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
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
from masticwind.serving.fingerprints import RequestFingerprint

OFFER_TIMEOUT_S: Final = 1.0
REVOKE_TIMEOUT_S: Final = 1.0
RESUME_TIMEOUT_S: Final = 5.0
# Replaces `RESUME_TIMEOUT_S` while no output has arrived, since another agent
# can then repeat the request. A silent connection is replaced in about this
# time.
RESTART_TIMEOUT_S: Final = 2.0
# The agent ends a request at its deadline; its answer arrives a little later.
DEADLINE_GRACE_S: Final = 0.25
_KINDS: Final = frozenset(ErrorKind)
_RESTARTED: Final = Failure(
    kind=ErrorKind.FAILED_AFTER_START,
    reason='the agent restarted and lost the request',
)

NO_FINGERPRINT: Final = RequestFingerprint()

Emit = Callable[[Tokens], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRequest:
    """A validated model request of a team.

    For a share of a prompt, `earlier_handles` has the cache handles of the
    earlier shares, separated by spaces, or "-" for the first share. It is
    empty if one engine gets the whole prompt. `fingerprint` has the keys under
    which crashes of engines are counted. `active` is what a stop of the entry
    knows of the request.
    """

    request_id: str
    team: str
    weight: float
    job: Job
    prompt: bytes
    budget: Budget
    trace: str = ''
    earlier_handles: str = ''
    fingerprint: RequestFingerprint = NO_FINGERPRINT
    active: ActiveRequest = field(default_factory=ActiveRequest, compare=False)


@dataclass(slots=True, kw_only=True)
class Attempt:
    """State of one attempt.

    `received_tokens` counts the tokens passed to the caller. `may_be_held`
    is true while the agent may have the request, so that it must be
    cancelled. `cache_handle` names the cache that the share of a prompt has
    left at its agent. `crashed_engine` is the boot id of an engine that has
    crashed under the request, and `answer_begun` tells whether it had begun
    to answer.
    """

    req: ModelRequest
    number: int
    link: AgentLink
    inbox: Inbox
    predictor: Predictor
    send_record: SendRecord
    received_tokens: int = 0
    may_be_held: bool = False
    connection_lost: bool = False
    incarnation: str = ''
    cache_handle: str = ''
    crashed_engine: str = ''
    answer_begun: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """The request id and attempt number, as in messages."""
        return self.req.request_id, self.number

    def wait_s(self, deadline: float) -> float:
        """Return for how many seconds to wait for the agent.

        `deadline` is the end of the time budget on the event loop's clock.
        """
        remaining_s = deadline - anyio.current_time()
        if not self.connection_lost:
            return remaining_s
        reconnect_timeout_s = (
            RESUME_TIMEOUT_S if self.received_tokens else RESTART_TIMEOUT_S
        )
        return min(remaining_s, reconnect_timeout_s)


async def run_attempt(
    attempt: Attempt,
    generation: int,
    emit: Emit,
) -> Done | Failure:
    """Offer the request, send its body and relay its stream.

    Unless the agent has finished or refused the request, it is cancelled at
    the agent, also if this task is cancelled.
    """
    link, job = attempt.link, attempt.req.job
    active = attempt.req.active
    has_run_before = active.may_have_run
    active.may_have_run = True
    attempt.incarnation = link.incarnation
    link.outstanding_requests += 1
    link.outstanding_tokens += job.prompt_tokens
    try:
        outcome = await _offer_and_receive(attempt, generation, emit)
    finally:
        link.outstanding_requests -= 1
        link.outstanding_tokens -= job.prompt_tokens
        attempt.predictor.record_end(link, attempt.send_record)
        link.unregister_attempt(attempt.key)
        if attempt.may_be_held:
            link.send(Cancel(*attempt.key))
    if isinstance(outcome, Failure) and guarantees_not_run(outcome.kind):
        active.may_have_run = has_run_before
    return outcome


async def _offer_and_receive(
    attempt: Attempt,
    generation: int,
    emit: Emit,
) -> Done | Failure:
    refusal = await _send_offer(attempt, generation)
    if refusal is not None:
        return refusal
    outcome = await _receive(attempt, emit)
    if isinstance(outcome, Done):
        attempt.may_be_held = False
    return outcome


async def _send_offer(attempt: Attempt, generation: int) -> Failure | None:
    offer = _offer_message(attempt, generation)
    attempt.may_be_held = attempt.link.send(offer)
    if not attempt.may_be_held:
        return Failure(kind=ErrorKind.NO_CAPACITY, reason='not connected')
    answer = None
    with anyio.move_on_after(OFFER_TIMEOUT_S):
        answer = await attempt.inbox.get()
        while isinstance(answer, Reserved):
            # The answer to a renewed reservation may arrive at any time.
            answer = await attempt.inbox.get()
    if isinstance(answer, Refused):
        attempt.may_be_held = False
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
    budget = req.active.limit_budget(req.budget)
    inline = len(req.prompt) <= MAX_INLINE_BODY_BYTES
    return Offer(
        *attempt.key,
        team=req.team,
        paid=req.job.paid,
        model=req.job.model,
        prompt_tokens=req.job.prompt_tokens,
        max_tokens=req.job.max_tokens,
        timeout_ms=budget.remaining_ms(),
        generation=generation,
        body_bytes=len(req.prompt),
        body=req.prompt if inline else b'',
        prefix=req.job.prefix_hashes,
        weight=req.weight,
        trace=req.trace,
        share_of=req.earlier_handles,
    )


async def _send_body(attempt: Attempt, offset: int) -> None:
    """Send the body from `offset` on over the current connection.

    If the connection is lost, the agent answers the `Resume` on the next one
    with the offset at which the body continues.
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
    """Revoke an offer whose answer did not arrive in time."""
    with anyio.move_on_after(REVOKE_TIMEOUT_S):
        attempt.link.send(Revoke(*attempt.key))
        while True:
            answer = await attempt.inbox.get()
            if answer is LinkEvent.RESTORED:
                attempt.link.send(Revoke(*attempt.key))
            if not isinstance(answer, Revoked):
                continue
            attempt.may_be_held = False
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
    timeout_s = attempt.req.budget.remaining_s() + DEADLINE_GRACE_S
    deadline = anyio.current_time() + timeout_s
    while True:
        item = None
        with anyio.move_on_after(attempt.wait_s(deadline)):
            item = await attempt.inbox.get()
        if item is None:
            return _timeout_failure(connection_lost=attempt.connection_lost)
        if isinstance(item, End):
            return _end_outcome(attempt, item)
        if isinstance(item, LinkEvent):
            _handle_link_event(attempt, item)
        elif isinstance(item, Accepted):
            await _send_body(attempt, item.body_received)
        elif not await _emit_before(attempt, item, emit, deadline):
            return _timeout_failure(connection_lost=False)


def _handle_link_event(attempt: Attempt, event: LinkEvent) -> None:
    """Record a lost connection, or resume the stream on a new one."""
    attempt.connection_lost = event is LinkEvent.LOST
    if event is LinkEvent.RESTORED:
        attempt.link.send(
            Resume(
                *attempt.key,
                attempt.received_tokens,
                attempt.req.budget.remaining_ms(),
            )
        )


async def _emit_before(
    attempt: Attempt,
    item: AttemptMessage,
    emit: Emit,
    deadline: float,
) -> bool:
    """Emit new tokens; false if the caller does not read them in time."""
    if not isinstance(item, Output):
        return True
    with anyio.move_on_after(deadline - anyio.current_time()):
        await _emit_new_tokens(attempt, item, emit)
        return True
    return False


async def _emit_new_tokens(attempt: Attempt, item: Output, emit: Emit) -> None:
    if item.offset > attempt.received_tokens:
        return
    new_tokens = item.tokens[attempt.received_tokens - item.offset :]
    if not new_tokens:
        return
    if not attempt.received_tokens:
        attempt.predictor.record_first_token(attempt.link, attempt.send_record)
    tokens = Tokens(attempt.received_tokens, new_tokens)
    attempt.received_tokens += len(new_tokens)
    await emit(tokens)


def _timeout_failure(*, connection_lost: bool) -> Failure:
    if connection_lost:
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason='the agent is unreachable',
        )
    return Failure(kind=ErrorKind.TIMED_OUT, reason='time budget is used up')


def _end_outcome(attempt: Attempt, end: End) -> Done | Failure:
    attempt.crashed_engine = end.crashed_engine
    attempt.answer_begun = end.answer_begun
    if end.kind:
        return Failure(kind=_end_kind(attempt, end), reason=end.reason)
    if end.count != attempt.received_tokens:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'{attempt.received_tokens} of {end.count} tokens arrived',
        )
    attempt.cache_handle = end.reason
    return Done(end.count, end.cached_tokens)


def _end_kind(attempt: Attempt, end: End) -> ErrorKind:
    """Return the kind of failure of an accepted attempt.

    It is a not-run kind only if the request has generated no tokens.
    """
    if end.kind == ErrorKind.NOT_FOUND:
        # A restarted agent does not know which requests it ran before.
        return ErrorKind.OUTCOME_UNKNOWN
    if end.kind not in _KINDS:
        return ErrorKind.OUTCOME_UNKNOWN
    kind = ErrorKind(end.kind)
    if guarantees_not_run(kind) and max(attempt.received_tokens, end.count):
        return ErrorKind.FAILED_AFTER_START
    return kind


def _refusal_kind(text: str) -> ErrorKind:
    """Return the kind of a refusal; newer agents may send unknown kinds."""
    if text in _KINDS and guarantees_not_run(ErrorKind(text)):
        return ErrorKind(text)
    return ErrorKind.NO_CAPACITY
