"""Runs model requests: limits, admission, choice of agents and retries."""

import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.config.current import CurrentConfig
from masticwind.engines.base import Done, Tokens
from masticwind.entry.admission import Admission, AdmissionRequest
from masticwind.entry.agent_pool import AgentLink, AgentPool
from masticwind.entry.attempts import (
    Attempt,
    Emit,
    ModelRequest,
    run_attempt,
)
from masticwind.entry.groups import GroupRunner
from masticwind.entry.handover import (
    AttemptSource,
    Handover,
    PlannedAttempt,
    Turn,
)
from masticwind.entry.limits import (
    DemandShares,
    TeamLimits,
    WorkByTeam,
    has_limits,
)
from masticwind.entry.predict import Job
from masticwind.entry.retries import (
    AttemptFailures,
    RetryBudget,
    may_try_another_agent,
)
from masticwind.entry.router import (
    Router,
    RoutingView,
    make_router,
    uncached_prompt_tokens,
)
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.metrics import Metric
from masticwind.protocol.messages import Load
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.quarantine import Quarantine
from masticwind.settings import EntrySettings
from masticwind.telemetry import NO_TELEMETRY, Telemetry

MAX_ATTEMPTS: Final = 4
# Two heartbeat intervals, after which endpoints that have returned are known.
NO_CAPACITY_RETRY_AFTER_MS: Final = 1000
_ACCEPTING_STATES: Final = ('serving', 'cold')
_NO_CAPACITY: Final = Failure(
    kind=ErrorKind.NO_CAPACITY,
    reason='no endpoint can take the request',
    retry_after_ms=NO_CAPACITY_RETRY_AFTER_MS,
)


@dataclass(slots=True)
class _FirstTokenTimer:
    """Passes tokens on and records when the first one arrived."""

    emit: Emit
    first_token_at: float = 0

    async def emit_timed(self, tokens: Tokens) -> None:
        if not self.first_token_at:
            self.first_token_at = time.monotonic()
        await self.emit(tokens)


class Relay:
    """Runs model requests on the agents of the pool."""

    def __init__(
        self,
        cfg: EntrySettings,
        pool: AgentPool,
        config: CurrentConfig,
        view: RoutingView,
        quarantine: Quarantine,
        telemetry: Telemetry = NO_TELEMETRY,
    ) -> None:
        self._pool: Final = pool
        self._config: Final = config
        self.view: Final = view
        self._quarantine: Final = quarantine
        self._router: Final[Router] = make_router(cfg, self.view)
        self._metrics: Final = telemetry.metrics
        self._tracer: Final = telemetry.tracer
        self._groups: Final = GroupRunner(view.predictor, telemetry.tracer)
        self._work_by_team: Final = WorkByTeam()
        self._admission: Final = Admission(cfg, self.view, self._work_by_team)
        self._retries: Final = RetryBudget(cfg)
        self.limit_shares: Final = DemandShares(lambda: pool.live_entry_count)
        self._limits: Final = TeamLimits(self.limit_shares)

    async def run(self, req: ModelRequest, emit: Emit) -> Done | Failure:
        """Run a request and pass its tokens to `emit` as they arrive.

        Cancel the task if the caller disconnects; this cancels the request
        at the agent.
        """
        timer = _FirstTokenTimer(emit)
        started = time.monotonic()
        outcome = await self._run_limited(req, timer.emit_timed)
        if timer.first_token_at:
            self._metrics.time(
                Metric.FIRST_TOKEN_TIME,
                (timer.first_token_at - started) * MS_PER_S,
                'paid' if req.job.paid else 'free',
            )
        if isinstance(outcome, Failure):
            self._count_failure(outcome.kind)
        return outcome

    def choose_other_link(
        self,
        req: ModelRequest,
        tried: set[AgentLink],
        revoked: set[AgentLink],
    ) -> AgentLink | None:
        """Choose the agent of another attempt, within the retry budget."""
        if self._quarantine.check(req.fingerprint, req.request_id) is not None:
            return None
        chosen = self._choose_link(req, tried)
        if revoked and isinstance(chosen, Failure):
            # An agent whose connection was silent has confirmed the revocation
            # on a new one and can be offered another attempt.
            chosen = self._choose_link(req, tried - revoked)
        if isinstance(chosen, Failure) or not self._retries.acquire_retry():
            return None
        return chosen

    async def run_attempt(
        self, attempt: Attempt, turn: Turn, emit: Emit
    ) -> Done | Failure:
        """Run one attempt that `open_attempt` has returned."""
        self._metrics.count(Metric.MODEL_ATTEMPTS)
        self._metrics.count(Metric.MODEL_RETRIES, min(attempt.number, 1))
        with self._tracer.span(
            'entry.attempt',
            attempt.req.trace,
            {
                'attempt': attempt.number,
                'agent': attempt.link.instance.node,
            },
        ) as span:
            attempt.req = replace(attempt.req, trace=span.traceparent)
            attempt.turn = turn
            return await self._run_tracked(attempt, emit)

    def open_attempt(
        self, req: ModelRequest, number: int, link: AgentLink
    ) -> Attempt:
        """Open an attempt; it is outstanding at its agent until it has run."""
        job = req.job
        cached_blocks = self.view.cached_block_counts(job).get(
            link.instance.node, 0
        )
        return Attempt(
            req=req,
            number=number,
            link=link,
            inbox=link.register_attempt((req.request_id, number)),
            predictor=self.view.predictor,
            send_record=self.view.predictor.record_send(
                link,
                uncached_prompt_tokens(job, cached_blocks),
                paid=job.paid,
            ),
        )

    def _count_failure(self, kind: ErrorKind) -> None:
        if guarantees_not_run(kind):
            self._metrics.count(Metric.MODEL_REFUSALS, label=kind)
        else:
            self._metrics.count(Metric.MODEL_FAILURES, label=kind)

    async def _run_limited(
        self,
        req: ModelRequest,
        emit: Emit,
    ) -> Done | Failure:
        team = self._config.config.teams.get(req.team)
        if team is None:
            return Failure(
                kind=ErrorKind.UNAUTHENTICATED,
                reason='the team was removed',
            )
        tokens = req.job.prompt_tokens + req.job.max_tokens
        if has_limits(team):
            self.limit_shares.record_request(req.team)
        refusal = self._limits.acquire(req.team, team, tokens)
        if refusal is not None:
            return refusal
        work = tokens / req.weight
        try:
            outcome = await self._run_admitted(req, work, emit)
        finally:
            self._limits.release(req.team)
        return outcome

    async def _run_admitted(
        self,
        req: ModelRequest,
        work: float,
        emit: Emit,
    ) -> Done | Failure:
        rejection = self._quarantine.check(req.fingerprint, req.request_id)
        if rejection is not None:
            return rejection
        with self._tracer.span('entry.admission', req.trace):
            serving = self._serving_links(req.job)
            needs_group = self._groups.needs_group(req.job, serving)
            link = None if needs_group else self._choose_link(req, set())
        if isinstance(link, Failure):
            return link
        self._retries.record_first_attempt()
        self._work_by_team.add(req.team, work)
        try:
            if link is not None:
                return await self._run_attempts(req, link, emit)
            return await self._groups.run(
                req,
                self._config.number,
                serving,
                emit,
            )
        finally:
            self._work_by_team.subtract(req.team, work)

    async def _run_attempts(
        self,
        req: ModelRequest,
        first_link: AgentLink,
        emit: Emit,
    ) -> Done | Failure:
        source = _ModelAttempts(self, req, first_link, emit)
        outcome = await Handover(source).run()
        return outcome or source.failures.combined(_NO_CAPACITY)

    async def _run_tracked(
        self, attempt: Attempt, emit: Emit
    ) -> Done | Failure:
        """Run an attempt and record whether the engine crashed under it."""
        state = AttemptState()
        req = attempt.req
        running = self._quarantine.start(req.fingerprint, req.request_id, state)
        try:
            outcome = await self._run_attempt(attempt, emit)
        finally:
            self._quarantine.end(running)
        state.answer_begun = attempt.answer_begun
        if isinstance(outcome, Done) or attempt.received_tokens:
            self._quarantine.record_sound(running)
        elif attempt.crashed_engine:
            self._quarantine.record_crash(
                running, attempt.link.endpoint, attempt.crashed_engine
            )
        return outcome

    async def _run_attempt(
        self, attempt: Attempt, emit: Emit
    ) -> Done | Failure:
        timer = _FirstTokenTimer(emit)
        outcome = await run_attempt(
            attempt,
            self._config.number,
            timer.emit_timed,
        )
        job = attempt.req.job
        if isinstance(outcome, Done):
            self._admission.stream_duration.observe(
                outcome.generated_tokens,
                job.max_tokens,
                time.monotonic() - timer.first_token_at,
            )
            # The agent's cache events report this only later.
            self.view.affinity.add(
                attempt.link.instance.node, job.prefix_hashes
            )
        return outcome

    def _choose_link(
        self,
        req: ModelRequest,
        tried: set[AgentLink],
    ) -> AgentLink | Failure:
        # A repeat may come after the stop has begun.
        budget = req.active.limit_budget(req.budget)
        if budget.is_expired():
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the time budget is used up before the request ran',
            )
        links = self._candidate_links(req.job, tried)
        if not links:
            return _NO_CAPACITY
        return self._admission.admit(
            AdmissionRequest(req.team, req.job, budget.remaining_s()),
            self._router.choose(req.job, links),
            links,
        )

    def _serving_links(self, job: Job) -> list[AgentLink]:
        """Return the agents that serve the model, whatever their memory."""
        return [
            link
            for link in self._pool.links
            if self._may_serve(link)
            and link.reported_load is not None
            and job.model in link.reported_load.models
        ]

    def _candidate_links(
        self,
        job: Job,
        tried: set[AgentLink],
    ) -> Sequence[AgentLink]:
        fitting = [
            link
            for link in self._serving_links(job)
            if link not in tried and _fits_memory(job, link.reported_load)
        ]
        heard = [link for link in fitting if not link.silent] or fitting
        # A cold endpoint without a free slot is the last choice: its agent runs
        # no more than its cold capacity, so the request would be queued.
        return [link for link in heard if self._has_slot(link)] or heard

    def _has_slot(self, link: AgentLink) -> bool:
        load = link.reported_load
        if load is None or load.state != 'cold':
            return True
        return self.view.predictor.free_slots(link) > 0

    def _may_serve(self, link: AgentLink) -> bool:
        load = link.reported_load
        if load is None or not link.connected or link.leaving:
            return False
        if load.state not in _ACCEPTING_STATES:
            return False
        return self._config.is_zone_in_service(
            link.instance.zone
        ) and self._config.is_endpoint_in_service(link.endpoint)


class _ModelAttempts(AttemptSource[Done]):
    """Chooses the agents of one request's attempts."""

    def __init__(
        self,
        relay: Relay,
        req: ModelRequest,
        first_link: AgentLink,
        emit: Emit,
    ) -> None:
        self.relay: Final = relay
        self.req: Final = req
        self.emit: Final = emit
        self.failures: Final = AttemptFailures()
        self._first_link: Final = first_link
        self._tried: Final[set[AgentLink]] = set()
        self._revoked: Final[set[AgentLink]] = set()
        self._count = 0

    def plan_next(self) -> PlannedAttempt[Done] | None:
        link: AgentLink | None = self._first_link
        if self._count >= MAX_ATTEMPTS:
            return None
        if self._count:
            link = self.relay.choose_other_link(
                self.req, self._tried, self._revoked
            )
        if link is None:
            return None
        self._tried.add(link)
        self._count += 1
        return _ModelAttempt(
            self,
            self.relay.open_attempt(self.req, self._count - 1, link),
        )

    def record_failure(
        self, attempt: PlannedAttempt[Done], failure: Failure
    ) -> bool:
        assert isinstance(attempt, _ModelAttempt)
        self.failures.add(failure)
        if failure.kind is ErrorKind.REVOKED:
            self._revoked.add(attempt.attempt.link)
        return may_try_another_agent(failure, attempt.attempt.received_tokens)


class _ModelAttempt(PlannedAttempt[Done]):
    def __init__(self, attempts: _ModelAttempts, attempt: Attempt) -> None:
        self.attempt: Final = attempt
        self._attempts: Final = attempts

    async def run(self, turn: Turn) -> Done | Failure:
        attempts = self._attempts
        return await attempts.relay.run_attempt(
            self.attempt, turn, attempts.emit
        )


def _fits_memory(job: Job, load: Load | None) -> bool:
    if load is None:
        return False
    return job.prompt_tokens + job.max_tokens <= load.memory_total_tokens
