"""Chunked prefill: computes a long prompt in prefix steps.

Each step computes a longer prefix of the prompt into the engine's prefix
cache. Short requests run between the steps: a step waits until no short paid
request is in prefill, unless the long request is urgent. Of several long
prompts, the one with the least remaining work goes first.
"""

from dataclasses import dataclass
from typing import Final

from masticwind.agent.rates import Rates
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import RunningRequests
from masticwind.agent.scheduler import Scheduler
from masticwind.budget import MS_PER_S
from masticwind.engines.base import Done, Engine, EngineRequest
from masticwind.errors import ErrorKind, Failure
from masticwind.settings import AgentSettings
from masticwind.tokens import BLOCK_BYTES

TURN_POLL_INTERVAL_S: Final = 0.05
# Each step sends its whole prefix again, so the number of steps is limited.
MAX_STEPS: Final = 128
# After more silences of the engine in one step the request fails.
MAX_SILENCES: Final = 3
# After this many evictions the rest is computed without steps.
MAX_EVICTIONS: Final = 2
STEP_PRIORITY: Final = 2
URGENT_PRIORITY: Final = 0


@dataclass(frozen=True, slots=True)
class StepFeeder:
    """Computes prompts in steps before their output is generated."""

    cfg: AgentSettings
    engine: Engine
    rates: Rates
    running: RunningRequests
    scheduler: Scheduler

    def uses_steps(self, req: AgentRequest) -> bool:
        """Return whether a prompt is computed in steps.

        Free prompts always are, so that they yield to paid ones.
        """
        if req.holds_share or req.imported_handles:
            return False
        return not req.offer.paid or self.running.is_long(req)

    async def feed(self, req: AgentRequest) -> Failure | None:
        """Compute a prompt up to its last step, which `Runner` submits.

        Returns the engine's failure, if there is one.
        """
        while req.evictions < MAX_EVICTIONS:
            await self._wait_for_turn(req)
            remaining_tokens = req.offer.prompt_tokens - req.prefilled_tokens
            step_tokens = self._step_tokens(req)
            if remaining_tokens <= step_tokens:
                return None
            prefix_bytes = _step_end_bytes(req, step_tokens)
            if prefix_bytes >= len(req.body):
                return None
            failure = await self._run_step(req, prefix_bytes)
            if failure is not None:
                return failure
        return None

    def engine_priority(self, req: AgentRequest) -> int:
        """Return the engine priority of a long or free prompt."""
        if req.offer.paid and self.scheduler.is_urgent(req):
            return URGENT_PRIORITY
        return STEP_PRIORITY if req.offer.paid else STEP_PRIORITY + 1

    async def _wait_for_turn(self, req: AgentRequest) -> None:
        while self._must_wait(req):
            await self.running.wait_for_change(TURN_POLL_INTERVAL_S)

    def _must_wait(self, req: AgentRequest) -> bool:
        if not req.offer.paid:
            return self.running.has_paid_prefill()
        if self.scheduler.is_urgent(req):
            return False
        if self.running.short_prefill_tokens(paid=True):
            return True
        return self.running.has_shorter_long_prefill(req)

    def _step_tokens(self, req: AgentRequest) -> int:
        full_step_tokens = self.cfg.prefill_step_tokens
        # The first step of a paid prompt has full size, to measure the rate.
        # A step of a free prompt never has: the next paid request would have
        # to wait for it.
        if req.offer.paid and (
            self.running.is_quiet()
            or not req.prefilled_tokens
            or self.scheduler.is_urgent(req)
        ):
            return max(full_step_tokens, req.offer.prompt_tokens // MAX_STEPS)
        tokens_per_s = self.rates.peak_tokens_per_s
        step_tokens = (
            int(tokens_per_s * self.cfg.prefill_step_ms / MS_PER_S)
            or full_step_tokens
        )
        return max(
            min(step_tokens, full_step_tokens),
            req.offer.prompt_tokens // MAX_STEPS,
            1,
        )

    async def _run_step(
        self, req: AgentRequest, prefix_bytes: int
    ) -> Failure | None:
        prefix_tokens = _tokens_at(req, prefix_bytes)
        req.submission += 1
        req.in_prefill_step = True
        computed_tokens = 0
        started_at = self.rates.begin_prefill()
        try:
            outcome = await self._compute_despite_silence(
                req, prefix_bytes, prefix_tokens
            )
            if isinstance(outcome, Done):
                computed_tokens = max(0, prefix_tokens - outcome.cached_tokens)
        finally:
            self.rates.end_prefill(started_at, computed_tokens)
        if isinstance(outcome, Failure):
            return outcome
        self._record_eviction(req, outcome.cached_tokens, prefix_bytes)
        req.prefilled_tokens = prefix_tokens
        req.in_prefill_step = False
        req.submission += 1
        return None

    def _record_eviction(
        self, req: AgentRequest, cached_tokens: int, prefix_bytes: int
    ) -> None:
        """Count prefilled tokens that were evicted since the last step."""
        block_tokens = _tokens_at(req, BLOCK_BYTES)
        evicted_tokens = req.prefilled_tokens - cached_tokens
        # Rounding between bytes and tokens can account for one block.
        if (
            req.prefilled_tokens
            and evicted_tokens > block_tokens
            and prefix_bytes > BLOCK_BYTES
        ):
            req.evicted_tokens += evicted_tokens
            req.evictions += 1

    async def _compute_despite_silence(
        self,
        req: AgentRequest,
        prefix_bytes: int,
        prefix_tokens: int,
    ) -> Done | Failure:
        """Compute a step; read on if the engine falls silent and goes on."""
        outcome = await self._compute(req, prefix_bytes, prefix_tokens)
        for _ in range(MAX_SILENCES):
            if isinstance(outcome, Done) or not outcome.silent:
                break
            req.report_silence()
            outcome = await self._compute(req, prefix_bytes, prefix_tokens)
        return outcome

    async def _compute(
        self,
        req: AgentRequest,
        prefix_bytes: int,
        prefix_tokens: int,
    ) -> Done | Failure:
        engine_req = EngineRequest(
            request_id=req.engine_id,
            model=req.offer.model,
            prompt=bytes(memoryview(req.body)[:prefix_bytes]),
            prompt_tokens=prefix_tokens,
            max_tokens=0,
            priority=self.engine_priority(req),
            prefill_only=True,
            prefill_tokens=prefix_tokens,
        )
        req.reached_engine = True
        async with self.engine.generate(engine_req) as events:
            async for event in events:
                if isinstance(event, Done | Failure):
                    return event
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason='the stream of a prefill step ended early',
        )


def _tokens_at(req: AgentRequest, prefix_bytes: int) -> int:
    """Estimate the tokens in the first `prefix_bytes` of a prompt."""
    prompt_bytes = max(1, len(req.body))
    return max(1, -(-prefix_bytes * req.offer.prompt_tokens // prompt_bytes))


def _step_end_bytes(req: AgentRequest, step_tokens: int) -> int:
    """Return the byte offset at which the next step ends, on a block edge."""
    prompt_tokens = max(1, req.offer.prompt_tokens)
    done_blocks = (
        req.prefilled_tokens * len(req.body) // prompt_tokens // BLOCK_BYTES
    )
    step_blocks = step_tokens * len(req.body) // prompt_tokens // BLOCK_BYTES
    return (done_blocks + max(1, step_blocks)) * BLOCK_BYTES
