"""Stand-in for a plain service with calls that may not be repeated.

It records every call that it executed, so that tests can count runs of one
order from outside.
"""

import time
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.web import Response, json_response
from masticwind_dev.standins.routes import Router, StandinRequest


@dataclass(slots=True)
class ServiceSwitches:
    """Faults: delay, failures and answers that are lost after the effect.

    `check_fencing` refuses a call whose fencing token is older than the
    newest one seen for the same order.
    """

    delay_ms: int = 0
    fail_status: int = 0
    lose_responses: int = 0
    check_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Execution:
    """One executed call; `at_s` is the machine's monotonic time."""

    method: str
    path: str
    order: str
    request_id: str
    body: str
    at_s: float


class ServiceStandin:
    """Executes any call under `/` and remembers it."""

    def __init__(self) -> None:
        self.switches = ServiceSwitches()
        self.executions: Final[list[Execution]] = []
        self._newest: Final[dict[str, int]] = {}
        self.app: Final = Router(
            {
                ('GET', '/health'): self._health,
                ('POST', '/control'): self._control,
                ('GET', '/executions'): self._list,
                ('*', '/'): self._execute,
            }
        )

    async def _health(self, _req: StandinRequest) -> Response:
        return json_response(200, {})

    async def _control(self, req: StandinRequest) -> Response:
        for name, value in req.json().items():
            setattr(self.switches, name, value)
        return json_response(200, self.switches)

    async def _list(self, _req: StandinRequest) -> Response:
        return json_response(200, self.executions)

    async def _execute(self, req: StandinRequest) -> Response:
        order = req.headers.get('x-request-id', '')
        fencing = int(req.headers.get('x-fencing-token', '0'))
        if self.switches.check_fencing and fencing < self._newest.get(order, 0):
            return json_response(409, {'error': 'old fencing token'})
        self._newest[order] = max(fencing, self._newest.get(order, 0))
        if self.switches.fail_status:
            return json_response(self.switches.fail_status, {'error': 'failed'})
        self.executions.append(
            Execution(
                req.method,
                f'/{req.tail}',
                req.headers.get('idempotency-key', ''),
                order,
                req.body.decode(errors='replace'),
                time.monotonic(),
            )
        )
        number = len(self.executions)
        if self.switches.delay_ms:
            await anyio.sleep(self.switches.delay_ms / MS_PER_S)
        if self.switches.lose_responses > 0:
            self.switches.lose_responses -= 1
            await anyio.sleep(120)
        return Response(
            200,
            msgspec.json.encode(
                {
                    'executed': number,
                    'path': f'/{req.tail}',
                    'query': req.query,
                }
            ),
        )
