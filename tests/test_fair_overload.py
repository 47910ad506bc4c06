"""Decisions on late prompts: teams, urgency, returns and room to come."""

import json
import math
import random
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Final

import pytest

from masticwind.errors import Failure
from masticwind.serving.admission.fair_overload import (
    SHARES_INTERVAL_S,
    FairOverload,
)
from masticwind.serving.admission.fleet_load import FleetLoad
from masticwind.serving.admission.return_promises import PromiseBook
from masticwind.serving.admission.standing import Standing
from masticwind.serving.admission.team_shares import (
    TeamShares,
    equal_weight,
    fair_level,
)
from masticwind.serving.costs.latency_model import PrefillWork
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.placement.load_table import Job
from masticwind.serving.placement.placer import (
    Deferral,
    Placement,
    PlacementQuery,
)
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind.serving.settings import DirectSettings
from masticwind.settings_file import read_settings
from masticwind_dev.play.simulation import ENGINE_PROFILE
from tests.manual_clock import ManualClock

PROFILE: Final = replace(ENGINE_PROFILE, slots=6)
ENGINES: Final = 40
LARGE_TEAM, SMALL_TEAM = 1, 2
STREAM_S: Final = 2.0


class _Fleet:
    """Engines whose slots are occupied by streams, seen by one entry."""

    def __init__(self, *, large_share: float = 0, age_s: float = 1.5) -> None:
        self.clock = ManualClock()
        self.decisions: Counter[str] = Counter()
        self.book = PromiseBook(lambda _message: None, self.clock)
        self.policy = FairOverload(self.book, self._count, random.Random(1))
        self.placer = PromptPlacer(random.Random(2), self.policy)
        self.jobs = {
            f'e{engine}': [
                self._job(engine, slot, large_share, age_s)
                for slot in range(PROFILE.slots)
            ]
            for engine in range(ENGINES)
        }

    def _count(self, decision: str) -> None:
        self.decisions[decision] += 1

    def _job(
        self, engine: int, slot: int, large_share: float, age_s: float
    ) -> Job:
        number = engine * PROFILE.slots + slot
        team = 10 + number % 10
        if number < large_share * ENGINES * PROFILE.slots:
            team = LARGE_TEAM
        started_at = self.clock.now - age_s
        return Job(
            job_id=number,
            request_id=f'r{number}',
            endpoint_id=f'e{engine}',
            prefill=PrefillWork(0, 0),
            context_tokens=5000,
            held_tokens=5000,
            started_at=started_at,
            first_token_at=started_at,
            end_at=started_at + STREAM_S,
            decoding=True,
            team_key=team,
            priority=0,
        )

    def place(
        self,
        team: int = SMALL_TEAM,
        standing: Standing | None = None,
        *,
        target_ms: float = 321,
        remaining_ms: float = 10_000,
    ) -> Placement | Failure | Deferral:
        """Place a short prompt."""
        return self.placer.place(
            PlacementQuery(
                request_id='new',
                service=Service(name='s', max_connections=9, engine=PROFILE),
                candidates=[
                    Endpoint(
                        identity=identity,
                        service='s',
                        host='127.0.0.1',
                        port=1,
                        zone='z',
                        slots=PROFILE.slots,
                    )
                    for identity in self.jobs
                ],
                jobs_by_endpoint=self.jobs,
                now=self.clock.now,
                zone='z',
                tokens=TokenCounts(
                    prompt=5000, max_output=2000, expected_output=1500
                ),
                remaining_ms=remaining_ms,
                first_event_target_ms=target_ms,
                event_gap_target_ms=200,
                team_key=team,
                standing=standing or Standing(priority=0),
                return_key=77,
            )
        )


def test_refusal_without_room_has_the_latest_hint_and_no_promise() -> None:
    """Guards against callers who come back into the same burst: the engines
    are asked for all that they complete.
    """
    fleet = _Fleet(age_s=0.5)
    refusal = fleet.place()
    assert isinstance(refusal, Failure)
    assert 10_000 / 4 <= refusal.retry_after_ms <= 10_000 / 3
    assert fleet.book.is_empty()
    assert fleet.decisions == {'refused': 1}


def test_preview_of_a_refusal_changes_nothing() -> None:
    """Guards against an explanation that counts, promises room or makes the
    next refusals earlier.
    """
    fleet = _Fleet(age_s=0.5)
    placer, preview = fleet.placer, fleet.placer.preview()
    fleet.placer = preview
    assert isinstance(fleet.place(), Failure)
    assert not fleet.decisions
    assert fleet.book.is_empty()
    fleet.placer = placer
    assert isinstance(fleet.place(), Failure)
    assert fleet.decisions == {'refused': 1}


def test_refused_caller_is_promised_the_room_to_come() -> None:
    """Guards against returns that are refused though room was predictable."""
    fleet = _Fleet()
    for jobs in list(fleet.jobs.values())[: ENGINES * 3 // 4]:
        # The engines complete 120 streams a second; 60 have begun in the last
        # one.
        for slot in range(2):
            jobs[slot] = replace(
                jobs[slot],
                started_at=fleet.clock.now - 0.5,
                end_at=fleet.clock.now - 0.5 + STREAM_S,
            )
    first, second = fleet.place(), fleet.place()
    assert isinstance(first, Failure)
    assert isinstance(second, Failure)
    assert 0 < first.retry_after_ms <= 10_000 / 3
    assert fleet.book.count() == 1
    fleet.clock.now += first.retry_after_ms / 1000
    assert fleet.book.consume(77)


def test_returning_request_is_served_late() -> None:
    """Guards against callers who are refused twice, which costs them more than
    one early refusal.
    """
    fleet = _Fleet(age_s=0.5)
    returning = Standing(priority=0, returning=True)
    assert isinstance(fleet.place(standing=returning), Placement)
    assert fleet.decisions == {'returned': 1}


def test_returning_request_whose_caller_would_leave_is_refused() -> None:
    """Guards against slots for streams that their callers have left."""
    fleet = _Fleet(age_s=-3)
    returning = Standing(priority=0, returning=True)
    assert isinstance(fleet.place(standing=returning), Failure)
    assert isinstance(fleet.place(remaining_ms=100), Failure)
    assert fleet.decisions == {'refused_again': 1, 'refused': 1}


def test_team_over_its_share_is_refused_first() -> None:
    """Guards against a large team that takes the room of the others.

    After a late request of another team, it does not queue for slots either.
    """
    fleet = _Fleet(large_share=0.6, age_s=0.5)
    assert isinstance(fleet.place(LARGE_TEAM, target_ms=2000), Placement)
    assert isinstance(fleet.place(SMALL_TEAM), Placement)
    assert isinstance(fleet.place(LARGE_TEAM), Failure)
    assert isinstance(fleet.place(LARGE_TEAM, target_ms=2000), Failure)
    assert fleet.decisions == {'served_late': 1, 'refused': 2}
    assert fleet.book.is_empty()


@pytest.mark.parametrize('target_ms', [1, 321])
def test_nobody_is_refused_beside_a_free_place(target_ms: float) -> None:
    """Guards against refusals while one of all engines has a free slot, also
    if it is not among those that are sampled.
    """
    fleet = _Fleet(large_share=0.6, age_s=0.5)
    assert isinstance(fleet.place(LARGE_TEAM), Failure)
    fleet.jobs['e39'].pop()
    for _ in range(20):
        assert not isinstance(
            fleet.place(
                LARGE_TEAM,
                Standing(priority=9, over_share=True),
                target_ms=target_ms,
            ),
            Failure,
        )


def test_less_urgent_request_is_refused_while_others_wait() -> None:
    """Guards against less urgent work in a queue ahead of urgent requests, and
    against urgency that decides where all requests are alike.
    """
    fleet = _Fleet(large_share=0.6, age_s=0.5)
    for jobs in fleet.jobs.values():
        jobs.append(
            replace(
                jobs[0],
                request_id='waiting',
                decoding=False,
                started_at=fleet.clock.now,
                first_token_at=fleet.clock.now + 1,
            )
        )
    refusal = fleet.place(standing=Standing(priority=2))
    assert isinstance(refusal, Failure)
    assert 'less urgent' in refusal.reason
    assert isinstance(fleet.place(standing=Standing(priority=0)), Placement)


def test_shares_are_computed_rarely_and_only_for_late_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against shares that take the processor of a small entry."""
    fleet = _Fleet(large_share=0.6, age_s=0.5)
    computed: list[FleetLoad] = []

    def compute(_shares: TeamShares, load: FleetLoad) -> frozenset[int]:
        computed.append(load)
        return frozenset()

    monkeypatch.setattr(TeamShares, '_compute', compute)
    for _ in range(20):
        fleet.place(target_ms=2000)
    assert not computed
    for _ in range(20):
        fleet.place()
    assert len(computed) == 1
    fleet.clock.now += 2 * SHARES_INTERVAL_S
    fleet.place()
    assert len(computed) == 2


def test_shares_are_max_min_fair() -> None:
    """Guards against equal shares that leave capacity unused, and against a
    team that is limited while it is alone.
    """
    costs = {1: 70.0, 2: 20.0, 3: 10.0}
    assert fair_level(costs, {1}, equal_weight, 100) == 70
    assert fair_level(costs, {1, 2}, equal_weight, 100) == 45
    assert fair_level(costs, {1, 2, 3}, equal_weight, 90) == 30
    assert fair_level({1: 5.0}, {1}, equal_weight, 100) == 100
    assert fair_level(costs, frozenset(), equal_weight, 101) == math.inf
    by_weight = fair_level(costs, {1, 2}, lambda team: 3 - team or 1, 100)
    assert by_weight == 30


def test_unknown_policy_is_reported_by_its_field(tmp_path: Path) -> None:
    """Guards against a mistake in the settings that is not named."""
    path = tmp_path / 'entry.yaml'
    fields = {
        'node': 'n',
        'zone': 'z',
        'listen': '127.0.0.1:1',
        'ready': '127.0.0.1:2',
        'store': {'address': '127.0.0.1:3'},
    }
    path.write_text(json.dumps({**fields, 'overload': 'fair'}))
    assert not isinstance(read_settings(path, DirectSettings), Failure)
    path.write_text(json.dumps({**fields, 'overload': 'most'}))
    failure = read_settings(path, DirectSettings)
    assert isinstance(failure, Failure)
    assert 'overload' in failure.reason
