"""Endpoints that entries have found to be gone, and those that may be.

An engine that has just ended looks idle, since its jobs are gone, so it would
be the first choice of every entry. An endpoint whose process was replaced gets
no requests while there are others. If several endpoints of a service in one
zone are reported at about the same time, the zone has probably failed or is
being restarted. The others there are then doubtful until they give a sign of
life: they rank after the proved ones, and stay usable.
"""

import enum
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from loguru import logger

from masticwind.serving.directory import EndpointDirectory
from masticwind.serving.model import Endpoint

# The registration of a process that has ended expires within some seconds. A
# false report must not cost a sound endpoint more than this.
REPLACED_S: Final = 3.0
# Replaced processes that are remembered, so that reports are not repeated.
MAX_REPLACED: Final = 4096
# Reports of so many endpoints within this time cast doubt on the others.
MIN_REPORTED: Final = 3
REPORT_WINDOW_S: Final = 1.0
DOUBT_S: Final = 2.0

# The identity of an endpoint, and when its process started.
_Process = tuple[str, int]


class NewsKind(enum.StrEnum):
    """What an entry has found out about the process of an endpoint.

    A process was `REPLACED` if another one answers at its address, and has
    `REFUSED` a new connection if nothing listens there.
    """

    REPLACED = 'replaced'
    REFUSED = 'refused'


@dataclass(slots=True)
class _Group:
    """The endpoints of one service in one zone.

    `reported_at` has the last report of each identity within
    `REPORT_WINDOW_S`, and `alive_at` the last sign of life. The `unproved`
    processes are doubtful until `doubted_until`.
    """

    reported_at: dict[str, float] = field(default_factory=dict)
    alive_at: dict[str, float] = field(default_factory=dict)
    unproved: set[_Process] = field(default_factory=set)
    doubted_until: float = -math.inf


class ReportedEndpoints:
    """Records reports and signs of life of endpoints."""

    def __init__(
        self,
        directory: EndpointDirectory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock: Final = clock
        self.directory: Final = directory
        # When the exclusion of each replaced process ends or has ended.
        self._replaced_until: Final[dict[_Process, float]] = {}
        self._groups: Final[dict[tuple[str, str], _Group]] = {}

    def record_report(self, endpoint: Endpoint, kind: NewsKind) -> bool:
        """Record a report of an endpoint's process; tell whether it is new."""
        now = self.clock()
        self._remove_expired(now)
        process = _process(endpoint)
        is_new = False
        if kind is NewsKind.REPLACED and process not in self._replaced_until:
            # Repeated reports don't extend the exclusion.
            self._replaced_until[process] = now + REPLACED_S
            if len(self._replaced_until) > MAX_REPLACED:
                self._replaced_until.pop(next(iter(self._replaced_until)))
            is_new = True
        group = self._groups.setdefault(_group_key(endpoint), _Group())
        if endpoint.identity not in group.reported_at:
            is_new = True
        group.reported_at[endpoint.identity] = now
        if len(group.reported_at) >= MIN_REPORTED:
            self._doubt(group, endpoint, now)
        return is_new

    def record_liveness(self, identity: str) -> None:
        """Record that any entry has had an answer or an event of an endpoint.

        It proves the endpoint unless it is reported again.
        """
        if not self._groups:
            return
        now = self.clock()
        self._remove_expired(now)
        endpoint = self.directory.find(identity)
        if endpoint is None:
            return
        group = self._groups.get(_group_key(endpoint))
        if group is None:
            return
        group.alive_at[identity] = now
        process = _process(endpoint)
        if process in group.unproved:
            group.unproved.discard(process)
            logger.bind(
                endpoint=identity,
                zone=endpoint.zone,
                doubtful=len(group.unproved),
            ).info('endpoint_proved')

    def record_success(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has served a request of this entry."""
        process = _process(endpoint)
        if self._replaced_until.get(process, 0) > self.clock():
            self._replaced_until[process] = 0
            logger.bind(endpoint=endpoint.identity, zone=endpoint.zone).info(
                'endpoint_proved'
            )
        self.record_liveness(endpoint.identity)

    def is_replaced(self, endpoint: Endpoint) -> bool:
        """Tell whether the process of an endpoint is reported as replaced."""
        until = self._replaced_until.get(_process(endpoint))
        return until is not None and until > self.clock()

    def is_doubtful(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint may have ended with others of its zone."""
        group = self._groups.get(_group_key(endpoint))
        return (
            group is not None
            and _process(endpoint) in group.unproved
            and group.doubted_until > self.clock()
        )

    def doubtful_count(self) -> int:
        """Return the number of doubtful endpoints."""
        now = self.clock()
        return sum(
            len(group.unproved)
            for group in self._groups.values()
            if group.doubted_until > now
        )

    def forget(self, endpoint: Endpoint) -> None:
        """Drop the reports of an endpoint that has been removed."""
        self._replaced_until.pop(_process(endpoint), None)

    def _doubt(self, group: _Group, reported: Endpoint, now: float) -> None:
        """Doubt the endpoints without a sign of life since the first report.

        While the doubt goes on, it holds for no further ones that are not
        reported themselves. A process that registers then is alive.
        """
        if group.doubted_until <= now:
            since = min(group.reported_at.values())
            group.unproved = {
                _process(endpoint)
                for endpoint in self.directory.endpoints(reported.service)
                if endpoint.zone == reported.zone
                and group.alive_at.get(endpoint.identity, -math.inf) < since
            }
        else:
            group.unproved.add(_process(reported))
        group.doubted_until = now + DOUBT_S

    def _remove_expired(self, now: float) -> None:
        for key, group in list(self._groups.items()):
            for identity, at in list(group.reported_at.items()):
                if now - at > REPORT_WINDOW_S:
                    group.reported_at.pop(identity)
            if not group.reported_at and group.doubted_until <= now:
                self._groups.pop(key)


def _process(endpoint: Endpoint) -> _Process:
    return endpoint.identity, endpoint.started_at_ms


def _group_key(endpoint: Endpoint) -> tuple[str, str]:
    return endpoint.service, endpoint.zone
