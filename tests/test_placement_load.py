"""Plays the users' load against the placers, without a network.

The engines are the model of `masticwind_dev.play`; the bounds are the users'
targets for quiet days and for days of high load.
"""

from collections.abc import Mapping
from types import MappingProxyType

import pytest

from masticwind.serving import engine_view, plans, prompt_placer
from masticwind_dev.play.baselines import least_outstanding, round_robin
from masticwind_dev.play.load import (
    CLASSES,
    LARGE,
    Outcome,
    PlacerMaker,
    Sheet,
    play,
)

SEEDS = range(4)
QUIET = Sheet(engines=14)
# A zone is out and engines have left.
HEAVY = Sheet(engines=7)
# Targets of the users' day: shares of requests within their aims.
QUIET_TARGETS: Mapping[str, float] = MappingProxyType(
    {'short': 0.99, 'medium': 0.97, 'long': 0.9}
)


def _play(
    make: PlacerMaker,
    sheet: Sheet,
) -> dict[str, Outcome]:
    """Play all seeds and return the sums."""
    sums = {name: Outcome() for name in CLASSES}
    for seed in SEEDS:
        for name, outcome in play(make, sheet, seed).items():
            total = sums[name]
            total.asked += outcome.asked
            total.in_aim += outcome.in_aim
            total.late += outcome.late
            total.unserved += outcome.unserved
            total.owed += outcome.owed
            total.earned += outcome.earned
    return sums


def _credit(outcomes: Mapping[str, Outcome]) -> float:
    owed = sum(outcome.owed for outcome in outcomes.values())
    return sum(outcome.earned for outcome in outcomes.values()) / owed


@pytest.fixture(scope='module')
def quiet() -> dict[str, Outcome]:
    """Play the quiet day once for all tests."""
    return _play(prompt_placer.PromptPlacer, QUIET)


@pytest.fixture(scope='module')
def heavy() -> dict[str, Outcome]:
    """Play the heavy day once for all tests."""
    return _play(prompt_placer.PromptPlacer, HEAVY)


@pytest.mark.parametrize('name', list(QUIET_TARGETS))
def test_quiet_day_keeps_the_aims(
    quiet: dict[str, Outcome],
    name: str,
) -> None:
    """Guards against requests that miss their aims while engines are free."""
    outcome = quiet[name]
    assert outcome.in_aim >= QUIET_TARGETS[name] * outcome.asked


@pytest.mark.parametrize('baseline', [round_robin, least_outstanding])
def test_placing_by_prediction_serves_more_than_a_baseline(
    quiet: dict[str, Outcome],
    heavy: dict[str, Outcome],
    baseline: PlacerMaker,
) -> None:
    """Guards against predictions that are worth less than no prediction."""
    assert _credit(quiet) > _credit(_play(baseline, QUIET))
    assert _credit(heavy) > _credit(_play(baseline, HEAVY))


def test_reading_in_parts_serves_long_prompts(
    quiet: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against long prompts that one engine reads alone."""
    monkeypatch.setattr(plans, 'MAX_HELPERS', 0)
    alone = _play(prompt_placer.PromptPlacer, QUIET)
    assert quiet['long'].in_aim > alone['long'].in_aim


def test_deferring_serves_more_than_passing_earlier_prompts(
    quiet: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against long prompts that make each other late."""
    monkeypatch.setattr(prompt_placer, '_deferral', lambda *_args: None)
    assert _credit(quiet) > _credit(_play(prompt_placer.PromptPlacer, QUIET))


def test_gathering_short_prompts_leaves_engines_to_long_ones(
    quiet: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against short prompts on every engine, so that each long read
    holds up some of them.
    """
    monkeypatch.setattr(engine_view, 'SPREAD_COST_MS', 0)
    spread = _play(prompt_placer.PromptPlacer, QUIET)
    assert _credit(quiet) > _credit(spread)


def test_refusing_serves_more_than_queueing(
    heavy: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a queue that makes every request late under overload."""
    monkeypatch.setattr(prompt_placer, '_overloaded', lambda *_args: False)
    queued = _play(prompt_placer.PromptPlacer, HEAVY)
    assert _credit(heavy) > _credit(queued)
    assert heavy['short'].in_aim > queued['short'].in_aim


def test_losses_of_others_count(
    heavy: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against placements that gain less than others lose."""
    monkeypatch.setattr(plans, 'losses', lambda *_args: {})
    monkeypatch.setattr(engine_view, 'losses', lambda *_args: {})
    assert _credit(heavy) > _credit(_play(prompt_placer.PromptPlacer, HEAVY))


def test_entries_with_late_news_do_not_choose_the_same_engine() -> None:
    """Guards against 68 entries that all send to the engine which was the
    best one some milliseconds ago.
    """
    outcome = _play(prompt_placer.PromptPlacer, LARGE)['short']
    assert outcome.in_aim >= QUIET_TARGETS['short'] * outcome.asked


def test_a_play_gives_the_same_outcome_each_time() -> None:
    """Guards against draws that no seed decides: the tests above would pass
    on one run and fail on the next.
    """
    sheet = Sheet(engines=24, entries=3, news_s=0.02)
    first, second = (
        play(prompt_placer.PromptPlacer, sheet, 1) for _ in range(2)
    )
    assert first == second


def test_no_class_is_given_up_for_another(
    heavy: dict[str, Outcome],
) -> None:
    """Guards against an overload in which one kind is hardly served: none
    may be served less than a quarter as often as all together.
    """
    asked = sum(outcome.asked for outcome in heavy.values())
    served = sum(outcome.in_aim + outcome.late for outcome in heavy.values())
    for outcome in heavy.values():
        share = (outcome.in_aim + outcome.late) / outcome.asked
        assert share >= served / asked / 4
