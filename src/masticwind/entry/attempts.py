"""One attempt of a model request on one agent.

An attempt sends the offer and the body, revokes the offer if needed, and
receives the stream. Expected failures are returned, not raised. When an attempt
ends, the agent has finished or refused the request or has been sent a `Cancel`
or `Revoke`. An agent that is silent does not end the attempt before the
request's deadline while its connection may be replaced.
"""

import math
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
from masticwind.entry.handover import OnlyTurn, Turn
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

# After these times another agent may take the request, if there is no output:
# without an answer to the offer, and without a connection to the agent. A
# silent connection is replaced in about the latter time.
OFFER_TIMEOUT_S: Final = 1.0
RESTART_TIMEOUT_S: Final = 2.0
# An agent stops a request whose connection is lost in about this time.
RESUME_TIMEOUT_S: Final = 5.0
REVOKE_TIMEOUT_S: Final = 1.0
# The agent ends a request at its deadline; its answer arrives a little later.
DEADLINE_GRACE_S: Final = 0.25
_KINDS: Final = frozenset(ErrorKind)
_RESTARTED: Final = Failure(
    kind=ErrorKind.FAILED_AFTER_START,
    reason='the agent restarted and lost the request',
)
_UNREACHABLE: Final = Failure(
    kind=ErrorKind.OUTCOME_UNKNOWN,
    reason='the agent is unreachable',
)
_TIMED_OUT: Final = Failure(
    kind=ErrorKind.TIMED_OUT,
    reason='time budget is used up',
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
    """State of one attempt, which counts as outstanding at its agent.

    `received_tokens` counts the tokens passed to the caller. `may_be_held`
    is true while the agent may have the request, so that it must be
    cancelled, and `answered` once it has answered the offer. `ends_at`,
    `silence_due` and `lost_at` are times of the event loop's clock: the
    deadline, when the silence of the agent is reported next, and when its
    connection was lost. `cache_handle` names the cache that the share of a
    prompt has left at its agent. `crashed_engine` is the boot id of an engine
    that has crashed under the request, and `answer_begun` tells whether it had
    begun to answer.
    """

    req: ModelRequest
    number: int
    link: AgentLink
    inbox: Inbox
    predictor: Predictor
    send_record: SendRecord
    received_tokens: int = 0
    turn: Turn = field(default_factory=OnlyTurn)
    may_be_held: bool = False
    answered: bool = False
    ends_at: float = math.inf
    silence_due: float = math.inf
    lost_at: float = math.inf
    incarnation: str = ''
    cache_handle: str = ''
    crashed_engine: str = ''
    answer_begun: bool = False

    def __post_init__(self) -> None:
        # Other requests are placed before the attempt is sent.
        self.link.outstanding_requests += 1
        self.link.outstanding_tokens += self.req.job.prompt_tokens

    @property
    def key(self) -> tuple[str, int]:
        """The request id and attempt number, as in messages."""
        return self.req.request_id, self.number

    def record_link_event(self, event: LinkEvent) -> None:
        """Record that the connection to the agent is lost or restored."""
        if event is LinkEvent.LOST:
            self.lost_at = anyio.current_time()
            self.silence_due = self.lost_at + RESTART_TIMEOUT_S
            return
        self.record_sign_of_life()

    def record_sign_of_life(self) -> None:
        """Record that the agent is not silent."""
        self.lost_at = math.inf
        self.silence_due = math.inf
        self.turn.report_sign_of_life()

    async def next_item(self) -> AttemptMessage | LinkEvent | None:
        """Wait for the agent and report its silence; none if time is over."""
        while True:
            ends_at = min(self.ends_at, self.lost_at + RESUME_TIMEOUT_S)
            with anyio.CancelScope(deadline=min(ends_at, self.silence_due)):
                return await self.inbox.get()
            if anyio.current_time() >= ends_at:
                return None
            self.turn.report_silence()
            self.silence_due += OFFER_TIMEOUT_S


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
    active.uncertain_attempts += 1
    attempt.incarnation = link.incarnation
    attempt.ends_at = (
        anyio.current_time()
        + attempt.req.budget.remaining_s()
        + DEADLINE_GRACE_S
    )
    try:
        outcome = await _offer_and_receive(attempt, generation, emit)
    finally:
        link.outstanding_requests -= 1
        link.outstanding_tokens -= job.prompt_tokens
        attempt.predictor.record_end(link, attempt.send_record)
        if attempt.may_be_held:
            # A revoked offer is refused also if it arrives later.
            end = Cancel if attempt.answered else Revoke
            link.send(end(*attempt.key))
        link.unregister_attempt(attempt.key)
    if isinstance(outcome, Failure) and guarantees_not_run(outcome.kind):
        active.uncertain_attempts -= 1
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
    answer = await _await_offer_answer(attempt, generation)
    if isinstance(answer, Refused):
        attempt.may_be_held = False
        return Failure(
            kind=_refusal_kind(answer.kind),
            reason=answer.reason,
            retry_after_ms=answer.retry_after_ms,
        )
    if not isinstance(answer, Accepted):
        return await _revoke(attempt)
    attempt.answered = True
    attempt.record_sign_of_life()
    if offer.body_bytes > len(offer.body):
        await _send_body(attempt, 0)
    return None


async def _await_offer_answer(
    attempt: Attempt, generation: int
) -> AttemptMessage | None:
    """Wait for the answer to an offer; none if it can no longer come.

    The offer is repeated on a new connection, as it may be lost on the last
    one. The agent runs it only once.
    """
    attempt.silence_due = anyio.current_time() + OFFER_TIMEOUT_S
    if attempt.link.silent:
        attempt.lost_at = anyio.current_time()
    while True:
        item = await attempt.next_item()
        if item is LinkEvent.RESTORED:
            if attempt.link.incarnation != attempt.incarnation:
                return None
            attempt.link.send(_offer_message(attempt, generation))
        if isinstance(item, LinkEvent):
            attempt.record_link_event(item)
        # The answer to a renewed reservation may arrive at any time.
        elif not isinstance(item, Reserved):
            return item


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
    """Revoke an offer that was not answered, or by another agent process."""
    ends_at = min(attempt.ends_at, anyio.current_time() + REVOKE_TIMEOUT_S)
    with anyio.CancelScope(deadline=ends_at):
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
    while True:
        item = await attempt.next_item()
        if item is None:
            return _TIMED_OUT if math.isinf(attempt.lost_at) else _UNREACHABLE
        if isinstance(item, End):
            return _end_outcome(attempt, item)
        if isinstance(item, LinkEvent):
            _handle_link_event(attempt, item)
        elif isinstance(item, Accepted):
            await _send_body(attempt, item.body_received)
        elif not await _emit_before(attempt, item, emit):
            return _TIMED_OUT


def _handle_link_event(attempt: Attempt, event: LinkEvent) -> None:
    """Record a lost connection, or resume the stream on a new one."""
    attempt.record_link_event(event)
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
) -> bool:
    """Emit new tokens; false if the caller does not read them in time."""
    if not isinstance(item, Output):
        return True
    if item.silent:
        attempt.turn.report_silence()
        return True
    with anyio.CancelScope(deadline=attempt.ends_at):
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
        await attempt.turn.take_over()
        attempt.predictor.record_first_token(attempt.link, attempt.send_record)
    tokens = Tokens(attempt.received_tokens, new_tokens)
    attempt.received_tokens += len(new_tokens)
    await emit(tokens)


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
