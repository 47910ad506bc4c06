"""Calls of plain services.

A repeatable call is tried on other agents within its time budget and under
a retry budget. A non-repeatable call is claimed and then sent at most once.
"""

import random
import secrets
from dataclasses import dataclass, replace
from typing import Final

from masticwind.budget import MS_PER_S, Budget
from masticwind.call_rules import find_rule, is_plain_path
from masticwind.config.current import CurrentConfig
from masticwind.config.model import CallRule
from masticwind.entry.agent_pool import AgentLink, AgentPool
from masticwind.entry.call_answers import (
    claim_outcome,
    first_truth,
    no_agent,
    recorded_answer,
    service_response,
)
from masticwind.entry.call_send import (
    Sending,
    ServiceCall,
    send_call,
)
from masticwind.entry.chat import TIMEOUT_HEADER, Caller, read_timeout
from masticwind.entry.claim_records import (
    Order,
    Record,
    body_digest,
    call_identity,
    claim_key,
)
from masticwind.entry.claim_waiters import ClaimAnswer, Claimed
from masticwind.entry.claims import Claims
from masticwind.entry.outcomes import Outcome, RequestLog, digest_text
from masticwind.entry.retries import RetryBudget
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.metrics import Metric, Metrics
from masticwind.protocol.messages import CallResult
from masticwind.settings import EntrySettings
from masticwind.tracing import Tracer
from masticwind.web import (
    Receive,
    Response,
    Scope,
    header,
    read_body,
)

PREFIX: Final = '/v1/services/'
REQUEST_ID_BYTES: Final = 16
MAX_ATTEMPTS: Final = 3
MAX_KEY_CHARS: Final = 128
# A call travels in one frame of the inner protocol.
MAX_CALL_BYTES: Final = 524_288
MAX_TARGET_CHARS: Final = 4096
_FORWARDED: Final = (b'content-type', b'accept', b'accept-language')


@dataclass(frozen=True, slots=True)
class CallParts:
    """What the calls work with."""

    cfg: EntrySettings
    config: CurrentConfig
    pool: AgentPool
    claims: Claims
    log: RequestLog
    metrics: Metrics
    tracer: Tracer


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a caller; empty `request_id` if none was given out."""

    content: Response | Failure
    request_id: str = ''


class Calls:
    """Serves calls of plain services."""

    def __init__(self, parts: CallParts) -> None:
        self._parts: Final = parts
        self._retries: Final = RetryBudget(parts.cfg)

    async def serve(
        self,
        scope: Scope,
        receive: Receive,
        caller: Caller,
        trace: str = '',
    ) -> CallAnswer:
        """Serve one call of an authenticated team."""
        cfg = self._parts.cfg
        body = await read_body(
            receive,
            min(MAX_CALL_BYTES, cfg.max_body_bytes),
            cfg.body_timeout_ms / MS_PER_S,
        )
        if isinstance(body, Failure):
            return CallAnswer(body)
        service, target = _split_target(scope)
        rule = self._rule(service, scope['method'], target)
        if isinstance(rule, Failure):
            return CallAnswer(rule)
        timeout_ms = rule.timeout_ms
        if header(scope, TIMEOUT_HEADER):
            asked = read_timeout(scope, caller.tier)
            if isinstance(asked, Failure):
                return CallAnswer(asked)
            timeout_ms = asked
        call = ServiceCall(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            service=service,
            team=caller.name,
            paid=caller.tier.kind == 'paid',
            method=scope['method'],
            target=target,
            headers=_headers(scope),
            body=body,
            budget=Budget.from_ms(timeout_ms),
            trace=trace,
        )
        if rule.repeatable:
            return await self._repeatable(call)
        return await self._once(call, header(scope, b'idempotency-key'))

    def _rule(
        self,
        service: str,
        method: str,
        target: str,
    ) -> CallRule | Failure:
        config = self._parts.config
        found = config.config.services.get(service)
        if found is None:
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'no service {service}',
            )
        if len(target) > MAX_TARGET_CHARS or not is_plain_path(target):
            return Failure(
                kind=ErrorKind.BAD_REQUEST,
                reason='the path is too long or not in plain form',
            )
        return find_rule(found, method, target) or Failure(
            kind=ErrorKind.NOT_FOUND,
            reason=f'{service} has no call {method} {target}',
        )

    async def _repeatable(self, call: ServiceCall) -> CallAnswer:
        log = self._parts.log
        log.start(call.team, call.request_id)
        outcome = await self._attempts(call)
        if isinstance(outcome, Failure):
            log.finish(call.team, call.request_id, outcome)
            return CallAnswer(outcome, call.request_id)
        log.finish(
            call.team,
            call.request_id,
            Outcome(
                state='done',
                status=outcome.status,
                body_digest=digest_text(body_digest(outcome.body)),
            ),
        )
        return CallAnswer(service_response(outcome), call.request_id)

    async def _attempts(self, call: ServiceCall) -> CallResult | Failure:
        tried: set[AgentLink] = set()
        failure = no_agent()
        ran = False
        self._retries.record_first_attempt()
        for attempt in range(MAX_ATTEMPTS):
            link = self._choose(call.service, tried)
            if link is None or call.budget.expired():
                break
            if attempt and not self._may_retry():
                break
            tried.add(link)
            outcome = await self._attempt(link, call, attempt)
            if isinstance(outcome, CallResult):
                return outcome
            failure = outcome
            if failure.kind is ErrorKind.BAD_REQUEST:
                break
            ran = ran or not not_run(failure.kind)
        return first_truth(failure, ran=ran)

    def _may_retry(self) -> bool:
        allowed = self._retries.acquire_retry()
        if allowed:
            self._parts.metrics.count(Metric.CALL_RETRIES)
        return allowed

    async def _once(self, call: ServiceCall, key: str) -> CallAnswer:
        key = key or call.request_id
        if len(key) > MAX_KEY_CHARS or not key.isascii() or '/' in key:
            return CallAnswer(
                Failure(
                    kind=ErrorKind.BAD_REQUEST,
                    reason='Idempotency-Key must be ASCII without "/", '
                    f'at most {MAX_KEY_CHARS} characters',
                ),
            )
        if self._choose(call.service, set()) is None:
            return CallAnswer(no_agent(), key)
        order = Order(
            key=claim_key(call.team, key),
            identity=call_identity(
                call.method,
                f'{call.service}{call.target}',
                call.body,
            ),
            timeout_ms=call.budget.remaining_ms(),
        )
        claimed = await self._claim(order, call)
        if isinstance(claimed, Record):
            return CallAnswer(recorded_answer(claimed, order), key)
        if isinstance(claimed, Failure):
            return CallAnswer(claimed, key)
        outcome = await self._send_once(call, claimed, key)
        self._parts.claims.finish(claimed, claim_outcome(outcome))
        if isinstance(outcome, Failure):
            return CallAnswer(outcome, key)
        return CallAnswer(service_response(outcome), key)

    async def _send_once(
        self,
        call: ServiceCall,
        claimed: Claimed,
        key: str,
    ) -> CallResult | Failure:
        link = self._choose(call.service, set())
        if link is None:
            return no_agent()
        named = replace(
            call,
            # Unique across teams, and the same whenever the key is the same.
            request_id=claimed.order.key.hex(),
            headers=(*call.headers, ('idempotency-key', key)),
        )
        sending = self._sending(
            named,
            0,
            claimed.order.token.hex(),
            claimed.fencing,
        )
        if not self._parts.claims.in_time(call.budget):
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the time budget was used up before the call was sent',
            )
        return await self._send(link, sending)

    async def _claim(self, order: Order, call: ServiceCall) -> ClaimAnswer:
        metrics = self._parts.metrics
        with (
            self._parts.tracer.span('entry.claim', call.trace),
            metrics.timed(Metric.CLAIM_TIME),
        ):
            claimed = await self._parts.claims.claim(order, call.budget)
        if isinstance(claimed, Failure):
            metrics.count(Metric.CLAIMS_REFUSED)
        elif isinstance(claimed, Record):
            metrics.count(Metric.CLAIMS_KNOWN)
        else:
            metrics.count(Metric.CLAIMS_MADE)
        return claimed

    async def _send(
        self,
        link: AgentLink,
        sending: Sending,
    ) -> CallResult | Failure:
        metrics = self._parts.metrics
        metrics.count(Metric.CALL_ATTEMPTS)
        trace = sending.call.trace
        with (
            self._parts.tracer.span('entry.attempt', trace) as span,
            metrics.timed(Metric.CALL_TIME),
        ):
            call = replace(sending.call, trace=span.context)
            return await send_call(link, replace(sending, call=call))

    async def _attempt(
        self,
        link: AgentLink,
        call: ServiceCall,
        attempt: int,
    ) -> CallResult | Failure:
        return await self._send(link, self._sending(call, attempt))

    def _sending(
        self,
        call: ServiceCall,
        attempt: int,
        claim: str = '',
        fencing: int = 0,
    ) -> Sending:
        return Sending(
            call=call,
            attempt=attempt,
            generation=self._parts.config.number,
            claim=claim,
            fencing=fencing,
        )

    def _choose(
        self,
        service: str,
        tried: set[AgentLink],
    ) -> AgentLink | None:
        """Return the agent with the fewest calls, own zone when equal."""
        best: AgentLink | None = None
        best_rank = (0, False, 0.0)
        for link in self._parts.pool.links:
            if link in tried or not self._may_serve(service, link):
                continue
            running = (
                0 if link.reported_load is None else link.reported_load.running
            )
            rank = (
                # The report lags; own calls are known at once.
                max(running, link.outstanding_requests),
                link.instance.zone != self._parts.cfg.zone,
                random.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = link, rank
        return best

    def _may_serve(self, service: str, link: AgentLink) -> bool:
        load = link.reported_load
        if load is None or not link.connected or link.leaving:
            return False
        if load.kind != 'service' or load.service != service:
            return False
        if load.state != 'serving':
            return False
        config = self._parts.config
        return config.is_zone_in_service(
            link.instance.zone
        ) and config.is_endpoint_in_service(link.endpoint)


def _split_target(scope: Scope) -> tuple[str, str]:
    raw = scope['raw_path'].decode('latin-1').removeprefix(PREFIX)
    service, _, path = raw.partition('/')
    target = f'/{path}'
    if scope['query_string']:
        text = scope['query_string'].decode('latin-1')
        target = f'{target}?{text}'
    return service, target


def _headers(scope: Scope) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode('latin-1'), content.decode('latin-1'))
        for name, content in scope['headers']
        if name in _FORWARDED
    )
