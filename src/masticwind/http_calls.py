"""Limits and progress of one whole call of the HTTP client."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.errors import ErrorKind, Failure

# Larger than any document of the store and any report of an engine.
MAX_BODY_BYTES: Final = 16_777_216


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of a whole call.

    `timeout_s` runs from the wait for a connection to the end of the body.
    """

    timeout_s: float
    max_body_bytes: int = MAX_BODY_BYTES


@dataclass(slots=True)
class CallProgress:
    """How far a call has come, from the trace events of httpcore."""

    limits: CallLimits
    sent: bool = False
    answered: bool = False

    async def record(self, event: str, _details: object) -> None:
        """Record an event; httpcore awaits this method."""
        if event == 'http11.send_request_headers.started':
            self.sent = True
        elif event == 'http11.receive_response_headers.complete':
            self.answered = True

    @asynccontextmanager
    async def limit_time(self) -> AsyncIterator[None]:
        """Raise `TimeoutError` if the call does not end in time."""
        with anyio.fail_after(self.limits.timeout_s):
            yield

    def timeout_failure(self) -> Failure:
        """Return the failure of a call that did not end in time."""
        kind = ErrorKind.NO_CAPACITY
        if self.sent:
            kind = ErrorKind.OUTCOME_UNKNOWN
        return Failure(
            kind=kind,
            reason=f'no complete answer within {self.limits.timeout_s:.3g} s',
            silent=not self.answered,
        )


def is_refused(exc: BaseException) -> bool:
    """Tell whether the peer has refused or reset a connection.

    Libraries wrap the error of the system, which has other causes as well, such
    as a network that is unreachable.
    """
    cause: BaseException | None = exc
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError | ConnectionResetError):
            return True
        cause = cause.__cause__ or cause.__context__
    return False
