"""Stand-in for the rate-limited weight store."""

import time
from typing import Final

from masticwind.web import Response, json_response
from masticwind_dev.standins.routes import Router, StandinRequest


class WeightsStandin:
    """Allows one load of weights in each interval."""

    def __init__(self, interval_s: float = 1.0) -> None:
        self.interval_s = interval_s
        self.loads: Final[list[str]] = []
        self._next = 0.0
        self.app: Final = Router({('POST', '/v1/weights/'): self._acquire})

    async def _acquire(self, req: StandinRequest) -> Response:
        now = time.monotonic()
        if now < self._next:
            wait_s = f'{self._next - now:.3f}'.encode()
            return Response(429, b'{}', headers=((b'retry-after', wait_s),))
        self._next = now + self.interval_s
        self.loads.append(req.tail)
        return json_response(200, {})
