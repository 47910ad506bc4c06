"""The sum of the requests of all entries to an engine with a limit."""

from typing import Final

import hypothesis
import pytest
from hypothesis import strategies as st

from masticwind.serving.permit_schedule import PermitSchedule
from masticwind_dev.standins.limit_audit import WINDOW_S, allowed_requests
from tests.limit_simulation import LimitSimulation, SimulationOptions

LIMITS: Final = (0, 0.1, 0.5, 1, 2.5, 8, 40)


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    seed=st.integers(0, 10_000),
    entries=st.sampled_from((1, 2, 3, 17, 68)),
    limit_per_s=st.sampled_from(LIMITS),
    loss_share=st.sampled_from((0, 0.05, 0.3)),
    restarts_per_s=st.sampled_from((0, 0.2)),
    cuts_per_s=st.sampled_from((0, 0.5)),
    joins=st.sampled_from((0, 1, 3)),
)
def test_sum_over_all_entries_stays_within_the_limit(
    seed: int,
    entries: int,
    limit_per_s: float,
    loss_share: float,
    restarts_per_s: float,
    cuts_per_s: float,
    joins: int,
) -> None:
    """Guards against entries that exceed a limit together under faults."""
    simulation = LimitSimulation(
        SimulationOptions(
            seed=seed,
            entries=entries,
            limit_per_s=limit_per_s,
            demand_per_s=max(30, 3 * limit_per_s),
            seconds=12,
            loss_share=loss_share,
            restarts_per_s=restarts_per_s,
            cuts_per_s=cuts_per_s,
            joins=joins,
        )
    )
    simulation.run()
    assert not simulation.audit.violations


@pytest.mark.parametrize('entries', [1, 3, 17, 68])
@pytest.mark.parametrize('limit_per_s', [0.5, 1, 8, 40])
def test_limit_is_used_by_any_number_of_entries(
    entries: int, limit_per_s: float
) -> None:
    """Guards against shares of a limit that are too small to be used."""
    simulation = LimitSimulation(
        SimulationOptions(
            seed=1,
            entries=entries,
            limit_per_s=limit_per_s,
            demand_per_s=3 * limit_per_s + 30,
            seconds=20,
        )
    )
    simulation.run()
    assert not simulation.audit.violations
    used = sum(when > simulation.clock.now - 10 for when in simulation.arrivals)
    assert used >= 0.8 * 10 * limit_per_s


@pytest.mark.parametrize('entries', [1, 3, 17])
def test_limit_that_ended_is_forgotten_by_all_entries(entries: int) -> None:
    """Guards against an engine that stays limited for ever."""
    simulation = LimitSimulation(
        SimulationOptions(
            seed=1, entries=entries, limit_per_s=1, loss_share=0.1
        )
    )
    simulation.run()
    assert simulation.known_count() == entries
    simulation.end_limit()
    simulation.play(8)
    assert not simulation.known_count()


@pytest.mark.parametrize('limit_per_s', LIMITS)
def test_permits_of_any_window_are_bounded(limit_per_s: float) -> None:
    """Guards against a burst after a pause that exceeds the limit."""
    schedule = PermitSchedule(limit_per_s, 0)
    due: list[float] = []
    for step in range(4000):
        now = step / 100
        if step < 1000 or step > 2000:
            wait_s = schedule.try_grant(now, 0.5)
            if wait_s is not None:
                due.append(now + wait_s)
    for start in due:
        count = sum(start <= when < start + WINDOW_S for when in due)
        assert count <= allowed_requests(limit_per_s)
