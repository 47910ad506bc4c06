"""Measured rates and the slow-start ramp, with a fake clock."""

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

NORMAL_INTERVAL_S = 0.01


class Clock:
    """A monotonic clock that the test advances."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_s = 100.0
        fake = SimpleNamespace(monotonic=lambda: self.now_s)
        monkeypatch.setattr(ramp_module, 'time', fake)
        monkeypatch.setattr(rates_module, 'time', fake)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace the clock of the modules under test."""
    return Clock(monkeypatch)


def _record_intervals(
    ramp: Ramp,
    clock: Clock,
    interval_s: float,
    count: int,
    prefill_tokens: int = 0,
) -> None:
    for _ in range(count):
        clock.now_s += interval_s
        ramp.record_interval(interval_s, prefill_tokens)


def _warm_up(ramp: Ramp, clock: Clock) -> None:
    _record_intervals(ramp, clock, NORMAL_INTERVAL_S, 50)
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
    """Guards against a rate that is too low after a cancelled prefill."""
    rates = Rates()
    cancelled = rates.begin_prefill()
    started = rates.begin_prefill()
    clock.now_s += 10
    rates.end_prefill(cancelled, 0)
    clock.now_s += 0.1
    rates.end_prefill(started, 4000)
    assert rates.prefill_tokens_per_s == pytest.approx(40_000)


def test_ramp_grows_only_with_completed_requests(clock: Clock) -> None:
    """Guards against a ramp that grows with time instead of completions."""
    ramp = Ramp(agent_settings(), Rates())
    clock.now_s += 3600
    for _ in range(COLD_COMPLETIONS - 1):
        ramp.record_completion()
    assert ramp.capacity == 2
    ramp.record_completion()
    assert ramp.capacity == 3
    _warm_up(ramp, clock)
    assert ramp.capacity == 64


@pytest.mark.parametrize(
    'later',
    [
        _report('other'),
        _report(models=('standard', 'large')),
        _report(cold=True),
    ],
)
def test_restart_reload_and_cold_report_restart_ramp(
    clock: Clock,
    later: EngineReport,
) -> None:
    """Guards against full load after a restart, a reload or a cold report."""
    ramp = Ramp(agent_settings(), Rates())
    ramp.apply_report(_report())
    _warm_up(ramp, clock)
    ramp.apply_report(later)
    assert ramp.capacity == 2


def test_sustained_slow_decoding_restarts_ramp(clock: Clock) -> None:
    """Guards against overloading an engine that turns cold unreported."""
    ramp = Ramp(agent_settings(), Rates())
    _warm_up(ramp, clock)
    _record_intervals(
        ramp, clock, 3 * NORMAL_INTERVAL_S, SLOW_INTERVALS_TO_SUSPECT - 1
    )
    assert ramp.capacity == 64
    _record_intervals(ramp, clock, 3 * NORMAL_INTERVAL_S, 1)
    assert ramp.capacity == 2
    # Completions during slow intervals do not count.
    for _ in range(COLD_COMPLETIONS):
        ramp.record_completion()
    assert ramp.capacity == 2
    _record_intervals(
        ramp, clock, NORMAL_INTERVAL_S, NORMAL_INTERVALS_TO_RESTORE
    )
    assert ramp.capacity == 32


def test_alternating_slow_intervals_restore_capacity(clock: Clock) -> None:
    """Guards against a warm engine that stays throttled on a busy instance.

    There, slow intervals occur between normal ones.
    """
    ramp = Ramp(agent_settings(), Rates())
    _warm_up(ramp, clock)
    _record_intervals(
        ramp, clock, 3 * NORMAL_INTERVAL_S, SLOW_INTERVALS_TO_SUSPECT
    )
    assert ramp.capacity == 2
    for _ in range(NORMAL_INTERVALS_TO_RESTORE):
        _record_intervals(ramp, clock, 3 * NORMAL_INTERVAL_S, 1)
        _record_intervals(ramp, clock, NORMAL_INTERVAL_S, 1)
    assert ramp.capacity == 32


def test_second_suspicion_keeps_suspended_slots(clock: Clock) -> None:
    """Guards against a full new ramp after two false suspicions."""
    ramp = Ramp(agent_settings(), Rates())
    _warm_up(ramp, clock)
    for _ in range(2):
        _record_intervals(
            ramp, clock, 3 * NORMAL_INTERVAL_S, SLOW_INTERVALS_TO_SUSPECT
        )
        _record_intervals(ramp, clock, NORMAL_INTERVAL_S, 1)
    _record_intervals(
        ramp, clock, NORMAL_INTERVAL_S, NORMAL_INTERVALS_TO_RESTORE
    )
    assert ramp.capacity == 32


def test_cold_engine_stays_throttled_during_prefill(clock: Clock) -> None:
    """Guards against restoring slots of a cold engine during prefill.

    Intervals that prefill explains count as normal in between.
    """
    rates = Rates()
    started = rates.begin_prefill()
    clock.now_s += 0.05
    rates.end_prefill(started, 8192)
    ramp = Ramp(agent_settings(), rates)
    _warm_up(ramp, clock)
    _record_intervals(
        ramp, clock, 3 * NORMAL_INTERVAL_S, SLOW_INTERVALS_TO_SUSPECT
    )
    for _ in range(2 * NORMAL_INTERVALS_TO_RESTORE):
        _record_intervals(
            ramp, clock, 3 * NORMAL_INTERVAL_S, 1, prefill_tokens=8192
        )
        _record_intervals(ramp, clock, 3 * NORMAL_INTERVAL_S, 1)
    assert ramp.capacity == 2


def test_ramping_endpoint_counts_as_cold(clock: Clock) -> None:
    """Guards against full load from entries during the ramp."""
    ramp = Ramp(agent_settings(), Rates())
    _record_intervals(ramp, clock, NORMAL_INTERVAL_S, 50)
    for _ in range(COLD_COMPLETIONS + 1):
        ramp.record_completion()
    assert ramp.capacity == 4
    assert ramp.cold
    _warm_up(ramp, clock)
    assert not ramp.cold


def test_prefill_accounts_for_long_intervals(clock: Clock) -> None:
    """Guards against suspecting a warm engine during prefill."""
    rates = Rates()
    started = rates.begin_prefill()
    clock.now_s += 0.05
    rates.end_prefill(started, 8192)
    ramp = Ramp(agent_settings(), rates)
    _warm_up(ramp, clock)
    _record_intervals(
        ramp, clock, 5 * NORMAL_INTERVAL_S, 20, prefill_tokens=8192
    )
    assert ramp.capacity == 64
