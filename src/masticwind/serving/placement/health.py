"""Passive health checks: failures of endpoints, from this entry's requests.

There are no active health checks: they take up a slot of the endpoint, and
both their positive and negative results can be wrong. A failed connection
excludes an endpoint at once. A slow or failed answer, which healthy endpoints
give too, excludes it only after several in a row. The exclusion time doubles
with each further failure; a success ends it.

Placement also avoids an endpoint by its recent share of failures. As an
endpoint that is avoided gets hardly any request that could lower its share,
the share halves with time, more slowly the more failures there were in a row.

Failed connections are reported to the other entries, and an endpoint that
they report as unreachable counts as failing.
"""

import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from loguru import logger

from masticwind.serving.model import Endpoint
from masticwind.serving.placement.suspicions import Suspicions

INITIAL_EXCLUSION_S: Final = 0.5
MAX_EXCLUSION_S: Final = 4.0
# Doublings after which the time is at its maximum.
MAX_DOUBLINGS: Final = math.ceil(
    math.log2(MAX_EXCLUSION_S / INITIAL_EXCLUSION_S)
)
# Weight of the latest result in the moving average of failures.
LATEST_RESULT_WEIGHT: Final = 0.25
# Time in which the share of failures halves after one failure.
FAILURE_HALF_LIFE_S: Final = 1.0
# A lower share counts as none.
MIN_FAILURE_SHARE: Final = 0.02
# Slow or failed answers in a row that exclude an endpoint.
SOFT_FAILURE_LIMIT: Final = 3
# Failure share of an endpoint that other entries could not reach.
SUSPECTED_FAILURE_SHARE: Final = 1.0
# Failure share of an endpoint that may have ended with others of its zone.
DOUBTFUL_FAILURE_SHARE: Final = 1.0


@dataclass(slots=True)
class _Record:
    consecutive_failures: int = 0
    excluded_until: float = 0
    failure_share: float = 0
    updated_at: float = 0


def _never(_endpoint: Endpoint) -> bool:
    """Tell that no endpoint is doubtful; the default."""
    return False


class EndpointHealth:
    """Records failures of endpoints and excludes those that fail."""

    def __init__(
        self,
        suspicions: Suspicions,
        clock: Callable[[], float] = time.monotonic,
        *,
        is_doubtful: Callable[[Endpoint], bool] = _never,
    ) -> None:
        self._is_doubtful: Final = is_doubtful
        self._suspicions: Final = suspicions
        self._clock: Final = clock
        self._records: Final[dict[str, _Record]] = {}

    def is_excluded(self, endpoint: str) -> bool:
        """Tell whether an endpoint gets no requests at present."""
        record = self._records.get(endpoint)
        return record is not None and record.excluded_until > self._clock()

    def excluded_for_s(self, endpoint: str) -> float:
        """Return the time until an exclusion ends; zero without one."""
        record = self._records.get(endpoint)
        if record is None:
            return 0.0
        return max(0.0, record.excluded_until - self._clock())

    def failure_shares(self, endpoints: Iterable[Endpoint]) -> dict[str, float]:
        """Return the recent share of failures of endpoints that have any.

        A share is above 0 and at most 1.
        """
        shares: dict[str, float] = {}
        for endpoint in endpoints:
            record = self._records.get(endpoint.identity)
            share = 0.0 if record is None else self._present_share(record)
            if self._suspicions.is_suspected(endpoint.identity):
                share = SUSPECTED_FAILURE_SHARE
            if self._is_doubtful(endpoint):
                share = max(share, DOUBTFUL_FAILURE_SHARE)
            if share > 0:
                shares[endpoint.identity] = share
        return shares

    def record_success(self, endpoint: str) -> None:
        """Record a request that the endpoint served."""
        self._suspicions.record_success(endpoint)
        record = self._records.get(endpoint)
        if record is None:
            return
        share = self._present_share(record)
        record.consecutive_failures = 0
        record.excluded_until = 0
        record.failure_share = share * (1 - LATEST_RESULT_WEIGHT)
        record.updated_at = self._clock()

    def record_failure(
        self,
        endpoint: str,
        reason: str,
        *,
        connection_failed: bool,
        reported: bool = False,
    ) -> None:
        """Record a request that got no answer, or a failed or damaged one.

        `connection_failed` says that the connection broke or could not be made.
        The other entries are told of that unless it has been `reported`.
        """
        record = self._records.setdefault(endpoint, _Record())
        share = self._present_share(record)
        record.consecutive_failures += 1
        record.failure_share = share + LATEST_RESULT_WEIGHT * (1 - share)
        record.updated_at = self._clock()
        counted = record.consecutive_failures
        if connection_failed:
            if not reported:
                self._suspicions.report(endpoint)
        else:
            counted -= SOFT_FAILURE_LIMIT - 1
        if counted > 0:
            doublings = min(counted - 1, MAX_DOUBLINGS)
            exclusion_s = INITIAL_EXCLUSION_S * 2**doublings
            record.excluded_until = self._clock() + min(
                MAX_EXCLUSION_S, exclusion_s
            )
        logger.bind(
            endpoint=endpoint,
            reason=reason,
            failures=record.consecutive_failures,
            failure_share=round(record.failure_share, 2),
        ).warning('endpoint_suspected')

    def forget(self, endpoint: str) -> None:
        """Drop the record of an endpoint that has been removed."""
        self._suspicions.forget(endpoint)
        self._records.pop(endpoint, None)

    def _present_share(self, record: _Record) -> float:
        """Return the share of failures, reduced by the time since then."""
        half_life_s = FAILURE_HALF_LIFE_S * max(1, record.consecutive_failures)
        age_s = self._clock() - record.updated_at
        share = record.failure_share * 0.5 ** (age_s / half_life_s)
        return share if share >= MIN_FAILURE_SHARE else 0.0
