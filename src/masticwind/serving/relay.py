"""Serves admitted requests by attempts at endpoints."""

from typing import Final

from masticwind.errors import Failure
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
)
from masticwind.serving.attempt_runner import AttemptRunner, ServedRequest
from masticwind.serving.costs.completion_times import CompletionTimes
from masticwind.serving.interfaces import CallerAnswer
from masticwind.serving.placement.request_placer import RequestPlacer
from masticwind.serving.relay_dependencies import RelayDependencies
from masticwind.serving.request_run import RequestRun, RunDependencies


class Relay:
    """Sends admitted requests to endpoints and relays the answers."""

    def __init__(self, deps: RelayDependencies) -> None:
        completion_times = CompletionTimes()
        self.placer: Final = RequestPlacer(deps, completion_times)
        self._run_deps: Final = RunDependencies(
            retry_budget=deps.retry_budget,
            placer=self.placer,
            attempts=AttemptRunner(deps, self.placer, completion_times),
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
        self._run_deps.retry_budget.record_request(admitted.service.name)
        served = ServedRequest(admitted, progress, answer)
        return await RequestRun(self._run_deps, served).serve()
