"""Helpers that leads cannot use, and the zones of such helpers."""

from types import SimpleNamespace
from typing import cast
from unittest.mock import Mock

import pytest

from masticwind.serving.admission.requests import RequestProgress
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.attempt_runner import AttemptRunner
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.placement.helper_faults import (
    INITIAL_EXCLUSION_S,
    MAX_EXCLUSION_S,
    HelperFaults,
)
from masticwind.serving.placement.placer import Placement, PlacementQuery
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind_dev.play.simulation import ENGINE_PROFILE
from tests.manual_clock import ManualClock


def _engine(zone: str, number: int) -> Endpoint:
    return Endpoint(
        identity=f'{zone}-{number}',
        service='engines',
        host='127.0.0.1',
        port=1,
        zone=zone,
        slots=8,
    )


ENGINES = tuple(_engine(zone, number) for zone in 'ab' for number in range(9))
LEAD = ENGINES[0]
DARK = tuple(engine for engine in ENGINES if engine.zone == 'b')


def _place_long_prompt(
    faults: HelperFaults, progress: RequestProgress
) -> Placement:
    """Place a prompt that several engines prefill, led by an engine of `a`."""
    placement = PromptPlacer().place(
        PlacementQuery(
            request_id='r',
            service=Service(
                name='engines', max_connections=8, engine=ENGINE_PROFILE
            ),
            candidates=[LEAD],
            helpers=ENGINES[1:],
            jobs_by_endpoint={},
            now=0,
            zone='a',
            tokens=TokenCounts(
                prompt=300_000, max_output=800, expected_output=800
            ),
            remaining_ms=15_000,
            first_event_target_ms=4000,
            barred_helpers=faults.barred_helpers(),
            cut_zone_pairs=faults.cut_zone_pairs() | progress.cut_zone_pairs,
        )
    )
    assert isinstance(placement, Placement)
    return placement


def _helper_zones(placement: Placement) -> set[str]:
    return {helper.endpoint.zone for helper in placement.helpers}


def test_request_avoids_zone_of_helper_that_its_lead_could_not_use() -> None:
    """Guards against a long prompt that uses up its attempts within
    milliseconds while a zone is dark, one named helper after the other.
    """
    faults = HelperFaults(ManualClock())
    progress = RequestProgress()
    assert _helper_zones(_place_long_prompt(faults, progress)) == {'a', 'b'}
    progress.record_helper_fault(LEAD, DARK[0])
    assert _helper_zones(_place_long_prompt(faults, progress)) == {'a'}


def test_later_requests_avoid_a_dark_zone_until_it_helps_again() -> None:
    """Guards against each long prompt finding out by itself, with a failed
    attempt, that the helpers of a zone are dark.
    """
    clock = ManualClock()
    faults = HelperFaults(clock)
    for helper in DARK[:2]:
        faults.record_fault(LEAD, helper)
    assert _helper_zones(_place_long_prompt(faults, RequestProgress())) == {'a'}
    clock.now += INITIAL_EXCLUSION_S + 0.1
    placement = _place_long_prompt(faults, RequestProgress())
    assert _helper_zones(placement) == {'a', 'b'}


def test_one_failed_helper_does_not_exclude_its_zone() -> None:
    """Guards against the loss of a zone for one engine that has failed."""
    faults = HelperFaults(ManualClock())
    faults.record_fault(LEAD, DARK[0])
    placement = _place_long_prompt(faults, RequestProgress())
    helpers = {helper.endpoint.identity for helper in placement.helpers}
    assert _helper_zones(placement) == {'a', 'b'}
    assert DARK[0].identity not in helpers


@pytest.mark.parametrize('repeats', [2, 5])
def test_exclusions_grow_to_a_limit_and_end_with_a_success(
    repeats: int,
) -> None:
    """Guards against a zone that is tried by a prompt every second while it is
    dark, and against one that stays excluded after it has helped.
    """
    clock = ManualClock()
    faults = HelperFaults(clock)
    for _ in range(repeats):
        faults.record_fault(LEAD, DARK[0])
        faults.record_fault(LEAD, DARK[1])
        clock.now += min(MAX_EXCLUSION_S, INITIAL_EXCLUSION_S * 2**repeats)
    faults.record_fault(LEAD, DARK[0])
    faults.record_fault(LEAD, DARK[1])
    clock.now += INITIAL_EXCLUSION_S + 0.1
    assert faults.cut_zone_pairs()
    faults.record_success(LEAD, DARK[:1])
    assert not faults.cut_zone_pairs()


def test_only_the_first_event_of_a_stream_proves_its_helpers() -> None:
    """Guards against a zone that has gone dark but seems usable, because a
    stream whose helpers read their parts before goes on at its lead.
    """
    faults = HelperFaults(ManualClock())
    placement = _place_long_prompt(faults, RequestProgress())
    runner = Mock(_deps=SimpleNamespace(helper_faults=faults, **_ignoring()))
    state = AttemptState()
    for expected in (False, True):
        for helper in DARK[:2]:
            faults.record_fault(LEAD, helper)
        AttemptRunner._record_event(
            cast(AttemptRunner, runner), placement, (), Mock(), state
        )
        assert bool(faults.cut_zone_pairs()) is expected


def _ignoring() -> dict[str, Mock]:
    names = ('load_table', 'reach', 'news', 'quarantine')
    return {name: Mock() for name in names}
