"""Simulates the users' workload on the placers, without a network.

The engines are simulated by `masticwind_dev.play`. The thresholds are the
users' targets for normal and for high load.
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
NORMAL_LOAD = Sheet(engines=14)
# Half of the engines, as with one zone out of service and engines drained.
HIGH_LOAD = Sheet(engines=7)
# Minimum share of requests that meet their targets.
NORMAL_LOAD_TARGETS: Mapping[str, float] = MappingProxyType(
    {'short': 0.99, 'medium': 0.97, 'long': 0.9}
)


def _simulate(
    make: PlacerMaker,
    sheet: Sheet,
) -> dict[str, Outcome]:
    """Simulate all seeds and return the totals by request class."""
    totals = {name: Outcome() for name in CLASSES}
    for seed in SEEDS:
        for name, outcome in play(make, sheet, seed).items():
            total = totals[name]
            total.asked += outcome.asked
            total.in_aim += outcome.in_aim
            total.late += outcome.late
            total.unserved += outcome.unserved
            total.owed += outcome.owed
            total.earned += outcome.earned
    return totals


def _earned_share(outcomes: Mapping[str, Outcome]) -> float:
    max_value = sum(outcome.owed for outcome in outcomes.values())
    return sum(outcome.earned for outcome in outcomes.values()) / max_value


@pytest.fixture(scope='module')
def normal_load() -> dict[str, Outcome]:
    """Simulate normal load once for all tests."""
    return _simulate(prompt_placer.PromptPlacer, NORMAL_LOAD)


@pytest.fixture(scope='module')
def high_load() -> dict[str, Outcome]:
    """Simulate high load once for all tests."""
    return _simulate(prompt_placer.PromptPlacer, HIGH_LOAD)


@pytest.mark.parametrize('name', list(NORMAL_LOAD_TARGETS))
def test_targets_are_met_under_normal_load(
    normal_load: dict[str, Outcome],
    name: str,
) -> None:
    """Guards against requests that miss targets while engines are free."""
    outcome = normal_load[name]
    assert outcome.in_aim >= NORMAL_LOAD_TARGETS[name] * outcome.asked


@pytest.mark.parametrize('baseline', [round_robin, least_outstanding])
def test_prediction_earns_more_than_a_baseline(
    normal_load: dict[str, Outcome],
    high_load: dict[str, Outcome],
    baseline: PlacerMaker,
) -> None:
    """Guards against predictions that place requests worse than a simple
    strategy without any.
    """
    assert _earned_share(normal_load) > _earned_share(
        _simulate(baseline, NORMAL_LOAD)
    )
    assert _earned_share(high_load) > _earned_share(
        _simulate(baseline, HIGH_LOAD)
    )


def test_distributed_prefill_meets_targets_of_long_prompts(
    normal_load: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against long prompts that a single engine prefills."""
    monkeypatch.setattr(plans, 'MAX_HELPERS', 0)
    unsplit = _simulate(prompt_placer.PromptPlacer, NORMAL_LOAD)
    assert normal_load['long'].in_aim > unsplit['long'].in_aim


def test_deferral_earns_more_than_immediate_placement(
    normal_load: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against long prompts that delay each other."""
    monkeypatch.setattr(prompt_placer, '_deferral', lambda *_args: None)
    assert _earned_share(normal_load) > _earned_share(
        _simulate(prompt_placer.PromptPlacer, NORMAL_LOAD)
    )


def test_gathering_short_prompts_earns_more_than_spreading(
    normal_load: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against short prompts on every engine, where each long prefill
    delays some of them.
    """
    monkeypatch.setattr(engine_view, 'SPREAD_COST_MS', 0)
    spread = _simulate(prompt_placer.PromptPlacer, NORMAL_LOAD)
    assert _earned_share(normal_load) > _earned_share(spread)


def test_refusal_earns_more_than_queueing_under_high_load(
    high_load: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a queue that makes all requests late under overload."""
    monkeypatch.setattr(prompt_placer, '_overloaded', lambda *_args: False)
    queued = _simulate(prompt_placer.PromptPlacer, HIGH_LOAD)
    assert _earned_share(high_load) > _earned_share(queued)
    assert high_load['short'].in_aim > queued['short'].in_aim


def test_losses_of_other_requests_count(
    high_load: dict[str, Outcome],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against placements that lose more value than they earn."""
    monkeypatch.setattr(plans, 'losses', lambda *_args: {})
    monkeypatch.setattr(engine_view, 'losses', lambda *_args: {})
    assert _earned_share(high_load) > _earned_share(
        _simulate(prompt_placer.PromptPlacer, HIGH_LOAD)
    )


def test_entries_with_stale_load_do_not_choose_the_same_engine() -> None:
    """Guards against 68 entries that all choose the same engine because their
    load tables are some milliseconds old.
    """
    outcome = _simulate(prompt_placer.PromptPlacer, LARGE)['short']
    assert outcome.in_aim >= NORMAL_LOAD_TARGETS['short'] * outcome.asked


def test_simulation_is_deterministic() -> None:
    """Guards against random choices that ignore the seed: the tests above
    would be flaky.
    """
    sheet = Sheet(engines=24, entries=3, news_s=0.02)
    first, second = (
        play(prompt_placer.PromptPlacer, sheet, 1) for _ in range(2)
    )
    assert first == second


def test_no_request_class_starves_under_high_load(
    high_load: dict[str, Outcome],
) -> None:
    """Guards against an overload that starves one class of requests: the share
    of each that is served is at least a quarter of the overall share.
    """
    asked = sum(outcome.asked for outcome in high_load.values())
    served = sum(
        outcome.in_aim + outcome.late for outcome in high_load.values()
    )
    for outcome in high_load.values():
        share = (outcome.in_aim + outcome.late) / outcome.asked
        assert share >= served / asked / 4
