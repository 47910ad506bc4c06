"""The command that tells where a request would go, against a running entry."""

import json

import pytest

from masticwind.ctl.exit_codes import EXIT_DONE, EXIT_INVALID, EXIT_REFUSED
from tests.limited_fleet import LimitedFleet, running_limited_fleet
from tests.test_ctl import run_ctl

pytestmark = pytest.mark.anyio


async def _explain(fleet: LimitedFleet, *options: str) -> tuple[int, str, str]:
    address = fleet.entries[0].operations_address
    return await run_ctl('route', '--entry', address, *options)


async def test_explained_prompt_is_placed_but_not_sent() -> None:
    """Guards against an explanation that sends the request, or that names no
    engine although one would be used.
    """
    async with running_limited_fleet(entries=1, engines=3) as fleet:
        fleet.received.clear()
        options = ('--route', 'chat', '--team', 'team-a', '--prompt', '5000')
        code, listing, error = await _explain(fleet, *options)
        assert code == EXIT_DONE, error
        assert listing.startswith('would be sent to e-')
        _, listing, _ = await _explain(fleet, *options, '--json')
        explained = json.loads(listing)
        assert explained['decision'] == 'place'
        assert explained['lead'] in fleet.engines
        assert {row['endpoint'] for row in explained['endpoints']} == set(
            fleet.engines
        )
        assert not fleet.received


@pytest.mark.parametrize(
    ('options', 'code', 'reason'),
    [
        (('--route', 'chat', '--prompt', '90000000'), EXIT_REFUSED, 'memory'),
        (('--route', 'unknown'), EXIT_REFUSED, "route 'unknown' is not"),
        (('--route', 'chat', '--team', 'nobody'), EXIT_REFUSED, 'nobody'),
        (('--route', 'chat', '--prompt', '-1'), EXIT_INVALID, 'prompt'),
    ],
)
async def test_explanation_says_why_a_request_would_not_be_sent(
    options: tuple[str, ...], code: int, reason: str
) -> None:
    """Guards against a refusal without its reason, and against a wrong
    description that is taken for a refusal.
    """
    async with running_limited_fleet(entries=1, engines=2) as fleet:
        found, listing, error = await _explain(fleet, *options)
    assert found == code
    assert reason in listing + error
