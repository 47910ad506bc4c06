"""The entry's HTTP application: routes, authentication, error answers."""

from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Final

from masticwind.budget import MS_PER_S, Budget, boot_time
from masticwind.config.current import CurrentConfig
from masticwind.engines.base import Done
from masticwind.entry.admin import PREFIX as ADMIN_PREFIX
from masticwind.entry.admin import AdminApi
from masticwind.entry.agent_pool import AgentPool
from masticwind.entry.attempts import ModelRequest
from masticwind.entry.calls import PREFIX as SERVICES
from masticwind.entry.calls import CallParts, Calls
from masticwind.entry.chat import (
    Caller,
    build_request,
    read_timeout,
    relay_until_gone,
)
from masticwind.entry.chat_body import BodyReader, Prepared, read_large_body
from masticwind.entry.chat_stream import ChatStream
from masticwind.entry.claims import Claims
from masticwind.entry.outcomes import RequestLog, find_outcome
from masticwind.entry.relay import Relay
from masticwind.entry.tier_outcomes import TierOutcomeCounter
from masticwind.errors import ErrorKind, Failure
from masticwind.metrics import Metric, Metrics
from masticwind.settings import EntrySettings
from masticwind.tracing import Tracer
from masticwind.web import (
    Receive,
    Response,
    Scope,
    Send,
    failure_response,
    header,
    json_response,
    send_response,
)

BEARER: Final = 'bearer '
REQUESTS: Final = '/v1/requests/'


@dataclass(frozen=True, slots=True)
class AppParts:
    """What the application works with."""

    cfg: EntrySettings
    config: CurrentConfig
    relay: Relay
    pool: AgentPool
    claims: Claims
    metrics: Metrics
    tracer: Tracer
    admin: AdminApi | None = None
    service: TierOutcomeCounter = field(default_factory=TierOutcomeCounter)


class EntryApp:
    """ASGI application of the entry."""

    def __init__(self, parts: AppParts) -> None:
        self._parts: Final = parts
        self._bodies: Final = BodyReader()
        self._log: Final = RequestLog()
        self._calls: Final = Calls(
            CallParts(
                parts.cfg,
                parts.config,
                parts.pool,
                parts.claims,
                self._log,
                parts.metrics,
                parts.tracer,
            )
        )
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
        metrics = self._parts.metrics
        self._active += 1
        metrics.gauge(Metric.REQUESTS_ACTIVE, self._active)
        try:
            with metrics.timed(Metric.REQUEST_TIME):
                failure = await self._route(scope, receive, send)
        finally:
            self._active -= 1
            metrics.gauge(Metric.REQUESTS_ACTIVE, self._active)
        if failure is not None:
            metrics.count(Metric.FAILURES)
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
        self._parts.metrics.count(Metric.REQUESTS)
        if self.draining:
            return Failure(kind=ErrorKind.DRAINING, reason='shutting down')
        admin = self._parts.admin
        if admin is not None and path.startswith(ADMIN_PREFIX):
            answer = await admin.answer(scope, receive)
            if isinstance(answer, Failure):
                return answer
            await send_response(send, answer)
            return None
        if path == '/v1/chat/completions':
            return await self._chat(scope, receive, send)
        if path.startswith(SERVICES):
            return await self._call(scope, receive, send)
        if path.startswith(REQUESTS):
            return await self._outcome(scope, send)
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
        prepared = await self._read_chat(scope, receive, caller)
        if isinstance(prepared, Failure):
            return prepared
        chat, req = prepared
        writer = ChatStream(
            send,
            req,
            stream=chat.stream,
            include_usage=chat.include_usage,
        )
        outcome = await self._relay(scope, receive, req, writer)
        if outcome is None:
            return None
        self._count(caller.team.tier, outcome)
        failure = await writer.finish(outcome)
        if failure is not None:
            self._parts.metrics.count(Metric.FAILURES)
            response = failure_response(failure)
            await send_response(send, _with_id(response, req.request_id))
        return None

    async def _read_chat(
        self,
        scope: Scope,
        receive: Receive,
        caller: Caller,
    ) -> tuple[Prepared, ModelRequest] | Failure:
        cfg = self._parts.cfg
        # The time that the body takes counts towards the caller's budget.
        timeout_ms = read_timeout(scope, caller.tier)
        started = boot_time()
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
        return req if isinstance(req, Failure) else (chat, req)

    async def _relay(
        self,
        scope: Scope,
        receive: Receive,
        req: ModelRequest,
        writer: ChatStream,
    ) -> Done | Failure | None:
        self._log.start(req.team, req.request_id)
        parent = header(scope, b'traceparent')
        with self._parts.tracer.span('entry.request', parent) as span:
            outcome = await relay_until_gone(
                self._parts.relay,
                replace(req, trace=span.context),
                writer,
                receive,
            )
        if outcome is None:
            self._log.close(req.team, req.request_id)
            return None
        self._log.finish(req.team, req.request_id, outcome)
        return outcome

    async def _call(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> Failure | None:
        caller = self._authenticate(scope)
        if isinstance(caller, Failure):
            return caller
        parent = header(scope, b'traceparent')
        with self._parts.tracer.span('entry.request', parent) as span:
            answer = await self._calls.serve(
                scope,
                receive,
                caller,
                span.context,
            )
        response = answer.content
        self._count(caller.team.tier, response)
        if isinstance(response, Failure):
            self._parts.metrics.count(Metric.FAILURES)
            response = failure_response(response)
        if answer.request_id:
            response = _with_id(response, answer.request_id)
        await send_response(send, response)
        return None

    async def _outcome(self, scope: Scope, send: Send) -> Failure | None:
        if scope['method'] != 'GET':
            return Failure(
                kind=ErrorKind.METHOD_NOT_ALLOWED,
                reason='use GET',
            )
        caller = self._authenticate(scope)
        if isinstance(caller, Failure):
            return caller
        found = await find_outcome(
            self._log,
            self._parts.claims,
            caller.name,
            scope['path'].removeprefix(REQUESTS),
        )
        if isinstance(found, Failure):
            return found
        await send_response(send, found)
        return None

    def _count(self, tier: str, outcome: object) -> None:
        kind = outcome.kind.value if isinstance(outcome, Failure) else 'served'
        self._parts.service.count(tier, kind)

    def _authenticate(self, scope: Scope) -> Caller | Failure:
        text = header(scope, b'authorization')
        config = self._parts.config
        found = None
        if text[: len(BEARER)].lower() == BEARER:
            found = config.find_team_by_token(text[len(BEARER) :].strip())
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


def _with_id(response: Response, request_id: str) -> Response:
    named = (b'x-request-id', request_id.encode())
    return replace(response, headers=(*response.headers, named))
