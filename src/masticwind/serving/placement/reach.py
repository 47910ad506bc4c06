"""Circuit breaker for availability zones that this entry cannot reach.

In a network partition between zones or a power failure of a zone, no endpoint
of the zone replies. Trying them one after the other costs a timeout for each
request and endpoint, which matters most under high load, when callers have no
time left. If several endpoints of a zone are silent and no other endpoint of
the zone replies in between, the whole zone is therefore excluded for a while.
Afterwards a single request tries the zone; all others go elsewhere until its
result is known. Each failed trial doubles the exclusion time, and any reply
from the zone ends the exclusion.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from loguru import logger

from masticwind.serving.model import Endpoint

# A single silent endpoint may have failed by itself.
MIN_SILENT_ENDPOINTS: Final = 2
# Silences further apart than this are taken to have different causes.
SILENCE_WINDOW_S: Final = 2.0
INITIAL_EXCLUSION_S: Final = 0.5
MAX_EXCLUSION_S: Final = 4.0
# Longest time for which a trial keeps other requests from the zone. The silence
# of its endpoint is usually recorded earlier.
TRIAL_TIMEOUT_S: Final = 1.3


@dataclass(slots=True)
class _ZoneState:
    """State of a zone since its last reply.

    `silent_at` holds the time of the last silence of each silent endpoint.
    `trial_running` is set while a request tries an excluded zone.
    """

    silent_at: dict[str, float] = field(default_factory=dict)
    exclusion_s: float = 0
    excluded_until: float = 0
    trial_running: bool = False


class ZoneReachability:
    """Records silent endpoints and excludes zones that do not reply."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        self._zones: Final[dict[str, _ZoneState]] = {}

    def is_excluded(self, zone: str) -> bool:
        """Tell whether a zone gets no requests at present."""
        state = self._zones.get(zone)
        return state is not None and state.excluded_until > self._clock()

    def record_attempt(self, endpoint: Endpoint) -> None:
        """Record that a request is sent to an endpoint now."""
        state = self._zones.get(endpoint.zone)
        if state is None or not state.exclusion_s:
            return
        if state.excluded_until <= self._clock():
            state.trial_running = True
            state.excluded_until = self._clock() + TRIAL_TIMEOUT_S

    def record_answer(self, endpoint: Endpoint) -> None:
        """Record any reply of an endpoint, including a refusal."""
        state = self._zones.pop(endpoint.zone, None)
        if state is not None and state.exclusion_s:
            logger.bind(zone=endpoint.zone).info('zone_reached')

    def record_silence(self, endpoint: Endpoint) -> None:
        """Record that an endpoint did not reply before its timeout."""
        now = self._clock()
        state = self._zones.setdefault(endpoint.zone, _ZoneState())
        state.silent_at[endpoint.identity] = now
        for identity, at in list(state.silent_at.items()):
            if now - at > SILENCE_WINDOW_S + state.exclusion_s:
                state.silent_at.pop(identity)
        if state.excluded_until > now and not state.trial_running:
            return
        if (
            not state.trial_running
            and len(state.silent_at) < MIN_SILENT_ENDPOINTS
        ):
            return
        state.trial_running = False
        state.exclusion_s = min(
            MAX_EXCLUSION_S, 2 * state.exclusion_s or INITIAL_EXCLUSION_S
        )
        state.excluded_until = now + state.exclusion_s
        logger.bind(
            zone=endpoint.zone,
            silent=sorted(state.silent_at),
            out_s=state.exclusion_s,
        ).warning('zone_unreachable')
