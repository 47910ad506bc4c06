"""Random faults of a soak; they come in series and overlap."""

import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from masticwind_dev.faults.proxy import Faults, TcpProxy
from masticwind_dev.soak.world import Endpoint, Mood, World

Fault = Callable[[], Coroutine[Any, Any, None]]

LONGEST_FAULT_S: Final = 1.5
LONGEST_PAUSE_S: Final = 0.6
# Longer than a removed key may be accepted.
LONG_FAULT_S: Final = 7.0
LOST: Final = (
    Faults(refuse=True),
    Faults(silent=True),
    Faults(drop_down=True),
)
LINKS: Final = (
    Faults(delay_ms=30, jitter_ms=60),
    Faults(silent=True),
    Faults(silent_up=True),
    Faults(silent_down=True),
    Faults(silent_old=True),
    Faults(drop_down=True),
    Faults(refuse=True),
)


class Disturber:
    """Brings about one fault after the other, several at a time."""

    def __init__(self, world: World, seed: int) -> None:
        self._world: Final = world
        self._random: Final = random.Random(f'faults-{seed}')
        self.log: Final[list[str]] = []

    async def run(self, tasks: TaskGroup) -> None:
        """Start faults until cancelled."""
        faults: tuple[Fault, ...] = (
            self._signal_entry,
            self._pause_entry,
            self._disturb_endpoint_link,
            self._disturb_store_link,
            self._turn_away_entry,
            self._reset_links,
            self._change_mood,
            self._store_trouble,
            self._leave_and_return,
            self._configure,
        )
        while True:
            fault = self._random.choice(faults)
            self.log.append(str(fault))
            tasks.start_soon(fault)
            await anyio.sleep(self._random.uniform(0.05, LONGEST_PAUSE_S))

    async def calm(self) -> None:
        """End all faults."""
        world = self._world
        world.store.switches.outage = False
        world.store.switches.silent = False
        for endpoint in world.endpoints:
            endpoint.mood = Mood()
            _proxy_of(endpoint).inject(Faults())
            world.register(endpoint)
        for entry in world.entries:
            entry.store_proxy.inject(Faults())
            entry.signal(signal.SIGCONT)

    def _some_time(self) -> float:
        return self._random.uniform(0.05, LONGEST_FAULT_S)

    def _endpoint(self) -> Endpoint:
        return self._random.choice(self._world.endpoints)

    async def _signal_entry(self) -> None:
        signum = self._random.choice(
            (signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)
        )
        self._random.choice(self._world.entries).signal(signum)

    async def _pause_entry(self) -> None:
        entry = self._random.choice(self._world.entries)
        entry.signal(signal.SIGSTOP)
        await anyio.sleep(self._some_time())
        entry.signal(signal.SIGCONT)

    async def _disturb_endpoint_link(self) -> None:
        await self._disturb(_proxy_of(self._endpoint()))

    async def _disturb_store_link(self) -> None:
        entry = self._random.choice(self._world.entries)
        await self._disturb(entry.store_proxy)

    async def _turn_away_entry(self) -> None:
        """Keep one entry from the store, until another fault of its link."""
        entry = self._random.choice(self._world.entries)
        entry.store_proxy.inject(self._random.choice(LOST))
        await anyio.sleep(LONG_FAULT_S)
        entry.store_proxy.inject(Faults())

    async def _disturb(self, proxy: TcpProxy) -> None:
        proxy.inject(self._random.choice(LINKS))
        await anyio.sleep(self._some_time())
        proxy.inject(Faults())

    async def _reset_links(self) -> None:
        _proxy_of(self._endpoint()).reset_all()

    async def _change_mood(self) -> None:
        endpoint = self._endpoint()
        endpoint.mood = Mood(
            spoil=self._random.choice((0, 0.3, 1)),
            refuse=self._random.choice((0, 0.3, 1)),
        )
        await anyio.sleep(self._some_time())
        endpoint.mood = Mood()

    async def _store_trouble(self) -> None:
        store = self._world.store
        trouble = self._random.choice(('outage', 'silent', 'compact', 'leases'))
        if trouble == 'compact':
            store.compact()
        elif trouble == 'leases':
            store.end_leases()
        else:
            setattr(store.switches, trouble, True)
            await anyio.sleep(self._some_time())
            setattr(store.switches, trouble, False)

    async def _leave_and_return(self) -> None:
        endpoint = self._endpoint()
        self._world.register(endpoint, leaving=True)
        await anyio.sleep(self._some_time())
        self._world.register(endpoint)

    async def _configure(self) -> None:
        self._world.configure()


def _proxy_of(endpoint: Endpoint) -> TcpProxy:
    assert endpoint.proxy is not None
    return endpoint.proxy
