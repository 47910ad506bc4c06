"""What the caller of a plain service is told, and what is recorded."""

from typing import Final

from masticwind.entry.claim_records import (
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    body_digest,
)
from masticwind.entry.claims import ClaimOutcome
from masticwind.entry.outcomes import format_digest
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.protocol.messages import CallResult
from masticwind.web import Response

NO_AGENT_RETRY_MS: Final = 1000
# Larger response bodies are recorded by digest only.
MAX_RECORDED_BYTES: Final = 256


def no_agent_failure() -> Failure:
    """Return the refusal when no agent can take a call."""
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason='no endpoint of the service can take the call',
        retry_after_ms=NO_AGENT_RETRY_MS,
    )


def failure_of_attempts(outcome: Failure, *, ran: bool) -> Failure:
    """An earlier attempt may have run even if the last one was refused."""
    if ran and not_run(outcome.kind):
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason=f'an attempt may have run; the last one: {outcome.reason}',
        )
    return outcome


def service_response(result: CallResult) -> Response:
    """Return a service's answer as the caller gets it."""
    return Response(
        result.status,
        result.body,
        result.content_type.encode('latin-1'),
    )


def claim_outcome(outcome: CallResult | Failure) -> ClaimOutcome:
    """Return what is recorded of a claimed call."""
    if isinstance(outcome, Failure):
        if not_run(outcome.kind):
            return ClaimOutcome(state=ClaimState.NOT_RUN)
        if outcome.kind is ErrorKind.FAILED_AFTER_START:
            return ClaimOutcome(state=ClaimState.FAILED)
        return ClaimOutcome(state=ClaimState.UNKNOWN)
    small = len(outcome.body) <= MAX_RECORDED_BYTES
    return ClaimOutcome(
        state=ClaimState.DONE,
        status=outcome.status,
        body_digest=body_digest(outcome.body),
        content_type=outcome.content_type if small else '',
        body=outcome.body if small else b'',
    )


def answer_from_record(
    record: ClaimRecord, order: ClaimRequest
) -> Response | Failure:
    """Answer a call whose key is claimed already."""
    if record.call_digest != order.call_digest:
        return Failure(
            kind=ErrorKind.KEY_REUSED,
            reason='the key was used for a different call',
        )
    if record.state is ClaimState.DONE:
        if record.body_digest == body_digest(record.body):
            return Response(
                record.status,
                record.body,
                record.content_type.encode('latin-1'),
            )
        return Failure(
            kind=ErrorKind.DUPLICATE,
            reason=f'completed with status {record.status} and body '
            f'{format_digest(record.body_digest)}, which is not kept',
        )
    if record.state is ClaimState.CLAIMED:
        return Failure(kind=ErrorKind.DUPLICATE, reason='claimed already')
    if record.state is ClaimState.FAILED:
        return Failure(kind=ErrorKind.FAILED_AFTER_START, reason='failed')
    return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason='outcome unknown')
