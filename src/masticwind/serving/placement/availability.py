"""What becomes of a request for which no endpoint is left at present."""

import random
from dataclasses import dataclass
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.requests import AdmittedRequest
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.placer import Deferral

# Longest wait for an endpoint, as a share of the first event target.
MAX_AVAILABILITY_WAIT_SHARE: Final = 1 / 8
# Covers the rounding of clocks, so that the endpoint is available.
AVAILABILITY_MARGIN_MS: Final = 2.0
# Refused callers return within at least this time after the wait, and within
# a time as long as the wait if that is longer.
MIN_RETURN_SPREAD_MS: Final = 300.0


@dataclass(frozen=True, slots=True)
class Availability:
    """When an endpoint may get a request that no other endpoint may get."""

    endpoint: Endpoint
    wait_ms: float


def wait_or_refuse(
    admitted: AdmittedRequest, available: Availability, deferred_ms: float
) -> Deferral | Failure:
    """Let a request wait for its only endpoint, or refuse it at once.

    A longer wait would use up the time in which its caller may return. Callers
    that are refused together are told to return one after another.
    """
    remaining_ms = admitted.remaining_s() * MS_PER_S
    target_ms = admitted.route.first_event_target_ms or remaining_ms
    target_ms = min(target_ms, remaining_ms)
    wait_ms = available.wait_ms + AVAILABILITY_MARGIN_MS
    reason = f'{available.endpoint.identity} is available in {wait_ms:.0f} ms'
    if deferred_ms + wait_ms <= target_ms * MAX_AVAILABILITY_WAIT_SHARE:
        return Deferral(wait_ms, reason)
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason=f'no endpoint is available for this request, {reason}',
        retry_after_ms=int(
            wait_ms + random.uniform(0, max(wait_ms, MIN_RETURN_SPREAD_MS))
        ),
    )
