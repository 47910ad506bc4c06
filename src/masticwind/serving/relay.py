"""Runs the attempts of an admitted request until it has its final answer.

A request is retried only if it was not sent, if its endpoint states that it
did not run, or if its route allows it to run more than once. A resumable
stream continues after its last complete event.
"""

from functools import partial
from typing import Final

from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission import AdmittedRequest, RequestProgress
from masticwind.serving.attempt import ANSWER_MARGIN_MS
from masticwind.serving.attempt_runner import AttemptRunner
from masticwind.serving.completion_times import CompletionTimes
from masticwind.serving.interfaces import CallerAnswer
from masticwind.serving.relay_dependencies import RelayDependencies
from masticwind.serving.request_placer import RequestPlacer


class Relay:
    """Sends admitted requests to endpoints and relays the answers."""

    def __init__(self, deps: RelayDependencies) -> None:
        self._deps: Final = deps
        completion_times = CompletionTimes()
        self._placer: Final = RequestPlacer(deps, completion_times)
        self._attempts: Final = AttemptRunner(
            deps, self._placer, completion_times
        )

    async def serve(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        answer: CallerAnswer,
    ) -> Failure | None:
        """Serve a request; None means that the answer has been sent.

        The caller of this method sends the answer for a `Failure`. If the
        answer has started, it must be aborted instead.
        """
        deps = self._deps
        deps.retry_budget.record_request(admitted.service.name)
        while True:
            permitted = await self._placer.place(admitted, progress)
            if isinstance(permitted, Failure):
                return progress.final_failure(permitted)
            placement = permitted.placement
            failure = await self._attempts.run(
                admitted,
                permitted,
                progress,
                answer,
                partial(self._may_retry_elsewhere, admitted, progress),
            )
            if permitted.state.held_back:
                progress.attempts -= 1
                continue
            self._attempts.record_metrics(admitted, progress, failure)
            if failure is None:
                deps.health.record_success(placement.lead.identity)
                deps.reach.record_answer(placement.lead)
                return None
            if failure.kind is ErrorKind.QUARANTINED:
                progress.record_recall(placement.lead)
                return progress.final_failure(failure)
            await self._attempts.record_failure(permitted, failure, progress)
            if not self._try_acquire_retry(admitted, progress):
                return progress.final_failure(failure)

    def _may_retry_elsewhere(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> bool:
        """Tell whether the request may be sent to another endpoint if the
        current attempt fails.
        """
        if not progress.may_retry_after_current(admitted):
            return False
        if self._placer.outlasts_process(admitted, progress.predicted_ms):
            return False
        return self._deps.retry_budget.remaining(admitted.service.name) >= 1

    def _try_acquire_retry(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> bool:
        if not progress.may_retry(admitted):
            return False
        if admitted.remaining_s() * MS_PER_S <= ANSWER_MARGIN_MS:
            return False
        if self._deps.retry_budget.try_acquire(admitted.service.name):
            return True
        logger.bind(
            request_id=admitted.req.request_id,
            service=admitted.service.name,
        ).info('repeat_budget_spent')
        return False
