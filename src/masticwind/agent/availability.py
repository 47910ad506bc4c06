"""Decides whether an agent accepts new work.

Combines the engine's health, the configured service state, a drain and the
set of revoked attempts.
"""

import time
from typing import Final

from masticwind.agent.ramp import Ramp
from masticwind.agent.requests import RequestKey
from masticwind.config.current import CurrentConfig
from masticwind.engines.base import EngineReport
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import LoadState
from masticwind.settings import AgentSettings

MAX_REVOKED_ATTEMPTS: Final = 100_000


class Availability:
    """Holds the engine's last report and the revoked attempts."""

    def __init__(
        self,
        cfg: AgentSettings,
        config: CurrentConfig,
        ramp: Ramp,
    ) -> None:
        self._cfg: Final = cfg
        self._config: Final = config
        self._ramp: Final = ramp
        self._revoked: Final[dict[RequestKey, float]] = {}
        self.engine_report: EngineReport | None = None
        self.draining = False

    def revoke(self, key: RequestKey) -> None:
        """Refuse any later offer of this attempt."""
        self._revoked[key] = time.monotonic()
        if len(self._revoked) > MAX_REVOKED_ATTEMPTS:
            self._revoked.pop(next(iter(self._revoked)))

    def check_new_work(self, key: RequestKey) -> Failure | None:
        """Return the refusal if the agent accepts no new work."""
        if key in self._revoked:
            return Failure(
                kind=ErrorKind.REVOKED, reason='the attempt was revoked'
            )
        if self.draining:
            return Failure(
                kind=ErrorKind.DRAINING, reason='the agent is shutting down'
            )
        if not self._in_service():
            return Failure(
                kind=ErrorKind.ZONE_OUT, reason='the endpoint is out of service'
            )
        if self.engine_report is None:
            return Failure(
                kind=ErrorKind.NO_CAPACITY, reason='the engine is down'
            )
        return None

    def has_model(self, model: str) -> bool:
        """Return whether the engine has loaded a model."""
        return (
            self.engine_report is not None
            and model in self.engine_report.models
        )

    def load_state(self) -> LoadState:
        """Return the state for the load report."""
        if self.draining:
            return 'draining'
        if self.engine_report is None:
            return 'down'
        if not self._in_service():
            return 'out'
        return 'cold' if self._ramp.cold else 'serving'

    def capacity(self) -> int:
        """Return how many requests the engine may run concurrently.

        Also passes the currently configured cold capacity to the ramp.
        """
        if self.engine_report is None:
            return 0
        cfg = self._cfg
        endpoint_config = self._config.config.endpoints.get(cfg.endpoint)
        if endpoint_config is not None and endpoint_config.cold_capacity:
            self._ramp.cold_capacity = endpoint_config.cold_capacity
        else:
            self._ramp.cold_capacity = cfg.cold_capacity
        return self._ramp.capacity

    def _in_service(self) -> bool:
        cfg, config = self._cfg, self._config
        return config.is_zone_in_service(
            cfg.zone,
        ) and config.is_endpoint_in_service(cfg.endpoint)
