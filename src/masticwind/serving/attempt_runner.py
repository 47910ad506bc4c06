"""Runs single attempts of requests and records what they say of endpoints."""

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Final

from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
)
from masticwind.serving.attempt import attempt_limits, run_attempt
from masticwind.serving.attempt_context import AttemptContext, AttemptState
from masticwind.serving.costs.completion_times import CompletionTimes
from masticwind.serving.crash_detector import CrashDetector
from masticwind.serving.interfaces import CallerAnswer, EndpointNotice
from masticwind.serving.known_calls import (
    fingerprint_of_call,
    known_fingerprint,
)
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.placer import Placement
from masticwind.serving.placement.reported_endpoints import NewsKind
from masticwind.serving.placement.request_placer import (
    PermittedPlacement,
    RequestPlacer,
)
from masticwind.serving.quarantine import RunningPrompt
from masticwind.serving.relay_dependencies import RelayDependencies
from masticwind.serving.telemetry import prompt_size_label

# Time for which an endpoint may be silent, without an event, while memory of
# other endpoints is reserved for it. Unused memory must be released in time.
MAX_SILENCE_WITH_MEMORY_S: Final = 2.0
# Failures that count as a broken connection and exclude an endpoint at once.
_BROKEN_CONNECTION_KINDS: Final = frozenset(
    (
        ErrorKind.NO_CAPACITY,
        ErrorKind.FAILED_AFTER_START,
        ErrorKind.OUTCOME_UNKNOWN,
    )
)


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """An admitted request, its progress, and the answer to its caller."""

    admitted: AdmittedRequest
    progress: RequestProgress
    answer: CallerAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptDecisions:
    """What an attempt asks of its request, as in `AttemptContext`."""

    may_retry_elsewhere: Callable[[], bool]
    leave_to_retry: Callable[[], bool]
    acquire_resend: Callable[[], bool]
    claim: Callable[[], bool]
    on_silence: Callable[[], None]


class AttemptRunner:
    """Runs attempts; learns from them about endpoints and prompts."""

    def __init__(
        self,
        deps: RelayDependencies,
        placer: RequestPlacer,
        completion_times: CompletionTimes,
    ) -> None:
        self._deps: Final = deps
        self._placer: Final = placer
        self._completion_times: Final = completion_times
        self._crash_detector: Final = CrashDetector(
            deps.endpoint_client, deps.load_table, deps.telemetry
        )

    async def run(
        self,
        served: ServedRequest,
        permitted: PermittedPlacement,
        decisions: AttemptDecisions,
    ) -> Failure | None:
        """Run one attempt; None means that the answer has been sent."""
        deps = self._deps
        admitted = served.admitted
        progress = served.progress
        placement = permitted.placement
        progress.attempts += 1
        progress.predicted_ms = placement.total_ms
        deps.cold_limiter.record_request(placement.lead.identity)
        deps.notices.record_request(placement.lead)
        deps.reach.record_attempt(placement.lead)
        job_ids = deps.load_table.add(placement.jobs)
        state = permitted.state
        running = deps.quarantine.start(
            known_fingerprint(admitted, progress, deps.quarantine),
            admitted.req.request_id,
            state,
        )
        context = AttemptContext(
            admitted=admitted,
            placement=placement,
            progress=progress,
            answer=served.answer,
            limits=attempt_limits(admitted, placement),
            number=progress.attempts,
            leave_to_retry=decisions.leave_to_retry,
            acquire_resend=partial(
                self._acquire_resend, served, permitted, decisions
            ),
            claim=partial(self._claim, state, decisions),
            on_silence=partial(
                self._record_silence, served, permitted, decisions
            ),
            on_event=partial(
                self._record_event, placement, job_ids, running, state
            ),
            on_answer=partial(
                self._record_notice, permitted, deps.notices.clock()
            ),
            on_order_reply=self._record_order_reply,
            on_endless=partial(self._record_endless, placement.lead),
            find_obstacle=partial(
                self._placer.find_obstacle, admitted, progress, permitted
            ),
            byte_budget=deps.byte_budget,
            turns=deps.turns,
            permit=permitted.permit,
            state=state,
        )
        with self._completion_times.measure(
            admitted.service.name, placement.total_ms
        ) as timed:
            try:
                failure = await run_attempt(deps.endpoint_client, context)
                timed.completed = failure is None
            finally:
                deps.load_table.remove(
                    job_ids,
                    _output_tokens(context) if timed.completed else None,
                )
                deps.quarantine.end(running)
        await self._record_outcome(context, running, failure)
        return failure

    async def record_failure(
        self,
        permitted: PermittedPlacement,
        failure: Failure,
        progress: RequestProgress,
    ) -> None:
        """Update the request and the state of the endpoint at fault.

        An answer to another request may come from a sound endpoint, so it
        does not count as a broken connection. It is no failure on a reused
        connection: the endpoint gets new ones then. Nor is what a leaving
        endpoint breaks off, or what one refuses that asks for a pause.
        """
        deps = self._deps
        state = permitted.state
        lead = permitted.placement.lead
        at_fault = state.at_fault or lead
        progress.record_failure(lead, at_fault, failure)
        if failure.silent and state.silence_counted:
            return
        if failure.silent:
            deps.reach.record_silence(at_fault)
        else:
            self._record_reply(state, lead, progress)
        if failure.kind is ErrorKind.REVOKED:
            deps.news.report(at_fault, NewsKind.REPLACED)
            deps.directory.remove(
                at_fault.identity, 'another endpoint has its address'
            )
            await deps.endpoint_client.close_idle(at_fault)
        elif deps.notices.is_leaving(at_fault):
            if failure.kind in _BROKEN_CONNECTION_KINDS:
                deps.notices.record_unreachable(at_fault)
        elif (
            failure.kind is not ErrorKind.OVERLOADED
            and not state.asks_pause
            and not state.unasked
        ):
            self._record_unhealthy(at_fault, failure, state)

    def record_metrics(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        failure: Failure | None,
    ) -> None:
        """Count an attempt by its outcome."""
        telemetry = self._deps.telemetry
        if failure is not None:
            telemetry.attempts.labels(failure.kind.value).inc()
            return
        telemetry.attempts.labels('served').inc()
        first_event_ms = progress.first_event_ms or progress.elapsed_ms()
        size = prompt_size_label(admitted.prompt_tokens)
        telemetry.first_event.labels(size).observe(first_event_ms / MS_PER_S)

    def record_success(self, lead: Endpoint) -> None:
        """Record that an endpoint has served a request."""
        self._deps.health.record_success(lead.identity)
        self._deps.news.record_success(lead)
        self._deps.reach.record_answer(lead)

    def record_superseded(
        self, permitted: PermittedPlacement, served: ServedRequest
    ) -> None:
        """Record an attempt that another one has ended.

        It says nothing of its endpoint.
        """
        lead = permitted.placement.lead
        if permitted.state.is_sent:
            served.progress.record_possible_run(lead)
        self._deps.telemetry.attempts.labels('superseded').inc()
        logger.bind(
            request_id=served.admitted.req.request_id,
            endpoint=lead.identity,
            sent=permitted.state.is_sent,
            silent=permitted.state.silent,
            events=permitted.state.event_count,
        ).info('attempt_superseded')

    def _record_reply(
        self, state: AttemptState, lead: Endpoint, progress: RequestProgress
    ) -> None:
        """Record who has replied, and the helper that a reply names.

        The refusal of a lead says nothing good of the helper that it names.
        """
        deps = self._deps
        at_fault = state.at_fault or lead
        if state.reply is None or at_fault.identity == lead.identity:
            deps.reach.record_answer(at_fault)
            return
        deps.reach.record_answer(lead)
        deps.helper_faults.record_fault(lead, at_fault)
        progress.record_helper_fault(lead, at_fault)

    def _record_unhealthy(
        self, endpoint: Endpoint, failure: Failure, state: AttemptState
    ) -> None:
        """Hold a failed attempt against an endpoint."""
        reported = failure.refused and self._deps.news.report(
            endpoint, NewsKind.REFUSED
        )
        self._deps.health.record_failure(
            endpoint.identity,
            failure.reason,
            connection_failed=failure.kind in _BROKEN_CONNECTION_KINDS
            and not state.unverified,
            reported=reported,
        )

    def _claim(self, state: AttemptState, decisions: AttemptDecisions) -> bool:
        """Let an attempt write to the caller, if no other one has done so."""
        state.silent = False
        state.silence_counted = False
        return decisions.claim()

    def _acquire_resend(
        self,
        served: ServedRequest,
        permitted: PermittedPlacement,
        decisions: AttemptDecisions,
    ) -> bool:
        """Let an attempt be sent to its endpoint once more."""
        deps = self._deps
        admitted = served.admitted
        lead = permitted.placement.lead
        if permitted.permit is not None:
            # It was for one request.
            return False
        if self._placer.find_obstacle(admitted, served.progress, permitted):
            return False
        if not deps.cold_limiter.allows_last_resort(
            lead.identity, admitted.service.cold_per_s
        ):
            return False
        if not decisions.acquire_resend():
            return False
        served.progress.attempts += 1
        deps.cold_limiter.record_request(lead.identity)
        deps.notices.record_request(lead)
        deps.reach.record_attempt(lead)
        return True

    def _record_silence(
        self,
        served: ServedRequest,
        permitted: PermittedPlacement,
        decisions: AttemptDecisions,
    ) -> None:
        """Record that an endpoint is silent, which may be slow or have failed.

        It stays with the request until another endpoint answers.
        """
        deps = self._deps
        lead = permitted.placement.lead
        state = permitted.state
        if state.silent:
            return
        state.silent = True
        logger.bind(
            request_id=served.admitted.req.request_id,
            endpoint=lead.identity,
            sent=state.is_sent,
            answer_begun=state.answer_begun,
            events=state.event_count,
            left_ms=round(served.admitted.remaining_s() * MS_PER_S),
        ).info('endpoint_silent')
        # Calls of some services take longer, so that before its deadline only a
        # request which could be served elsewhere speaks against its endpoint.
        state.silence_counted = (
            state.is_sent and decisions.may_retry_elsewhere()
        )
        if state.is_sent:
            served.progress.record_possible_run(lead)
        else:
            # It waits for a connection. Its successor goes elsewhere.
            served.progress.excluded_endpoints.add(lead.identity)
        if state.silence_counted:
            deps.reach.record_silence(lead)
        if state.silence_counted and not deps.notices.is_leaving(lead):
            deps.health.record_failure(
                lead.identity, 'silent', connection_failed=False
            )
        if any(
            helper.reserved_tokens for helper in permitted.placement.helpers
        ):
            asyncio.get_running_loop().call_later(
                MAX_SILENCE_WITH_MEMORY_S, state.expire
            )
        decisions.on_silence()

    async def _record_outcome(
        self,
        context: AttemptContext,
        running: RunningPrompt,
        failure: Failure | None,
    ) -> None:
        """Record whether the endpoint has answered or crashed."""
        quarantine = self._deps.quarantine
        admitted = context.admitted
        is_call = not admitted.req.prompt_parts
        lead = context.placement.lead
        # A status of the endpoint's own is an answer, too.
        if failure is None or (is_call and failure.kind is ErrorKind.INTERNAL):
            known = known_fingerprint(admitted, context.progress, quarantine)
            quarantine.identify(running, known)
            quarantine.record_sound(running)
            return
        if self._deps.notices.is_leaving(lead):
            return
        if await self._crash_detector.has_crashed(context, failure):
            if is_call:
                quarantine.identify(
                    running, fingerprint_of_call(admitted, context.progress)
                )
            quarantine.record_crash(
                running, lead.identity, str(lead.started_at_ms)
            )

    def _record_notice(
        self,
        permitted: PermittedPlacement,
        sent_at: float,
        notice: EndpointNotice | None,
    ) -> None:
        """Record what the lead has said of itself in its answer."""
        lead = permitted.placement.lead
        self._deps.limit_link.observe(lead, permitted.permit, notice)
        self._deps.notices.observe(lead, notice, sent_at)
        if notice is not None:
            self._deps.news.record_liveness(lead.identity)

    def _record_endless(self, lead: Endpoint) -> None:
        """Record a very long answer, during which the caller has left."""
        self._deps.health.record_failure(
            lead.identity, 'an answer without end', connection_failed=False
        )

    def _record_order_reply(
        self, endpoint: Endpoint, notice: EndpointNotice | None
    ) -> None:
        """Record what an endpoint has said of itself in reply to an order."""
        notices = self._deps.notices
        # An order does not try an engine after a pause.
        notices.observe(endpoint, notice, sent_at=-math.inf)

    def _record_event(
        self,
        placement: Placement,
        job_ids: Iterable[int],
        running: RunningPrompt,
        state: AttemptState,
    ) -> None:
        self._deps.load_table.record_first_token(job_ids)
        self._deps.reach.record_answer(placement.lead)
        if not state.has_used_helpers:
            # Later events come from the lead alone.
            state.has_used_helpers = True
            self._deps.helper_faults.record_success(
                placement.lead,
                (helper.endpoint for helper in placement.helpers),
            )
        self._deps.news.record_liveness(placement.lead.identity)
        self._deps.quarantine.record_events(running)


def _output_tokens(context: AttemptContext) -> int | None:
    """Return how many tokens a served attempt has passed on, as far as its
    events tell, and None if it has resumed an answer.

    An engine writes an event in each iteration. One that resumes an answer is
    predicted to take as long as a whole one, so nothing is learned from it.
    """
    events = context.state.event_count
    if events != context.progress.event_count:
        return None
    engine = context.admitted.service.engine
    return 0 if engine is None else events * engine.steps_per_iteration
