"""How much longer each engine takes than its profile says.

The source is the time between the first token and the end of each job, for the
output that it had. Other requests of an engine prolong it on all engines, so
the factor is relative to the usual one of jobs of the same route. It is the
mean of many jobs, on a logarithmic scale, shrunk towards 1, and decays towards
1 when there are no jobs to learn from.
"""

import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from loguru import logger

from masticwind.serving.costs.durations import ALL_TEAMS
from masticwind.serving.costs.job_factors import JobFactors, clip_factor

# Number of jobs as which the factor 1 counts. One job deviates by a factor of
# 1.57, the mean of 8 by 1.17.
SHRINK_WEIGHT: Final = 8.0
# Jobs of this time ago count half. An engine of a busy deployment ends two to
# three jobs a second, so this is some 25 of them.
HALF_LIFE_S: Final = 10.0
# A factor without new jobs is computed again after this time.
UPDATE_INTERVAL_S: Final = 0.5
# Engines kept; the one without a job for the longest time is evicted.
MAX_ENGINES: Final = 1024
# Factors at which log lines say that an engine is slow, and no longer slow.
SLOW_FACTOR: Final = 1.5
NORMAL_FACTOR: Final = 1.25


@dataclass(slots=True, eq=False)
class _Speed:
    log_sum: float = 0
    weight: float = 0
    updated_at: float = 0
    factor: float = 1.0
    is_slow: bool = False

    def update(self, now: float, ratios: Iterable[float] = ()) -> None:
        """Reduce the weight of what was observed so far, and add ratios."""
        share = math.exp2((self.updated_at - now) / HALF_LIFE_S)
        self.log_sum *= share
        self.weight *= share
        self.updated_at = now
        for ratio in ratios:
            self.log_sum += math.log(clip_factor(ratio))
            self.weight += 1
        self.factor = clip_factor(
            math.exp(self.log_sum / (self.weight + SHRINK_WEIGHT))
        )


class EngineSpeeds:
    """The factors of all engines that have run jobs."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        self._usual: Final = JobFactors()
        self._speeds: Final[dict[str, _Speed]] = {}

    def record(self, endpoint_id: str, route_key: int, ratio: float) -> None:
        """Learn from a job that took `ratio` times as long as the profile
        says.
        """
        self._usual.record(route_key, ALL_TEAMS, ratio)
        relative = clip_factor(ratio) / self._usual.factor(route_key, ALL_TEAMS)
        speed = self._speeds.pop(endpoint_id, None) or _Speed()
        self._speeds[endpoint_id] = speed
        speed.update(self._clock(), (relative,))
        _log_change(endpoint_id, speed)
        if len(self._speeds) > MAX_ENGINES:
            self._speeds.pop(next(iter(self._speeds)))

    def factor(self, endpoint_id: str) -> float:
        """Return the factor of an engine, 1 without evidence."""
        speed = self._speeds.get(endpoint_id)
        if speed is None:
            return 1.0
        now = self._clock()
        if now - speed.updated_at > UPDATE_INTERVAL_S:
            speed.update(now)
            _log_change(endpoint_id, speed)
        return speed.factor

    def forget(self, endpoint_id: str) -> None:
        """Discard the factor of an engine that is gone."""
        self._speeds.pop(endpoint_id, None)


def _log_change(endpoint_id: str, speed: _Speed) -> None:
    log = logger.bind(endpoint=endpoint_id, factor=round(speed.factor, 2))
    if speed.is_slow and speed.factor < NORMAL_FACTOR:
        speed.is_slow = False
        log.info('engine_speed_normal')
    elif not speed.is_slow and speed.factor > SLOW_FACTOR:
        speed.is_slow = True
        log.info('engine_slow')
