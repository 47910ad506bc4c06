"""The order of the attempts of one request, with a scripted placer."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, Final, cast

import anyio
import pytest

from masticwind.budget import Budget
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.bounds import RetryBudget
from masticwind.serving.admission.requests import RequestProgress, admit
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.attempt_runner import (
    AttemptDecisions,
    AttemptRunner,
    ServedRequest,
)
from masticwind.serving.interfaces import CallerAnswer
from masticwind.serving.model import (
    NO_CONFIG,
    CallerRequest,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from masticwind.serving.placement.request_placer import (
    PermittedPlacement,
    RequestPlacer,
)
from masticwind.serving.request_run import RequestRun, RunDependencies
from masticwind.serving.settings import LiveSettings
from tests.entry_harness import sample_settings

pytestmark = pytest.mark.anyio

RECALLED: Final = Failure(kind=ErrorKind.QUARANTINED, reason='held')
REFUSED: Final = Failure(kind=ErrorKind.OVERLOADED, reason='full')
SEARCH_S: Final = 0.25


class ScriptedAttempts:
    """Places the first attempt, and any other one after the recall.

    The first attempt falls silent and is recalled while a successor is looked
    for.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.recalled = False

    async def place(
        self, _admitted: Any, _progress: Any
    ) -> PermittedPlacement | Failure:
        """Refuse a successor until the recall."""
        if self.sent and not self.recalled:
            return REFUSED
        lead = SimpleNamespace(identity=f'e-{self.sent}')
        placement: Any = SimpleNamespace(lead=lead)
        return PermittedPlacement(placement, state=AttemptState())

    async def run(
        self, _served: Any, _permitted: Any, decisions: AttemptDecisions
    ) -> Failure | None:
        """Fall silent, and return the recall."""
        self.sent += 1
        decisions.on_silence()
        await anyio.sleep(SEARCH_S)
        self.recalled = True
        return RECALLED

    def record_metrics(self, *_args: Any) -> None:
        """Count nothing."""


async def test_recalled_request_is_not_sent_again() -> None:
    """Guards against a request that goes on to another engine, and past the
    budget of retries, after it was recalled beside a search for a successor.
    """
    service = Service(name='s', max_connections=9)
    route = Route(
        name='r',
        host='h',
        prefix='/',
        kind=RouteKind.REPEATABLE,
        services=(WeightedService('s', 1),),
        max_endpoints=3,
    )
    req = CallerRequest(
        request_id='r1',
        method='GET',
        target=b'/',
        host='h',
        path='/',
        forwarded_headers=(),
        budget=Budget.from_ms(3000),
    )
    config = replace(NO_CONFIG, services={'s': service})
    admitted = admit(req, route, None, config)
    assert not isinstance(admitted, Failure)
    attempts = ScriptedAttempts()
    deps = RunDependencies(
        retry_budget=RetryBudget(LiveSettings(sample_settings()), lambda: 1),
        placer=cast(RequestPlacer, attempts),
        attempts=cast(AttemptRunner, attempts),
    )
    served = ServedRequest(
        admitted, RequestProgress(), cast(CallerAnswer, None)
    )
    with anyio.fail_after(2 * SEARCH_S):
        outcome = await RequestRun(deps, served).serve()
    assert isinstance(outcome, Failure)
    assert RECALLED.reason in outcome.reason
    assert attempts.sent == 1
