"""The slow-start ramp of one engine.

A cold engine fails under more than its stated capacity, and it can turn cold
without saying so. The ramp therefore trusts observed service only: it leaves
the cold capacity after a number of completed requests at the usual decode
interval, then adds one slot per completed request. It starts again when the
engine restarts, reloads, reports a cold start, fails a stream, or when the
decode intervals grow well beyond what the outstanding work explains.

A relapse shows in the decode intervals of running streams. An idle engine
shows nothing, so what starts after an idle time keeps to the cold capacity
until its decode intervals are usual ones. A relapse within the few iterations
before a start cannot be seen.
"""

import math
import time
from typing import Final

from masticwind.agent.rates import Rates
from masticwind.engines.base import EngineReport
from masticwind.settings import AgentSettings

COLD_COMPLETIONS: Final = 16
# With so many slots, an endpoint counts as warm for the entries.
WARM_CAPACITY: Final = 16
# A decode interval this many times the explained one is a sign of a relapse.
SLOW_INTERVAL_RATIO: Final = 2.0
# A few long intervals in a row come from pauses of this process.
SLOW_INTERVALS_TO_SUSPECT: Final = 5
# So many usual intervals show that a suspected engine is warm. They need not
# be in a row where no prefill explains them: a cold engine has none of these.
NORMAL_INTERVALS_TO_RESTORE: Final = 10
# The usual interval follows shorter ones quickly and longer ones slowly, so
# that an engine that stays slow is accepted as it is after some time.
BASELINE_EWMA_WEIGHT: Final = 0.1
BASELINE_GROWTH: Final = 1.002
MIN_INTERVAL_S: Final = 0.001


class Ramp:
    """How many requests the engine may be given at once."""

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
        self._normal_decode_only = 0
        self._suspended_slots = 0
        self._last_interval_at = 0.0
        self.cold_capacity = cfg.cold_capacity
        self.restarts = 0
        self.restart()

    @property
    def cold(self) -> bool:
        """Whether the ramp is not open yet.

        Entries then use the endpoint only up to its free slots while another
        one can take the work.
        """
        if self._reported_cold:
            return True
        return self.capacity < min(WARM_CAPACITY, self._cfg.max_running)

    @property
    def capacity(self) -> int:
        """Requests that may be in the engine at once."""
        if self._reported_cold:
            return self.cold_capacity
        return min(self._cfg.max_running, max(self._slots, self.cold_capacity))

    def restart(self) -> None:
        """Start the ramp at the cold capacity."""
        self._slots = 0
        self._completions = 0
        self._suspended_slots = 0
        self.restarts += 1

    def apply_report(self, report: EngineReport) -> bool:
        """Compare a report with the last one; true if the engine is new."""
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
        """Note a request that the engine has served to its end."""
        if self._reported_cold or self._slow_intervals:
            return
        self._completions += 1
        if self._slots:
            self._slots = min(self._slots + 1, self._cfg.max_running)
        elif self._completions >= COLD_COMPLETIONS:
            self._slots = self.cold_capacity + 1

    def record_failure(self) -> None:
        """Note a stream that the engine has failed."""
        self.restart()

    def record_start_after_idle(self) -> None:
        """Note the first start on an idle engine, which may have relapsed.

        The earlier limit is given back after a few usual intervals.
        """
        if self._slots:
            self._suspend_slots(max(self._slots, self._suspended_slots))

    def record_interval(self, interval_s: float, prefill_tokens: int) -> None:
        """Take the time between two tokens of one stream.

        `prefill_tokens` is the prompt work that was done meanwhile or is
        outstanding, which may have lengthened the iteration.
        """
        if interval_s < MIN_INTERVAL_S:
            return
        now = time.monotonic()
        # One iteration counts once, however many streams it served.
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
            self._normal_decode_only += 1
        normal = max(self._normal_intervals, self._normal_decode_only)
        if self._suspended_slots and normal >= NORMAL_INTERVALS_TO_RESTORE:
            self._slots = max(self._slots, self._suspended_slots)
            self._suspended_slots = 0
        if not prefill_tokens:
            self._update_baseline(interval_s)

    def _suspect_cold(self) -> None:
        """Enter the ramp until the intervals are usual again.

        Then half of the earlier limit is given back at once.
        """
        # A second suspicion does not forget what the first one took away.
        slots = max(self._slots, 2 * self._suspended_slots)
        self.restarts += 1
        self._suspend_slots(slots // 2)

    def _suspend_slots(self, slots: int) -> None:
        """Use the cold capacity until usual intervals give `limit` back."""
        self._slots = 0
        self._completions = 0
        self._normal_intervals = 0
        self._normal_decode_only = 0
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
