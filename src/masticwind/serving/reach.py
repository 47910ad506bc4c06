"""Which availability zones this entry cannot reach at present.

A cut between zones, or a zone without power, shows as silence of all its
endpoints. Trying them one after the other costs a time-out for each request
and endpoint, which matters most under high load, when callers have no time
left. So silence of several endpoints of a zone, without a sign from any
other one there in between, takes the whole zone out for a while. When the
time is over, one request tries the zone, and the others wait for its result.
Each failed trial doubles the time; any sign of the zone ends it.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from loguru import logger

from masticwind.serving.model import Endpoint

# One silent endpoint can have failed alone.
MIN_SILENT_ENDPOINTS: Final = 2
# Silences further apart than this have different causes.
SILENCE_WINDOW_S: Final = 2.0
INITIAL_EXCLUSION_S: Final = 0.5
MAX_EXCLUSION_S: Final = 4.0
# An attempt that hears nothing is given up within this time where another
# endpoint can be asked.
TRIAL_TIMEOUT_S: Final = 1.3


@dataclass(slots=True)
class _Zone:
    """Times of the last silences by endpoint since the last sign."""

    silent: dict[str, float] = field(default_factory=dict)
    out_s: float = 0
    out_until: float = 0
    tried: bool = False


class ZoneReachability:
    """Silences by availability zone."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        self._zones: Final[dict[str, _Zone]] = {}

    def is_excluded(self, zone: str) -> bool:
        """Tell whether a zone is left out for now."""
        known = self._zones.get(zone)
        return known is not None and known.out_until > self._clock()

    def record_attempt(self, endpoint: Endpoint) -> None:
        """Note that a request goes to an endpoint now."""
        known = self._zones.get(endpoint.zone)
        if known is None or not known.out_s:
            return
        if known.out_until <= self._clock():
            known.tried = True
            known.out_until = self._clock() + TRIAL_TIMEOUT_S

    def record_answer(self, endpoint: Endpoint) -> None:
        """Note any sign of an endpoint, also a refusal."""
        known = self._zones.pop(endpoint.zone, None)
        if known is not None and known.out_s:
            logger.bind(zone=endpoint.zone).info('zone_reached')

    def record_silence(self, endpoint: Endpoint) -> None:
        """Note that an endpoint gave no sign within its time."""
        now = self._clock()
        known = self._zones.setdefault(endpoint.zone, _Zone())
        known.silent[endpoint.identity] = now
        for identity, at in list(known.silent.items()):
            if now - at > SILENCE_WINDOW_S + known.out_s:
                known.silent.pop(identity)
        if known.out_until > now and not known.tried:
            return
        if not known.tried and len(known.silent) < MIN_SILENT_ENDPOINTS:
            return
        known.tried = False
        known.out_s = min(
            MAX_EXCLUSION_S, 2 * known.out_s or INITIAL_EXCLUSION_S
        )
        known.out_until = now + known.out_s
        logger.bind(
            zone=endpoint.zone,
            silent=sorted(known.silent),
            out_s=known.out_s,
        ).warning('zone_unreachable')
