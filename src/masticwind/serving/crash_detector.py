"""Tells a process of an endpoint that has ended from a broken connection.

A connection also breaks when an answer is lost, when a network link fails or
when the endpoint has too many connections. Only an endpoint whose process has
ended refuses the next connection.
"""

import math
from typing import Final

import anyio
from loguru import logger

from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import ConnectResult
from masticwind.serving.attempt_context import AttemptContext
from masticwind.serving.interfaces import EndpointClient
from masticwind.serving.placement.load_table import LoadTable
from masticwind.serving.telemetry import Telemetry

MAX_CALL_CHECK_S: Final = 0.1


class CrashDetector:
    """Checks the endpoints of attempts that broke off before any event."""

    def __init__(
        self,
        endpoint_client: EndpointClient,
        load_table: LoadTable,
        telemetry: Telemetry,
    ) -> None:
        self._endpoint_client: Final = endpoint_client
        self._load_table: Final = load_table
        self._telemetry: Final = telemetry

    async def has_crashed(
        self, context: AttemptContext, failure: Failure
    ) -> bool:
        """Tell whether the endpoint crashed before it wrote an event."""
        if failure.kind is not ErrorKind.FAILED_AFTER_START:
            return False
        if context.progress.event_count or context.progress.last_event_id:
            # An engine has begun to answer this prompt and did not crash.
            return False
        endpoint = context.placement.lead
        result = ConnectResult.SILENT
        with anyio.move_on_after(_check_timeout_s(context, failure)):
            result = await self._endpoint_client.try_connect(endpoint)
        if result is not ConnectResult.REFUSED:
            return False
        self._telemetry.crashes.inc()
        jobs = self._load_table.jobs_by_endpoint().get(endpoint.identity, ())
        logger.bind(
            request_id=context.admitted.req.request_id,
            endpoint=endpoint.identity,
            team=context.admitted.team.name,
            path=context.admitted.req.path,
            parts=context.admitted.req.prompt_parts,
            answer_begun=context.state.answer_begun,
            jobs=len(jobs) + 1,
        ).warning('endpoint_crashed')
        return True


def _check_timeout_s(context: AttemptContext, failure: Failure) -> float:
    """Return how long to wait for the reply to a new connection.

    The caller of a call waits meanwhile, and calls have little time. An
    endpoint that is silent is not checked for a call: it would not reply.
    """
    if context.admitted.req.prompt_parts:
        return math.inf
    return 0 if failure.silent else MAX_CALL_CHECK_S
