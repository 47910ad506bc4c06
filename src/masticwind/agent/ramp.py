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
OPEN_LIMIT: Final = 16
# A decode interval this many times the explained one is a sign of a relapse.
COLLAPSE_RATIO: Final = 2.0
# A few long intervals in a row come from pauses of this process.
COLLAPSE_INTERVALS: Final = 5
# So many usual intervals show that a suspected engine is warm. They need not
# be in a row where no prefill explains them: a cold engine has none of these.
USUAL_INTERVALS: Final = 10
# The usual interval follows shorter ones quickly and longer ones slowly, so
# that an engine that stays slow is accepted as it is after some time.
BASE_WEIGHT: Final = 0.1
BASE_GROWTH: Final = 1.002
MIN_INTERVAL_S: Final = 0.001


class Ramp:
    """How many requests the engine may be given at once."""

    def __init__(self, cfg: AgentSettings, rates: Rates) -> None:
        self._cfg: Final = cfg
        self._rates: Final = rates
        self._boot_id = ''
        self._models: tuple[str, ...] = ()
        self._limit = 0
        self._completed = 0
        self._reported_cold = False
        self._base_s = 0.0
        self._slow_intervals = 0
        self._usual_intervals = 0
        self._plain_intervals = 0
        self._suspected_limit = 0
        self._counted_at = 0.0
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
        return self.capacity < min(OPEN_LIMIT, self._cfg.max_running)

    @property
    def capacity(self) -> int:
        """Requests that may be in the engine at once."""
        if self._reported_cold:
            return self.cold_capacity
        return min(self._cfg.max_running, max(self._limit, self.cold_capacity))

    def restart(self) -> None:
        """Start the ramp at the cold capacity."""
        self._limit = 0
        self._completed = 0
        self._suspected_limit = 0
        self.restarts += 1

    def take_report(self, report: EngineReport) -> bool:
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
        self._completed += 1
        if self._limit:
            self._limit = min(self._limit + 1, self._cfg.max_running)
        elif self._completed >= COLD_COMPLETIONS:
            self._limit = self.cold_capacity + 1

    def record_failure(self) -> None:
        """Note a stream that the engine has failed."""
        self.restart()

    def leave_idle(self) -> None:
        """Note the first start on an idle engine, which may have relapsed.

        The earlier limit is given back after a few usual intervals.
        """
        if self._limit:
            self._set_aside(max(self._limit, self._suspected_limit))

    def record_interval(self, seconds: float, prefill_tokens: int) -> None:
        """Take the time between two tokens of one stream.

        `prefill_tokens` is the prompt work that was done meanwhile or is
        outstanding, which may have lengthened the iteration.
        """
        if seconds < MIN_INTERVAL_S:
            return
        now = time.monotonic()
        # One iteration counts once, however many streams it served.
        if now - self._counted_at < self._base_s / 2:
            return
        self._counted_at = now
        explained_s = self._base_s + self._prefill_s(prefill_tokens)
        if self._base_s and seconds > COLLAPSE_RATIO * explained_s:
            self._base_s *= BASE_GROWTH
            self._slow_intervals += 1
            self._usual_intervals = 0
            if self._slow_intervals == COLLAPSE_INTERVALS:
                self._suspect()
            return
        self._slow_intervals = 0
        self._usual_intervals += 1
        if not prefill_tokens:
            self._plain_intervals += 1
        usual = max(self._usual_intervals, self._plain_intervals)
        if self._suspected_limit and usual >= USUAL_INTERVALS:
            self._limit = max(self._limit, self._suspected_limit)
            self._suspected_limit = 0
        if not prefill_tokens:
            self._follow(seconds)

    def _suspect(self) -> None:
        """Enter the ramp until the intervals are usual again.

        Then half of the earlier limit is given back at once.
        """
        # A second suspicion does not forget what the first one took away.
        limit = max(self._limit, 2 * self._suspected_limit)
        self.restarts += 1
        self._set_aside(limit // 2)

    def _set_aside(self, limit: int) -> None:
        """Use the cold capacity until usual intervals give `limit` back."""
        self._limit = 0
        self._completed = 0
        self._usual_intervals = 0
        self._plain_intervals = 0
        self._suspected_limit = limit

    def _follow(self, seconds: float) -> None:
        if self._base_s == 0:
            self._base_s = seconds
        elif seconds < self._base_s:
            self._base_s -= BASE_WEIGHT * (self._base_s - seconds)
        else:
            self._base_s = min(seconds, self._base_s * BASE_GROWTH)

    def _prefill_s(self, tokens: int) -> float:
        peak = self._rates.peak_tokens_per_s
        if tokens and not peak:
            return math.inf
        return tokens / peak if tokens else 0
