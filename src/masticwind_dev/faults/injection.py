"""Brings one fault about in a fleet, and ends it again."""

import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Final

import anyio

from masticwind.config.model import (
    CallRule,
    Configuration,
    Model,
    PlainService,
    Team,
    Tier,
    Zone,
)
from masticwind.config.parts import Head
from masticwind.config.store import ConfigStore
from masticwind.errors import ErrorKind, Failure
from masticwind_dev.faults.fleet import ProcessFleet
from masticwind_dev.faults.processes import Process, fetch_json, set_switches
from masticwind_dev.faults.proxy import Faults, TcpProxy

PROCESSES: Final = ('entry', 'agent', 'engine', 'service')
LOST_ANSWERS: Final = 3
# Lets bytes that are under way arrive before a service's record is read.
QUIET_S: Final = 0.05
DELAY_MS: Final = 200
SLOW_KV_MS: Final = 800
HEAL_TRIES: Final = 20
HEAL_PAUSE_S: Final = 0.5

Act = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Victims:
    """What the faults of a cell strike; `engine` can be a plain service."""

    entry: str
    engine: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One order that a plain service has executed."""

    service: str
    key: str
    at_s: float


class Injector:
    """Injects the faults of one cell into a fleet."""

    def __init__(
        self,
        fleet: ProcessFleet,
        store: ConfigStore,
        config: Configuration,
        victims: Victims,
    ) -> None:
        self.executed: Final[set[str]] = set()
        self.problems: Final[list[str]] = []
        self.out_at = 0.0
        self.back_at = 0.0
        self._runs: Final[dict[tuple[int, int], Execution]] = {}
        self._fleet: Final = fleet
        self._store: Final = store
        self._config: Final = config
        self._victims: Final = victims
        self._starts: Final = self._start_acts()
        self._heals: Final = self._heal_acts()

    async def start(self, name: str) -> None:
        """Bring a fault about."""
        await self._starts[name]()

    async def heal(self, name: str) -> None:
        """End a fault; what was killed is started again."""
        await self._heals[name]()

    async def apply_again(self, mark: str = '') -> int:
        """Put the plain configuration in force; return its generation.

        A `mark` makes it differ from what is in force, since the store
        writes nothing for an equal configuration.
        """
        for _ in range(HEAL_TRIES):
            number = await self.apply(self._marked(mark))
            if number:
                return number
            await anyio.sleep(HEAL_PAUSE_S)
        self.problems.append('no configuration could be applied')
        return 0

    async def apply(self, config: Configuration) -> int:
        """Apply after the present generation; zero if that failed."""
        stored = await self._store.read_head()
        if isinstance(stored, Failure):
            return 0
        number = 0 if stored.head is None else stored.head.number
        applied = await self._store.apply(config, number, 'matrix')
        return 0 if isinstance(applied, Failure) else applied.number

    @property
    def runs(self) -> tuple[Execution, ...]:
        """What the plain services have executed, as far as collected."""
        return tuple(self._runs.values())

    async def collect(self) -> None:
        """Note what the endpoints have executed."""
        for name, service in self._fleet.services.items():
            await self._collect_runs(name, service)
        for engine in self._fleet.engines.values():
            await self._collect_from(engine)

    async def _collect_from(self, engine: Process) -> None:
        state = await fetch_json(engine, '/state')
        self.executed.update(state['executed'])

    async def _collect_runs(self, name: str, service: Process) -> None:
        for number, run in enumerate(await fetch_json(service, '/executions')):
            self._runs[service.popen.pid, number] = Execution(
                service=name,
                key=run['order'],
                at_s=run['at_s'],
            )

    def _start_acts(self) -> dict[str, Act]:
        return {
            **{f'kill-{one}': partial(self._kill, one) for one in PROCESSES},
            **{f'stop-{one}': partial(self._stop, one) for one in PROCESSES},
            'silent': partial(self._disturb, silent_old=True),
            'reset': self._reset,
            'delay': partial(self._disturb, delay_ms=DELAY_MS),
            'lost-response': partial(self._disturb, drop_down=True),
            'kv-outage': partial(self._key_value, outage=True),
            'kv-slow': partial(self._key_value, delay_ms=SLOW_KV_MS),
            'kv-lost-write': partial(self._key_value, lose_responses=1),
            'lost-answer': partial(self._service, LOST_ANSWERS),
            'cold': self._turn_cold,
            'zone-out': self._zone_out,
            'race': self._race,
        }

    def _heal_acts(self) -> dict[str, Act]:
        links = ('silent', 'reset', 'delay', 'lost-response')
        return {
            **{f'kill-{one}': partial(self._restart, one) for one in PROCESSES},
            **{f'stop-{one}': partial(self._resume, one) for one in PROCESSES},
            **dict.fromkeys(links, self._heal_link),
            'kv-outage': partial(self._key_value, outage=False),
            'kv-slow': partial(self._key_value, delay_ms=0),
            'kv-lost-write': partial(self._key_value, lose_responses=0),
            'lost-answer': partial(self._service, 0),
            'cold': self._warm,
            'zone-out': self._zone_back,
            'race': self._zone_back,
        }

    @property
    def _proxy(self) -> TcpProxy:
        return self._fleet.proxies[f'agent-{self._victims.engine}']

    def _process(self, target: str) -> Process:
        if target == 'entry':
            return self._fleet.entries[self._victims.entry]
        if target == 'agent':
            return self._fleet.agents[self._victims.engine]
        if target == 'service':
            return self._fleet.services[self._victims.engine]
        return self._fleet.engines[self._victims.engine]

    async def _kill(self, target: str) -> None:
        process = self._process(target)
        if target == 'engine':
            process.signal(signal.SIGCONT)
            await self._collect_from(process)
        elif target == 'service':
            await self._quiesce(process)
        process.kill()

    async def _quiesce(self, service: Process) -> None:
        """Read the record of a service that gets no more calls."""
        name = self._victims.engine
        proxy = self._fleet.proxies[name]
        proxy.inject(Faults(silent_up=True))
        await anyio.sleep(QUIET_S)
        await self._collect_runs(name, service)

    async def _service(self, lose_responses: int) -> None:
        await set_switches(
            self._process('service'), lose_responses=lose_responses
        )

    async def _restart(self, target: str) -> None:
        name = self._victims.engine
        if target == 'entry':
            entry = self._victims.entry
            await self._fleet.start_entry(entry, self._fleet.zone_of[name])
        elif target == 'agent':
            await self._fleet.start_agent(name, self._fleet.zone_of[name])
        elif target == 'service':
            await self._fleet.start_service(name)
            self._fleet.proxies[name].reset_all()
            self._fleet.proxies[name].inject(Faults())
        else:
            await self._fleet.start_engine(name)

    async def _stop(self, target: str) -> None:
        self._process(target).signal(signal.SIGSTOP)

    async def _resume(self, target: str) -> None:
        self._process(target).signal(signal.SIGCONT)

    async def _reset(self) -> None:
        self._proxy.reset_all()

    async def _disturb(self, **faults: Any) -> None:
        self._proxy.inject(replace(self._proxy.faults, **faults))

    async def _heal_link(self) -> None:
        self._proxy.inject(Faults())

    async def _warm(self) -> None:
        # A cold start ends by served requests; the next cell starts warm.
        process = self._process('engine')
        if process.popen.poll() is None:
            process.signal(signal.SIGCONT)
            state = await fetch_json(process, '/state')
            over = state['offers_over_capacity']
            if over:
                self.problems.append(f'{over} offers over cold capacity')
        await self._kill('engine')
        await self._restart('engine')

    async def _zone_back(self) -> None:
        self.back_at = time.monotonic()
        await self.apply_again()

    async def _key_value(self, **switches: object) -> None:
        await set_switches(self._fleet.key_value, switches=switches)

    async def _turn_cold(self) -> None:
        process = self._process('engine')
        if process.popen.poll() is None:
            with anyio.move_on_after(1):
                await set_switches(process, turn_cold=True)

    async def _zone_out(self) -> None:
        zone = self._fleet.zone_of[self._victims.engine]
        zones = dict(self._config.zones)
        zones[zone] = replace(zones[zone], in_service=False)
        if await self.apply(replace(self._config, zones=zones)):
            self.out_at = time.monotonic()

    async def _race(self) -> None:
        stored = await self._store.read_head()
        if isinstance(stored, Failure) or stored.head is None:
            return
        number = stored.head.number
        outcomes: list[Head | Failure] = []
        async with anyio.create_task_group() as tasks:
            for operator in ('first', 'second', 'third'):
                tasks.start_soon(self._compete, operator, number, outcomes)
        won = sum(not isinstance(one, Failure) for one in outcomes)
        unsure = any(
            isinstance(one, Failure) and one.kind != ErrorKind.CONFLICT
            for one in outcomes
        )
        if won > 1 or (not won and not unsure):
            self.problems.append(f'{won} of 3 racing operators won')

    async def _compete(
        self,
        operator: str,
        number: int,
        outcomes: list[Head | Failure],
    ) -> None:
        # Equal configurations do not compete: each apply would succeed.
        outcomes.append(
            await self._store.apply(self._marked(operator), number, operator),
        )

    def _marked(self, mark: str) -> Configuration:
        if not mark:
            return self._config
        teams = {**self._config.teams, f'mark-{mark}': Team(tier='paid')}
        return replace(self._config, teams=teams)


def matrix_config(zones: tuple[str, ...], digest: str) -> Configuration:
    """Return the configuration of the fleets of the matrix."""
    return Configuration(
        zones={name: Zone(region='north') for name in zones},
        tiers={'paid': Tier(kind='paid')},
        teams={'callers': Team(tier='paid', token_digests=(digest,))},
        models={'standard': Model()},
        services={
            'orders': PlainService(
                calls=(
                    CallRule(method='POST', path='/orders', repeatable=False),
                    CallRule(method='GET', path='/cases/*'),
                ),
            ),
        },
    )
