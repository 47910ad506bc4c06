"""The entry's HTTP application: routes, authentication, error responses."""

from dataclasses import dataclass, field, replace
from functools import partial
from http import HTTPStatus
from typing import Any, Final

from masticwind.budget import MS_PER_S, Budget, boot_time
from masticwind.byte_budget import ByteBudget
from masticwind.config.current import CurrentConfig
from masticwind.engines.base import Done
from masticwind.entry.admin import PATH_PREFIX as ADMIN_PREFIX
from masticwind.entry.admin import AdminApi
from masticwind.entry.agent_pool import AgentPool
from masticwind.entry.attempts import ModelRequest
from masticwind.entry.calls import PATH_PREFIX as SERVICES_PREFIX
from masticwind.entry.calls import CallDependencies, ServiceCalls
from masticwind.entry.chat import (
    Caller,
    build_request,
    read_timeout_ms,
    relay_until_disconnect,
)
from masticwind.entry.chat_body import (
    ChatBodyDecoder,
    ChatRequest,
)
from masticwind.entry.chat_writer import ChatWriter
from masticwind.entry.claims import Claims
from masticwind.entry.outcomes import RecentOutcomes, outcome_response
from masticwind.entry.relay import Relay
from masticwind.entry.stop import ActiveRequest, Stop, stopping_failure
from masticwind.entry.tier_outcomes import TierOutcomeCounter
from masticwind.errors import ErrorKind, Failure
from masticwind.metrics import Metric, Metrics
from masticwind.request_exceptions import exception_failure
from masticwind.settings import EntrySettings
from masticwind.tracing import Tracer
from masticwind.web import (
    Receive,
    Response,
    Scope,
    Send,
    failure_response,
    json_response,
    read_large_body,
    request_header,
    send_response,
)

BEARER_PREFIX: Final = 'bearer '
REQUESTS_PREFIX: Final = '/v1/requests/'
# Share of the memory for the bodies of requests in progress.
BODIES_SHARE: Final = 0.3


@dataclass(frozen=True, slots=True)
class AppDependencies:
    """Settings and components that `EntryApp` uses."""

    cfg: EntrySettings
    config: CurrentConfig
    relay: Relay
    pool: AgentPool
    claims: Claims
    metrics: Metrics
    tracer: Tracer
    admin: AdminApi | None = None
    tier_counter: TierOutcomeCounter = field(default_factory=TierOutcomeCounter)


class EntryApp:
    """ASGI application of the entry.

    After `shutdown_announced` is set the health check fails; after
    `refuses_requests` is set new requests are refused.
    """

    def __init__(self, deps: AppDependencies) -> None:
        self._deps: Final = deps
        self._body_decoder: Final = ChatBodyDecoder()
        self._byte_budget: Final = ByteBudget(deps.cfg.memory_mb, BODIES_SHARE)
        self._outcomes: Final = RecentOutcomes()
        self._calls: Final = ServiceCalls(
            CallDependencies(
                deps.cfg,
                deps.config,
                deps.pool,
                deps.claims,
                self._outcomes,
                deps.metrics,
                deps.tracer,
            )
        )
        self.stop: Final = Stop()
        self.shutdown_announced = False
        self.refuses_requests = False

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one HTTP request."""
        metrics = self._deps.metrics
        active = self.stop.start_request()
        metrics.gauge(Metric.REQUESTS_ACTIVE, len(self.stop))
        try:
            with (
                metrics.timed(Metric.REQUEST_TIME),
                self._byte_budget.open_buffer() as buffer,
            ):
                active.buffer = buffer
                await self._serve(
                    scope, receive, partial(_send_message, send, active), active
                )
        finally:
            self.stop.end_request(active)
            metrics.gauge(Metric.REQUESTS_ACTIVE, len(self.stop))

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        active: ActiveRequest,
    ) -> None:
        failure: Failure | None = None
        interruption: Failure | None = None
        with active.scope:
            try:
                failure = await self._route(scope, receive, send, active)
            except Exception as exc:
                interruption = self._record_exception(exc, active)
        active.answering = True
        if active.scope.cancelled_caught:
            self.stop.log_cut(active)
            interruption = active.cut_failure()
        if interruption is not None:
            failure = await _end_answer(active, interruption)
        if failure is None:
            return
        self._deps.metrics.count(Metric.FAILURES)
        # The server closes the connection of an unfinished answer.
        if active.response_started:
            return
        response = failure_response(failure)
        if active.request_id:
            response = _with_request_id(response, active.request_id)
        await send_response(send, response)

    def _record_exception(
        self, exc: Exception, active: ActiveRequest
    ) -> Failure:
        """Log an exception that ends a request, and record its outcome."""
        failure = exception_failure(exc, active.request_id)
        if active.tier:
            self._count_outcome(active.tier, failure)
        outcome = self._outcomes.find(active.team, active.request_id)
        if outcome is not None and outcome.state == 'running':
            self._outcomes.record_end(active.team, active.request_id, failure)
        return failure

    async def _route(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        active: ActiveRequest,
    ) -> Failure | None:
        path = scope['path']
        if path == '/healthz':
            await send_response(send, self._health_response())
            return None
        self._deps.metrics.count(Metric.REQUESTS)
        if self.refuses_requests:
            return stopping_failure()
        if self._deps.admin is not None and path.startswith(ADMIN_PREFIX):
            return await self._serve_admin(scope, receive, send, active)
        if path == '/v1/chat/completions':
            return await self._serve_chat(scope, receive, send, active)
        if path.startswith(SERVICES_PREFIX):
            return await self._serve_call(scope, receive, send, active)
        if path.startswith(REQUESTS_PREFIX):
            return await self._serve_outcome(scope, send, active)
        return Failure(kind=ErrorKind.NOT_FOUND, reason=f'no route {path}')

    def _health_response(self) -> Response:
        status = HTTPStatus.OK
        if self.shutdown_announced:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        return json_response(
            status,
            {
                'draining': self.shutdown_announced,
                'generation': self._deps.config.number,
            },
        )

    async def _serve_admin(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        active: ActiveRequest,
    ) -> Failure | None:
        assert self._deps.admin is not None
        # A change of the configuration may take effect at any moment.
        active.uncertain_attempts += int(scope['method'] != 'GET')
        response = await self._deps.admin.serve(scope, receive)
        if isinstance(response, Failure):
            return response
        active.answering = True
        await send_response(send, response)
        return None

    async def _serve_chat(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        active: ActiveRequest,
    ) -> Failure | None:
        if scope['method'] != 'POST':
            return Failure(
                kind=ErrorKind.METHOD_NOT_ALLOWED,
                reason='use POST',
            )
        caller = self._authenticate(scope, active)
        if isinstance(caller, Failure):
            return caller
        requests = await self._read_chat(scope, receive, caller, active)
        if isinstance(requests, Failure):
            return requests
        chat, req = requests
        writer = ChatWriter(
            send,
            req,
            stream=chat.stream,
            include_usage=chat.include_usage,
        )
        active.request_id = req.request_id
        active.writer = writer
        outcome = await self._relay_chat(scope, receive, req, writer)
        if outcome is None:
            return None
        active.answering = True
        self._count_outcome(caller.team.tier, outcome)
        return await writer.finish(outcome)

    async def _read_chat(
        self,
        scope: Scope,
        receive: Receive,
        caller: Caller,
        active: ActiveRequest,
    ) -> tuple[ChatRequest, ModelRequest] | Failure:
        cfg = self._deps.cfg
        # The time to receive the body counts against the caller's budget.
        timeout_ms = read_timeout_ms(scope, caller.tier)
        started_s = boot_time()
        body = await read_large_body(
            receive,
            cfg.max_body_bytes,
            cfg.body_timeout_ms / MS_PER_S,
            active.buffer,
        )
        if isinstance(body, Failure):
            return body
        if isinstance(timeout_ms, Failure):
            return timeout_ms
        chat = await self._body_decoder.decode(body)
        body.clear()
        if isinstance(chat, Failure):
            return chat
        budget = active.limit_budget(Budget(started_s + timeout_ms / MS_PER_S))
        req = build_request(chat, caller, budget, self._deps.config)
        if isinstance(req, Failure):
            return req
        return chat, replace(req, active=active)

    async def _relay_chat(
        self,
        scope: Scope,
        receive: Receive,
        req: ModelRequest,
        writer: ChatWriter,
    ) -> Done | Failure | None:
        self._outcomes.record_start(req.team, req.request_id)
        parent = request_header(scope, b'traceparent')
        with self._deps.tracer.span('entry.request', parent) as span:
            outcome = await relay_until_disconnect(
                self._deps.relay,
                replace(req, trace=span.traceparent),
                writer,
                receive,
            )
        if outcome is None:
            self._outcomes.record_disconnect(req.team, req.request_id)
            return None
        self._outcomes.record_end(req.team, req.request_id, outcome)
        return outcome

    async def _serve_call(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        active: ActiveRequest,
    ) -> Failure | None:
        caller = self._authenticate(scope, active)
        if isinstance(caller, Failure):
            return caller
        parent = request_header(scope, b'traceparent')
        with self._deps.tracer.span('entry.request', parent) as span:
            call_response = await self._calls.serve(
                scope,
                receive,
                caller,
                active,
                span.traceparent,
            )
        active.request_id = call_response.request_id
        response = call_response.response
        self._count_outcome(caller.team.tier, response)
        if isinstance(response, Failure):
            return response
        active.answering = True
        if call_response.request_id:
            response = _with_request_id(response, call_response.request_id)
        await send_response(send, response)
        return None

    async def _serve_outcome(
        self, scope: Scope, send: Send, active: ActiveRequest
    ) -> Failure | None:
        if scope['method'] != 'GET':
            return Failure(
                kind=ErrorKind.METHOD_NOT_ALLOWED,
                reason='use GET',
            )
        caller = self._authenticate(scope, active)
        if isinstance(caller, Failure):
            return caller
        response = await outcome_response(
            self._outcomes,
            self._deps.claims,
            caller.team_name,
            scope['path'].removeprefix(REQUESTS_PREFIX),
        )
        if isinstance(response, Failure):
            return response
        await send_response(send, response)
        return None

    def _count_outcome(self, tier: str, outcome: object) -> None:
        kind = outcome.kind.value if isinstance(outcome, Failure) else 'served'
        self._deps.tier_counter.count(tier, kind)

    def _authenticate(
        self, scope: Scope, active: ActiveRequest
    ) -> Caller | Failure:
        text = request_header(scope, b'authorization')
        config = self._deps.config
        name_and_team = None
        if text[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
            name_and_team = config.find_team_by_token(
                text[len(BEARER_PREFIX) :].strip()
            )
        if name_and_team is None:
            return Failure(
                kind=ErrorKind.UNAUTHENTICATED,
                reason='unknown bearer token',
            )
        name, team = name_and_team
        active.team = name
        active.tier = team.tier
        return Caller(
            team_name=name,
            team=team,
            tier=config.config.tiers[team.tier],
        )


async def _send_message(
    send: Send, active: ActiveRequest, message: dict[str, Any]
) -> None:
    await send(message)
    active.response_started = True


async def _end_answer(
    active: ActiveRequest, failure: Failure
) -> Failure | None:
    """End an answer that may have begun; return a failure still to be sent."""
    if active.writer is None:
        return failure
    return await active.writer.finish(failure)


def _with_request_id(response: Response, request_id: str) -> Response:
    request_id_header = (b'x-request-id', request_id.encode())
    return replace(response, headers=(*response.headers, request_id_header))
