"""Helpers that lead engines could not use, from the leads' refusals.

A lead refuses a prompt if it cannot use one of its helpers, and names that
one. If a zone is dark or cut off from the lead's zone, each attempt would
exclude a single helper, and a prompt would use up its attempts within
milliseconds. So a named helper gets no parts for a while, and after two of
them neither do the other engines of its zone from leads of that zone.

The state is this entry's own and is lost with it; it only makes prefills less
parallel, and never takes away a lead.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from loguru import logger

from masticwind.serving.model import Endpoint

# Time for which a named helper or a pair of zones is not used. It doubles if a
# helper is named again soon after.
INITIAL_EXCLUSION_S: Final = 1.0
MAX_EXCLUSION_S: Final = 4.0
# A single helper may have failed by itself.
MIN_NAMED_HELPERS: Final = 2

ZonePair: TypeAlias = tuple[str, str]


@dataclass(slots=True)
class _Exclusion:
    """How long something is not used; `named` are the helpers behind it."""

    until: float = 0
    duration_s: float = 0
    named: set[str] = field(default_factory=set)

    def extend(self, now: float) -> None:
        """Begin again, for twice as long if the last time is not long ago."""
        is_repeated = now - self.until <= MAX_EXCLUSION_S
        duration_s = 2 * self.duration_s if is_repeated else 0
        self.duration_s = min(
            MAX_EXCLUSION_S, max(INITIAL_EXCLUSION_S, duration_s)
        )
        self.until = now + self.duration_s


class HelperFaults:
    """Records which helpers, and which pairs of zones, could not be used."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        self._helpers: Final[dict[str, _Exclusion]] = {}
        self._pairs: Final[dict[ZonePair, _Exclusion]] = {}

    def record_fault(self, lead: Endpoint, helper: Endpoint) -> None:
        """Record that a lead could not use a helper."""
        now = self._clock()
        self._remove_expired(now)
        excluded = self._helpers.setdefault(helper.identity, _Exclusion())
        if excluded.until <= now:
            excluded.extend(now)
        if lead.zone == helper.zone:
            return
        pair = self._pairs.setdefault((lead.zone, helper.zone), _Exclusion())
        if pair.until > now:
            return
        pair.named.add(helper.identity)
        if len(pair.named) < MIN_NAMED_HELPERS:
            return
        pair.extend(now)
        logger.bind(
            lead_zone=lead.zone,
            helper_zone=helper.zone,
            named=sorted(pair.named),
            out_s=pair.duration_s,
        ).warning('helper_zone_unusable')
        pair.named.clear()

    def record_success(
        self, lead: Endpoint, helpers: Iterable[Endpoint]
    ) -> None:
        """Record that a lead has written an event, with these helpers."""
        for helper in helpers:
            self._helpers.pop(helper.identity, None)
            pair = self._pairs.pop((lead.zone, helper.zone), None)
            if pair is not None and pair.duration_s:
                log = logger.bind(lead_zone=lead.zone, helper_zone=helper.zone)
                log.info('helper_zone_usable')

    def barred_helpers(self) -> frozenset[str]:
        """Return the helpers that get no parts at present."""
        now = self._clock()
        return frozenset(
            identity
            for identity, excluded in self._helpers.items()
            if excluded.until > now
        )

    def cut_zone_pairs(self) -> frozenset[ZonePair]:
        """Return pairs of the zones of a lead and of helpers it cannot use."""
        now = self._clock()
        return frozenset(
            pair
            for pair, excluded in self._pairs.items()
            if excluded.until > now
        )

    def _remove_expired(self, now: float) -> None:
        """Drop the helpers that would begin with the shortest time again."""
        for identity, excluded in list(self._helpers.items()):
            if now - excluded.until > MAX_EXCLUSION_S:
                self._helpers.pop(identity)
