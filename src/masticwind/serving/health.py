"""Which endpoints fail, from what this entry sees of them.

Health checks are not asked: they cost the endpoint a slot and can be false
either way. A broken connection takes an endpoint out at once; a slow or
failed answer, which also good endpoints give, only when several follow each
other. The time doubles with each further one; a success brings it back.

Broken connections are told to the other entries, and what they tell counts
like a share of failures.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from loguru import logger

from masticwind.serving.model import Endpoint
from masticwind.serving.suspicions import Suspicions

INITIAL_EXCLUSION_S: Final = 0.5
MAX_EXCLUSION_S: Final = 4.0
# Weight of the newest result in the failure share of an endpoint.
NEWEST_WEIGHT: Final = 0.25
# Slow or failed answers in a row that take an endpoint out.
SOFT_FAILURE_LIMIT: Final = 3
# Failure share of an endpoint that other entries could not reach.
SUSPECTED_SHARE: Final = 1.0


@dataclass(slots=True)
class _Record:
    failures: int = 0
    out_until: float = 0
    share: float = 0


class EndpointHealth:
    """Failures by endpoint."""

    def __init__(
        self,
        suspicions: Suspicions,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._suspicions: Final = suspicions
        self._clock: Final = clock
        self._records: Final[dict[str, _Record]] = {}

    def is_excluded(self, endpoint: str) -> bool:
        """Tell whether an endpoint is left out for now."""
        record = self._records.get(endpoint)
        return record is not None and record.out_until > self._clock()

    def failure_shares(self, endpoints: Iterable[Endpoint]) -> dict[str, float]:
        """Return the recent shares of failures, from 0 to 1, above zero."""
        shares: dict[str, float] = {}
        for endpoint in endpoints:
            record = self._records.get(endpoint.identity)
            share = 0.0 if record is None else record.share
            if self._suspicions.is_suspected(endpoint.identity):
                share = SUSPECTED_SHARE
            if share > 0:
                shares[endpoint.identity] = share
        return shares

    def record_success(self, endpoint: str) -> None:
        """Note a request that the endpoint served."""
        self._suspicions.record_success(endpoint)
        record = self._records.get(endpoint)
        if record is None:
            return
        record.failures = 0
        record.out_until = 0
        record.share *= 1 - NEWEST_WEIGHT

    def record_failure(
        self, endpoint: str, reason: str, *, connection_failed: bool
    ) -> None:
        """Note a request that the endpoint lost, spoiled or failed.

        `connection_failed` says that the connection broke or could not be made.
        """
        record = self._records.setdefault(endpoint, _Record())
        record.failures += 1
        record.share += NEWEST_WEIGHT * (1 - record.share)
        counted = record.failures
        if connection_failed:
            self._suspicions.report(endpoint)
        else:
            counted -= SOFT_FAILURE_LIMIT - 1
        if counted > 0:
            out_s = INITIAL_EXCLUSION_S * 2 ** (counted - 1)
            record.out_until = self._clock() + min(MAX_EXCLUSION_S, out_s)
        logger.bind(
            endpoint=endpoint,
            reason=reason,
            failures=record.failures,
            failure_share=round(record.share, 2),
        ).warning('endpoint_suspected')

    def forget(self, endpoint: str) -> None:
        """Drop the record of an endpoint that is gone."""
        self._suspicions.forget(endpoint)
        self._records.pop(endpoint, None)
