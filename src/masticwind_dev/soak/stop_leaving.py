"""Endpoints that leave and that ask for pauses, and what they get then.

An endpoint that leaves says so in all its answers, at first while its
registration still says that it is ready. Later another process takes its
place.
"""

import random
from collections.abc import Sequence
from typing import Final, Protocol

import anyio
from anyio.abc import TaskGroup

from masticwind_dev.soak.stop_engines import EngineObserver, StopEndpoint
from masticwind_dev.soak.stop_records import Finding, StopRecords, Violation
from masticwind_dev.standins.leaving_audit import LeavingAudit, PauseAudit

LEAVING_HEADER: Final = 'Server-Leaving: 1'
LEAVE_S: Final = 2.0
MIN_PAUSE_S: Final = 0.8
MAX_PAUSE_S: Final = 4.0
MAX_INTERVAL_S: Final = 2.0
MIN_LEAVING_S: Final = 3.0
MAX_LEAVING_S: Final = 6.0
MIN_REFUSING_S: Final = 1.0
MAX_REFUSING_S: Final = 5.0
REFUSAL_SHARE: Final = 0.5


class Registry(Protocol):
    """Writes the registrations of endpoints."""

    def register(
        self, endpoint: StopEndpoint, *, leaving: bool = False
    ) -> None:
        """Write a registration."""

    def unregister(self, endpoint: StopEndpoint) -> None:
        """Delete a registration."""


class LeavingObserver(EngineObserver):
    """Lets endpoints leave and pause, and checks what reaches them."""

    def __init__(self, records: StopRecords, seed: int) -> None:
        self._records: Final = records
        self._random: Final = random.Random(f'leaving-{seed}')
        self._leaving: Final[set[str]] = set()
        self._refusing: Final[set[str]] = set()
        self._sent_at: Final[dict[str, float]] = {}
        self._seen_requests = 0
        self._leaving_audit: Final = LeavingAudit(LEAVE_S)
        self._pause_audit: Final = PauseAudit()

    async def run(
        self, endpoints: Sequence[StopEndpoint], registry: Registry
    ) -> None:
        """Let endpoints leave and pause at random times until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._sleep(0.5, MAX_INTERVAL_S)
                self._disturb(tasks, self._random.choice(endpoints), registry)

    def record_request(self, endpoint: str, request_id: str) -> None:
        """Check whether the endpoint may get this request."""
        instance = _instance_of(request_id)
        sent_at = self._find_sent_at(request_id)
        self._leaving_audit.record_request(endpoint, instance, sent_at)
        self._pause_audit.record_request(endpoint, instance)
        self._collect(Violation.SENT_TO_LEAVING, self._leaving_audit.violations)
        self._collect(Violation.SENT_IN_PAUSE, self._pause_audit.violations)

    def refuse(self, endpoint: str, request_id: str) -> Sequence[str]:
        """Ask for a pause in some of the refused requests."""
        if endpoint not in self._refusing:
            return ()
        if self._random.random() >= REFUSAL_SHARE:
            return ()
        pause_s = round(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S), 2)
        self._pause_audit.record_refusal(
            endpoint, _instance_of(request_id), pause_s
        )
        return (f'Retry-After: {pause_s}',)

    def headers(self, endpoint: str) -> Sequence[str]:
        """Say that the endpoint leaves."""
        return (LEAVING_HEADER,) if endpoint in self._leaving else ()

    def record_answer(
        self, endpoint: str, request_id: str, headers: Sequence[str]
    ) -> None:
        """Record that an entry was told that the endpoint leaves."""
        if LEAVING_HEADER in headers:
            self._leaving_audit.record_answer(
                endpoint, _instance_of(request_id)
            )

    def record_suspension(self, instance: str) -> None:
        """Excuse what a process does that was suspended."""
        self._leaving_audit.excuse(instance)
        self._pause_audit.excuse(instance)

    def _disturb(
        self, tasks: TaskGroup, endpoint: StopEndpoint, registry: Registry
    ) -> None:
        identity = endpoint.identity
        if identity in self._leaving or identity in self._refusing:
            return
        # The other endpoints of the service go on.
        service = identity.partition('-')[0]
        is_disturbed = any(
            one.startswith(service) for one in self._leaving | self._refusing
        )
        if self._random.random() < REFUSAL_SHARE:
            tasks.start_soon(self._pause, identity)
        elif not is_disturbed:
            tasks.start_soon(self._leave, endpoint, registry)

    async def _pause(self, identity: str) -> None:
        self._refusing.add(identity)
        await self._sleep(MIN_REFUSING_S, MAX_REFUSING_S)
        self._refusing.discard(identity)

    async def _leave(self, endpoint: StopEndpoint, registry: Registry) -> None:
        identity = endpoint.identity
        self._leaving.add(identity)
        await self._sleep(MIN_LEAVING_S, MAX_LEAVING_S)
        registry.register(endpoint, leaving=True)
        await self._sleep(0.5, 1.0)
        registry.unregister(endpoint)
        # No new process uses an address for some time after the last one.
        await anyio.sleep(LEAVE_S)
        endpoint.replace_process()
        registry.register(endpoint)
        self._leaving.discard(identity)

    def _find_sent_at(self, request_id: str) -> float:
        """Return when a caller began to send a request."""
        requests = self._records.requests
        for req in requests[self._seen_requests :]:
            self._sent_at[req.request_id] = req.begun_at
        self._seen_requests = len(requests)
        return self._sent_at[request_id]

    def _collect(self, kind: Violation, violations: list[str]) -> None:
        self._records.audit_findings.extend(
            Finding(kind, text) for text in violations
        )
        violations.clear()

    async def _sleep(self, min_s: float, max_s: float) -> None:
        await anyio.sleep(self._random.uniform(min_s, max_s))


def _instance_of(request_id: str) -> str:
    """Return the process of an entry to which a request was sent."""
    return request_id.rsplit('.', 2)[0]
