"""Sends one attempt of a service call to an agent and awaits the result."""

import math
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.budget import Budget
from masticwind.entry.agent_pool import (
    AgentLink,
    AttemptMessage,
    Inbox,
    LinkEvent,
)
from masticwind.entry.handover import Turn
from masticwind.entry.stop import ActiveRequest
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.protocol.messages import Call, CallResult, Resume

# A connection that is lost for longer is not replaced in time.
RECONNECT_TIMEOUT_S: Final = 5.0
# Time for the agent's result to arrive: the agent ends a call at its deadline.
DEADLINE_GRACE_S: Final = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """A validated call of a plain service."""

    request_id: str
    service: str
    team: str
    paid: bool
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    budget: Budget
    active: ActiveRequest
    trace: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAttempt:
    """One attempt to execute a call; a non-repeatable call has a claim."""

    call: ServiceCall
    number: int
    config_generation: int
    claim_token: str = ''
    fencing_token: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """The request id and attempt number, as in messages."""
        return self.call.request_id, self.number


async def send_attempt(
    link: AgentLink,
    attempt: CallAttempt,
    turn: Turn,
) -> CallResult | Failure:
    """Send an attempt once and wait for its result within the time budget.

    A repeatable call is sent again on a new connection. The agent makes it
    only once. A `Failure` is of a not-run kind if nothing was sent or the
    agent refused the call; otherwise the call may have run.
    """
    active = attempt.call.active
    inbox = link.register_attempt(attempt.key)
    try:
        if not link.send(_call_message(attempt)):
            return Failure(
                kind=ErrorKind.NO_CAPACITY, reason='the agent is not connected'
            )
        active.uncertain_attempts += 1
        outcome = await _await_result(link, inbox, attempt, turn)
    finally:
        link.unregister_attempt(attempt.key)
    if isinstance(outcome, Failure) and guarantees_not_run(outcome.kind):
        active.uncertain_attempts -= 1
    return outcome


def _call_message(attempt: CallAttempt) -> Call:
    call = attempt.call
    return Call(
        *attempt.key,
        team=call.team,
        paid=call.paid,
        method=call.method,
        path=call.target,
        headers=call.headers,
        body=call.body,
        timeout_ms=call.budget.remaining_ms(),
        generation=attempt.config_generation,
        claim=attempt.claim_token,
        fencing=attempt.fencing_token,
        trace=call.trace,
    )


async def _await_result(
    link: AgentLink,
    inbox: Inbox,
    attempt: CallAttempt,
    turn: Turn,
) -> CallResult | Failure:
    budget_ends_at = (
        anyio.current_time()
        + attempt.call.budget.remaining_s()
        + DEADLINE_GRACE_S
    )
    lost_at = anyio.current_time() if link.silent else math.inf
    while True:
        event: AttemptMessage | LinkEvent | None = None
        ends_at = budget_ends_at
        if not attempt.claim_token:
            ends_at = min(ends_at, lost_at + RECONNECT_TIMEOUT_S)
        with anyio.CancelScope(deadline=ends_at):
            event = await inbox.get()
        if event is None:
            return _timeout_failure(link_lost=not math.isinf(lost_at))
        if isinstance(event, CallResult):
            return _result_or_failure(event)
        if event is LinkEvent.LOST:
            lost_at = anyio.current_time()
            turn.report_silence()
        elif event is LinkEvent.RESTORED:
            lost_at = math.inf
            turn.report_sign_of_life()
            _send_again(link, attempt)


def _send_again(link: AgentLink, attempt: CallAttempt) -> None:
    if attempt.claim_token:
        link.send(Resume(*attempt.key, 0))
    else:
        link.send(_call_message(attempt))


def _timeout_failure(*, link_lost: bool) -> Failure:
    if link_lost:
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason='the agent is unreachable',
        )
    return Failure(
        kind=ErrorKind.TIMED_OUT, reason='the time budget is used up'
    )


def _result_or_failure(result: CallResult) -> CallResult | Failure:
    if not result.kind:
        return result
    try:
        kind = ErrorKind(result.kind)
    except ValueError:
        kind = ErrorKind.OUTCOME_UNKNOWN
    return Failure(kind=kind, reason=result.reason)
