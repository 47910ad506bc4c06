"""Calls of plain services.

A repeatable call is retried at other agents within its time budget and the
entry's retry budget. A non-repeatable call is claimed, then sent at most once.
"""

import random
import secrets
from dataclasses import dataclass, replace
from typing import Final

from masticwind.budget import MS_PER_S, Budget
from masticwind.call_rules import find_rule, is_unambiguous_path
from masticwind.config.current import CurrentConfig
from masticwind.config.model import CallRule
from masticwind.entry.agent_pool import AgentLink, AgentPool
from masticwind.entry.call_attempt import (
    CallAttempt,
    ServiceCall,
    send_attempt,
)
from masticwind.entry.call_responses import (
    claim_outcome,
    failure_of_attempts,
    no_agent_failure,
    response_from_record,
    service_response,
)
from masticwind.entry.chat import TIMEOUT_HEADER, Caller, read_timeout_ms
from masticwind.entry.claim_records import (
    ClaimRecord,
    ClaimRequest,
    body_digest,
    call_digest,
    claim_key,
)
from masticwind.entry.claims import Claims
from masticwind.entry.handover import (
    AttemptSource,
    Handover,
    OnlyTurn,
    PlannedAttempt,
    Turn,
)
from masticwind.entry.outcomes import (
    RecentOutcomes,
    RequestOutcome,
    format_digest,
)
from masticwind.entry.pending_claims import ClaimResult, HeldClaim
from masticwind.entry.retries import RetryBudget
from masticwind.entry.stop import ActiveRequest, stopping_failure
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.metrics import Metric, Metrics
from masticwind.protocol.messages import CallResult
from masticwind.settings import EntrySettings
from masticwind.tracing import Tracer
from masticwind.web import (
    Receive,
    Response,
    Scope,
    read_body,
    request_header,
    request_target,
)

PATH_PREFIX: Final = '/v1/services/'
REQUEST_ID_BYTES: Final = 16
MAX_ATTEMPTS: Final = 3
MAX_IDEMPOTENCY_KEY_CHARS: Final = 128
# A call is sent to the agent in one frame, whose size is limited.
MAX_CALL_BODY_BYTES: Final = 524_288
MAX_TARGET_CHARS: Final = 4096
_FORWARDED_HEADERS: Final = (b'content-type', b'accept', b'accept-language')


@dataclass(frozen=True, slots=True)
class CallDependencies:
    """Settings and components that `ServiceCalls` uses."""

    cfg: EntrySettings
    config: CurrentConfig
    pool: AgentPool
    claims: Claims
    outcomes: RecentOutcomes
    metrics: Metrics
    tracer: Tracer


@dataclass(frozen=True, slots=True)
class CallResponse:
    """The response to a caller; `request_id` is empty if none was assigned."""

    response: Response | Failure
    request_id: str = ''


class ServiceCalls:
    """Serves callers' calls of plain services."""

    def __init__(self, deps: CallDependencies) -> None:
        self._deps: Final = deps
        self._retries: Final = RetryBudget(deps.cfg)

    async def serve(
        self,
        scope: Scope,
        receive: Receive,
        caller: Caller,
        active: ActiveRequest,
        trace: str = '',
    ) -> CallResponse:
        """Check one call of an authenticated team and execute it."""
        cfg = self._deps.cfg
        body = await read_body(
            receive,
            min(MAX_CALL_BODY_BYTES, cfg.max_body_bytes),
            cfg.body_timeout_ms / MS_PER_S,
            active.buffer,
        )
        if isinstance(body, Failure):
            return CallResponse(body)
        service, target = _service_and_target(scope)
        rule = self._find_rule(service, scope['method'], target)
        if isinstance(rule, Failure):
            return CallResponse(rule)
        timeout_ms = rule.timeout_ms
        if request_header(scope, TIMEOUT_HEADER):
            requested_ms = read_timeout_ms(scope, caller.tier)
            if isinstance(requested_ms, Failure):
                return CallResponse(requested_ms)
            timeout_ms = requested_ms
        call = ServiceCall(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            service=service,
            team=caller.team_name,
            paid=caller.tier.kind == 'paid',
            method=scope['method'],
            target=target,
            headers=_forwarded_headers(scope),
            body=body,
            budget=Budget.from_ms(timeout_ms),
            active=active,
            trace=trace,
        )
        if rule.repeatable:
            return await self._serve_repeatable(call)
        return await self._serve_non_repeatable(
            call, request_header(scope, b'idempotency-key')
        )

    def choose_other_agent(
        self, call: ServiceCall, tried: set[AgentLink]
    ) -> AgentLink | None:
        """Choose the agent of another attempt, within the retry budget."""
        link = self._choose_agent(call.service, tried)
        if link is None or call.budget.is_expired():
            return None
        if tried and not self._take_retry():
            return None
        return link

    async def try_agent(
        self,
        link: AgentLink,
        call: ServiceCall,
        number: int,
        turn: Turn,
    ) -> CallResult | Failure:
        """Make one attempt of a repeatable call."""
        attempt = self._new_attempt(call, number)
        return await self._send_attempt(link, attempt, turn)

    def _find_rule(
        self,
        service: str,
        method: str,
        target: str,
    ) -> CallRule | Failure:
        config = self._deps.config
        plain_service = config.config.services.get(service)
        if plain_service is None:
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'no service {service}',
            )
        if len(target) > MAX_TARGET_CHARS or not is_unambiguous_path(target):
            return Failure(
                kind=ErrorKind.BAD_REQUEST,
                reason='the path is too long or not a normalized ASCII path',
            )
        return find_rule(plain_service, method, target) or Failure(
            kind=ErrorKind.NOT_FOUND,
            reason=f'{service} has no call {method} {target}',
        )

    async def _serve_repeatable(self, call: ServiceCall) -> CallResponse:
        outcomes = self._deps.outcomes
        call = replace(call, budget=call.active.limit_budget(call.budget))
        call.active.request_id = call.request_id
        outcomes.record_start(call.team, call.request_id)
        outcome = await self._try_agents(call)
        if isinstance(outcome, Failure):
            outcomes.record_end(call.team, call.request_id, outcome)
            return CallResponse(outcome, call.request_id)
        outcomes.record_end(
            call.team,
            call.request_id,
            RequestOutcome(
                state='done',
                status=outcome.status,
                body_digest=format_digest(body_digest(outcome.body)),
            ),
        )
        return CallResponse(service_response(outcome), call.request_id)

    async def _try_agents(self, call: ServiceCall) -> CallResult | Failure:
        self._retries.record_first_attempt()
        source = _CallAttempts(self, call)
        outcome = await Handover(source).run()
        if outcome is not None:
            return outcome
        return failure_of_attempts(
            source.failure, may_have_run=source.may_have_run
        )

    def _take_retry(self) -> bool:
        taken = self._retries.acquire_retry()
        if taken:
            self._deps.metrics.count(Metric.CALL_RETRIES)
        return taken

    async def _serve_non_repeatable(
        self,
        call: ServiceCall,
        idempotency_key: str,
    ) -> CallResponse:
        idempotency_key = idempotency_key or call.request_id
        if (
            len(idempotency_key) > MAX_IDEMPOTENCY_KEY_CHARS
            or not idempotency_key.isascii()
            or '/' in idempotency_key
        ):
            return CallResponse(
                Failure(
                    kind=ErrorKind.BAD_REQUEST,
                    reason='Idempotency-Key must be ASCII without "/", '
                    f'at most {MAX_IDEMPOTENCY_KEY_CHARS} characters',
                ),
            )
        call.active.request_id = idempotency_key
        refusal = self._check_claimable(call)
        if refusal is not None:
            return CallResponse(refusal, idempotency_key)
        claim_request = ClaimRequest(
            key=claim_key(call.team, idempotency_key),
            call_digest=call_digest(
                call.method,
                f'{call.service}{call.target}',
                call.body,
            ),
            timeout_ms=call.budget.remaining_ms(),
        )
        claim_result = await self._claim_call(claim_request, call)
        if isinstance(claim_result, ClaimRecord):
            return CallResponse(
                response_from_record(claim_result, claim_request),
                idempotency_key,
            )
        if isinstance(claim_result, Failure):
            return CallResponse(claim_result, idempotency_key)
        outcome = await self._send_recorded(call, claim_result, idempotency_key)
        if isinstance(outcome, Failure):
            return CallResponse(outcome, idempotency_key)
        return CallResponse(service_response(outcome), idempotency_key)

    def _check_claimable(self, call: ServiceCall) -> Failure | None:
        """Return a refusal if the call would not be sent once claimed."""
        if call.active.may_outlast_process(call.budget):
            return stopping_failure()
        if self._choose_agent(call.service, set()) is None:
            return no_agent_failure()
        return None

    async def _send_recorded(
        self,
        call: ServiceCall,
        claim: HeldClaim,
        idempotency_key: str,
    ) -> CallResult | Failure:
        """Send a claimed call and record its outcome, also if cancelled."""
        outcome: CallResult | Failure | None = None
        try:
            outcome = await self._send_claimed(call, claim, idempotency_key)
        finally:
            self._deps.claims.record_outcome(
                claim, claim_outcome(outcome or call.active.cut_failure())
            )
        return outcome

    async def _send_claimed(
        self,
        call: ServiceCall,
        claim: HeldClaim,
        idempotency_key: str,
    ) -> CallResult | Failure:
        link = self._choose_agent(call.service, set())
        if link is None:
            return no_agent_failure()
        claimed_call = replace(
            call,
            # Unique across teams, and the same for each use of a key.
            request_id=claim.request.key.hex(),
            headers=(*call.headers, ('idempotency-key', idempotency_key)),
        )
        attempt = self._new_attempt(
            claimed_call,
            0,
            claim.request.writer_token.hex(),
            claim.fencing_token,
        )
        if call.active.may_outlast_process(call.budget):
            return stopping_failure()
        if not self._deps.claims.has_time_to_send(call.budget):
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the time budget was used up before the call was sent',
            )
        link.outstanding_requests += 1
        try:
            return await self._send_attempt(link, attempt, OnlyTurn())
        finally:
            link.outstanding_requests -= 1

    async def _claim_call(
        self,
        claim_request: ClaimRequest,
        call: ServiceCall,
    ) -> ClaimResult:
        metrics = self._deps.metrics
        with (
            self._deps.tracer.span('entry.claim', call.trace),
            metrics.timed(Metric.CLAIM_TIME),
        ):
            claim_result = await self._deps.claims.claim(
                claim_request,
                call.budget,
            )
        if isinstance(claim_result, Failure):
            metrics.count(Metric.CLAIMS_REFUSED)
        elif isinstance(claim_result, ClaimRecord):
            metrics.count(Metric.CLAIMS_KNOWN)
        else:
            metrics.count(Metric.CLAIMS_MADE)
        return claim_result

    async def _send_attempt(
        self,
        link: AgentLink,
        attempt: CallAttempt,
        turn: Turn,
    ) -> CallResult | Failure:
        metrics = self._deps.metrics
        metrics.count(Metric.CALL_ATTEMPTS)
        trace = attempt.call.trace
        with (
            self._deps.tracer.span('entry.attempt', trace) as span,
            metrics.timed(Metric.CALL_TIME),
        ):
            call = replace(attempt.call, trace=span.traceparent)
            return await send_attempt(link, replace(attempt, call=call), turn)

    def _new_attempt(
        self,
        call: ServiceCall,
        number: int,
        claim_token: str = '',
        fencing_token: int = 0,
    ) -> CallAttempt:
        return CallAttempt(
            call=call,
            number=number,
            config_generation=self._deps.config.number,
            claim_token=claim_token,
            fencing_token=fencing_token,
        )

    def _choose_agent(
        self,
        service: str,
        tried: set[AgentLink],
    ) -> AgentLink | None:
        """Return the agent with the fewest calls; prefer the same zone."""
        best: AgentLink | None = None
        best_rank = (False, 0, False, 0.0)
        for link in self._deps.pool.links:
            if link in tried or not self._can_serve(service, link):
                continue
            running = (
                0 if link.reported_load is None else link.reported_load.running
            )
            rank = (
                link.silent,
                # The load report is delayed; calls of this entry are not.
                max(running, link.outstanding_requests),
                link.instance.zone != self._deps.cfg.zone,
                random.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = link, rank
        return best

    def _can_serve(self, service: str, link: AgentLink) -> bool:
        load = link.reported_load
        if load is None or not link.connected or link.leaving:
            return False
        if load.kind != 'service' or load.service != service:
            return False
        if load.state != 'serving':
            return False
        config = self._deps.config
        return config.is_zone_in_service(
            link.instance.zone
        ) and config.is_endpoint_in_service(link.endpoint)


class _CallAttempts(AttemptSource[CallResult]):
    """Chooses the agents of one repeatable call's attempts."""

    def __init__(self, calls: ServiceCalls, call: ServiceCall) -> None:
        self.calls: Final = calls
        self.call: Final = call
        self.failure = no_agent_failure()
        self.may_have_run = False
        self._tried: Final[set[AgentLink]] = set()

    def plan_next(self) -> PlannedAttempt[CallResult] | None:
        number = len(self._tried)
        if number >= MAX_ATTEMPTS:
            return None
        link = self.calls.choose_other_agent(self.call, self._tried)
        if link is None:
            return None
        self._tried.add(link)
        return _RepeatableAttempt(self, number, link)

    def record_failure(
        self, attempt: PlannedAttempt[CallResult], failure: Failure
    ) -> bool:
        self.failure = failure
        if not guarantees_not_run(failure.kind):
            self.may_have_run = True
        return failure.kind is not ErrorKind.BAD_REQUEST


class _RepeatableAttempt(PlannedAttempt[CallResult]):
    def __init__(
        self, attempts: _CallAttempts, number: int, link: AgentLink
    ) -> None:
        self._attempts: Final = attempts
        self._number: Final = number
        self._link: Final = link
        # Other calls are placed before this one is sent.
        link.outstanding_requests += 1

    async def run(self, turn: Turn) -> CallResult | Failure:
        attempts = self._attempts
        try:
            return await attempts.calls.try_agent(
                self._link, attempts.call, self._number, turn
            )
        finally:
            self._link.outstanding_requests -= 1


def _service_and_target(scope: Scope) -> tuple[str, str]:
    raw_path = scope['raw_path'].decode('latin-1').removeprefix(PATH_PREFIX)
    service, _, path = raw_path.partition('/')
    _, mark, query = request_target(scope).decode('latin-1').partition('?')
    return service, f'/{path}{mark}{query}'


def _forwarded_headers(scope: Scope) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in scope['headers']
        if name in _FORWARDED_HEADERS
    )
