"""Bounds that hold for all entries together, kept by shares.

No entry asks another one or the store for each request. Every entry keeps
to the whole bound divided by the number of entries that may be alive.
"""

import abc
import time
from collections import deque
from collections.abc import Callable
from typing import Final

from masticwind.serving.settings import LiveSettings

# Part of the slack that is used: an entry that was restarted knows nothing
# of the repeats before.
USED_BOUND_SHARE: Final = 0.8
# The rate of a cold endpoint holds for each second.
COLD_WINDOW_S: Final = 1.0


class WindowCounter:
    """Counts events of the last `window_s` seconds."""

    def __init__(self, window_s: float, clock: Callable[[], float]) -> None:
        self._window_s: Final = window_s
        self._clock: Final = clock
        self._times: Final[deque[float]] = deque()

    def record(self) -> None:
        """Count an event now."""
        self._times.append(self._clock())

    def count(self) -> int:
        """Return the number of events in the window."""
        oldest = self._clock() - self._window_s
        while self._times and self._times[0] < oldest:
            self._times.popleft()
        return len(self._times)


class WindowCounters:
    """Counts events by name; a new name takes the window in force."""

    def __init__(
        self,
        window_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._window_s: Final = window_s
        self._clock: Final = clock
        self._counts: Final[dict[str, WindowCounter]] = {}

    def counter(self, name: str) -> WindowCounter:
        """Return the count of a name, which begins with zero."""
        found = self._counts.get(name)
        if found is None:
            found = WindowCounter(self._window_s(), self._clock)
            self._counts[name] = found
        return found

    def drop(self, name: str) -> None:
        """Drop the count of a name that is not used any more."""
        self._counts.pop(name, None)


class RetryBudget:
    """How often requests of one service may be sent once more.

    In any window, all entries together send at most the stated ratio of the
    service's requests plus the stated slack.
    """

    def __init__(
        self,
        settings: LiveSettings,
        entries: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings: Final = settings
        self._entries: Final = entries
        self._requests: Final = WindowCounters(self._window_s, clock)
        self._repeats: Final = WindowCounters(self._window_s, clock)

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self._requests.counter(service).record()

    def remaining(self, service: str) -> float:
        """Return how many repeats are left."""
        bounds = self._settings.bounds
        slack = bounds.repeat_slack * USED_BOUND_SHARE / self._entries()
        requests = self._requests.counter(service).count()
        allowed = slack + requests * bounds.repeat_ratio * USED_BOUND_SHARE
        return allowed - self._repeats.counter(service).count()

    def try_acquire(self, service: str) -> bool:
        """Take the right to one repeat; false if there is none left."""
        if self.remaining(service) < 1:
            return False
        self._repeats.counter(service).record()
        return True

    def _window_s(self) -> float:
        return self._settings.bounds.repeat_window_s


class EntryFleet(abc.ABC):
    """The entries that keep a bound together, this one included."""

    @abc.abstractmethod
    def count(self) -> int:
        """Return how many entries may be alive."""

    @abc.abstractmethod
    def rank_for(self, endpoint: str) -> int:
        """Return this entry's place in the order of entries that all of them
        give an endpoint; zero is the first.
        """


class ColdEndpointLimiter:
    """How many requests this entry sends to an endpoint in a second.

    An endpoint can turn cold at any moment without saying so, so the bound
    holds for every endpoint of a service that knows cold starts.

    Where there are no more entries than the bound allows requests, each one
    has an equal share. Among more entries, a share would be less than one
    request: then only the first ones in the endpoint's own order may send to
    it, one request a second each. A few more of them may if they have no
    other endpoint; together they stay within the bound, too.
    """

    def __init__(
        self,
        settings: LiveSettings,
        fleet: EntryFleet,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings: Final = settings
        self._fleet: Final = fleet
        self._sent: Final = WindowCounters(lambda: COLD_WINDOW_S, clock)

    def allows(self, endpoint: str, cold_per_s: float) -> bool:
        """Tell whether an endpoint may get one more request now."""
        if cold_per_s <= 0:
            return True
        whole = self._whole(cold_per_s) * USED_BOUND_SHARE
        entries = self._fleet.count()
        if entries > whole:
            return self._first(endpoint, int(whole))
        return self._sent.counter(endpoint).count() + 1 <= whole / entries

    def allows_last_resort(self, endpoint: str, cold_per_s: float) -> bool:
        """Tell whether an endpoint may get one more request of an entry that
        has no other endpoint.
        """
        whole = self._whole(cold_per_s)
        if self._fleet.count() <= whole * USED_BOUND_SHARE:
            return self.allows(endpoint, cold_per_s)
        return self._first(endpoint, int(whole))

    def record_request(self, endpoint: str) -> None:
        """Count a request that is being sent."""
        self._sent.counter(endpoint).record()

    def forget(self, endpoint: str) -> None:
        """Drop the count of an endpoint that is gone."""
        self._sent.drop(endpoint)

    def _whole(self, cold_per_s: float) -> float:
        bounds = self._settings.bounds
        return cold_per_s * bounds.cold_factor + bounds.cold_slack

    def _first(self, endpoint: str, entries: int) -> bool:
        """Tell whether this entry is among the first ones of an endpoint and
        has not sent to it within the last second.
        """
        if self._sent.counter(endpoint).count():
            return False
        return self._fleet.rank_for(endpoint) < entries
