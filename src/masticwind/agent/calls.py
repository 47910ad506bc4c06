"""Calls of a plain service at its agent."""

from typing import Final, Literal

import anyio

from masticwind.config.current import CurrentConfig
from masticwind.engines.base import Service, ServiceRequest
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import Call, CallResult, Load
from masticwind.settings import AgentSettings

HEALTH_INTERVAL_S: Final = 0.5
MS_PER_S: Final = 1000


class CallExecutor:
    """Owns the calls of one plain service."""

    def __init__(
        self,
        cfg: AgentSettings,
        config: CurrentConfig,
        service: Service,
    ) -> None:
        self._cfg: Final = cfg
        self._config: Final = config
        self._service: Final = service
        self._running = 0
        self._healthy = False
        self._seen: Final[set[str]] = set()
        self.draining = False

    @property
    def idle(self) -> bool:
        """Whether no call is running."""
        return self._running == 0

    async def run(self) -> None:
        """Check the health of the service until cancelled."""
        while True:
            self._healthy = await self._service.healthy()
            await anyio.sleep(HEALTH_INTERVAL_S)

    async def call(self, channel: Channel, message: Call) -> None:
        """Make one call and send its result."""
        key = (message.request_id, message.attempt)
        refusal = self._refusal(message)
        if refusal is not None:
            channel.send(
                CallResult(
                    *key,
                    kind=refusal.kind,
                    reason=refusal.reason,
                )
            )
            return
        if message.claim:
            self._seen.add(message.claim)
        self._running += 1
        try:
            answer = await self._service.call(
                ServiceRequest(
                    request_id=message.request_id,
                    method=message.method,
                    path=message.path,
                    headers=(
                        *message.headers,
                        ('x-request-id', message.request_id),
                        ('x-fencing-token', str(message.fencing)),
                    ),
                    body=message.body,
                    timeout_s=message.timeout_ms / MS_PER_S,
                )
            )
        finally:
            self._running -= 1
        if isinstance(answer, Failure):
            channel.send(
                CallResult(
                    *key,
                    kind=answer.kind,
                    reason=answer.reason,
                )
            )
            return
        channel.send(
            CallResult(
                *key,
                answer.status,
                answer.content_type,
                answer.body,
            )
        )

    def load(self) -> Load:
        """Return the load report for heartbeats."""
        return Load(
            state=self._state(),
            kind='service',
            service=self._cfg.service,
            slots=max(0, self._cfg.max_running - self._running),
            running=self._running,
        )

    def _state(self) -> Literal['serving', 'draining', 'out', 'down']:
        if self.draining:
            return 'draining'
        if not self._healthy:
            return 'down'
        if not self._config.zone_in_service(self._cfg.zone):
            return 'out'
        return 'serving'

    def _refusal(self, message: Call) -> Failure | None:
        if self.draining:
            return Failure(kind=ErrorKind.DRAINING, reason='shutting down')
        if not self._config.zone_in_service(self._cfg.zone):
            return Failure(kind=ErrorKind.ZONE_OUT, reason='out of service')
        if message.claim in self._seen:
            return Failure(kind=ErrorKind.DUPLICATE, reason='seen before')
        if self._running >= self._cfg.max_running:
            return Failure(kind=ErrorKind.OVERLOADED, reason='too many calls')
        return None
