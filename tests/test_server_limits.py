"""Engines that name a limit on the requests that they take."""

import anyio
import pytest

from masticwind_dev.standins.limit_audit import allowed_requests
from tests.limited_fleet import LimitedFleet, running_limited_fleet
from tests.test_ctl import run_ctl

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('limit_per_s', [0.5, 1, 2])
async def test_limited_engine_gets_no_more_than_its_limit_from_all_entries(
    limit_per_s: float,
) -> None:
    """Guards against a named limit that the sum over the entries exceeds."""
    async with running_limited_fleet(entries=3, engines=3) as fleet:
        limited = next(iter(fleet.engines))
        fleet.limit(limited, limit_per_s)
        await fleet.load(6, interval_s=0.1)
        busiest = fleet.audit.busiest_window(limited)
        assert 0 < busiest <= allowed_requests(limit_per_s)
        assert set(fleet.statuses) == {200}


async def test_engine_that_names_no_limit_any_more_is_used_again() -> None:
    """Guards against an engine that stays limited after its need."""
    async with running_limited_fleet(entries=3, engines=2) as fleet:
        first, second = fleet.engines
        fleet.limit(first, 1)
        fleet.limit(second, 1)
        await fleet.load(2, interval_s=0.1)
        assert _limited_counts(fleet) == [2, 2, 2]
        fleet.end_limit(first)
        fleet.end_limit(second)
        await fleet.load(4, interval_s=0.1)
        assert _limited_counts(fleet) == [0, 0, 0]


async def test_new_process_of_an_engine_is_not_limited_by_the_former_one() -> (
    None
):
    """Guards against a limit that outlives the process that named it."""
    async with running_limited_fleet(entries=2, engines=1) as fleet:
        engine = next(iter(fleet.engines))
        fleet.limit(engine, 0.5)
        await fleet.load(1, interval_s=0.1)
        fleet.end_limit(engine)
        fleet.register_engine(engine, born=2)
        with anyio.fail_after(4):
            while (await fleet.send_from(0)).status != 200:
                await anyio.sleep(0.05)
        fleet.statuses.clear()
        fleet.received.clear()
        await fleet.load(2, interval_s=0.1)
        assert set(fleet.statuses) == {200}
        assert len(fleet.received) >= 20


async def test_limit_in_the_answer_to_another_request_is_not_believed() -> None:
    """Guards against a stale answer that throttles a sound engine."""
    async with running_limited_fleet(entries=1, engines=1) as fleet:
        engine = next(iter(fleet.engines))
        fleet.forged_ids.add(engine)
        fleet.limit(engine, 0)
        assert (await fleet.send_from(0)).status == 502
        assert _limited_counts(fleet) == [0]


async def test_entry_that_has_started_is_told_of_limits() -> None:
    """Guards against an entry that exceeds a limit until it sees it."""
    async with running_limited_fleet(entries=2, engines=2) as fleet:
        fleet.limit(next(iter(fleet.engines)), 0.5)
        await fleet.load(1, interval_s=0.1)
        started = await fleet.start_entry()
        limits = started.entry._limit_link.limits
        with anyio.fail_after(4):
            while not limits.count():
                await anyio.sleep(0.02)


async def test_callers_are_served_although_no_entry_grants_permits() -> None:
    """Guards against requests that wait for an entry that has ended."""
    async with running_limited_fleet(entries=2, engines=6) as fleet:
        for engine in list(fleet.engines)[:5]:
            fleet.limit(engine, 1)
        await fleet.load(2, interval_s=0.1)
        fleet.entries[1].scope.cancel()
        fleet.entries.pop()
        fleet.statuses.clear()
        await fleet.load(3, interval_s=0.05)
        assert set(fleet.statuses) == {200}
        assert not fleet.audit.violations


async def test_callers_are_refused_at_once_if_no_permit_is_due() -> None:
    """Guards against callers that wait in vain for limited engines."""
    async with running_limited_fleet(entries=2, engines=2) as fleet:
        for engine in fleet.engines:
            fleet.limit(engine, 1)
        await fleet.load(2, interval_s=0.1)
        fleet.statuses.clear()
        held_s: list[float] = []
        hints: set[str] = set()
        with anyio.move_on_after(5):
            while True:
                started = anyio.current_time()
                answer = await fleet.send_from(len(held_s) % 2)
                held_s.append(anyio.current_time() - started)
                if answer.status == 503:
                    hints.add(answer.headers['retry-after'])
                await anyio.sleep(0.05)
        assert set(fleet.statuses) == {200, 503}
        assert fleet.statuses.count(200) >= 5
        assert max(held_s) < 1
        # Callers are told different times, so that they do not return together.
        assert len(hints) > 3
        assert not fleet.audit.violations


async def test_operators_see_which_engines_are_limited() -> None:
    """Guards against limits that operators cannot see."""
    async with running_limited_fleet(entries=2, engines=2) as fleet:
        limited = next(iter(fleet.engines))
        fleet.limit(limited, 0.5)
        await fleet.load(1, interval_s=0.1)
        entry = ('--entry', fleet.entries[0].operations_address)
        code, listing, error = await run_ctl('limits', *entry)
        assert code == 0, error
        assert listing.startswith(f'{limited}: 0.5 requests a second')
        code, listing, error = await run_ctl('limits', *entry, '--json')
        assert f'"endpoint":"{limited}"' in listing
        code, _, error = await run_ctl('limits', '--entry', '127.0.0.1:1')
        assert code
        assert error


def _limited_counts(fleet: LimitedFleet) -> list[int]:
    return [
        running.entry._limit_link.limits.count() for running in fleet.entries
    ]
