"""Slow start: limits the concurrency at an engine that may be cold.

A cold engine fails when it receives more requests than its stated cold
capacity, and it can turn cold without reporting it. The ramp therefore relies
on observed service alone. It leaves the cold capacity after
`COLD_COMPLETIONS` completed requests at normal decode intervals, then adds
one slot per completed request. It restarts when the engine restarts, reloads
its models, reports a cold start or fails a stream, and when decode intervals
grow well beyond what the outstanding prefill work explains.

An engine that turns cold shows it in the decode intervals of running streams.
An idle engine has none, so after an idle period the ramp stays at the cold
capacity until decode intervals are normal. An engine that turns cold within a
few iterations before a request starts is not detected in time.
"""

import math
import time
from typing import Final

from masticwind.agent.rates import Rates
from masticwind.engines.base import EngineReport
from masticwind.settings import AgentSettings

COLD_COMPLETIONS: Final = 16
# An endpoint with this many slots is reported to entries as warm.
WARM_CAPACITY: Final = 16
# An interval this many times the expected one suggests a cold engine.
SLOW_INTERVAL_RATIO: Final = 2.0
# Fewer slow intervals in a row may come from pauses of this process.
SLOW_INTERVALS_TO_SUSPECT: Final = 5
# Normal intervals after which a suspected engine counts as warm. They must be
# consecutive, except those without concurrent prefill: a cold engine has no
# normal interval of that kind.
NORMAL_INTERVALS_TO_RESTORE: Final = 10
# The baseline follows shorter intervals quickly and longer ones slowly, so that
# an engine that stays slow is eventually treated as normal.
BASELINE_EWMA_WEIGHT: Final = 0.1
BASELINE_GROWTH: Final = 1.002
MIN_INTERVAL_S: Final = 0.001


class Ramp:
    """Decides how many requests the engine may run concurrently.

    `_slots` is 0 while the cold capacity applies. `_suspended_slots` is the
    number of slots to restore once decode intervals are normal again.
    `restarts` counts the starts of the ramp.
    """

    def __init__(self, cfg: AgentSettings, rates: Rates) -> None:
        self._cfg: Final = cfg
        self._rates: Final = rates
        self._boot_id = ''
        self._models: tuple[str, ...] = ()
        self._slots = 0
        self._completions = 0
        self._reported_cold = False
        self._baseline_s = 0.0
        self._slow_intervals = 0
        self._normal_intervals = 0
        self._normal_decode_only_intervals = 0
        self._suspended_slots = 0
        self._last_interval_at = 0.0
        self.cold_capacity = cfg.cold_capacity
        self.restarts = 0
        self.restart()

    @property
    def boot_id(self) -> str:
        """Boot id of the engine's process; empty before its first report."""
        return self._boot_id

    @property
    def cold(self) -> bool:
        """Whether the capacity is still below that of a warm engine.

        Entries send a cold endpoint no more requests than it has free slots
        while another endpoint can accept them.
        """
        if self._reported_cold:
            return True
        return self.capacity < min(WARM_CAPACITY, self._cfg.max_running)

    @property
    def capacity(self) -> int:
        """Requests that the engine may run concurrently."""
        if self._reported_cold:
            return self.cold_capacity
        return min(self._cfg.max_running, max(self._slots, self.cold_capacity))

    def restart(self) -> None:
        """Start again at the cold capacity."""
        self._slots = 0
        self._completions = 0
        self._suspended_slots = 0
        self.restarts += 1

    def apply_report(self, report: EngineReport) -> bool:
        """Apply an engine report; return whether the engine has restarted."""
        known = bool(self._boot_id)
        restarted = known and report.boot_id != self._boot_id
        reloaded = known and report.models != self._models
        if restarted or reloaded or (report.cold and not self._reported_cold):
            self.restart()
        self._boot_id = report.boot_id
        self._models = report.models
        self._reported_cold = report.cold
        return restarted

    def record_completion(self) -> None:
        """Record a request that the engine has completed."""
        if self._reported_cold or self._slow_intervals:
            return
        self._completions += 1
        if self._slots:
            self._slots = min(self._slots + 1, self._cfg.max_running)
        elif self._completions >= COLD_COMPLETIONS:
            self._slots = self.cold_capacity + 1

    def record_failure(self) -> None:
        """Record a stream that failed at the engine."""
        self.restart()

    def record_start_after_idle(self) -> None:
        """Record the first start on an idle engine, which may have turned cold.

        The slots are restored after a few normal decode intervals.
        """
        if self._slots:
            self._suspend_slots(max(self._slots, self._suspended_slots))

    def record_interval(self, interval_s: float, prefill_tokens: int) -> None:
        """Record the time between two tokens of one stream.

        `prefill_tokens` were computed during the interval or are still
        outstanding, and may have lengthened it.
        """
        if interval_s < MIN_INTERVAL_S:
            return
        now = time.monotonic()
        # All streams of a batch share an iteration, which counts once.
        if now - self._last_interval_at < self._baseline_s / 2:
            return
        self._last_interval_at = now
        expected_s = self._baseline_s + self._min_prefill_s(prefill_tokens)
        if self._baseline_s and interval_s > SLOW_INTERVAL_RATIO * expected_s:
            self._baseline_s *= BASELINE_GROWTH
            self._slow_intervals += 1
            self._normal_intervals = 0
            if self._slow_intervals == SLOW_INTERVALS_TO_SUSPECT:
                self._suspect_cold()
            return
        self._slow_intervals = 0
        self._normal_intervals += 1
        if not prefill_tokens:
            self._normal_decode_only_intervals += 1
        normal = max(self._normal_intervals, self._normal_decode_only_intervals)
        if self._suspended_slots and normal >= NORMAL_INTERVALS_TO_RESTORE:
            self._slots = max(self._slots, self._suspended_slots)
            self._suspended_slots = 0
        if not prefill_tokens:
            self._update_baseline(interval_s)

    def _suspect_cold(self) -> None:
        """Fall back to the cold capacity until intervals are normal again.

        Half of the previous slots are then restored at once.
        """
        # A second suspicion keeps the slots that the first one suspended.
        slots = max(self._slots, 2 * self._suspended_slots)
        self.restarts += 1
        self._suspend_slots(slots // 2)

    def _suspend_slots(self, slots: int) -> None:
        """Use the cold capacity until normal intervals restore `slots`."""
        self._slots = 0
        self._completions = 0
        self._normal_intervals = 0
        self._normal_decode_only_intervals = 0
        self._suspended_slots = slots

    def _update_baseline(self, interval_s: float) -> None:
        if self._baseline_s == 0:
            self._baseline_s = interval_s
        elif interval_s < self._baseline_s:
            self._baseline_s -= BASELINE_EWMA_WEIGHT * (
                self._baseline_s - interval_s
            )
        else:
            self._baseline_s = min(
                interval_s, self._baseline_s * BASELINE_GROWTH
            )

    def _min_prefill_s(self, tokens: int) -> float:
        peak_tokens_per_s = self._rates.peak_tokens_per_s
        if tokens and not peak_tokens_per_s:
            return math.inf
        return tokens / peak_tokens_per_s if tokens else 0
