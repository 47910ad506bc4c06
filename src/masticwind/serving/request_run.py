"""Runs the attempts of one request until it has its final answer.

A request is retried only if it was not sent, if its endpoint states that it
did not run, or if its route allows it to run more than once. A resumable
stream continues after its last complete event.

An attempt whose endpoint is silent goes on: the endpoint may only be slow, and
nothing else may take the request. Meanwhile another line of attempts looks for
a successor, and the first attempt that has something for the caller ends the
others.
"""

from dataclasses import dataclass
from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint_if_cancelled
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.request_exceptions import exception_failure
from masticwind.serving.admission.bounds import RetryBudget
from masticwind.serving.attempt import ANSWER_MARGIN_MS
from masticwind.serving.attempt_race import AttemptLine, AttemptRace
from masticwind.serving.attempt_runner import (
    AttemptDecisions,
    AttemptRunner,
    ServedRequest,
)
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.request_placer import (
    PermittedPlacement,
    RequestPlacer,
)

# Range of the intervals at which a successor of a silent attempt is looked for.
MIN_SEARCH_INTERVAL_S: Final = 0.1
MAX_SEARCH_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RunDependencies:
    """Collaborators of the run of a request."""

    retry_budget: RetryBudget
    placer: RequestPlacer
    attempts: AttemptRunner


class RequestRun:
    """The lines of attempts of one request."""

    def __init__(self, deps: RunDependencies, served: ServedRequest) -> None:
        self._placer: Final = deps.placer
        self._attempts: Final = deps.attempts
        self._retry_budget: Final = deps.retry_budget
        self._served: Final = served
        self._race: Final = AttemptRace()
        self._current: Final[dict[AttemptLine, PermittedPlacement]] = {}
        # Lines that have taken a retry of the budget for their next attempt.
        self._with_retry: Final[set[AttemptLine]] = set()
        # Of the line that has ended last.
        self._outcome: Failure | None = None

    async def serve(self) -> Failure | None:
        """Run attempts; None means that the answer has been sent."""
        async with anyio.create_task_group() as tasks:
            scope = anyio.CancelScope()
            line = self._race.open_line(scope.cancel)
            await self._run_line(tasks, scope, line, has_retry=True)
        return self._outcome

    async def _run_line(
        self,
        tasks: TaskGroup,
        scope: anyio.CancelScope,
        line: AttemptLine,
        *,
        has_retry: bool,
    ) -> None:
        with scope:
            try:
                outcome = await self._run_attempts(
                    tasks, line, has_retry=has_retry
                )
            except Exception as exc:
                # It must not end the attempts of other lines.
                request_id = self._served.admitted.req.request_id
                outcome = exception_failure(exc, request_id)
            self._race.close_line(line)
            # A line that is served has ended the others.
            self._outcome = outcome
        permitted = self._current.pop(line, None)
        if line.superseded and permitted is not None:
            self._attempts.record_superseded(permitted, self._served)

    async def _run_attempts(
        self, tasks: TaskGroup, line: AttemptLine, *, has_retry: bool
    ) -> Failure | None:
        """Run one attempt after the other.

        `has_retry` tells whether the next one may be sent without another
        retry of the budget.
        """
        progress = self._served.progress
        while True:
            permitted = await self._place(line, has_retry=has_retry)
            if isinstance(permitted, Failure):
                return progress.final_failure(permitted)
            has_retry = True
            # The line may have been superseded meanwhile.
            await checkpoint_if_cancelled()
            self._race.begin_attempt(line)
            self._current[line] = permitted
            failure = await self._attempts.run(
                self._served,
                permitted,
                self._decisions(tasks, line, permitted.placement.lead),
            )
            self._current.pop(line)
            if not permitted.state.held_back:
                self._attempts.record_metrics(
                    self._served.admitted, progress, failure
                )
            if failure is None:
                self._attempts.record_success(permitted.placement.lead)
                return None
            goes_on, has_retry = await self._end_attempt(
                line, permitted, failure
            )
            if not goes_on:
                return progress.final_failure(failure)

    async def _end_attempt(
        self, line: AttemptLine, permitted: PermittedPlacement, failure: Failure
    ) -> tuple[bool, bool]:
        """End a failed attempt, or one that was not sent.

        Returns whether its line is to go on, and whether that needs no other
        retry of the budget.
        """
        progress = self._served.progress
        if permitted.state.held_back:
            progress.attempts -= 1
            return self._race.hold_back(line), True
        goes_on = self._race.end_attempt(line)
        if failure.kind is ErrorKind.QUARANTINED:
            progress.record_recall(permitted.placement.lead)
            return False, False
        await self._attempts.record_failure(permitted, failure, progress)
        is_alone = not self._race.has_running_others(line)
        has_retry = line in self._with_retry
        self._with_retry.discard(line)
        if goes_on and is_alone and not has_retry:
            goes_on = self._try_acquire_retry()
        return goes_on, is_alone or has_retry

    async def _place(
        self, line: AttemptLine, *, has_retry: bool
    ) -> PermittedPlacement | Failure:
        """Place the next attempt of a line.

        While an attempt of another line waits for its endpoint, this waits for
        a placement, and for a retry of the budget if it has none.
        """
        interval_s = MIN_SEARCH_INTERVAL_S
        while True:
            await checkpoint_if_cancelled()
            if not self._race.has_running_others(line):
                return await self._placer.place(
                    self._served.admitted, self._served.progress
                )
            permitted = await self._place_successor(has_retry=has_retry)
            if permitted is not None:
                return permitted
            await anyio.sleep(interval_s)
            interval_s = min(MAX_SEARCH_INTERVAL_S, 2 * interval_s)

    async def _place_successor(
        self, *, has_retry: bool
    ) -> PermittedPlacement | None:
        """Return a placement that may be used beside silent attempts."""
        if not has_retry and not self._may_acquire_retry():
            return None
        permitted = await self._placer.place(
            self._served.admitted, self._served.progress
        )
        if isinstance(permitted, Failure):
            return None
        if has_retry or self._try_acquire_retry():
            return permitted
        return None

    def _decisions(
        self, tasks: TaskGroup, line: AttemptLine, lead: Endpoint
    ) -> AttemptDecisions:
        return AttemptDecisions(
            may_retry_elsewhere=partial(self._may_retry_elsewhere, lead),
            leave_to_retry=partial(self._leave_to_retry, line, lead),
            acquire_resend=partial(self._acquire_resend, line),
            claim=partial(self._race.claim, line),
            on_silence=partial(self._handle_silence, tasks, line),
        )

    def _handle_silence(self, tasks: TaskGroup, line: AttemptLine) -> None:
        """Look for a successor of a silent attempt, if there may be one."""
        needs_successor = self._race.record_silence(line)
        if not needs_successor or not self._served.admitted.route.repeatable:
            return
        scope = anyio.CancelScope()
        successor = self._race.open_line(scope.cancel)
        tasks.start_soon(
            partial(self._run_line, tasks, scope, successor, has_retry=False)
        )

    def _may_retry_elsewhere(self, lead: Endpoint) -> bool:
        """Tell whether the request may be sent to another endpoint if the
        attempt at `lead` fails.
        """
        admitted = self._served.admitted
        progress = self._served.progress
        if not progress.may_retry_after(lead, admitted):
            return False
        if self._placer.outlasts_process(admitted, progress.predicted_ms):
            return False
        return self._retry_budget.has_retry(admitted.service.name)

    def _leave_to_retry(self, line: AttemptLine, lead: Endpoint) -> bool:
        """Tell whether another attempt is to replace the failure of `lead`.

        The next attempt of the line has its retry of the budget then: another
        request could take the last one meanwhile.
        """
        if not self._may_retry_elsewhere(lead):
            return False
        if self._race.has_running_others(line):
            return True
        if self._try_acquire_retry():
            self._with_retry.add(line)
            return True
        return False

    def _acquire_resend(self, line: AttemptLine) -> bool:
        """Let the attempt of a line be sent to its endpoint once more, which
        takes a retry of the budget.
        """
        if not self._served.admitted.route.repeatable:
            return False
        if self._race.has_running_others(line):
            return False
        return self._try_acquire_retry()

    def _may_acquire_retry(self) -> bool:
        return self._has_attempt_left() and self._retry_budget.has_retry(
            self._served.admitted.service.name
        )

    def _try_acquire_retry(self) -> bool:
        if not self._has_attempt_left():
            return False
        admitted = self._served.admitted
        if self._retry_budget.try_acquire(admitted.service.name):
            return True
        logger.bind(
            request_id=admitted.req.request_id,
            service=admitted.service.name,
        ).info('repeat_budget_spent')
        return False

    def _has_attempt_left(self) -> bool:
        """Tell whether the request itself may be sent once more."""
        admitted = self._served.admitted
        if not self._served.progress.may_retry(admitted):
            return False
        return admitted.remaining_s() * MS_PER_S > ANSWER_MARGIN_MS
