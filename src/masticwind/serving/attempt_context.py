"""What one attempt of a request is given, and what it has received."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from masticwind.byte_budget import ByteBudget
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
)
from masticwind.serving.endpoint_limits import Permit
from masticwind.serving.interfaces import (
    AttemptLimits,
    CallerAnswer,
    EndpointNotice,
    Reply,
)
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.placer import Placement
from masticwind.serving.turns import TurnQueue


@dataclass(slots=True)
class AttemptState:
    """What the entry has received from the endpoint of an attempt.

    `answer_begun` says that the head of the answer has arrived; `reply` is
    that head if the entry received it itself. An attempt that is
    `held_back` has not been sent. An answer that is `unverified` may belong to
    another request; an `unasked` one does, and was received on a reused
    connection. A `silent` endpoint has written nothing for the time after
    which another one is tried; `silence_counted` tells whether that has been
    held against it. An attempt has `expired` if its endpoint was
    silent for longer than it may hold memory of others. `at_fault` is the
    endpoint that a refusal names. It `has_used_helpers` once its first event
    has come, with which they have read their parts. Cancelling `scope` recalls
    the attempt.
    """

    answer_begun: bool = False
    reply: Reply | None = None
    held_back: bool = False
    is_sent: bool = False
    unverified: bool = False
    unasked: bool = False
    silent: bool = False
    silence_counted: bool = False
    expired: bool = False
    at_fault: Endpoint | None = None
    event_count: int = 0
    has_used_helpers: bool = False
    scope: anyio.CancelScope | None = None

    def forget_answer(self) -> None:
        """Prepare for the answer to the request that is sent once more."""
        self.answer_begun = False
        self.reply = None
        self.unverified = False
        self.unasked = False

    def expire(self) -> None:
        """End the attempt if its endpoint is still silent."""
        if self.silent and not self.event_count and self.scope is not None:
            self.expired = True
            self.scope.cancel()

    @property
    def notice(self) -> EndpointNotice | None:
        """What the answer says about the endpoint, as in `Reply`."""
        return None if self.reply is None else self.reply.notice

    @property
    def has_silent_endpoint(self) -> bool:
        """Whether nothing has come in answer, or nothing for a while."""
        return self.silent or (self.is_sent and not self.answer_begun)

    @property
    def asks_pause(self) -> bool:
        """Whether the answer asks for a pause."""
        return self.notice is not None and self.notice.pause_s > 0


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptContext:
    """The parameters of an attempt, and its state.

    `number` counts the attempts of the request from 1. `leave_to_retry` tells
    whether another attempt is to answer the request if this attempt fails now,
    which takes a retry of the budget. `acquire_resend` asks for sending this
    attempt to its endpoint once more. `claim` asks for the right to write to
    the caller, which ends the other attempts; it is refused to one that has
    been ended itself. `on_silence` is called when the endpoint becomes silent.
    `on_event` is called for each batch of events before it is sent to the
    caller, and `on_answer` with what the endpoint says of itself, as in
    `Reply`; `on_order_reply` likewise for a reservation on a helper.
    `on_endless` is called if the caller has left during a very long answer.
    `find_obstacle` is called right before the request is sent. It returns the
    reason why it must not be sent any more, or ''. What is kept of the answer
    counts in `byte_budget`, and a long one waits for its `turns`.
    """

    admitted: AdmittedRequest
    placement: Placement
    progress: RequestProgress
    answer: CallerAnswer
    limits: AttemptLimits
    number: int
    leave_to_retry: Callable[[], bool]
    acquire_resend: Callable[[], bool]
    claim: Callable[[], bool]
    on_silence: Callable[[], None]
    on_event: Callable[[], None]
    on_answer: Callable[[EndpointNotice | None], None]
    on_order_reply: Callable[[Endpoint, EndpointNotice | None], None]
    on_endless: Callable[[], None]
    find_obstacle: Callable[[], str]
    byte_budget: ByteBudget
    turns: TurnQueue
    permit: Permit | None = None
    state: AttemptState = field(default_factory=AttemptState)


def superseded_failure() -> Failure:
    """Return the failure of an attempt that may not write to the caller."""
    return Failure(
        kind=ErrorKind.CANCELLED, reason='another attempt answers the request'
    )
