"""Timeouts after which a request is sent to another endpoint instead."""

import asyncio
from types import TracebackType
from typing import Final, Self

import anyio
from loguru import logger

from masticwind.serving.attempt_context import AttemptContext

# Allowance for timers at the deadline of a request.
DEADLINE_MARGIN_S: Final = 0.001


class RetryTimeout:
    """Ends a wait for an endpoint at a time on the event loop's clock.

    If the request cannot be sent elsewhere at that time, the wait goes on
    until the deadline of the request: the endpoint may only be slow.
    """

    def __init__(self, context: AttemptContext, expires_at: float) -> None:
        self._context: Final = context
        self._scope: Final = anyio.CancelScope()
        self._timer: Final = asyncio.get_running_loop().call_at(
            expires_at, self._expire
        )

    def __enter__(self) -> Self:
        """Start the wait."""
        self._scope.__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        """End the wait; the code after the block runs at a timeout, too."""
        self.end()
        return bool(self._scope.__exit__(exc_type, exc, traceback))

    def end(self) -> None:
        """Let the timeout not expire any more."""
        self._timer.cancel()

    def _expire(self) -> None:
        context = self._context
        is_over = context.admitted.remaining_s() <= DEADLINE_MARGIN_S
        may_retry = context.may_retry_elsewhere()
        logger.bind(
            request_id=context.admitted.req.request_id,
            endpoint=context.placement.lead.identity,
            answer_begun=context.state.answer_begun,
            events=context.state.event_count,
            deadline_passed=is_over,
            may_retry_elsewhere=may_retry,
            candidates=context.progress.candidate_count,
        ).info('endpoint_silent')
        if is_over or may_retry:
            self._scope.cancel()
