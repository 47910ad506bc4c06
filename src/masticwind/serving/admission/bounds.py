"""Fleet-wide limits that each entry enforces without coordination.

Each entry gets an equal share of a limit: the limit divided by the number of
entries that may be alive. No request needs a call to the store or to another
entry.
"""

import abc
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Final

from masticwind.serving.settings import LiveSettings

# Share of a limit that is used. The rest covers entries that have restarted and
# lost their counts.
USED_BOUND_SHARE: Final = 0.8
# The rate limit of a cold endpoint applies to any one second.
COLD_WINDOW_S: Final = 1.0


class WindowCounter:
    """Counts the events of a sliding window of `window_s` seconds."""

    def __init__(self, window_s: float, clock: Callable[[], float]) -> None:
        self._window_s: Final = window_s
        self._clock: Final = clock
        self._times: Final[deque[float]] = deque()

    def record(self) -> None:
        """Count one event now."""
        self._times.append(self._clock())

    def count(self) -> int:
        """Return the number of events in the window."""
        oldest = self._clock() - self._window_s
        while self._times and self._times[0] < oldest:
            self._times.popleft()
        return len(self._times)

    def time_until_at_most(self, count: int) -> float:
        """Return the seconds until the window has at most so many events."""
        excess = self.count() - count
        if excess <= 0:
            return 0.0
        last_excess_at = self._times[excess - 1]
        return max(0.0, last_excess_at + self._window_s - self._clock())


class WindowCounters:
    """Sliding window counters by name.

    A counter keeps the window length that was configured at its creation.
    """

    def __init__(
        self,
        window_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._window_s: Final = window_s
        self._clock: Final = clock
        self._counters: Final[dict[str, WindowCounter]] = {}

    def counter(self, name: str) -> WindowCounter:
        """Return the counter of a name; a new one starts at zero."""
        counter = self._counters.get(name)
        if counter is None:
            counter = WindowCounter(self._window_s(), self._clock)
            self._counters[name] = counter
        return counter

    def remove(self, name: str) -> None:
        """Remove the counter of a name."""
        self._counters.pop(name, None)


class RetryBudget:
    """Limits the retries for each service.

    In any window, all entries together send at most as many retries as
    `repeat_ratio` of the service's requests plus `repeat_slack`.
    """

    def __init__(
        self,
        settings: LiveSettings,
        entry_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings: Final = settings
        self._entry_count: Final = entry_count
        self._requests: Final = WindowCounters(self._window_s, clock)
        self._retries: Final = WindowCounters(self._window_s, clock)

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._requests.counter(service).record()

    def remaining(self, service: str) -> float:
        """Return how many retries this entry may send now."""
        bounds = self._settings.bounds
        base_retries = (
            bounds.repeat_slack * USED_BOUND_SHARE / self._entry_count()
        )
        request_count = self._requests.counter(service).count()
        allowed_retries = (
            base_retries
            + request_count * bounds.repeat_ratio * USED_BOUND_SHARE
        )
        return allowed_retries - self._retries.counter(service).count()

    def has_retry(self, service: str) -> bool:
        """Tell whether a retry of the budget is left."""
        return self.remaining(service) >= 1

    def try_acquire(self, service: str) -> bool:
        """Use one retry of the budget; false if none is left."""
        if not self.has_retry(service):
            return False
        self._retries.counter(service).record()
        return True

    def _window_s(self) -> float:
        return self._settings.bounds.repeat_window_s


class EntryFleet(abc.ABC):
    """The entries that share a fleet-wide limit, including this one."""

    @abc.abstractmethod
    def count(self) -> int:
        """Return how many entries may be alive."""

    @abc.abstractmethod
    def rank_for(self, endpoint: str) -> int:
        """Return the rank of this entry for an endpoint, from zero.

        All entries compute the same order of the entries for an endpoint.
        """


class ColdEndpointLimiter:
    """Limits the request rate of this entry to endpoints with cold starts.

    An endpoint can become cold at any time without notice, so the limit
    applies to all endpoints of a service with cold starts, also to warm ones.

    If the fleet's rate allows at least one request per entry and second, the
    entries share it equally. Otherwise only the entries that rank first for
    an endpoint may send to it, one request per second each. A few more may
    do so if no other endpoint is left to them; the fleet's rate still holds.
    """

    def __init__(
        self,
        settings: LiveSettings,
        fleet: EntryFleet,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings: Final = settings
        self._fleet: Final = fleet
        self._recent_requests: Final = WindowCounters(
            lambda: COLD_WINDOW_S, clock
        )

    def allows(self, endpoint: str, cold_per_s: float) -> bool:
        """Tell whether this entry may send a request to an endpoint now."""
        if cold_per_s <= 0:
            return True
        fleet_rate = self._fleet_rate(cold_per_s) * USED_BOUND_SHARE
        entry_count = self._fleet.count()
        if entry_count > fleet_rate:
            return self._allows_top_ranked(endpoint, int(fleet_rate))
        return (
            self._recent_requests.counter(endpoint).count() + 1
            <= fleet_rate / entry_count
        )

    def allows_last_resort(self, endpoint: str, cold_per_s: float) -> bool:
        """Tell whether this entry may send a request to an endpoint now if
        it can use no other endpoint.
        """
        if cold_per_s <= 0:
            return True
        fleet_rate = self._fleet_rate(cold_per_s)
        if self._fleet.count() <= fleet_rate * USED_BOUND_SHARE:
            return self.allows(endpoint, cold_per_s)
        return self._allows_top_ranked(endpoint, int(fleet_rate))

    def available_in_s(self, endpoint: str, cold_per_s: float) -> float:
        """Return the time until `allows_last_resort` allows a request.

        It is infinite if only other entries may send to the endpoint.
        """
        if cold_per_s <= 0:
            return 0.0
        counter = self._recent_requests.counter(endpoint)
        fleet_rate = self._fleet_rate(cold_per_s)
        entry_count = self._fleet.count()
        if entry_count <= fleet_rate * USED_BOUND_SHARE:
            share = int(fleet_rate * USED_BOUND_SHARE / entry_count)
            return counter.time_until_at_most(share - 1)
        if self._fleet.rank_for(endpoint) < int(fleet_rate):
            return counter.time_until_at_most(0)
        return math.inf

    def record_request(self, endpoint: str) -> None:
        """Count a request to an endpoint."""
        self._recent_requests.counter(endpoint).record()

    def forget(self, endpoint: str) -> None:
        """Remove the counter of an endpoint that is gone."""
        self._recent_requests.remove(endpoint)

    def _fleet_rate(self, cold_per_s: float) -> float:
        bounds = self._settings.bounds
        return cold_per_s * bounds.cold_factor + bounds.cold_slack

    def _allows_top_ranked(self, endpoint: str, entry_count: int) -> bool:
        """Tell whether this entry is one of the first `entry_count` entries for
        an endpoint and has not sent a request to it within the last second.
        """
        if self._recent_requests.counter(endpoint).count():
            return False
        return self._fleet.rank_for(endpoint) < entry_count
