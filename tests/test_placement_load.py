"""Simulates the users' workload on the placers, without a network.

The engines are simulated by `masticwind_dev.play`. The thresholds are the
users' targets for normal and for high load.
"""

from collections.abc import Mapping
from types import MappingProxyType

import pytest

from masticwind.serving.admission import overload
from masticwind.serving.placement import engine_view, plans, prompt_placer
from masticwind_dev.play.baselines import least_outstanding, round_robin
from masticwind_dev.play.simulation import (
    LARGE_WORKLOAD,
    REQUEST_CLASSES,
    ClassResult,
    PlacerFactory,
    Workload,
    simulate,
)

SEEDS = range(4)
NORMAL_LOAD = Workload(engine_count=14)
# Half of the engines, as with one zone out of service and engines drained.
HIGH_LOAD = Workload(engine_count=7)
# Minimum share of requests that meet their targets.
NORMAL_LOAD_TARGETS: Mapping[str, float] = MappingProxyType(
    {'short': 0.99, 'medium': 0.97, 'long': 0.9}
)


def _simulate(
    make_placer: PlacerFactory,
    workload: Workload,
) -> dict[str, ClassResult]:
    """Simulate all seeds and return the totals by request class."""
    totals = {name: ClassResult() for name in REQUEST_CLASSES}
    for seed in SEEDS:
        for name, result in simulate(make_placer, workload, seed).items():
            total = totals[name]
            total.requests += result.requests
            total.on_target += result.on_target
            total.late += result.late
            total.unserved += result.unserved
            total.max_value += result.max_value
            total.earned_value += result.earned_value
    return totals


def _earned_share(class_results: Mapping[str, ClassResult]) -> float:
    max_value = sum(result.max_value for result in class_results.values())
    return (
        sum(result.earned_value for result in class_results.values())
        / max_value
    )


@pytest.fixture(scope='module')
def normal_load() -> dict[str, ClassResult]:
    """Simulate normal load once for all tests."""
    return _simulate(prompt_placer.PromptPlacer, NORMAL_LOAD)


@pytest.fixture(scope='module')
def high_load() -> dict[str, ClassResult]:
    """Simulate high load once for all tests."""
    return _simulate(prompt_placer.PromptPlacer, HIGH_LOAD)


@pytest.mark.parametrize('name', list(NORMAL_LOAD_TARGETS))
def test_targets_are_met_under_normal_load(
    normal_load: dict[str, ClassResult],
    name: str,
) -> None:
    """Guards against requests that miss targets while engines are free."""
    result = normal_load[name]
    assert result.on_target >= NORMAL_LOAD_TARGETS[name] * result.requests


@pytest.mark.parametrize('baseline', [round_robin, least_outstanding])
def test_prediction_earns_more_than_a_baseline(
    normal_load: dict[str, ClassResult],
    high_load: dict[str, ClassResult],
    baseline: PlacerFactory,
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
    normal_load: dict[str, ClassResult],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against long prompts that a single engine prefills."""
    monkeypatch.setattr(plans, 'MAX_HELPERS', 0)
    unsplit = _simulate(prompt_placer.PromptPlacer, NORMAL_LOAD)
    assert normal_load['long'].on_target > unsplit['long'].on_target


def test_deferral_earns_more_than_immediate_placement(
    normal_load: dict[str, ClassResult],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against long prompts that delay each other."""
    monkeypatch.setattr(prompt_placer, '_deferral', lambda *_args: None)
    assert _earned_share(normal_load) > _earned_share(
        _simulate(prompt_placer.PromptPlacer, NORMAL_LOAD)
    )


def test_gathering_short_prompts_earns_more_than_spreading(
    normal_load: dict[str, ClassResult],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against short prompts on every engine, where each long prefill
    delays some of them.
    """
    monkeypatch.setattr(engine_view, 'SPREAD_COST_MS', 0)
    spread = _simulate(prompt_placer.PromptPlacer, NORMAL_LOAD)
    assert _earned_share(normal_load) > _earned_share(spread)


def test_refusal_earns_more_than_queueing_under_high_load(
    high_load: dict[str, ClassResult],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a queue that makes all requests late under overload."""
    monkeypatch.setattr(overload, '_overloaded', lambda *_args: False)
    queued = _simulate(prompt_placer.PromptPlacer, HIGH_LOAD)
    assert _earned_share(high_load) > _earned_share(queued)
    assert high_load['short'].on_target > queued['short'].on_target


def test_losses_of_other_requests_count(
    high_load: dict[str, ClassResult],
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
    result = _simulate(prompt_placer.PromptPlacer, LARGE_WORKLOAD)['short']
    assert result.on_target >= NORMAL_LOAD_TARGETS['short'] * result.requests


def test_simulation_is_deterministic() -> None:
    """Guards against random choices that ignore the seed: the tests above
    would be flaky.
    """
    workload = Workload(engine_count=24, entry_count=3, update_delay_s=0.02)
    first, second = (
        simulate(prompt_placer.PromptPlacer, workload, 1) for _ in range(2)
    )
    assert first == second


def test_no_request_class_starves_under_high_load(
    high_load: dict[str, ClassResult],
) -> None:
    """Guards against an overload that starves one class of requests: the share
    of each that is served is at least a quarter of the overall share.
    """
    requests = sum(result.requests for result in high_load.values())
    served = sum(
        result.on_target + result.late for result in high_load.values()
    )
    for result in high_load.values():
        share = (result.on_target + result.late) / result.requests
        assert share >= served / requests / 4
