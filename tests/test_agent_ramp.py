"""Learned rates and the slow-start ramp, on a clock that tests set."""

from types import SimpleNamespace

import pytest

from masticwind.agent import ramp as ramp_module
from masticwind.agent import rates as rates_module
from masticwind.agent.ramp import (
    COLD_COMPLETIONS,
    NORMAL_INTERVALS_TO_RESTORE,
    SLOW_INTERVALS_TO_SUSPECT,
    Ramp,
)
from masticwind.agent.rates import Rates
from masticwind.engines.base import EngineReport
from tests.executor_harness import agent_settings

USUAL_S = 0.01


class Clock:
    """A monotonic clock that moves when told."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        fake = SimpleNamespace(monotonic=lambda: self.now)
        monkeypatch.setattr(ramp_module, 'time', fake)
        monkeypatch.setattr(rates_module, 'time', fake)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the clock of the modules under test."""
    return Clock(monkeypatch)


def _intervals(
    ramp: Ramp,
    clock: Clock,
    seconds: float,
    count: int,
    prefill_tokens: int = 0,
) -> None:
    for _ in range(count):
        clock.now += seconds
        ramp.record_interval(seconds, prefill_tokens)


def _warm(ramp: Ramp, clock: Clock) -> None:
    _intervals(ramp, clock, USUAL_S, 50)
    for _ in range(COLD_COMPLETIONS + 64):
        ramp.record_completion()


def _report(
    boot_id: str = 'b',
    models: tuple[str, ...] = ('standard',),
    *,
    cold: bool = False,
) -> EngineReport:
    return EngineReport(
        boot_id=boot_id,
        models=models,
        cold=cold,
        running=0,
        waiting=0,
        memory_total_tokens=1000,
        memory_used_tokens=0,
    )


def test_rate_ignores_the_time_of_cancelled_work(clock: Clock) -> None:
    """Guards against a rate that a cancelled prompt has pulled down."""
    rates = Rates()
    cancelled = rates.begin_prefill()
    started = rates.begin_prefill()
    clock.now += 10
    rates.end_prefill(cancelled, 0)
    clock.now += 0.1
    rates.end_prefill(started, 4000)
    assert rates.prefill_tokens_per_s == pytest.approx(40_000)


def test_ramp_grows_with_completed_work_only(clock: Clock) -> None:
    """Guards against a ramp that follows age instead of service."""
    ramp = Ramp(agent_settings(), Rates())
    clock.now += 3600
    for _ in range(COLD_COMPLETIONS - 1):
        ramp.record_completion()
    assert ramp.capacity == 2
    ramp.record_completion()
    assert ramp.capacity == 3
    _warm(ramp, clock)
    assert ramp.capacity == 64


@pytest.mark.parametrize(
    'later',
    [
        _report('other'),
        _report(models=('standard', 'large')),
        _report(cold=True),
    ],
)
def test_start_reload_and_report_enter_the_ramp(
    clock: Clock,
    later: EngineReport,
) -> None:
    """Guards against full load after a restart, a reload or a cold report."""
    ramp = Ramp(agent_settings(), Rates())
    ramp.apply_report(_report())
    _warm(ramp, clock)
    ramp.apply_report(later)
    assert ramp.capacity == 2


def test_collapse_of_the_rate_enters_the_ramp(clock: Clock) -> None:
    """Guards against new work for an engine that turned cold unannounced."""
    ramp = Ramp(agent_settings(), Rates())
    _warm(ramp, clock)
    _intervals(ramp, clock, 3 * USUAL_S, SLOW_INTERVALS_TO_SUSPECT - 1)
    assert ramp.capacity == 64
    _intervals(ramp, clock, 3 * USUAL_S, 1)
    assert ramp.capacity == 2
    # Completed work at the low rate is no sign of a warm engine.
    for _ in range(COLD_COMPLETIONS):
        ramp.record_completion()
    assert ramp.capacity == 2
    _intervals(ramp, clock, USUAL_S, NORMAL_INTERVALS_TO_RESTORE)
    assert ramp.capacity == 32


def test_noise_does_not_throttle_for_long(clock: Clock) -> None:
    """Guards against a busy machine that keeps a warm engine throttled."""
    ramp = Ramp(agent_settings(), Rates())
    _warm(ramp, clock)
    _intervals(ramp, clock, 3 * USUAL_S, SLOW_INTERVALS_TO_SUSPECT)
    assert ramp.capacity == 2
    for _ in range(NORMAL_INTERVALS_TO_RESTORE):
        _intervals(ramp, clock, 3 * USUAL_S, 1)
        _intervals(ramp, clock, USUAL_S, 1)
    assert ramp.capacity == 32


def test_second_suspicion_keeps_what_the_first_took(clock: Clock) -> None:
    """Guards against a whole new ramp after two false suspicions."""
    ramp = Ramp(agent_settings(), Rates())
    _warm(ramp, clock)
    for _ in range(2):
        _intervals(ramp, clock, 3 * USUAL_S, SLOW_INTERVALS_TO_SUSPECT)
        _intervals(ramp, clock, USUAL_S, 1)
    _intervals(ramp, clock, USUAL_S, NORMAL_INTERVALS_TO_RESTORE)
    assert ramp.capacity == 32


def test_relapse_stays_throttled_behind_prefill(clock: Clock) -> None:
    """Guards against a cold engine that single explained intervals free."""
    rates = Rates()
    started = rates.begin_prefill()
    clock.now += 0.05
    rates.end_prefill(started, 8192)
    ramp = Ramp(agent_settings(), rates)
    _warm(ramp, clock)
    _intervals(ramp, clock, 3 * USUAL_S, SLOW_INTERVALS_TO_SUSPECT)
    for _ in range(2 * NORMAL_INTERVALS_TO_RESTORE):
        _intervals(ramp, clock, 3 * USUAL_S, 1, prefill_tokens=8192)
        _intervals(ramp, clock, 3 * USUAL_S, 1)
    assert ramp.capacity == 2


def test_ramping_endpoint_counts_as_cold(clock: Clock) -> None:
    """Guards against full load from entries while the ramp opens."""
    ramp = Ramp(agent_settings(), Rates())
    _intervals(ramp, clock, USUAL_S, 50)
    for _ in range(COLD_COMPLETIONS + 1):
        ramp.record_completion()
    assert ramp.capacity == 4
    assert ramp.cold
    _warm(ramp, clock)
    assert not ramp.cold


def test_prefill_explains_long_intervals(clock: Clock) -> None:
    """Guards against a false relapse while prompts are computed."""
    rates = Rates()
    started = rates.begin_prefill()
    clock.now += 0.05
    rates.end_prefill(started, 8192)
    ramp = Ramp(agent_settings(), rates)
    _warm(ramp, clock)
    _intervals(ramp, clock, 5 * USUAL_S, 20, prefill_tokens=8192)
    assert ramp.capacity == 64
