"""Stand-in for the platform's instance list, which lags behind changes."""

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
        self._published: Final = deque[tuple[float, tuple[Instance, ...]]]()
        self._published.append((0, ()))
        self.app: Final = Router(
            {
                ('GET', '/v1/instances'): self._list_instances,
                ('POST', '/control'): self._control,
            }
        )

    def publish(self, instances: tuple[Instance, ...]) -> None:
        """Replace the list; readers see the new one after the lag."""
        self._published.append((time.monotonic(), instances))

    def visible_instances(self) -> tuple[Instance, ...]:
        """Return the list that readers see now."""
        visible_until_s = time.monotonic() - self.lag_s
        while (
            len(self._published) > 1
            and self._published[1][0] <= visible_until_s
        ):
            self._published.popleft()
        return self._published[0][1]

    async def _list_instances(self, _req: StandinRequest) -> Response:
        if self.outage:
            return json_response(503, {'error': 'outage'})
        return json_response(200, self.visible_instances())

    async def _control(self, req: StandinRequest) -> Response:
        options = req.json()
        self.lag_s = options.get('lag_s', self.lag_s)
        self.outage = options.get('outage', self.outage)
        instances = options.get('instances')
        if instances is not None:
            self.publish(
                msgspec.convert(
                    instances,
                    type=tuple[Instance, ...],
                )
            )
        return json_response(200, {})
