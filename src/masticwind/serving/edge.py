"""The ASGI application that callers connect to.

A `CallerCodec` translates one wire format. This module handles everything
else: routing, authentication, request bodies, callers that disconnect, and
shutdown.
"""

import abc
import math
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.byte_budget import ByteBudget
from masticwind.errors import ERROR_RESPONSES, ErrorKind, Failure
from masticwind.log_limits import LineLimiter
from masticwind.request_exceptions import exception_failure
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
    admit,
)
from masticwind.serving.asgi_answer import AsgiAnswer
from masticwind.serving.freshness import ConfigFreshness
from masticwind.serving.lifetime import Lifetime
from masticwind.serving.model import CallerRequest
from masticwind.serving.relay import Relay
from masticwind.serving.telemetry import Telemetry
from masticwind.web import (
    Receive,
    Response,
    Scope,
    Send,
    read_body,
    send_response,
)

# Time limit for receiving a body, also of a request with a later deadline.
BODY_TIMEOUT_S: Final = 10.0
UNAVAILABLE: Final = 503
# Retry hint if a failure has none, and its jitter, which keeps callers from
# returning at the same time.
DEFAULT_RETRY_AFTER_MS: Final = 300
RETRY_JITTER_SHARE: Final = 0.5


# Failures that callers can cause at will, without a route or a key.
CALLER_FAULTS: Final = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.BODY_TIMEOUT,
        ErrorKind.CANCELLED,
        ErrorKind.FORBIDDEN,
        ErrorKind.NOT_FOUND,
        ErrorKind.TOO_LARGE,
        ErrorKind.UNAUTHENTICATED,
    )
)


class CallerCodec(abc.ABC):
    """Translates between a wire format and the types of `model`."""

    @abc.abstractmethod
    def decode(self, scope: Scope) -> CallerRequest | Failure:
        """Decode the request line and headers of a request."""

    @abc.abstractmethod
    def encode(self, failure: Failure) -> Response:
        """Encode a failure as a response."""


@dataclass(frozen=True, slots=True)
class EdgeDependencies:
    """Collaborators of the edge application.

    Requests beyond `max_requests` in progress are refused.
    """

    codec: CallerCodec
    active_config: ActiveConfig
    freshness: ConfigFreshness
    relay: Relay
    telemetry: Telemetry
    lifetime: Lifetime
    byte_budget: ByteBudget
    max_requests: int


@dataclass(frozen=True, slots=True, eq=False)
class RequestInProgress:
    """A request whose head has been decoded, until it has its outcome.

    Cancelling `scope` gives up the request.
    """

    req: CallerRequest
    progress: RequestProgress
    answer: AsgiAnswer
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class EdgeApp:
    """ASGI application that serves callers."""

    def __init__(self, deps: EdgeDependencies) -> None:
        self._deps: Final = deps
        self._in_progress: Final[set[RequestInProgress]] = set()
        self._log_limiter: Final = LineLimiter()
        self.running_requests = 0

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        self.running_requests += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.running_requests -= 1

    async def refuse_unanswered(self) -> None:
        """End the requests whose answer has not begun, with an error.

        Those that have been sent to an endpoint get 504. The others get 503,
        not run. They are answered at once, since the cleanup of a cancelled
        request may take longer than the process has.
        """
        await self._give_up_all(
            [
                in_progress
                for in_progress in self._in_progress
                if not in_progress.answer.started
            ]
        )

    async def give_up_requests(self) -> None:
        """End all requests in progress, as the process is about to end.

        The connection of an answer that has begun is broken.
        """
        await self._give_up_all(tuple(self._in_progress))

    async def _give_up_all(self, requests: Iterable[RequestInProgress]) -> None:
        async with anyio.create_task_group() as tasks:
            for in_progress in requests:
                if in_progress.answer.given_up:
                    continue
                self._log_cut(in_progress)
                tasks.start_soon(self._give_up, in_progress)

    async def _give_up(self, given_up: RequestInProgress) -> None:
        # It may have ended since it was listed.
        if given_up not in self._in_progress:
            return
        failure = _with_retry_hint(given_up.progress.given_up_failure())
        response = self._deps.codec.encode(failure)
        given_up.scope.cancel()
        try:
            await given_up.answer.give_up(response)
        except Exception as exc:
            # One answer that fails must not end the shutdown.
            logger.opt(exception=exc).bind(
                request_id=given_up.req.request_id
            ).error('answer_failed')

    def _log_cut(self, given_up: RequestInProgress) -> None:
        progress = given_up.progress
        failure = progress.given_up_failure()
        logger.bind(
            request_id=given_up.req.request_id,
            age_ms=round(progress.elapsed_ms()),
            stopping_for_ms=self._deps.lifetime.stopping_for_ms(),
            predicted_ms=round(progress.predicted_ms),
            attempts=progress.attempts,
            sent=progress.is_sent,
            answer_begun=given_up.answer.started,
            events=progress.event_count,
            last_event_ms_ago=progress.silence_ms(),
            kind=failure.kind.value,
        ).warning('request_cut')

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        answer = AsgiAnswer(send)
        received_at = time.monotonic()
        progress = RequestProgress()
        request_id = ''
        failure: Failure | None
        try:
            req = self._deps.codec.decode(scope)
            if isinstance(req, Failure):
                failure = req
            elif self._has_too_many_requests():
                failure = _too_many_failure(self._deps.max_requests)
            else:
                request_id = req.request_id
                progress.last_event_id = req.resume_after
                failure = await self._serve_until_given_up(
                    RequestInProgress(req, progress, answer), receive
                )
        except Exception as exc:
            failure = exception_failure(exc, request_id)
        outcome = 'served' if failure is None else failure.kind.value
        self._deps.telemetry.requests.labels(outcome).inc()
        if failure is None:
            return
        failure = _with_retry_hint(failure)
        left_out: int | None = 0
        if failure.kind in CALLER_FAULTS and not progress.attempts:
            left_out = self._log_limiter.left_out(failure.kind)
        if left_out is not None:
            logger.bind(
                request_id=request_id,
                config_version=self._deps.active_config.config.version,
                config_age_s=_finite_age_s(self._deps.freshness.age_s()),
                admitted_version=progress.config_version,
                attempts=progress.attempts,
                may_have_run_at=sorted(progress.may_have_run_at),
                events=progress.event_count,
                last_event_ms_ago=progress.silence_ms(),
                kind=failure.kind.value,
                reason=failure.reason,
                retry_after_ms=failure.retry_after_ms,
                held_ms=round((time.monotonic() - received_at) * MS_PER_S),
                broken_off=answer.started,
                stopping_for_ms=self._deps.lifetime.stopping_for_ms(),
                left_out=left_out,
            ).info('request_failed')
        # The server closes the connection of an unfinished answer, so that a
        # caller cannot take it for a complete one.
        if answer.started or answer.given_up:
            return
        if failure.kind is not ErrorKind.CANCELLED:
            await send_response(send, self._deps.codec.encode(failure))

    def _has_too_many_requests(self) -> bool:
        """Return whether a new request has to be refused.

        A body that has stopped arriving is given up for it.
        """
        if self.running_requests <= self._deps.max_requests:
            return False
        return not self._deps.byte_budget.reclaim_stalled()

    async def _serve_until_given_up(
        self, in_progress: RequestInProgress, receive: Receive
    ) -> Failure | None:
        self._in_progress.add(in_progress)
        try:
            with in_progress.scope:
                return await self._serve_request(in_progress, receive)
        finally:
            self._in_progress.discard(in_progress)
        return in_progress.progress.given_up_failure()

    async def _serve_request(
        self, in_progress: RequestInProgress, receive: Receive
    ) -> Failure | None:
        deps = self._deps
        req = in_progress.req
        progress = in_progress.progress
        admitted = self._admit(req)
        if isinstance(admitted, Failure):
            return admitted
        progress.config_version = admitted.config_version
        with deps.byte_budget.open_buffer() as buffer:
            body = await read_body(
                receive,
                deps.active_config.config.limits.max_body_bytes,
                min(BODY_TIMEOUT_S, admitted.remaining_s()),
                buffer,
            )
            if isinstance(body, Failure):
                return body
            admitted = replace(admitted, req=replace(req, body=body))
            return await self._relay(admitted, in_progress, receive)

    async def _relay(
        self,
        admitted: AdmittedRequest,
        in_progress: RequestInProgress,
        receive: Receive,
    ) -> Failure | None:
        """Serve an admitted request until its caller leaves."""
        outcome: list[Failure | None] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _cancel_on_disconnect,
                receive,
                in_progress.answer,
                tasks.cancel_scope,
            )
            outcome.append(
                await self._deps.relay.serve(
                    admitted, in_progress.progress, in_progress.answer
                )
            )
            tasks.cancel_scope.cancel()
        if outcome:
            return outcome[0]
        return Failure(
            kind=ErrorKind.CANCELLED, reason='the caller has disconnected'
        )

    def _admit(self, req: CallerRequest) -> AdmittedRequest | Failure:
        deps = self._deps
        route = deps.active_config.find_route(req)
        team = None
        if not isinstance(route, Failure):
            team = deps.active_config.find_team(req, route)
        stale_failure = deps.freshness.check_request(route, team)
        if stale_failure is not None:
            return stale_failure
        if isinstance(route, Failure):
            return route
        if isinstance(team, Failure):
            return team
        admitted = admit(req, route, team, deps.active_config.config)
        if isinstance(admitted, Failure):
            return admitted
        return replace(
            admitted,
            config_age_s=deps.freshness.age_s(),
        )


def _too_many_failure(max_requests: int) -> Failure:
    return Failure(
        kind=ErrorKind.OVERLOADED,
        reason=f'{max_requests} requests are in progress',
    )


def _finite_age_s(age_s: float) -> float | None:
    """Return a rounded age for the logs; None before the first copy."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _with_retry_hint(failure: Failure) -> Failure:
    """Add a retry hint to a failure that is answered with 503."""
    answer = ERROR_RESPONSES[failure.kind]
    if failure.retry_after_ms or answer.status != UNAVAILABLE:
        return failure
    jitter_factor = random.uniform(
        1 - RETRY_JITTER_SHARE, 1 + RETRY_JITTER_SHARE
    )
    return replace(
        failure, retry_after_ms=int(DEFAULT_RETRY_AFTER_MS * jitter_factor)
    )


async def _cancel_on_disconnect(
    receive: Receive, answer: AsgiAnswer, scope: anyio.CancelScope
) -> None:
    """Cancel a request whose caller leaves before it has its answer.

    The end of the answer is reported as a disconnection, too.
    """
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            if not answer.finished:
                scope.cancel()
            return
