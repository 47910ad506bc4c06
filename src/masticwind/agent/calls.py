"""Executes calls to a plain service that an agent fronts.

A claimed call is executed at most once. Results are retained for a while, so
that an entry whose connection was replaced can still fetch the outcome.
"""

import time
from dataclasses import dataclass, field
from typing import Final, Literal

import anyio

from masticwind.agent.drain import log_cut
from masticwind.budget import MS_PER_S, Budget
from masticwind.call_rules import find_rule
from masticwind.config.current import CurrentConfig
from masticwind.engines.base import Service, ServiceRequest, ServiceResponse
from masticwind.errors import ErrorKind, Failure
from masticwind.metrics import Metric
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    Call,
    CallResult,
    Load,
    Resume,
    Revoke,
    Revoked,
)
from masticwind.settings import AgentSettings
from masticwind.telemetry import Telemetry

HEALTH_INTERVAL_S: Final = 0.5
RESULT_RETENTION_S: Final = 30.0
MAX_RETAINED_RESULTS: Final = 4096
MAX_RETAINED_RESULT_BYTES: Final = 67_108_864
# Must exceed the longest time that an entry waits for a claim and a
# connection.
CALL_TRACKING_S: Final = 600.0
MAX_TRACKED_CALLS: Final = 200_000
# A result must fit into one frame together with other messages.
MAX_RESPONSE_BYTES: Final = 524_288
MAX_REASON_CHARS: Final = 1000

_CallKey = tuple[str, int]


@dataclass(slots=True, eq=False)
class _AgentCall:
    message: Call
    budget: Budget
    channel: Channel
    result: CallResult | None = None
    arrived_at: float = field(default_factory=time.monotonic)
    ended_at: float = 0
    detached_at: float | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    @property
    def key(self) -> _CallKey:
        return self.message.request_id, self.message.attempt

    def finish(self, result: CallResult) -> None:
        self.result = result
        self.ended_at = time.monotonic()
        self.channel.send(result)

    def attach(self, channel: Channel) -> None:
        # The entry no longer reads from an older connection.
        if channel.number < self.channel.number:
            return
        self.channel = channel
        self.detached_at = None
        if self.result is not None:
            channel.send(self.result)


class FencingTokens:
    """The highest fencing token of each claimed call, kept for a time.

    While the table is full, new calls are refused: evicting a token early
    could let a delayed duplicate of its call run.
    """

    def __init__(self) -> None:
        self._highest_tokens: Final[dict[str, tuple[int, float]]] = {}

    def check_and_record(self, message: Call) -> Failure | None:
        """Record a call's token; refuse it unless higher than the last one."""
        now = time.monotonic()
        self._expire(now)
        highest_token, _ = self._highest_tokens.get(
            message.request_id, (-1, now)
        )
        if message.fencing <= highest_token:
            return Failure(
                kind=ErrorKind.DUPLICATE, reason='fencing token already used'
            )
        if len(self._highest_tokens) >= MAX_TRACKED_CALLS:
            return Failure(
                kind=ErrorKind.OVERLOADED, reason='too many recent calls'
            )
        # Reinserted, so that the dict stays ordered by age.
        self._highest_tokens.pop(message.request_id, None)
        self._highest_tokens[message.request_id] = (message.fencing, now)
        return None

    def _expire(self, now: float) -> None:
        while self._highest_tokens:
            oldest = next(iter(self._highest_tokens))
            if self._highest_tokens[oldest][1] > now - CALL_TRACKING_S:
                return
            self._highest_tokens.pop(oldest)


class CallExecutor:
    """Executes the calls of one plain service and retains their results."""

    def __init__(
        self,
        cfg: AgentSettings,
        config: CurrentConfig,
        service: Service,
        telemetry: Telemetry,
    ) -> None:
        self._cfg: Final = cfg
        self._config: Final = config
        self._service: Final = service
        self._metrics: Final = telemetry.metrics
        self._tracer: Final = telemetry.tracer
        self._running = 0
        self._healthy = False
        self._fencing_tokens: Final = FencingTokens()
        self._calls: Final[dict[_CallKey, _AgentCall]] = {}
        self._revoked: Final[dict[str, float]] = {}
        self.draining = False

    @property
    def idle(self) -> bool:
        """Whether no call is running or undelivered.

        The result of a call whose connection was lost stays undelivered until
        a `Resume` arrives or the grace period is over.
        """
        cutoff = time.monotonic() - self._cfg.orphan_grace_ms / MS_PER_S
        detached = any(
            call.detached_at is not None
            and max(call.detached_at, call.ended_at) > cutoff
            for call in self._calls.values()
        )
        return self._running == 0 and not detached

    async def run(self) -> None:
        """Poll the service's health and expire results until cancelled."""
        while True:
            self._healthy = await self._service.healthy()
            self._expire_results()
            await anyio.sleep(HEALTH_INTERVAL_S)

    async def execute(self, channel: Channel, message: Call) -> None:
        """Execute a call and send its result.

        A duplicate message receives the result of the call already known.
        """
        call = _AgentCall(message, Budget.from_ms(message.timeout_ms), channel)
        self._metrics.count(Metric.AGENT_CALLS)
        known = self._calls.get(call.key)
        if known is not None and known.message.claim == message.claim:
            known.attach(channel)
            return
        refusal = self._check_refusal(message)
        if refusal is not None:
            channel.send(_failure_result(call.key, refusal))
            return
        self._calls[call.key] = call
        self._running += 1
        self._metrics.gauge(Metric.AGENT_CALLS_RUNNING, self._running)
        try:
            call.finish(await self._make_call(call))
        finally:
            self._running -= 1
            self._metrics.gauge(Metric.AGENT_CALLS_RUNNING, self._running)

    def resume(self, channel: Channel, message: Resume) -> None:
        """Send the result of a call, once it has ended, on a new connection."""
        key = (message.request_id, message.attempt)
        call = self._calls.get(key)
        if call is not None:
            call.attach(channel)
            return
        # The lost connection may still deliver the call, which must not run.
        self._revoke(message.request_id)
        channel.send(
            _failure_result(
                key,
                Failure(
                    kind=ErrorKind.OUTCOME_UNKNOWN,
                    reason='the call is unknown to the agent',
                ),
            )
        )

    def revoke(self, channel: Channel, message: Revoke) -> None:
        """Refuse a call from now on and report whether it had started."""
        self._revoke(message.request_id)
        key = (message.request_id, message.attempt)
        channel.send(Revoked(*key, key in self._calls))

    def detach_channel(self, channel: Channel) -> None:
        """Mark the calls of a lost connection as waiting for a resume.

        A result that was sent longer ago has arrived: otherwise the connection
        would have been taken for silent earlier.
        """
        now = time.monotonic()
        sent_since = now - self._cfg.peers.silence_ms / MS_PER_S
        for call in self._calls.values():
            if call.channel is not channel:
                continue
            if call.result is None or call.ended_at > sent_since:
                call.detached_at = now

    def cut(self) -> None:
        """End all calls because the agent stops."""
        for call in self._calls.values():
            if call.result is not None:
                continue
            log_cut(
                call.message.request_id,
                time.monotonic() - call.arrived_at,
                ErrorKind.OUTCOME_UNKNOWN,
                answer_begun=False,
            )
            call.scope.cancel()

    def load_report(self) -> Load:
        """Return the load report for heartbeats."""
        return Load(
            state=self._load_state(),
            kind='service',
            service=self._cfg.service,
            slots=max(0, self._cfg.max_running - self._running),
            running=self._running,
        )

    async def _make_call(self, call: _AgentCall) -> CallResult:
        response: ServiceResponse | Failure = Failure(
            kind=ErrorKind.TIMED_OUT,
            reason='the service did not respond in time',
        )
        if call.budget.is_expired():
            response = Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the timeout passed before the call started',
            )
            return _failure_result(call.key, response)
        with (
            self._tracer.span('agent.call', call.message.trace),
            self._metrics.timed(Metric.AGENT_CALL_TIME),
            call.scope,
            anyio.move_on_after(call.budget.remaining_s()),
        ):
            response = await self._service.call(_service_request(call))
        if call.scope.cancelled_caught:
            response = Failure(
                kind=ErrorKind.OUTCOME_UNKNOWN, reason='the agent was stopped'
            )
        if isinstance(response, Failure):
            return _failure_result(call.key, response)
        if len(response.body) > MAX_RESPONSE_BYTES:
            return _failure_result(
                call.key,
                Failure(
                    kind=ErrorKind.FAILED_AFTER_START,
                    reason=f'the response exceeds {MAX_RESPONSE_BYTES} bytes',
                ),
            )
        return CallResult(
            *call.key,
            response.status,
            response.content_type,
            response.body,
        )

    def _load_state(self) -> Literal['serving', 'draining', 'out', 'down']:
        if self.draining:
            return 'draining'
        if not self._healthy:
            return 'down'
        if not self._in_service():
            return 'out'
        return 'serving'

    def _in_service(self) -> bool:
        return self._config.is_zone_in_service(
            self._cfg.zone
        ) and self._config.is_endpoint_in_service(self._cfg.endpoint)

    def _check_refusal(self, message: Call) -> Failure | None:
        if message.request_id in self._revoked:
            return Failure(
                kind=ErrorKind.REVOKED, reason='the call was revoked'
            )
        if message.claim:
            refusal = self._fencing_tokens.check_and_record(message)
        else:
            refusal = self._check_missing_claim(message)
        if refusal is not None:
            return refusal
        if self.draining:
            return Failure(
                kind=ErrorKind.DRAINING, reason='the agent is shutting down'
            )
        if not self._in_service():
            return Failure(
                kind=ErrorKind.ZONE_OUT, reason='the endpoint is out of service'
            )
        if self._running >= self._cfg.max_running:
            return Failure(
                kind=ErrorKind.OVERLOADED, reason='too many concurrent calls'
            )
        return None

    def _check_missing_claim(self, message: Call) -> Failure | None:
        """Refuse a call without a claim if its call rule requires one."""
        service = self._config.config.services.get(self._cfg.service)
        if service is None:
            return None
        rule = find_rule(service, message.method, message.path)
        if rule is None or rule.repeatable:
            return None
        return Failure(
            kind=ErrorKind.CONFLICT,
            reason='the call is non-repeatable and has no claim',
        )

    def _revoke(self, request_id: str) -> None:
        self._revoked.pop(request_id, None)
        self._revoked[request_id] = time.monotonic()
        if len(self._revoked) > MAX_TRACKED_CALLS:
            self._revoked.pop(next(iter(self._revoked)))

    def _expire_results(self) -> None:
        """Drop expired results, and the oldest ones beyond the size limits."""
        cutoff = time.monotonic() - RESULT_RETENTION_S
        ended = [
            call for call in self._calls.values() if call.result is not None
        ]
        ended.sort(key=lambda call: -call.ended_at)
        retained_bytes = 0
        for number, call in enumerate(ended):
            retained_bytes += (
                0 if call.result is None else len(call.result.body)
            )
            if call.ended_at < cutoff or number >= MAX_RETAINED_RESULTS:
                self._calls.pop(call.key)
            elif retained_bytes > MAX_RETAINED_RESULT_BYTES:
                self._calls.pop(call.key)
        for request_id, revoked_at in list(self._revoked.items()):
            if revoked_at > time.monotonic() - CALL_TRACKING_S:
                break
            self._revoked.pop(request_id)


def _service_request(call: _AgentCall) -> ServiceRequest:
    message = call.message
    return ServiceRequest(
        request_id=message.request_id,
        method=message.method,
        path=message.path,
        headers=(
            *message.headers,
            ('x-request-id', message.request_id),
            ('x-fencing-token', str(message.fencing)),
        ),
        body=message.body,
        timeout_s=call.budget.remaining_s(),
    )


def _failure_result(key: _CallKey, failure: Failure) -> CallResult:
    return CallResult(
        *key,
        kind=failure.kind,
        reason=failure.reason[:MAX_REASON_CHARS],
    )
