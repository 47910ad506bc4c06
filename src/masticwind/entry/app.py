"""The entry's HTTP application: routes, authentication, error answers."""

import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from masticwind.budget import Budget
from masticwind.config.current import CurrentConfig
from masticwind.entry.chat import (
    Caller,
    build_request,
    read_timeout,
    relay_until_gone,
)
from masticwind.entry.chat_body import BodyReader, read_large_body
from masticwind.entry.chat_stream import ChatStream
from masticwind.entry.relay import Relay
from masticwind.errors import ANSWERS, ErrorKind, Failure
from masticwind.settings import EntrySettings
from masticwind.web import (
    Receive,
    Response,
    Scope,
    Send,
    header,
    json_response,
    send_response,
)

MS_PER_S: Final = 1000
BEARER: Final = 'bearer '


@dataclass(frozen=True, slots=True)
class AppParts:
    """What the application works with."""

    cfg: EntrySettings
    config: CurrentConfig
    relay: Relay


class EntryApp:
    """ASGI application of the entry."""

    def __init__(self, parts: AppParts) -> None:
        self._parts: Final = parts
        self._bodies: Final = BodyReader()
        self._active = 0
        self.leaving = False
        self.draining = False

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        self._active += 1
        try:
            failure = await self._route(scope, receive, send)
        finally:
            self._active -= 1
        if failure is not None:
            await send_response(send, failure_response(failure))

    @property
    def active(self) -> int:
        """Requests in progress."""
        return self._active

    async def _route(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> Failure | None:
        path = scope['path']
        if path == '/healthz':
            await send_response(send, self._health())
            return None
        if self.draining:
            return Failure(kind=ErrorKind.DRAINING, reason='shutting down')
        if path == '/v1/chat/completions':
            return await self._chat(scope, receive, send)
        return Failure(kind=ErrorKind.NOT_FOUND, reason=f'no route {path}')

    def _health(self) -> Response:
        status = HTTPStatus.OK
        if self.leaving:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        return json_response(
            status,
            {
                'draining': self.leaving,
                'generation': self._parts.config.number,
            },
        )

    async def _chat(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> Failure | None:
        if scope['method'] != 'POST':
            return Failure(
                kind=ErrorKind.METHOD_NOT_ALLOWED,
                reason='use POST',
            )
        caller = self._authenticate(scope)
        if isinstance(caller, Failure):
            return caller
        cfg = self._parts.cfg
        # The time that the body takes counts towards the caller's budget.
        timeout_ms = read_timeout(scope, caller.tier)
        started = time.monotonic()
        body = await read_large_body(
            receive,
            cfg.max_body_bytes,
            cfg.body_timeout_ms / MS_PER_S,
        )
        if isinstance(body, Failure):
            return body
        if isinstance(timeout_ms, Failure):
            return timeout_ms
        chat = await self._bodies.prepare(body)
        body.clear()
        if isinstance(chat, Failure):
            return chat
        budget = Budget(started + timeout_ms / MS_PER_S)
        req = build_request(chat, caller, budget, self._parts.config)
        if isinstance(req, Failure):
            return req
        writer = ChatStream(
            send,
            req,
            stream=chat.stream,
            include_usage=chat.include_usage,
        )
        return await relay_until_gone(self._parts.relay, req, writer, receive)

    def _authenticate(self, scope: Scope) -> Caller | Failure:
        text = header(scope, b'authorization')
        config = self._parts.config
        found = None
        if text[: len(BEARER)].lower() == BEARER:
            found = config.team_of_token(text[len(BEARER) :].strip())
        if found is None:
            return Failure(
                kind=ErrorKind.UNAUTHENTICATED,
                reason='unknown bearer token',
            )
        name, team = found
        return Caller(
            name=name,
            team=team,
            tier=config.config.tiers[team.tier],
        )


def failure_response(failure: Failure) -> Response:
    """Return the HTTP answer for a failure."""
    answer = ANSWERS[failure.kind]
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if failure.retry_after_ms:
        # The header has whole seconds; the body has the exact hint.
        seconds = -(-failure.retry_after_ms // MS_PER_S)
        headers = ((b'retry-after', str(seconds).encode()),)
    return json_response(
        answer.status,
        {
            'error': {
                'kind': failure.kind,
                'message': failure.reason,
                'run': answer.run,
                'repeat_safe': answer.repeat_safe,
                'retry_after_ms': failure.retry_after_ms,
            }
        },
        headers=headers,
    )
