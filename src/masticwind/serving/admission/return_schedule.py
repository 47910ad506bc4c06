"""When a refused caller is to come back: the first time with room for it.

Room is what the engines complete beyond the demand that is expected. Demand is
sampled twice a second; a burst is expected to fade towards the usual demand of
the last half minute. Nothing is promised while that leaves no room.
"""

import math
from dataclasses import dataclass
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.admission.fleet_load import FleetLoad

SAMPLE_INTERVAL_S: Final = 0.5
# Time constants of the demand of the moment and of the usual one. Demand has
# a period of 15 s, so that the usual demand is that of two periods.
CURRENT_DEMAND_S: Final = 2.0
USUAL_DEMAND_S: Final = 30.0
# Bursts last 3 to 9.5 s; of one that has begun, about this much is left.
BURST_S: Final = 4.0
# Resolution of a promised time.
STEP_S: Final = 0.1
# Shares of the capacity up to which late requests are served, and returns
# promised room. What is served late takes slots from requests that would have
# been in time: in simulations, shares of 0.7 and 0.9 earned less.
LATE_SHARE: Final = 0.5
PROMISED_SHARE: Final = 0.6
# A retry costs a connection and a round trip, so no earlier one is asked for.
MIN_RETURN_MS: Final = 100.0
# Largest share of refused requests that is used to scale the demand.
MAX_REFUSED_SHARE: Final = 0.9


@dataclass(slots=True)
class _Demand:
    """Requests a second: of the moment, and as usual."""

    sampled_at: float
    current_per_s: float
    usual_per_s: float


class ReturnSchedule:
    """Learns the demand for each service and schedules returns.

    An entry sees the requests that others start, but not those that they
    refuse. It assumes that they refuse the same share as itself.
    """

    def __init__(self) -> None:
        self._demands: Final[dict[str, _Demand]] = {}
        self._asked = 0.0
        self._refused = 0.0
        self._decayed_at = 0.0

    def record(self, now: float, *, refused: bool) -> None:
        """Count a request that this entry has placed or refused."""
        decay = math.exp(-max(0.0, now - self._decayed_at) / CURRENT_DEMAND_S)
        self._decayed_at = now
        self._asked = self._asked * decay + 1
        self._refused = self._refused * decay + refused

    def is_sample_due(self, service: str, now: float) -> bool:
        """Tell whether the demand is to be sampled."""
        demand = self._demands.get(service)
        return demand is None or now - demand.sampled_at >= SAMPLE_INTERVAL_S

    def sample(self, service: str, load: FleetLoad) -> None:
        """Learn the demand from the load of a service."""
        demand_per_s = load.starts_per_s / (1 - self._refused_share())
        demand = self._demands.get(service)
        if demand is None:
            self._demands[service] = _Demand(
                load.read_at, demand_per_s, demand_per_s
            )
            return
        elapsed_s = max(0.0, load.read_at - demand.sampled_at)
        demand.sampled_at = load.read_at
        demand.current_per_s += (demand_per_s - demand.current_per_s) * (
            1 - math.exp(-elapsed_s / CURRENT_DEMAND_S)
        )
        demand.usual_per_s += (demand_per_s - demand.usual_per_s) * (
            1 - math.exp(-elapsed_s / USUAL_DEMAND_S)
        )

    def has_room(self, service: str, load: FleetLoad) -> bool:
        """Tell whether a queue for the engines would end soon."""
        demand = self._demands.get(service)
        if demand is None:
            return False
        return demand.current_per_s < load.capacity_per_s * LATE_SHARE

    def find_return_ms(
        self, service: str, load: FleetLoad, promised: int, limit_ms: float
    ) -> float | None:
        """Return the time until there is room for one more request, None if
        there is none within `limit_ms`.

        Those that wait for a slot and the `promised` returns come first.
        """
        demand = self._demands.get(service)
        if demand is None:
            return None
        needed = load.waiting + promised + 1
        capacity_per_s = load.capacity_per_s * PROMISED_SHARE
        excess_per_s = demand.current_per_s - demand.usual_per_s
        room = 0.0
        for step in range(1, int(limit_ms / MS_PER_S / STEP_S) + 1):
            time_s = step * STEP_S
            expected_per_s = demand.usual_per_s + excess_per_s * math.exp(
                -time_s / BURST_S
            )
            room += max(0.0, capacity_per_s - expected_per_s) * STEP_S
            if room >= needed:
                return max(MIN_RETURN_MS, time_s * MS_PER_S)
        return None

    def _refused_share(self) -> float:
        if not self._asked:
            return 0.0
        return min(MAX_REFUSED_SHARE, self._refused / self._asked)
