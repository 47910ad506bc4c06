"""The callers' edge as an ASGI application.

An `Edge` translates one wire format; everything else is here: limits,
routes, keys, bodies, callers that leave, and the end of the process.
"""

import abc
import math
import random
import time
from dataclasses import dataclass, replace
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ANSWERS, ErrorKind, Failure
from masticwind.serving.freshness import ConfigFreshness
from masticwind.serving.interfaces import CallerAnswer
from masticwind.serving.model import CallerRequest, Headers
from masticwind.serving.relay import Relay
from masticwind.serving.routes import ActiveConfig
from masticwind.serving.telemetry import Telemetry
from masticwind.serving.work import Admitted, admit
from masticwind.web import (
    Receive,
    Response,
    Scope,
    Send,
    read_body,
    send_response,
)

# A body must arrive within this time, also from a caller with more patience.
BODY_TIMEOUT_S: Final = 10.0
UNAVAILABLE: Final = 503
# Hint where nothing better is known, and its spread, so that callers do not
# return together.
RETRY_AFTER_MS: Final = 300
RETRY_SPREAD: Final = 0.5


class Edge(abc.ABC):
    """Translates between a wire format and the product's types."""

    @abc.abstractmethod
    def decode(self, scope: Scope) -> CallerRequest | Failure:
        """Decode the head of a request."""

    @abc.abstractmethod
    def encode(self, failure: Failure) -> Response:
        """Encode a failure."""


class AsgiAnswer(CallerAnswer):
    """Writes an answer to an ASGI server."""

    def __init__(self, send: Send) -> None:
        self._send: Final = send
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the head has been written."""
        return self._started

    async def start(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Write the head."""
        self._started = True
        listed = list(headers)
        if length is not None:
            listed.append((b'content-length', str(length).encode()))
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': listed,
            }
        )

    async def write(self, content: bytes) -> None:
        """Write a part of the body."""
        await self._send(
            {
                'type': 'http.response.body',
                'body': content,
                'more_body': True,
            }
        )

    async def finish(self) -> None:
        """End the body as complete."""
        await self._send({'type': 'http.response.body', 'body': b''})


@dataclass(frozen=True, slots=True)
class EdgeParts:
    """What the edge works with."""

    edge: Edge
    active: ActiveConfig
    freshness: ConfigFreshness
    relay: Relay
    telemetry: Telemetry


class EdgeApp:
    """ASGI application of the callers' edge."""

    def __init__(self, parts: EdgeParts) -> None:
        self._parts: Final = parts
        self.running = 0
        # When the process ends, on the monotonic clock; a request that
        # would take longer is refused.
        self.ends_at = math.inf

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        self.running += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.running -= 1

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        answer = AsgiAnswer(send)
        req = self._parts.edge.decode(scope)
        started = time.monotonic()
        if isinstance(req, Failure):
            failure: Failure | None = req
            request_id = ''
        else:
            request_id = req.request_id
            failure = await self._request(req, receive, answer)
        outcome = 'served' if failure is None else failure.kind.value
        self._parts.telemetry.requests.labels(outcome).inc()
        if failure is None:
            return
        failure = _with_hint(failure)
        logger.bind(
            request_id=request_id,
            config_version=self._parts.active.config.version,
            config_age_s=_logged_age(self._parts.freshness.age_s()),
            kind=failure.kind.value,
            reason=failure.reason,
            retry_after_ms=failure.retry_after_ms,
            held_ms=round((time.monotonic() - started) * MS_PER_S),
            broken_off=answer.started,
        ).info('request_failed')
        # The server closes the connection of an answer that has begun and is
        # not finished, so that it cannot look whole.
        if not answer.started and failure.kind is not ErrorKind.CANCELLED:
            await send_response(send, self._parts.edge.encode(failure))

    async def _request(
        self,
        req: CallerRequest,
        receive: Receive,
        answer: CallerAnswer,
    ) -> Failure | None:
        parts = self._parts
        work = self._admit(req)
        if isinstance(work, Failure):
            return work
        body = await read_body(
            receive,
            parts.active.config.limits.max_body_bytes,
            min(BODY_TIMEOUT_S, work.left_s()),
        )
        if isinstance(body, Failure):
            return body
        work = replace(work, req=replace(req, body=body))
        outcome: list[Failure | None] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_until_gone, receive, tasks.cancel_scope)
            outcome.append(await parts.relay.serve(work, answer))
            tasks.cancel_scope.cancel()
        if outcome:
            return outcome[0]
        return Failure(kind=ErrorKind.CANCELLED, reason='the caller has left')

    def _admit(self, req: CallerRequest) -> Admitted | Failure:
        parts = self._parts
        route = parts.active.route_of(req)
        team = None
        if not isinstance(route, Failure):
            team = parts.active.team_of(req, route)
        stale = parts.freshness.check_request(route, team)
        if stale is not None:
            return stale
        if isinstance(route, Failure):
            return route
        if isinstance(team, Failure):
            return team
        work = admit(req, route, team, parts.active.config)
        if isinstance(work, Failure):
            return work
        return replace(
            work,
            config_age_s=parts.freshness.age_s(),
            process_ends_at=self.ends_at,
        )


def _logged_age(age_s: float) -> float | None:
    """Return an age for the logs; none before a first copy."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _with_hint(failure: Failure) -> Failure:
    """Tell callers of a request that did not run when to come back."""
    answer = ANSWERS[failure.kind]
    if failure.retry_after_ms or answer.status != UNAVAILABLE:
        return failure
    spread = random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
    return replace(failure, retry_after_ms=int(RETRY_AFTER_MS * spread))


async def _until_gone(receive: Receive, scope: anyio.CancelScope) -> None:
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            scope.cancel()
            return
