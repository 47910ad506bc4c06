"""Stand-in for the rate-limited weight store."""

import time
from typing import Final

from masticwind.web import Response, json_response
from masticwind_dev.standins.routes import Router, StandinRequest


class WeightsStandin:
    """Allows one load of weights per interval and answers others with 429."""

    def __init__(self, interval_s: float = 1.0) -> None:
        self.interval_s = interval_s
        self.loads: Final[list[str]] = []
        self._next_load_at_s = 0.0
        self.app: Final = Router({('POST', '/v1/weights/'): self._load})

    async def _load(self, req: StandinRequest) -> Response:
        now = time.monotonic()
        if now < self._next_load_at_s:
            retry_after_s = f'{self._next_load_at_s - now:.3f}'.encode()
            return Response(
                429, b'{}', headers=((b'retry-after', retry_after_s),)
            )
        self._next_load_at_s = now + self.interval_s
        self.loads.append(req.path_suffix)
        return json_response(200, {})
