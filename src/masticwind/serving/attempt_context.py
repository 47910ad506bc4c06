"""What one attempt of a request is given, and what it has received."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from masticwind.serving.admission import AdmittedRequest, RequestProgress
from masticwind.serving.interfaces import AttemptLimits, CallerAnswer
from masticwind.serving.placement import Placement


@dataclass(slots=True)
class AttemptState:
    """What the entry has received from the endpoint of an attempt.

    `answer_begun` says that the head of the answer has arrived. `rate_limit`
    is what it says about the endpoint's limit, as in `Reply`. Cancelling
    `scope` recalls the attempt.
    """

    answer_begun: bool = False
    rate_limit: float | None = None
    event_count: int = 0
    scope: anyio.CancelScope | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptContext:
    """The parameters of an attempt, and its state.

    With `may_retry_elsewhere`, another endpoint may run the request if this
    attempt fails. `on_event` is called for each batch of events before it is
    sent to the caller.
    """

    admitted: AdmittedRequest
    placement: Placement
    progress: RequestProgress
    answer: CallerAnswer
    limits: AttemptLimits
    may_retry_elsewhere: bool
    on_event: Callable[[], None]
    state: AttemptState = field(default_factory=AttemptState)
