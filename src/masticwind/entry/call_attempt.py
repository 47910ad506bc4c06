"""Sends one call to one agent and waits for its result."""

from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.budget import Budget
from masticwind.entry.peers import AgentLink, Inbox, LinkEvent
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import Call, CallResult, Resume

# The agent ends a call at its deadline; this lets its answer arrive.
DEADLINE_GRACE_S: Final = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """A checked call of a plain service."""

    request_id: str
    service: str
    team: str
    paid: bool
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    budget: Budget
    trace: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAttempt:
    """One attempt: where a call goes and under which claim."""

    call: ServiceCall
    attempt: int
    generation: int
    claim: str = ''
    fencing: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt."""
        return self.call.request_id, self.attempt


async def send_call(
    link: AgentLink, sending: CallAttempt
) -> CallResult | Failure:
    """Send a call once and wait for its result within its time budget.

    Returns a `Failure` of a not-run kind if nothing was sent or the agent
    refused; otherwise a failure says that the call may have run.
    """
    inbox = link.open(sending.key)
    link.outstanding += 1
    try:
        if not link.send(_message(sending)):
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='not connected')
        return await _receive(link, inbox, sending)
    finally:
        link.outstanding -= 1
        link.close(sending.key)


def _message(sending: CallAttempt) -> Call:
    call = sending.call
    return Call(
        *sending.key,
        team=call.team,
        paid=call.paid,
        method=call.method,
        path=call.target,
        headers=call.headers,
        body=call.body,
        timeout_ms=call.budget.remaining_ms(),
        generation=sending.generation,
        claim=sending.claim,
        fencing=sending.fencing,
        trace=call.trace,
    )


async def _receive(
    link: AgentLink,
    inbox: Inbox,
    sending: CallAttempt,
) -> CallResult | Failure:
    lost = False
    limit_s = sending.call.budget.remaining_s() + DEADLINE_GRACE_S
    with anyio.move_on_after(limit_s):
        while True:
            event = await inbox.get()
            if event is LinkEvent.LOST:
                lost = True
                if not sending.claim:
                    break
            elif event is LinkEvent.RESTORED:
                lost = False
                link.send(Resume(*sending.key, 0))
            elif isinstance(event, CallResult):
                return _result(event)
    if lost:
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason='the agent is unreachable',
        )
    return Failure(kind=ErrorKind.TIMED_OUT, reason='time budget is used up')


def _result(result: CallResult) -> CallResult | Failure:
    if not result.kind:
        return result
    try:
        kind = ErrorKind(result.kind)
    except ValueError:
        kind = ErrorKind.OUTCOME_UNKNOWN
    return Failure(kind=kind, reason=result.reason)
