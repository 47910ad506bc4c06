"""Silences of endpoints, pauses of entries, and faults beside them."""

import random
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Final, Protocol

import anyio

from masticwind.budget import MS_PER_S
from masticwind_dev.faults.proxy import Faults
from masticwind_dev.soak.environment import (
    SHUTDOWN_MS,
    EndpointFaults,
    EntryProcess,
)
from masticwind_dev.soak.silent_engines import SilentEndpoint
from masticwind_dev.soak.silent_records import SilentRecords
from masticwind_dev.standins.metadata import MetadataStandin

SILENCE_S: Final = (0.5, 2.0)
SILENCE_INTERVAL_S: Final = (0.05, 0.6)
PAUSE_INTERVAL_S: Final = (0.5, 3.0)
VERSION_INTERVAL_S: Final = (0.1, 1.5)
FAULT_INTERVAL_S: Final = (0.5, 4.0)
FAULT_S: Final = (0.05, 1.5)
# A process is gone so long after SIGTERM.
STOP_S: Final = SHUTDOWN_MS / MS_PER_S + 1
POLL_INTERVAL_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class FaultTargets:
    """The parts of a run that faults act on."""

    records: SilentRecords
    store: MetadataStandin
    endpoints: Sequence[SilentEndpoint]
    entries: Sequence[EntryProcess]


class ConfigWriter(Protocol):
    """Writes to the store as operators and endpoints do."""

    def register(
        self, endpoint: SilentEndpoint, *, leaving: bool = False
    ) -> None:
        """Write the registration of an endpoint."""

    def write_next_config(self) -> None:
        """Write the next version of the configuration."""


class SilenceInjector:
    """Lets endpoints fall silent, pauses entries, and writes versions."""

    def __init__(
        self, targets: FaultTargets, writer: ConfigWriter, seed: int
    ) -> None:
        self._targets: Final = targets
        self._writer: Final = writer
        self._random: Final = random.Random(f'silences-{seed}')
        self._pause_random: Final = random.Random(f'pauses-{seed}')
        self._version_random: Final = random.Random(f'versions-{seed}')

    async def run(self) -> None:
        """Begin silences at random intervals until cancelled."""
        silences: tuple[Callable[[], Sequence[SilentEndpoint]], ...] = (
            self._one_endpoint,
            self._one_endpoint,
            self._several_endpoints,
            self._all_of_a_service,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_versions)
            while True:
                endpoints = self._random.choice(silences)()
                for endpoint in endpoints:
                    endpoint.fall_silent(self._random.uniform(*SILENCE_S))
                await anyio.sleep(self._random.uniform(*SILENCE_INTERVAL_S))

    async def pause_entries(self) -> None:
        """Pause entries, one or all, at random times until cancelled."""
        while True:
            await anyio.sleep(self._pause_random.uniform(*PAUSE_INTERVAL_S))
            entries = list(self._targets.entries)
            if self._pause_random.random() < 1 / 2:
                entries = [self._pause_random.choice(entries)]
            async with anyio.create_task_group() as tasks:
                for entry in entries:
                    duration_s = self._pause_random.uniform(*SILENCE_S)
                    tasks.start_soon(self._pause, entry, duration_s)

    async def _write_versions(self) -> None:
        while True:
            self._writer.write_next_config()
            await anyio.sleep(self._version_random.uniform(*VERSION_INTERVAL_S))

    def _one_endpoint(self) -> Sequence[SilentEndpoint]:
        return (self._random.choice(self._targets.endpoints),)

    def _several_endpoints(self) -> Sequence[SilentEndpoint]:
        endpoints = self._targets.endpoints
        return self._random.sample(
            endpoints, self._random.randint(2, len(endpoints))
        )

    def _all_of_a_service(self) -> Sequence[SilentEndpoint]:
        service = self._one_endpoint()[0].service
        return [
            endpoint
            for endpoint in self._targets.endpoints
            if endpoint.service == service
        ]

    async def _pause(self, entry: EntryProcess, duration_s: float) -> None:
        with self._targets.records.pauses.during(entry.name):
            entry.signal(signal.SIGSTOP)
            try:
                await anyio.sleep(duration_s)
            finally:
                entry.signal(signal.SIGCONT)


class OtherFaultInjector:
    """Stops and kills entries, cuts links, lets endpoints fail and leave.

    Faults that may end a request are recorded by entry or by service. Those
    of the store, SIGHUP, and endpoints that leave end no request.
    """

    def __init__(
        self, targets: FaultTargets, writer: ConfigWriter, seed: int
    ) -> None:
        self._targets: Final = targets
        self._writer: Final = writer
        self._random: Final = random.Random(f'others-{seed}')
        self._log: Final = targets.records.faults

    async def run(self) -> None:
        """Begin faults at random intervals until cancelled."""
        faults: tuple[Callable[[], Coroutine[Any, Any, None]], ...] = (
            self._kill_entry,
            self._stop_entry,
            self._reload_entry,
            self._cut_link,
            self._silence_link,
            self._fail_answers,
            self._drain_endpoint,
            self._fail_store,
        )
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._random.uniform(*FAULT_INTERVAL_S))
                tasks.start_soon(self._random.choice(faults))

    def _entry(self) -> EntryProcess:
        return self._random.choice(self._targets.entries)

    def _endpoint(self) -> SilentEndpoint:
        return self._random.choice(self._targets.endpoints)

    def _duration_s(self) -> float:
        return self._random.uniform(*FAULT_S)

    async def _kill_entry(self) -> None:
        await self._end_entry(self._entry(), signal.SIGKILL)

    async def _stop_entry(self) -> None:
        await self._end_entry(self._entry(), signal.SIGTERM)

    async def _end_entry(self, entry: EntryProcess, signum: int) -> None:
        count = entry.start_count
        killed_at = time.monotonic() + STOP_S
        with self._log.during(entry.name):
            entry.signal(signum)
            while entry.start_count == count and time.monotonic() < killed_at:
                await anyio.sleep(POLL_INTERVAL_S)

    async def _reload_entry(self) -> None:
        self._entry().signal(signal.SIGHUP)

    async def _cut_link(self) -> None:
        endpoint = self._endpoint()
        with self._log.during(endpoint.service):
            endpoint.proxy.reset_all()

    async def _silence_link(self) -> None:
        endpoint = self._endpoint()
        duration_s = self._duration_s()
        with self._log.during(endpoint.service):
            endpoint.proxy.inject(Faults(silent=True))
            try:
                await anyio.sleep(duration_s)
            finally:
                endpoint.proxy.inject(Faults())
                # These connections have lost bytes.
                endpoint.proxy.reset_all()

    async def _fail_answers(self) -> None:
        endpoint = self._endpoint()
        shares = (0, 0.3, 1)
        faults = EndpointFaults(
            truncation_share=self._random.choice(shares),
            refusal_share=self._random.choice(shares),
        )
        duration_s = self._duration_s()
        with self._log.during(endpoint.service):
            endpoint.faults = faults
            try:
                await anyio.sleep(duration_s)
            finally:
                endpoint.faults = EndpointFaults()

    async def _drain_endpoint(self) -> None:
        endpoint = self._endpoint()
        duration_s = self._duration_s()
        self._writer.register(endpoint, leaving=True)
        try:
            await anyio.sleep(duration_s)
        finally:
            self._writer.register(endpoint)

    async def _fail_store(self) -> None:
        switches = self._targets.store.switches
        switch = self._random.choice(('outage', 'silent'))
        duration_s = self._duration_s()
        setattr(switches, switch, True)
        try:
            await anyio.sleep(duration_s)
        finally:
            setattr(switches, switch, False)
