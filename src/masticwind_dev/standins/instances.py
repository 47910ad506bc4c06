"""Stand-in for the platform's lagging instance list."""

import time
from collections import deque
from typing import Final

import msgspec

from masticwind.store.base import Instance
from masticwind.web import Response, json_response
from masticwind_dev.standins.routes import Router, StandinRequest


class InstancesStandin:
    """Shows each change to the list only after `lag_s` seconds."""

    def __init__(self, lag_s: float = 0) -> None:
        self.lag_s = lag_s
        self.outage = False
        self._versions: Final = deque[tuple[float, tuple[Instance, ...]]]()
        self._versions.append((0, ()))
        self.app: Final = Router(
            {
                ('GET', '/v1/instances'): self._list,
                ('POST', '/control'): self._control,
            }
        )

    def publish(self, instances: tuple[Instance, ...]) -> None:
        """Replace the list; readers see it after the lag."""
        self._versions.append((time.monotonic(), instances))

    def visible_instances(self) -> tuple[Instance, ...]:
        """Return the list that readers see now."""
        horizon = time.monotonic() - self.lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= horizon:
            self._versions.popleft()
        return self._versions[0][1]

    async def _list(self, _req: StandinRequest) -> Response:
        if self.outage:
            return json_response(503, {'error': 'outage'})
        return json_response(200, self.visible_instances())

    async def _control(self, req: StandinRequest) -> Response:
        wanted = req.json()
        self.lag_s = wanted.get('lag_s', self.lag_s)
        self.outage = wanted.get('outage', self.outage)
        listed = wanted.get('instances')
        if listed is not None:
            self.publish(
                msgspec.convert(
                    listed,
                    type=tuple[Instance, ...],
                )
            )
        return json_response(200, {})
