"""Feeds a long prompt to the engine in prefix steps.

Each step computes a longer prefix of the prompt into the engine's prefix
cache. Short requests run between the steps: a step waits until no short paid
request is being computed, unless the long request's slack is running out. Of
several long prompts the one with the least work left has the turn.
"""

from dataclasses import dataclass
from typing import Final

from masticwind.agent.rates import Rates
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import Running
from masticwind.agent.scheduler import Scheduler
from masticwind.budget import MS_PER_S
from masticwind.engines.base import Done, Engine, EngineRequest
from masticwind.errors import ErrorKind, Failure
from masticwind.settings import AgentSettings
from masticwind.tokens import BLOCK_BYTES

TURN_POLL_S: Final = 0.05
# Each step sends its whole prefix; this bounds how often that happens.
MAX_STEPS: Final = 128
# After this many evictions the prompt goes to the engine whole.
MAX_LOSSES: Final = 2
STEP_PRIORITY: Final = 2
URGENT_PRIORITY: Final = 0


@dataclass(frozen=True, slots=True)
class StepFeeder:
    """Computes prompts step by step."""

    cfg: AgentSettings
    engine: Engine
    rates: Rates
    running: Running
    scheduler: Scheduler

    def uses_steps(self, req: AgentRequest) -> bool:
        """Tell whether a prompt goes in steps.

        Free prompts always do, so that they wait for their turn.
        """
        if req.holds_share or req.imported_handles:
            return False
        return not req.offer.paid or self.running.is_long(req)

    async def feed(self, req: AgentRequest) -> Failure | None:
        """Compute all full blocks of a prompt but the last step's.

        Returns the engine's failure, if it fails.
        """
        while req.losses < MAX_LOSSES:
            await self._wait_turn(req)
            left = req.offer.prompt_tokens - req.prefilled
            step = self._step(req)
            if left <= step:
                return None
            size = _block_end(req, step)
            if size >= len(req.body):
                return None
            failure = await self._run_step(req, size)
            if failure is not None:
                return failure
        return None

    def engine_priority(self, req: AgentRequest) -> int:
        """Return the engine priority of a long or free prompt's work."""
        if req.offer.paid and self.scheduler.urgent(req):
            return URGENT_PRIORITY
        return STEP_PRIORITY if req.offer.paid else STEP_PRIORITY + 1

    async def _wait_turn(self, req: AgentRequest) -> None:
        while self._others_first(req):
            await self.running.wait_changed(TURN_POLL_S)

    def _others_first(self, req: AgentRequest) -> bool:
        if not req.offer.paid:
            return self.running.paid_prefill()
        if self.scheduler.urgent(req):
            return False
        if self.running.short_prefill_tokens(paid=True):
            return True
        return self.running.has_shorter(req)

    def _step(self, req: AgentRequest) -> int:
        full = self.cfg.prefill_step_tokens
        # The first step of a long prompt measures the rate at full size.
        # The next paid request waits for the step of a free prompt, so that
        # this never has the full size.
        if req.offer.paid and (
            self.running.quiet()
            or not req.prefilled
            or self.scheduler.urgent(req)
        ):
            return max(full, req.offer.prompt_tokens // MAX_STEPS)
        rate = self.rates.peak_tokens_per_s
        step = int(rate * self.cfg.prefill_step_ms / MS_PER_S) or full
        return max(min(step, full), req.offer.prompt_tokens // MAX_STEPS, 1)

    async def _run_step(self, req: AgentRequest, size: int) -> Failure | None:
        target = _tokens_at(req, size)
        req.turn += 1
        req.stepping = True
        computed = 0
        started = self.rates.prefill_started()
        try:
            outcome = await self._compute(req, size, target)
            if isinstance(outcome, Done):
                computed = max(0, target - outcome.cached_tokens)
        finally:
            self.rates.prefill_ended(started, computed)
        if isinstance(outcome, Failure):
            return outcome
        self._account(req, outcome.cached_tokens, size)
        req.prefilled = target
        req.stepping = False
        req.turn += 1
        return None

    def _account(self, req: AgentRequest, cached: int, size: int) -> None:
        """Count progress that the engine has evicted since the last step."""
        block = _tokens_at(req, BLOCK_BYTES)
        lost = req.prefilled - cached
        # Rounding between bytes and tokens can hide one block.
        if req.prefilled and lost > block and size > BLOCK_BYTES:
            req.lost_tokens += lost
            req.losses += 1

    async def _compute(
        self,
        req: AgentRequest,
        size: int,
        target: int,
    ) -> Done | Failure:
        wanted = EngineRequest(
            request_id=req.engine_id,
            model=req.offer.model,
            prompt=bytes(memoryview(req.body)[:size]),
            prompt_tokens=target,
            max_tokens=0,
            priority=self.engine_priority(req),
            prefill_only=True,
            prefill_tokens=target,
        )
        req.touched = True
        async with self.engine.generate(wanted) as events:
            async for event in events:
                if isinstance(event, Done | Failure):
                    return event
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason='a prefill step has no end',
        )


def _tokens_at(req: AgentRequest, size: int) -> int:
    """Return the estimated tokens in the first `size` bytes of a prompt."""
    whole = max(1, len(req.body))
    return max(1, -(-size * req.offer.prompt_tokens // whole))


def _block_end(req: AgentRequest, step: int) -> int:
    """Return the end in bytes of the next step, which is a block's end."""
    prompt_tokens = max(1, req.offer.prompt_tokens)
    done = req.prefilled * len(req.body) // prompt_tokens // BLOCK_BYTES
    blocks = step * len(req.body) // prompt_tokens // BLOCK_BYTES
    return (done + max(1, blocks)) * BLOCK_BYTES
