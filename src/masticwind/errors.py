"""All error kinds and the HTTP response to each of them.

Expected failures are values, not exceptions: a function that can fail
returns either its result or a `Failure`, which has an error kind and a reason
for people. Only the HTTP front end maps a kind to a status code, with
`ERROR_RESPONSES`.

    outcome = await claims.claim(key)
    if isinstance(outcome, Failure):
        return outcome
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


class Run(enum.StrEnum):
    """Whether the work of a request can have run."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class ErrorKind(enum.StrEnum):
    """Every way in which a request can fail."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    BODY_TIMEOUT = 'body_timeout'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    UNKNOWN_MODEL = 'unknown_model'
    TIMEOUT_OUT_OF_RANGE = 'timeout_out_of_range'
    KEY_REUSED = 'key_reused'
    DUPLICATE = 'duplicate'
    CONFLICT = 'conflict'
    INVALID_CONFIG = 'invalid_config'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    NO_CAPACITY = 'no_capacity'
    ZONE_OUT = 'zone_out'
    DRAINING = 'draining'
    QUARANTINED = 'quarantined'
    PLATFORM_DOWN = 'platform_down'
    REVOKED = 'revoked'
    CANCELLED = 'cancelled'
    FAILED_AFTER_START = 'failed_after_start'
    TIMED_OUT = 'timed_out'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """The reason why an operation has no result.

    The caller should wait `retry_after_ms` before it retries; zero means that
    the time is unknown. `silent` means that nothing at all was received from
    the other side before the timeout, and `refused` that a new connection was
    refused or reset. `unasked` means that what was received
    on a reused connection belongs to an earlier request.
    """

    kind: ErrorKind
    reason: str
    retry_after_ms: int = 0
    silent: bool = False
    unasked: bool = False
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to a caller for one error kind.

    With `repeat_safe`, the caller can safely send the request again.
    """

    status: int
    run: Run
    repeat_safe: bool


ERROR_RESPONSES: Final[Mapping[ErrorKind, ErrorResponse]] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorResponse(
            400, Run.NOT_RUN, repeat_safe=False
        ),
        ErrorKind.TOO_LARGE: ErrorResponse(413, Run.NOT_RUN, repeat_safe=False),
        ErrorKind.BODY_TIMEOUT: ErrorResponse(
            408, Run.NOT_RUN, repeat_safe=True
        ),
        ErrorKind.UNAUTHENTICATED: ErrorResponse(
            401, Run.NOT_RUN, repeat_safe=False
        ),
        ErrorKind.FORBIDDEN: ErrorResponse(403, Run.NOT_RUN, repeat_safe=False),
        ErrorKind.NOT_FOUND: ErrorResponse(404, Run.NOT_RUN, repeat_safe=False),
        ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(
            405, Run.NOT_RUN, repeat_safe=False
        ),
        ErrorKind.UNKNOWN_MODEL: ErrorResponse(
            404, Run.NOT_RUN, repeat_safe=False
        ),
        ErrorKind.TIMEOUT_OUT_OF_RANGE: ErrorResponse(
            400,
            Run.NOT_RUN,
            repeat_safe=False,
        ),
        ErrorKind.KEY_REUSED: ErrorResponse(
            422, Run.NOT_RUN, repeat_safe=False
        ),
        ErrorKind.DUPLICATE: ErrorResponse(
            409, Run.MAY_HAVE_RUN, repeat_safe=False
        ),
        ErrorKind.CONFLICT: ErrorResponse(409, Run.NOT_RUN, repeat_safe=False),
        ErrorKind.INVALID_CONFIG: ErrorResponse(
            422, Run.NOT_RUN, repeat_safe=False
        ),
        ErrorKind.RATE_LIMITED: ErrorResponse(
            429, Run.NOT_RUN, repeat_safe=True
        ),
        ErrorKind.OVERLOADED: ErrorResponse(503, Run.NOT_RUN, repeat_safe=True),
        ErrorKind.NO_CAPACITY: ErrorResponse(
            503, Run.NOT_RUN, repeat_safe=True
        ),
        ErrorKind.ZONE_OUT: ErrorResponse(503, Run.NOT_RUN, repeat_safe=True),
        ErrorKind.DRAINING: ErrorResponse(503, Run.NOT_RUN, repeat_safe=True),
        # Prompts like this one have crashed engines.
        ErrorKind.QUARANTINED: ErrorResponse(
            503, Run.NOT_RUN, repeat_safe=False
        ),
        ErrorKind.PLATFORM_DOWN: ErrorResponse(
            503, Run.NOT_RUN, repeat_safe=True
        ),
        ErrorKind.REVOKED: ErrorResponse(503, Run.NOT_RUN, repeat_safe=True),
        ErrorKind.CANCELLED: ErrorResponse(
            499, Run.MAY_HAVE_RUN, repeat_safe=False
        ),
        ErrorKind.FAILED_AFTER_START: ErrorResponse(
            502,
            Run.MAY_HAVE_RUN,
            repeat_safe=False,
        ),
        ErrorKind.TIMED_OUT: ErrorResponse(
            504, Run.MAY_HAVE_RUN, repeat_safe=False
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
            504,
            Run.MAY_HAVE_RUN,
            repeat_safe=False,
        ),
        ErrorKind.INTERNAL: ErrorResponse(
            500, Run.MAY_HAVE_RUN, repeat_safe=False
        ),
    }
)


def guarantees_not_run(kind: ErrorKind) -> bool:
    """Tell whether this kind guarantees that no work of the request ran."""
    return ERROR_RESPONSES[kind].run is Run.NOT_RUN
