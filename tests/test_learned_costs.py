"""Learned speeds of engines and lengths of outputs, and what callers earn."""

import random
from dataclasses import replace
from typing import Final

import pytest

from masticwind.serving.costs.engine_speeds import (
    HALF_LIFE_S,
    EngineSpeeds,
)
from masticwind.serving.costs.job_factors import MAX_FACTOR
from masticwind.serving.costs.latency_model import full_prefill
from masticwind.serving.costs.learned import LearnedCostModel, PredictionError
from masticwind.serving.costs.model import STATIC_COSTS
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.placement.load_link import _from_message, _to_message
from masticwind.serving.placement.load_table import Job, LoadTable
from masticwind.serving.placement.placer import Placement, PlacementQuery
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind_dev.play.learned_costs import PROFILE, run_load
from tests.log_records import collected_log_records
from tests.manual_clock import ManualClock

ROUTE: Final = 5
TEAM: Final = 6
SEEDS: Final = 8
TOKENS: Final = TokenCounts(prompt=5000, max_output=4000, expected_output=1000)
ENDPOINTS: Final = tuple(
    Endpoint(
        identity=f'e{number}',
        service='s',
        host='127.0.0.1',
        port=1,
        zone='z',
        slots=PROFILE.slots,
    )
    for number in range(2)
)

JOB: Final = Job(
    job_id=1,
    request_id='r',
    endpoint_id='e0',
    prefill=full_prefill(TOKENS.prompt),
    context_tokens=TOKENS.prompt,
    held_tokens=0,
    started_at=0,
    first_token_at=1,
    end_at=2,
    route_key=ROUTE,
    team_key=TEAM,
)


class _Runs:
    """Runs jobs that take longer than predicted, with the model's factors."""

    def __init__(self) -> None:
        self.clock: Final = ManualClock()
        self.errors: Final[list[PredictionError]] = []
        self.model: Final = LearnedCostModel(self.clock, self.errors.append)
        self.table: Final = LoadTable(self.clock, self.model)

    def run(
        self,
        endpoint: str,
        actual_s: float,
        output_tokens: int = TOKENS.expected_output,
    ) -> None:
        """Fill the slots with jobs that decode for one second, according to
        the profile and the callers' estimates.
        """
        speed = self.model.speed_factor(endpoint)
        output = self.model.expected_output(TOKENS, ROUTE, TEAM)
        output_factor = output / TOKENS.expected_output
        started_at = self.clock.now
        job = replace(
            JOB,
            endpoint_id=endpoint,
            started_at=started_at,
            first_token_at=started_at + 0.1,
            end_at=started_at + 0.1 + speed * output_factor,
            speed_factor=speed,
            output_factor=output_factor,
            expected_output=output,
        )
        job_ids = self.table.add(job for _ in range(PROFILE.slots))
        self.clock.now += 0.1
        self.table.record_first_token(job_ids)
        self.clock.now += actual_s
        self.table.remove(job_ids, output_tokens)


def _query(model: LearnedCostModel, target_ms: float = 300) -> PlacementQuery:
    return PlacementQuery(
        request_id='r',
        service=Service(name='s', max_connections=10, engine=PROFILE),
        candidates=ENDPOINTS,
        jobs_by_endpoint={},
        now=0,
        zone='z',
        tokens=TOKENS,
        remaining_ms=9000,
        first_event_target_ms=target_ms,
        event_gap_target_ms=200,
        costs=model,
    )


def test_slow_engine_gets_fewer_prompts_until_its_factor_decays() -> None:
    """Guards against an engine that is slower than its profile says and gets
    as many prompts as the others, and against one that is avoided for good.
    """
    runs = _Runs()
    for _ in range(20):
        runs.run('e0', actual_s=2.5)
        runs.run('e1', actual_s=1)
    slow, sound = (runs.model.speed_factor(name) for name in ('e0', 'e1'))
    assert slow > sound * 3 / 2
    placer = PromptPlacer(random.Random(1))
    placement = placer.place(_query(runs.model))
    assert isinstance(placement, Placement)
    assert placement.lead.identity == 'e1'
    runs.clock.now += 12 * HALF_LIFE_S
    assert runs.model.speed_factor('e0') == pytest.approx(1, abs=0.05)


def test_idle_engine_serves_though_it_seems_slow() -> None:
    """Guards against a refusal of what an idle engine could serve: the first
    token of an engine four times as slow would miss the target.
    """
    model = LearnedCostModel(ManualClock())
    for _ in range(1000):
        model._speeds.record('e1', ROUTE, 1)
    for _ in range(100):
        model._speeds.record('e0', ROUTE, MAX_FACTOR)
    assert model.speed_factor('e0') > MAX_FACTOR / 2
    only_slow = replace(_query(model, target_ms=50), candidates=ENDPOINTS[:1])
    unbiased = replace(only_slow, costs=STATIC_COSTS)
    placer = PromptPlacer(random.Random(1))
    placements = [placer.place(query) for query in (only_slow, unbiased)]
    times = {
        placement.first_event_ms
        for placement in placements
        if isinstance(placement, Placement)
    }
    assert len(times) == 1


def test_engines_that_are_all_slow_count_as_usual() -> None:
    """Guards against factors of a busy fleet: other requests prolong the
    decoding on all engines, which the predicted first tokens include already.
    """
    runs = _Runs()
    for _ in range(50):
        for endpoint in ENDPOINTS:
            runs.run(endpoint.identity, actual_s=1.5)
    for endpoint in ENDPOINTS:
        factor = runs.model.speed_factor(endpoint.identity)
        assert factor == pytest.approx(1, abs=0.1)


def test_corrected_predictions_converge() -> None:
    """Guards against corrections that are applied twice: longer outputs also
    take longer.
    """
    runs = _Runs()
    for _ in range(100):
        runs.run('e0', actual_s=2, output_tokens=2 * TOKENS.expected_output)
    last = [error for error in runs.errors if error.whole][-1]
    assert last.ratio == pytest.approx(1, abs=0.15)
    assert last.profile_ratio == pytest.approx(2, abs=0.3)
    assert runs.model.speed_factor('e0') == pytest.approx(1, abs=0.15)


def test_output_of_a_team_needs_many_jobs_to_differ() -> None:
    """Guards against a plan that follows one odd output, and against one that
    never follows callers who always estimate too little.
    """
    lengths = LearnedCostModel(ManualClock())._output_lengths
    for _ in range(100):
        lengths.record(ROUTE, TEAM + 1, 1)
    lengths.record(ROUTE, TEAM, 4)
    assert lengths.factor(ROUTE, TEAM) == pytest.approx(1, abs=0.1)
    for _ in range(200):
        lengths.record(ROUTE, TEAM, 3)
    assert lengths.factor(ROUTE, TEAM) > 2
    assert lengths.factor(ROUTE, TEAM) > lengths.factor(ROUTE, TEAM + 2)


def test_expected_output_stays_within_the_request() -> None:
    """Guards against a plan with more tokens than the request may get."""
    runs = _Runs()
    for _ in range(50):
        runs.run('e0', actual_s=4, output_tokens=4 * TOKENS.expected_output)
    capped = replace(TOKENS, max_output=1100)
    assert runs.model.expected_output(capped, ROUTE, TEAM) == 1100
    nothing = replace(TOKENS, expected_output=0)
    assert runs.model.expected_output(nothing, ROUTE, TEAM) == 1


def test_factors_of_a_prediction_are_sent() -> None:
    """Guards against entries that learn a wrong pace from each other's jobs,
    as they do not know which factor the prediction includes.
    """
    job = replace(JOB, speed_factor=1.5, output_factor=0.5)
    received = _from_message(_to_message(job, 0), 0)
    factors = (received.speed_factor, received.output_factor)
    assert factors == (job.speed_factor, job.output_factor)


def test_slow_engine_is_logged_once() -> None:
    """Guards against a log line for each request of a slow engine."""
    clock = ManualClock()
    speeds = EngineSpeeds(clock)
    with collected_log_records() as records:
        for _ in range(200):
            speeds.record('e1', ROUTE, 1)
        for _ in range(50):
            speeds.record('e0', ROUTE, 3)
        clock.now += 12 * HALF_LIFE_S
        speeds.factor('e0')
    assert [record['event'] for record in records] == [
        'engine_slow',
        'engine_speed_normal',
    ]


@pytest.mark.parametrize('load', ['14 engines', '7 engines'])
def test_learned_costs_earn_no_less(load: str) -> None:
    """Guards against predictions that make callers earn less, when engines
    and outputs differ from what is predicted and short prompts are 2.4 times
    as frequent for a while.
    """
    static = run_load(load, learned=False, seeds=SEEDS)
    learned = run_load(load, learned=True, seeds=SEEDS)
    assert learned.earned_share >= static.earned_share
    assert learned.on_target_share >= static.on_target_share
