"""Runs a request on the engine until it ends or is preempted.

When `Runner.run` returns, the engine should hold nothing of the request.
Anything left by a failed cancellation is found by `reconcile`.
"""

import time
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.agent.drain import CANCEL_SHARE, closing_time_s
from masticwind.agent.ramp import Ramp
from masticwind.agent.rates import Rates
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import RunningRequests
from masticwind.agent.shares import ShareLeases
from masticwind.agent.steps import StepFeeder
from masticwind.engines.base import (
    Done,
    Engine,
    EngineEvent,
    EngineReport,
    EngineRequest,
    Tokens,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import End
from masticwind.settings import AgentSettings

CANCEL_TIMEOUT_S: Final = 3.0
CRASH_CHECK_TIMEOUT_S: Final = 0.4
# Failures of a connection; the former breaks before the answer begins.
_LOST_KINDS: Final = frozenset(
    (ErrorKind.FAILED_AFTER_START, ErrorKind.OUTCOME_UNKNOWN)
)
MAX_RESUMES: Final = 3
RESUME_DELAY_S: Final = 0.1
# Longer prompts get a lower priority in the engine.
SHORT_PROMPT_TOKENS: Final = 4096
SHORT_PRIORITY: Final = 0
MEDIUM_PRIORITY: Final = 1


@dataclass(frozen=True, slots=True)
class Runner:
    """Submits requests to the engine and forwards their output."""

    cfg: AgentSettings
    engine: Engine
    rates: Rates
    ramp: Ramp
    running: RunningRequests
    step_feeder: StepFeeder
    shares: ShareLeases

    async def run(self, req: AgentRequest) -> None:
        """Run a request until it ends or is preempted.

        If the request has no `end` afterwards, it was preempted before its
        first token and can be queued again.
        """
        req.started = True
        engine_done = False
        cancel_scope = anyio.CancelScope(
            deadline=anyio.current_time() + req.budget.remaining_s(),
        )
        req.cancel_scope = cancel_scope
        try:
            with cancel_scope:
                engine_done = await self._run_on_engine(req)
            if cancel_scope.cancelled_caught and not req.preempted:
                end_with_error(
                    req, ErrorKind.TIMED_OUT, 'time budget is used up'
                )
        finally:
            req.cancel_scope = None
            self._end_prefill(req, 0)
            if not engine_done:
                await self._cancel_on_engine(req)
            self.running.remove(req)

    async def _run_on_engine(self, req: AgentRequest) -> bool:
        """Run all phases; return false if the engine needs a cancellation."""
        if req.holds_share:
            await self.shares.hold_share(req)
            return True
        failure = await self.shares.import_shares(req)
        if (
            failure is None
            and not req.adopted_engine_id
            and self.step_feeder.uses_steps(req)
        ):
            failure = await self.step_feeder.feed(req)
        if failure is None:
            failure = await self._generate(req)
        if failure is None:
            return True
        if req.end is None:
            self._fail(req, failure, await self._crashed_engine(req, failure))
        return False

    async def _crashed_engine(self, req: AgentRequest, failure: Failure) -> str:
        """Return the boot id of the engine if its process has ended."""
        if req.generated_tokens or failure.kind not in _LOST_KINDS:
            return ''
        report: EngineReport | Failure | None = None
        with anyio.move_on_after(CRASH_CHECK_TIMEOUT_S):
            report = await self.engine.read_report()
        # Nothing was sent and nothing is silent: the connection was refused.
        refused = (
            isinstance(report, Failure)
            and report.kind is ErrorKind.NO_CAPACITY
            and not report.silent
        )
        return self.ramp.boot_id if refused else ''

    async def _generate(self, req: AgentRequest) -> Failure | None:
        """Generate the output; resume a stream whose connection broke."""
        req.prefill_started_at = self.rates.begin_prefill()
        failure = await self._read_events(req)
        for _ in range(MAX_RESUMES):
            if failure is None or not _is_broken(failure):
                return failure
            # The engine may have crashed: until that is known, the cold
            # capacity applies.
            self.ramp.record_failure()
            if not req.generated_tokens:
                if not failure.silent:
                    return failure
                req.report_silence()
            await anyio.sleep(RESUME_DELAY_S)
            failure = await self._read_events(req)
        return failure

    async def _read_events(self, req: AgentRequest) -> Failure | None:
        async with self.engine.generate(self._engine_request(req)) as events:
            async for event in events:
                if isinstance(event, Failure):
                    return event
                req.reached_engine = True
                failure = self._apply_event(req, event)
                if req.end is not None or failure is not None:
                    return failure
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN, reason='the stream ended early'
        )

    def _apply_event(
        self, req: AgentRequest, event: EngineEvent
    ) -> Failure | None:
        if isinstance(event, Tokens):
            self._emit_tokens(req, event)
            return None
        assert isinstance(event, Done)
        self._end_prefill(req, req.uncached_tokens)
        if event.generated_tokens != req.generated_tokens:
            return Failure(
                kind=ErrorKind.FAILED_AFTER_START,
                reason=(
                    f'{req.generated_tokens} of '
                    f'{event.generated_tokens} tokens arrived'
                ),
            )
        req.cached_tokens = event.cached_tokens
        self.rates.record_output(req.generated_tokens, req.offer.max_tokens)
        self.ramp.record_completion()
        req.finish(
            End(
                *req.key, req.generated_tokens, cached_tokens=req.cached_tokens
            ),
        )
        return None

    def _emit_tokens(self, req: AgentRequest, event: Tokens) -> None:
        new_tokens = event.tokens[max(0, req.generated_tokens - event.offset) :]
        if not new_tokens or event.offset > req.generated_tokens:
            return
        now = time.monotonic()
        if not req.generated_tokens:
            cached_tokens = max(event.cached_tokens, req.prefilled_tokens)
            uncached_tokens = max(1, req.offer.prompt_tokens - cached_tokens)
            self._end_prefill(req, uncached_tokens)
        elif req.last_token_at:
            interval_s = (now - req.last_token_at) / len(new_tokens)
            self.rates.record_decode_interval(interval_s)
            outstanding_tokens = self.running.total_prefill_tokens()
            computed_tokens = (
                self.rates.computed_tokens - req.computed_at_last_output
            )
            self.ramp.record_interval(
                interval_s, outstanding_tokens + computed_tokens
            )
        req.computed_at_last_output = self.rates.computed_tokens
        req.last_token_at = now
        req.send_output(new_tokens)

    def _end_prefill(self, req: AgentRequest, computed_tokens: int) -> None:
        if req.prefill_started_at:
            self.rates.end_prefill(req.prefill_started_at, computed_tokens)
            req.prefill_started_at = 0
        self.running.mark_prefill_done(req)

    def _engine_request(self, req: AgentRequest) -> EngineRequest:
        offer = req.offer
        return EngineRequest(
            request_id=req.engine_id,
            model=offer.model,
            prompt=bytes(req.body),
            prompt_tokens=offer.prompt_tokens,
            max_tokens=offer.max_tokens,
            priority=self._priority(req),
            resume_offset=req.generated_tokens,
            imported_handles=req.imported_handles,
        )

    def _priority(self, req: AgentRequest) -> int:
        uncached_tokens = req.offer.prompt_tokens - req.prefilled_tokens
        if not req.offer.paid or uncached_tokens >= self.cfg.long_prompt_tokens:
            return self.step_feeder.engine_priority(req)
        return (
            SHORT_PRIORITY
            if uncached_tokens <= SHORT_PROMPT_TOKENS
            else MEDIUM_PRIORITY
        )

    def _fail(
        self, req: AgentRequest, failure: Failure, crashed_engine: str
    ) -> None:
        if failure.kind is ErrorKind.NO_CAPACITY and not req.reached_engine:
            end_with_error(req, failure.kind, failure.reason)
            return
        # If the engine has failed, its other streams fail at the same time.
        self.ramp.record_failure()
        req.finish(
            End(
                *req.key,
                req.generated_tokens,
                ErrorKind.FAILED_AFTER_START,
                failure.reason,
                crashed_engine=crashed_engine,
                answer_begun=failure.kind is ErrorKind.OUTCOME_UNKNOWN,
            )
        )

    async def _cancel_on_engine(self, req: AgentRequest) -> None:
        timeout_s = min(
            CANCEL_TIMEOUT_S, closing_time_s(self.cfg) * CANCEL_SHARE
        )
        with anyio.move_on_after(timeout_s, shield=True):
            await self.engine.cancel(req.engine_id)


def _is_broken(failure: Failure) -> bool:
    """Tell whether the engine may still run a request after a failure."""
    return failure.silent or failure.kind is ErrorKind.OUTCOME_UNKNOWN


def end_with_error(req: AgentRequest, kind: ErrorKind, reason: str) -> None:
    """End a request with an error unless it has already ended."""
    if req.end is None:
        req.finish(End(*req.key, req.generated_tokens, kind, reason))
