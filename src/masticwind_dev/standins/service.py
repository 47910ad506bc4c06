"""Stand-in for a plain service with calls that must not be repeated.

It records each call that it executed, so tests can count the executions of
one order.
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
    """Faults: delays, failures and answers that are lost after the execution.

    `lose_responses` is the number of upcoming calls that get no answer.
    `check_fencing` refuses a call whose fencing token is lower than the
    highest one seen for the same order.
    """

    delay_ms: int = 0
    fail_status: int = 0
    lose_responses: int = 0
    check_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Execution:
    """One executed call; `at_s` is a time of the monotonic clock."""

    method: str
    path: str
    order: str
    request_id: str
    body: str
    at_s: float


class ServiceStandin:
    """Executes and records every call under `/`."""

    def __init__(self) -> None:
        self.switches = ServiceSwitches()
        self.executions: Final[list[Execution]] = []
        self._newest_fencing: Final[dict[str, int]] = {}
        self.app: Final = Router(
            {
                ('GET', '/health'): self._health,
                ('POST', '/control'): self._control,
                ('GET', '/executions'): self._list_executions,
                ('*', '/'): self._execute,
            }
        )

    async def _health(self, _req: StandinRequest) -> Response:
        return json_response(200, {})

    async def _control(self, req: StandinRequest) -> Response:
        for name, value in req.json().items():
            setattr(self.switches, name, value)
        return json_response(200, self.switches)

    async def _list_executions(self, _req: StandinRequest) -> Response:
        return json_response(200, self.executions)

    async def _execute(self, req: StandinRequest) -> Response:
        request_id = req.headers.get('x-request-id', '')
        fencing = int(req.headers.get('x-fencing-token', '0'))
        if self.switches.check_fencing and fencing < self._newest_fencing.get(
            request_id, 0
        ):
            return json_response(409, {'error': 'old fencing token'})
        self._newest_fencing[request_id] = max(
            fencing, self._newest_fencing.get(request_id, 0)
        )
        if self.switches.fail_status:
            return json_response(self.switches.fail_status, {'error': 'failed'})
        self.executions.append(
            Execution(
                req.method,
                f'/{req.path_suffix}',
                req.headers.get('idempotency-key', ''),
                request_id,
                req.body.decode(errors='replace'),
                time.monotonic(),
            )
        )
        execution_number = len(self.executions)
        if self.switches.delay_ms:
            await anyio.sleep(self.switches.delay_ms / MS_PER_S)
        if self.switches.lose_responses > 0:
            self.switches.lose_responses -= 1
            await anyio.sleep(120)
        return Response(
            200,
            msgspec.json.encode(
                {
                    'executed': execution_number,
                    'path': f'/{req.path_suffix}',
                    'query': req.query,
                }
            ),
        )
