"""Abstract interfaces of direct serving towards callers and endpoints."""

import abc
import enum
import math
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from http import HTTPStatus

from masticwind.errors import Failure
from masticwind.httpclient import ConnectResult
from masticwind.send_gate import SendCheck
from masticwind.serving.model import CallerRequest, Endpoint, Headers


@dataclass(frozen=True, slots=True)
class PrefillHelper:
    """An endpoint that prefills a part of a prompt for the lead endpoint.

    `reservation_id` is the reservation of the memory for this part on the
    helper; an empty one means that the lead endpoint stores the part.
    """

    endpoint: Endpoint
    reservation_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One transmission of a request to one endpoint.

    `time_limit_ms` is how long the endpoint may work on it; None sets no
    limit. `priority` ranges from 0, the most urgent, to 9. An `at_most_once`
    attempt uses a new connection: if the endpoint closes a reused one at that
    moment, it is unknown whether the request was read. So does a `repeated`
    one: on a reused connection, the answer to an earlier attempt, which has
    the same id, could be received once more. `send_check` is asked
    while the request waits for a connection and right before it is sent.
    """

    req: CallerRequest
    endpoint: Endpoint
    team: str
    time_limit_ms: int | None
    priority: int
    at_most_once: bool
    resume_after: int | None
    helpers: tuple[PrefillHelper, ...] = ()
    repeated: bool = False
    send_check: SendCheck | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptLimits:
    """Time limits of one attempt, in seconds.

    An endpoint counts as silent after `head_timeout_s` without a first event,
    or without the head of another answer, and after `idle_timeout_s` without a
    further event. `total_timeout_s` is the time that is left for the request.
    """

    connect_timeout_s: float
    head_timeout_s: float
    idle_timeout_s: float
    total_timeout_s: float


class Verdict(enum.Enum):
    """What an answer proves about the request.

    `UNVERIFIED` is an answer that cannot be verified as the endpoint's answer
    to this request, so it is unknown whether the request ran.
    """

    RAN = 'ran'
    NOT_RUN = 'not_run'
    WRONG_ENDPOINT = 'wrong_endpoint'
    UNVERIFIED = 'foreign'


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointNotice:
    """What an endpoint says of itself in the head of an answer.

    `rate_limit` is the limit in requests per second that the endpoint names
    for all entries together: infinite if it names none, and None if it is
    unreadable. A `leaving` endpoint will end soon. `pause_s` is the time for
    which it wants no requests from this entry; zero means that it takes them.
    """

    rate_limit: float | None = math.inf
    leaving: bool = False
    pause_s: float = 0


@dataclass(slots=True)
class Reply:
    """The head of an endpoint's answer, and its body as a stream.

    `headers` are passed to the caller unchanged. `is_event_stream` says that
    the body is declared as events, and `framed` that its end is marked by more
    than the end of the connection. `at_fault` is the endpoint that caused a
    refusal, if the answer names it: the lead endpoint or a helper. `notice` is
    what the endpoint says of itself, and None if the answer may come from
    another process. `seal` is the endpoint's signature, '' without one. No
    earlier answer was received on a `fresh` connection. An `unasked` answer,
    on a reused one, belongs to an earlier request. `length` is
    that of the body, None if the head does not tell it.
    """

    status: int
    verdict: Verdict
    headers: Headers
    chunks: AsyncIterator[bytes]
    is_event_stream: bool = False
    framed: bool = False
    at_fault: Endpoint | None = None
    notice: EndpointNotice | None = None
    seal: str = ''
    fresh: bool = False
    unasked: bool = False
    length: int | None = None

    @property
    def success(self) -> bool:
        """Whether the endpoint served the request."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderReply:
    """The result of an order, and what the endpoint says of itself.

    `notice` is None if there was no answer or it may come from another process.
    """

    failure: Failure | None = None
    notice: EndpointNotice | None = None


class EndpointClient(abc.ABC):
    """Sends requests to endpoints over bounded, reused connections."""

    @abc.abstractmethod
    def send(
        self,
        attempt: Attempt,
        limits: AttemptLimits,
    ) -> AbstractAsyncContextManager[Reply | Failure]:
        """Send an attempt and return the head of the answer.

        A `Failure` of kind `no_capacity` means that nothing was sent; with
        any other kind, the endpoint may have run the request. Leaving the
        context early closes the connection, which stops the endpoint's work.
        """

    @abc.abstractmethod
    async def reserve(
        self,
        endpoint: Endpoint,
        reservation_id: str,
        tokens: int,
        hold_ms: int,
    ) -> OrderReply:
        """Reserve memory, or renew a reservation, for `hold_ms`.

        `tokens` is the amount of memory.
        """

    @abc.abstractmethod
    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> OrderReply:
        """End a reservation; no error if it has already ended."""

    @abc.abstractmethod
    async def try_connect(self, endpoint: Endpoint) -> ConnectResult:
        """Open a new connection, on which nothing is sent.

        It is refused if the process of the endpoint has ended, and silent if
        its instance has lost power or cannot be reached.
        """

    @abc.abstractmethod
    async def close_idle(self, endpoint: Endpoint) -> None:
        """Close the connections to an endpoint that was removed.

        Those in use are closed after their requests.
        """


class CallerAnswer(abc.ABC):
    """Writes the answer to one request of a caller."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head has been written."""

    @abc.abstractmethod
    async def start(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Write the head; a length of None announces a streamed body."""

    @abc.abstractmethod
    async def write(self, content: bytes) -> None:
        """Write a part of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Mark the body as complete."""
