"""Calls of plain services.

A repeatable call is tried on other agents within its time budget and under
a retry budget. A non-repeatable call is claimed and then sent at most once.
"""

import random
import secrets
from dataclasses import dataclass
from typing import Final

from masticwind.budget import Budget
from masticwind.callrules import find_rule, is_plain_path
from masticwind.config.current import CurrentConfig
from masticwind.config.model import CallRule
from masticwind.entry.callsend import Sending, ServiceCall, send_call
from masticwind.entry.chat import TIMEOUT_HEADER, Caller, read_timeout
from masticwind.entry.claim_bucket import Claimed
from masticwind.entry.claim_records import (
    ClaimState,
    Order,
    Record,
    body_digest,
    call_identity,
    claim_key,
)
from masticwind.entry.claims import ClaimOutcome, Claims
from masticwind.entry.outcomes import Outcome, RequestLog, digest_text
from masticwind.entry.peers import AgentLink, AgentPool
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.protocol.messages import CallResult
from masticwind.settings import EntrySettings
from masticwind.web import (
    Receive,
    Response,
    Scope,
    header,
    read_body,
)

PREFIX: Final = '/v1/services/'
MS_PER_S: Final = 1000
REQUEST_ID_BYTES: Final = 16
MAX_ATTEMPTS: Final = 3
MAX_KEY_CHARS: Final = 128
# A call travels in one frame of the inner protocol.
MAX_CALL_BYTES: Final = 524_288
MAX_TARGET_CHARS: Final = 4096
# Larger response bodies are recorded by digest only.
MAX_RECORDED_BYTES: Final = 256
NO_AGENT_RETRY_MS: Final = 1000
RETRY_BURST: Final = 10.0
_FORWARDED: Final = (b'content-type', b'accept', b'accept-language')


@dataclass(frozen=True, slots=True)
class CallParts:
    """What the calls work with."""

    cfg: EntrySettings
    config: CurrentConfig
    pool: AgentPool
    claims: Claims
    log: RequestLog


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a caller; empty `request_id` if none was given out."""

    content: Response | Failure
    request_id: str = ''


class RetryBudget:
    """Allows retries as a share of first attempts, with a small burst."""

    def __init__(self, share: float) -> None:
        self._share: Final = share
        self._tokens = RETRY_BURST

    def first(self) -> None:
        """Note a first attempt."""
        self._tokens = min(RETRY_BURST, self._tokens + self._share)

    def take(self) -> bool:
        """Use one retry, if there is one left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Calls:
    """Serves calls of plain services."""

    def __init__(self, parts: CallParts) -> None:
        self._parts: Final = parts
        self._retries: Final = RetryBudget(parts.cfg.retry_share)

    async def serve(
        self,
        scope: Scope,
        receive: Receive,
        caller: Caller,
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
        return CallAnswer(_response(outcome), call.request_id)

    async def _attempts(self, call: ServiceCall) -> CallResult | Failure:
        tried: set[AgentLink] = set()
        failure = _no_agent()
        ran = False
        self._retries.first()
        for attempt in range(MAX_ATTEMPTS):
            link = self._choose(call.service, tried)
            if link is None or call.budget.expired():
                break
            if attempt and not self._retries.take():
                break
            tried.add(link)
            outcome = await send_call(link, self._sending(call, attempt))
            if isinstance(outcome, CallResult):
                return outcome
            failure = outcome
            if failure.kind is ErrorKind.BAD_REQUEST:
                break
            ran = ran or not not_run(failure.kind)
        return _first_truth(failure, ran=ran)

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
            return CallAnswer(_no_agent(), key)
        order = Order(
            key=claim_key(call.team, key),
            identity=call_identity(
                call.method,
                f'{call.service}{call.target}',
                call.body,
            ),
            timeout_ms=call.budget.remaining_ms(),
        )
        claimed = await self._parts.claims.claim(order, call.budget)
        if isinstance(claimed, Record):
            return CallAnswer(_recorded(claimed, order), key)
        if isinstance(claimed, Failure):
            return CallAnswer(claimed, key)
        outcome = await self._send_once(call, claimed, key)
        self._parts.claims.finish(claimed, _claim_outcome(outcome))
        if isinstance(outcome, Failure):
            return CallAnswer(outcome, key)
        return CallAnswer(_response(outcome), key)

    async def _send_once(
        self,
        call: ServiceCall,
        claimed: Claimed,
        key: str,
    ) -> CallResult | Failure:
        link = self._choose(call.service, set())
        if link is None:
            return _no_agent()
        named = ServiceCall(
            # Unique across teams, and the same whenever the key is the same.
            request_id=claimed.order.key.hex(),
            service=call.service,
            team=call.team,
            paid=call.paid,
            method=call.method,
            target=call.target,
            headers=(*call.headers, ('idempotency-key', key)),
            body=call.body,
            budget=call.budget,
            trace=call.trace,
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
        return await send_call(link, sending)

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
            running = 0 if link.load_view is None else link.load_view.running
            rank = (
                # The report lags; own calls are known at once.
                max(running, link.outstanding),
                link.instance.zone != self._parts.cfg.zone,
                random.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = link, rank
        return best

    def _may_serve(self, service: str, link: AgentLink) -> bool:
        load = link.load_view
        if load is None or not link.connected or link.leaving:
            return False
        if load.kind != 'service' or load.service != service:
            return False
        if load.state != 'serving':
            return False
        config = self._parts.config
        return config.zone_in_service(
            link.instance.zone
        ) and config.endpoint_in_service(link.endpoint)


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


def _no_agent() -> Failure:
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason='no endpoint of the service can take the call',
        retry_after_ms=NO_AGENT_RETRY_MS,
    )


def _first_truth(outcome: Failure, *, ran: bool) -> Failure:
    """An earlier attempt may have run even if the last one was refused."""
    if ran and not_run(outcome.kind):
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason=f'an attempt may have run; the last one: {outcome.reason}',
        )
    return outcome


def _response(result: CallResult) -> Response:
    return Response(
        result.status,
        result.body,
        result.content_type.encode('latin-1'),
    )


def _claim_outcome(outcome: CallResult | Failure) -> ClaimOutcome:
    if isinstance(outcome, Failure):
        if not_run(outcome.kind):
            return ClaimOutcome(state=ClaimState.NOT_RUN)
        if outcome.kind is ErrorKind.FAILED_AFTER_START:
            return ClaimOutcome(state=ClaimState.FAILED)
        return ClaimOutcome(state=ClaimState.UNKNOWN)
    small = len(outcome.body) <= MAX_RECORDED_BYTES
    return ClaimOutcome(
        state=ClaimState.DONE,
        status=outcome.status,
        digest=body_digest(outcome.body),
        content_type=outcome.content_type if small else '',
        body=outcome.body if small else b'',
    )


def _recorded(record: Record, order: Order) -> Response | Failure:
    """Answer a call whose key is claimed already."""
    if record.identity != order.identity:
        return Failure(
            kind=ErrorKind.KEY_REUSED,
            reason='the key was used for a different call',
        )
    if record.state is ClaimState.DONE:
        if record.digest == body_digest(record.body):
            return Response(
                record.status,
                record.body,
                record.content_type.encode('latin-1'),
            )
        return Failure(
            kind=ErrorKind.DUPLICATE,
            reason=f'completed with status {record.status} and body '
            f'{digest_text(record.digest)}, which is not kept',
        )
    if record.state is ClaimState.CLAIMED:
        return Failure(kind=ErrorKind.DUPLICATE, reason='claimed already')
    if record.state is ClaimState.FAILED:
        return Failure(kind=ErrorKind.FAILED_AFTER_START, reason='failed')
    return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason='outcome unknown')
