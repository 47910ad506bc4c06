"""Random, overlapping faults of a soak."""

import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from masticwind_dev.faults.proxy import Faults, TcpProxy
from masticwind_dev.soak.environment import (
    EndpointFaults,
    SoakEnvironment,
    StandinEndpoint,
)

Fault = Callable[[], Coroutine[Any, Any, None]]

MAX_FAULT_S: Final = 1.5
MAX_FAULT_INTERVAL_S: Final = 0.6
MAX_RESTORE_S: Final = 0.8
LIMITS_PER_S: Final = (0.2, 1, 3)
MIN_LIMIT_S: Final = 5.0
MAX_LIMIT_S: Final = 10.0
# Longer than the 5 s for which a removed API key may still be accepted.
ISOLATION_S: Final = 7.0
ISOLATION_FAULTS: Final = (
    Faults(refuse=True),
    Faults(silent=True),
    Faults(drop_down=True),
)
LINK_FAULTS: Final = (
    Faults(delay_ms=30, jitter_ms=60),
    Faults(silent=True),
    Faults(silent_up=True),
    Faults(silent_down=True),
    Faults(silent_old=True),
    Faults(drop_down=True),
    Faults(refuse=True),
)


class FaultInjector:
    """Starts random faults, which may overlap."""

    def __init__(self, environment: SoakEnvironment, seed: int) -> None:
        self._environment: Final = environment
        self._random: Final = random.Random(f'faults-{seed}')
        self.started_faults: Final[list[str]] = []

    async def run(self, tasks: TaskGroup) -> None:
        """Start faults at random intervals until cancelled."""
        faults: tuple[Fault, ...] = (
            self._signal_entry,
            self._pause_entry,
            self._fault_endpoint_link,
            self._fault_store_link,
            self._isolate_entry_from_store,
            self._reset_links,
            self._fail_answers,
            self._fail_store,
            self._drain_and_restore_endpoint,
            self._write_next_config,
            self._limit_endpoint,
            self._restore_store,
        )
        while True:
            fault = self._random.choice(faults)
            self.started_faults.append(str(fault))
            tasks.start_soon(fault)
            await anyio.sleep(self._random.uniform(0.05, MAX_FAULT_INTERVAL_S))

    async def heal_all(self) -> None:
        """End all faults and restore all registrations."""
        environment = self._environment
        environment.store.switches.outage = False
        environment.store.switches.silent = False
        environment.write_again()
        for endpoint in environment.endpoints:
            endpoint.faults = EndpointFaults()
            endpoint.limit(None)
            _proxy_of(endpoint).inject(Faults())
            environment.register(endpoint)
        for entry in environment.entries:
            entry.store_proxy.inject(Faults())
            entry.signal(signal.SIGCONT)

    async def _limit_endpoint(self) -> None:
        """Let an endpoint limit its requests, one at a time."""
        endpoint = self._random_endpoint()
        limit_per_s = self._random.choice(LIMITS_PER_S)
        duration_s = self._random.uniform(MIN_LIMIT_S, MAX_LIMIT_S)
        endpoints = self._environment.endpoints
        if any(one.limit_per_s is not None for one in endpoints):
            return
        endpoint.limit(limit_per_s)
        await anyio.sleep(duration_s)
        endpoint.limit(None)

    def _random_duration_s(self) -> float:
        return self._random.uniform(0.05, MAX_FAULT_S)

    def _random_endpoint(self) -> StandinEndpoint:
        return self._random.choice(self._environment.endpoints)

    async def _signal_entry(self) -> None:
        signum = self._random.choice(
            (signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)
        )
        self._random.choice(self._environment.entries).signal(signum)

    async def _pause_entry(self) -> None:
        entry = self._random.choice(self._environment.entries)
        entry.signal(signal.SIGSTOP)
        await anyio.sleep(self._random_duration_s())
        entry.signal(signal.SIGCONT)

    async def _fault_endpoint_link(self) -> None:
        endpoint = self._random_endpoint()
        await self._inject_link_fault(_proxy_of(endpoint))
        # Requests that the link has held up arrive together.
        self._environment.limits.excuse_all(endpoint.name)

    async def _fault_store_link(self) -> None:
        entry = self._random.choice(self._environment.entries)
        await self._inject_link_fault(entry.store_proxy)

    async def _isolate_entry_from_store(self) -> None:
        """Cut off an entry from the store.

        Another fault of the same link may end it earlier.
        """
        entry = self._random.choice(self._environment.entries)
        entry.store_proxy.inject(self._random.choice(ISOLATION_FAULTS))
        await anyio.sleep(ISOLATION_S)
        entry.store_proxy.inject(Faults())

    async def _inject_link_fault(self, proxy: TcpProxy) -> None:
        proxy.inject(self._random.choice(LINK_FAULTS))
        await anyio.sleep(self._random_duration_s())
        proxy.inject(Faults())

    async def _reset_links(self) -> None:
        _proxy_of(self._random_endpoint()).reset_all()

    async def _fail_answers(self) -> None:
        endpoint = self._random_endpoint()
        endpoint.faults = EndpointFaults(
            truncation_share=self._random.choice((0, 0.3, 1)),
            refusal_share=self._random.choice((0, 0.3, 1)),
        )
        await anyio.sleep(self._random_duration_s())
        endpoint.faults = EndpointFaults()

    async def _fail_store(self) -> None:
        store = self._environment.store
        store_fault = self._random.choice(
            ('outage', 'silent', 'compact', 'leases')
        )
        if store_fault == 'compact':
            store.compact()
        elif store_fault == 'leases':
            store.end_leases()
        else:
            setattr(store.switches, store_fault, True)
            await anyio.sleep(self._random_duration_s())
            setattr(store.switches, store_fault, False)

    async def _restore_store(self) -> None:
        """Restore the store from an older copy, with or without an outage.

        What it has lost is written again some time later.
        """
        environment = self._environment
        switches = environment.store.switches
        outage_s = self._random.choice((0, MAX_RESTORE_S))
        switches.outage = switches.outage or bool(outage_s)
        environment.store.restore(self._random.choice(environment.store_copies))
        if self._random.random() < 1 / 2:
            # The new era passes the revisions of the one before.
            environment.write_again()
        await anyio.sleep(outage_s)
        switches.outage = False
        await anyio.sleep(self._random.uniform(0, MAX_RESTORE_S))
        environment.write_again()

    async def _drain_and_restore_endpoint(self) -> None:
        endpoint = self._random_endpoint()
        self._environment.register(endpoint, leaving=True)
        await anyio.sleep(self._random_duration_s())
        self._environment.register(endpoint)

    async def _write_next_config(self) -> None:
        self._environment.write_next_config()


def _proxy_of(endpoint: StandinEndpoint) -> TcpProxy:
    assert endpoint.proxy is not None
    return endpoint.proxy
