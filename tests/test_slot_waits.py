"""Learned durations of jobs, and the wait for a slot that follows from them.

The load: the first deployment's burst of short prompts, with all 6 slots of
the engines occupied by streams of 1.8 s.
"""

import random
from dataclasses import replace
from typing import Final

import msgspec
import pytest

from masticwind.serving.costs.durations import MAX_KEYS, LearnedDurations
from masticwind.serving.costs.latency_model import PrefillWork
from masticwind.serving.costs.learned import LearnedCostModel
from masticwind.serving.costs.model import STATIC_COSTS
from masticwind.serving.costs.ratios import (
    PRIOR_SPREAD,
    PRIOR_TABLE,
)
from masticwind.serving.costs.slot_waits import running_job, wait_for_ends_s
from masticwind.serving.placement.load_link import LoadUpdate
from masticwind.serving.placement.load_table import Job, LoadTable
from tests.manual_clock import ManualClock

SLOTS: Final = 6
STREAM_S: Final = 1.8
ROUTE: Final = 7
DRAWS: Final = 2000
JOB: Final = Job(
    job_id=1,
    request_id='r1',
    endpoint_id='e1',
    prefill=PrefillWork(5000, 12),
    context_tokens=5000,
    held_tokens=6000,
    started_at=0,
    first_token_at=0.1,
    end_at=STREAM_S,
    decoding=True,
    route_key=ROUTE,
)


def _streams(count: int, started_at: float = 0) -> list[Job]:
    """Return streams that were started one after the other."""
    step_s = STREAM_S / count
    return [
        replace(
            JOB,
            started_at=started_at + number * step_s,
            end_at=started_at + number * step_s + STREAM_S,
        )
        for number in range(count)
    ]


def _drawn_wait_s(jobs: list[Job], now: float, count: int) -> float:
    """Return the median wait with durations drawn from the prior."""
    rng = random.Random(1)
    waits: list[float] = []
    for _ in range(DRAWS):
        ends: list[float] = []
        for job in jobs:
            end_at = 0.0
            while end_at <= now:
                ratio = PRIOR_SPREAD ** rng.gauss(0, 1)
                end_at = job.started_at + STREAM_S * ratio
            ends.append(end_at - now)
        waits.append(sorted(ends)[count - 1])
    return sorted(waits)[DRAWS // 2]


@pytest.mark.parametrize('count', [1, 3])
@pytest.mark.parametrize('now', [STREAM_S * 0.9, STREAM_S, STREAM_S * 1.5])
def test_wait_is_the_median_of_drawn_waits(now: float, count: int) -> None:
    """Guards against waits that are longer than the true ones, for which
    prompts of a burst are refused, and against shorter ones.
    """
    jobs = _streams(SLOTS)
    running = [running_job(job, PRIOR_TABLE, now) for job in jobs]
    expected_s = _drawn_wait_s(jobs, now, count)
    assert wait_for_ends_s(running, count) == pytest.approx(
        expected_s, rel=0.25, abs=0.02
    )


def test_best_of_many_full_engines_has_a_slot_soon() -> None:
    """Guards against prompts that are refused in a burst although the best of
    16 engines has a slot soon: each engine seemed full for 300 ms.
    """
    rng = random.Random(2)
    model = LearnedCostModel(ManualClock())
    engines = [
        _streams(SLOTS, rng.uniform(-STREAM_S, 0) * 0.9) for _ in range(16)
    ]
    now = STREAM_S
    learned = min(model.slot_wait_ms(jobs, SLOTS, now) for jobs in engines)
    static = min(
        STATIC_COSTS.slot_wait_ms(jobs, SLOTS, now) for jobs in engines
    )
    assert learned < 150
    assert static >= 299


def test_engine_with_a_free_slot_has_no_wait() -> None:
    """Guards against a prediction that refuses what a free engine could
    serve.
    """
    model = LearnedCostModel(ManualClock())
    assert not model.slot_wait_ms((), SLOTS, 1)
    assert not model.slot_wait_ms(_streams(SLOTS - 1), SLOTS, 9)
    helpers = [replace(job, context_tokens=0) for job in _streams(SLOTS)]
    assert not model.slot_wait_ms(helpers, SLOTS, 1)


def test_wait_is_bounded_for_jobs_with_odd_times() -> None:
    """Guards against an error of the placement for jobs of a faulty entry,
    which has sent times of another day or an end before the start.
    """
    model = LearnedCostModel(ManualClock())
    for start, end in ((-86_400, 86_400), (0, -5), (86_400, 0), (5, 5)):
        odd = replace(JOB, started_at=start, end_at=end)
        jobs = [odd for _ in range(18)]
        assert 0 <= model.slot_wait_ms(jobs, SLOTS, 0) <= 30_000


def _run_jobs(
    table: LoadTable, clock: ManualClock, job: Job, ratio: float, count: int
) -> None:
    for _ in range(count):
        started = replace(
            job,
            started_at=clock.now,
            end_at=clock.now + STREAM_S,
            decoding=False,
        )
        job_ids = table.add([started])
        table.record_first_token(job_ids)
        clock.now += STREAM_S * ratio
        table.remove(job_ids, 0)


def test_wait_follows_the_durations_of_a_route() -> None:
    """Guards against a route with long outputs whose engines seem to have a
    slot soon, and against other routes that count as slow with it.
    """
    clock = ManualClock()
    model = LearnedCostModel(clock)
    other = [replace(job, route_key=ROUTE + 1) for job in _streams(SLOTS)]
    before = model.slot_wait_ms(_streams(SLOTS), SLOTS, STREAM_S)
    _run_jobs(LoadTable(clock, model), clock, JOB, 3, 200)
    after = model.slot_wait_ms(_streams(SLOTS), SLOTS, STREAM_S)
    assert after > 2 * before
    assert model.slot_wait_ms(other, SLOTS, STREAM_S) == before


def test_team_is_told_apart_once_it_has_many_jobs() -> None:
    """Guards against a prediction that follows a single odd request, and
    against one that never follows a team with longer outputs.
    """
    clock = ManualClock()
    model = LearnedCostModel(clock)
    table = LoadTable(clock, model)
    _run_jobs(table, clock, JOB, 1, 200)
    team_jobs = [replace(job, team_key=3) for job in _streams(SLOTS)]
    waits: list[float] = []
    for count in (1, 200):
        _run_jobs(table, clock, replace(JOB, team_key=3), 4, count)
        clock.now += 2
        waits.append(model.slot_wait_ms(team_jobs, SLOTS, STREAM_S))
    whole_route = model.slot_wait_ms(_streams(SLOTS), SLOTS, STREAM_S)
    assert waits[0] < 1.5 * whole_route
    assert waits[1] > 3 * waits[0]


def test_jobs_that_failed_are_not_learned_from() -> None:
    """Guards against engines that crash early, whose slots would seem to be
    free soon.
    """
    clock = ManualClock()
    model = LearnedCostModel(clock)
    table = LoadTable(clock, model)
    table.remove(table.add([JOB]))
    table.update_entry('entry-2', [JOB], (), replace_all=False)
    table.update_entry('entry-2', (), [JOB.job_id], replace_all=False)
    table.update_entry('entry-2', [JOB], (), replace_all=False)
    table.update_entry('entry-2', (), (), replace_all=True)
    assert not model.key_count()


def test_jobs_of_other_entries_are_learned_from() -> None:
    """Guards against small entries that learn only from the few requests of
    their own.
    """
    clock = ManualClock()
    model = LearnedCostModel(clock)
    table = LoadTable(clock, model)
    table.update_entry('entry-2', [JOB], (), replace_all=True)
    clock.now += STREAM_S
    table.update_entry('entry-2', (), [1], replace_all=False, outputs={1: 0})
    assert model.key_count() == 1


def test_update_of_an_earlier_release_is_understood() -> None:
    """Guards against entries that ignore each other's jobs during an update,
    as the message has a field more.
    """
    fields = msgspec.to_builtins(
        LoadUpdate('entry-2', 'a', 1, complete=False, jobs=[], ended_ids=[4])
    )
    update = msgspec.convert(fields[:-1], LoadUpdate)
    assert update.ended_ids == [4]
    assert not update.outputs


def test_number_of_learned_keys_is_bounded() -> None:
    """Guards against memory that grows with the keys of a faulty entry."""
    durations = LearnedDurations(ManualClock())
    for number in range(2 * MAX_KEYS):
        durations.record(replace(JOB, route_key=number, team_key=number), 1)
    assert durations.count() == MAX_KEYS
