"""Injects the faults of a cell into a fleet and heals them."""

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

PROCESS_KINDS: Final = ('entry', 'agent', 'engine', 'service')
LOST_RESPONSES: Final = 3
# Time for bytes in flight to arrive before the executions of a service are
# read.
QUIESCE_S: Final = 0.05
LINK_DELAY_MS: Final = 200
SLOW_KEY_VALUE_DELAY_MS: Final = 800
MAX_APPLY_ATTEMPTS: Final = 20
APPLY_RETRY_INTERVAL_S: Final = 0.5

Action = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultTargets:
    """Entry and endpoint (engine or plain service) that faults affect."""

    entry: str
    endpoint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """An order that a plain service has executed."""

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
        targets: FaultTargets,
    ) -> None:
        self.executed_requests: Final[set[str]] = set()
        self.problems: Final[list[str]] = []
        self.zone_out_at = 0.0
        self.zone_back_at = 0.0
        self._executions: Final[dict[tuple[int, int], Execution]] = {}
        self._fleet: Final = fleet
        self._store: Final = store
        self._config: Final = config
        self._targets: Final = targets
        self._inject_actions: Final = self._create_inject_actions()
        self._heal_actions: Final = self._create_heal_actions()

    async def inject(self, name: str) -> None:
        """Inject a fault by name."""
        await self._inject_actions[name]()

    async def heal(self, name: str) -> None:
        """End a fault; a killed process is restarted."""
        await self._heal_actions[name]()

    async def apply_base_config(self, marker: str = '') -> int:
        """Apply the original configuration and return its generation.

        A `marker` adds a team, so that the configuration differs from the
        current one; the store writes nothing for an equal configuration.
        """
        for _ in range(MAX_APPLY_ATTEMPTS):
            number = await self.apply(self._config_with_marker(marker))
            if number:
                return number
            await anyio.sleep(APPLY_RETRY_INTERVAL_S)
        self.problems.append('no configuration could be applied')
        return 0

    async def apply(self, config: Configuration) -> int:
        """Apply after the current generation; return 0 if that failed."""
        current = await self._store.read_head()
        if isinstance(current, Failure):
            return 0
        number = 0 if current.head is None else current.head.number
        applied = await self._store.apply(config, number, 'matrix')
        return 0 if isinstance(applied, Failure) else applied.number

    @property
    def executions(self) -> tuple[Execution, ...]:
        """Orders executed by the plain services, as of the last collection."""
        return tuple(self._executions.values())

    async def collect_executions(self) -> None:
        """Read from all endpoints what they have executed."""
        for name, service in self._fleet.services.items():
            await self._collect_service_executions(name, service)
        for engine in self._fleet.engines.values():
            await self._collect_engine_requests(engine)

    async def _collect_engine_requests(self, engine: Process) -> None:
        state = await fetch_json(engine, '/state')
        self.executed_requests.update(state['executed'])

    async def _collect_service_executions(
        self, name: str, service: Process
    ) -> None:
        for number, execution in enumerate(
            await fetch_json(service, '/executions')
        ):
            self._executions[service.popen.pid, number] = Execution(
                service=name,
                key=execution['order'],
                at_s=execution['at_s'],
            )

    def _create_inject_actions(self) -> dict[str, Action]:
        return {
            **{
                f'kill-{kind}': partial(self._kill, kind)
                for kind in PROCESS_KINDS
            },
            **{
                f'stop-{kind}': partial(self._pause, kind)
                for kind in PROCESS_KINDS
            },
            'silent': partial(self._add_link_faults, silent_old=True),
            'reset': self._reset_connections,
            'delay': partial(self._add_link_faults, delay_ms=LINK_DELAY_MS),
            'lost-response': partial(self._add_link_faults, drop_down=True),
            'kv-outage': partial(self._set_key_value_switches, outage=True),
            'kv-slow': partial(
                self._set_key_value_switches, delay_ms=SLOW_KEY_VALUE_DELAY_MS
            ),
            'kv-lost-write': partial(
                self._set_key_value_switches, lose_responses=1
            ),
            'lost-answer': partial(
                self._set_lost_service_responses, LOST_RESPONSES
            ),
            'cold': self._turn_cold,
            'zone-out': self._take_zone_out,
            'race': self._race_operators,
        }

    def _create_heal_actions(self) -> dict[str, Action]:
        link_faults = ('silent', 'reset', 'delay', 'lost-response')
        return {
            **{
                f'kill-{kind}': partial(self._restart, kind)
                for kind in PROCESS_KINDS
            },
            **{
                f'stop-{kind}': partial(self._resume, kind)
                for kind in PROCESS_KINDS
            },
            **dict.fromkeys(link_faults, self._clear_link_faults),
            'kv-outage': partial(self._set_key_value_switches, outage=False),
            'kv-slow': partial(self._set_key_value_switches, delay_ms=0),
            'kv-lost-write': partial(
                self._set_key_value_switches, lose_responses=0
            ),
            'lost-answer': partial(self._set_lost_service_responses, 0),
            'cold': self._restart_warm,
            'zone-out': self._restore_zone,
            'race': self._restore_zone,
        }

    @property
    def _agent_proxy(self) -> TcpProxy:
        return self._fleet.proxies[f'agent-{self._targets.endpoint}']

    def _target_process(self, target: str) -> Process:
        if target == 'entry':
            return self._fleet.entries[self._targets.entry]
        if target == 'agent':
            return self._fleet.agents[self._targets.endpoint]
        if target == 'service':
            return self._fleet.services[self._targets.endpoint]
        return self._fleet.engines[self._targets.endpoint]

    async def _kill(self, target: str) -> None:
        process = self._target_process(target)
        if target == 'engine':
            process.signal(signal.SIGCONT)
            await self._collect_engine_requests(process)
        elif target == 'service':
            await self._quiesce(process)
        process.kill()

    async def _quiesce(self, service: Process) -> None:
        """Block calls to a service, then read its executions."""
        name = self._targets.endpoint
        proxy = self._fleet.proxies[name]
        proxy.inject(Faults(silent_up=True))
        await anyio.sleep(QUIESCE_S)
        await self._collect_service_executions(name, service)

    async def _set_lost_service_responses(self, count: int) -> None:
        await set_switches(
            self._target_process('service'), lose_responses=count
        )

    async def _restart(self, target: str) -> None:
        name = self._targets.endpoint
        if target == 'entry':
            entry = self._targets.entry
            await self._fleet.start_entry(entry, self._fleet.zone_of[name])
        elif target == 'agent':
            await self._fleet.start_agent(name, self._fleet.zone_of[name])
        elif target == 'service':
            await self._fleet.start_service(name)
            self._fleet.proxies[name].reset_all()
            self._fleet.proxies[name].inject(Faults())
        else:
            await self._fleet.start_engine(name)

    async def _pause(self, target: str) -> None:
        self._target_process(target).signal(signal.SIGSTOP)

    async def _resume(self, target: str) -> None:
        self._target_process(target).signal(signal.SIGCONT)

    async def _reset_connections(self) -> None:
        self._agent_proxy.reset_all()

    async def _add_link_faults(self, **faults: Any) -> None:
        self._agent_proxy.inject(replace(self._agent_proxy.faults, **faults))

    async def _clear_link_faults(self) -> None:
        self._agent_proxy.inject(Faults())

    async def _restart_warm(self) -> None:
        # An engine stays cold until it has served enough requests; the restart
        # makes it warm for the next cell.
        process = self._target_process('engine')
        if process.popen.poll() is None:
            process.signal(signal.SIGCONT)
            state = await fetch_json(process, '/state')
            excess_offers = state['offers_over_capacity']
            if excess_offers:
                self.problems.append(
                    f'{excess_offers} offers over cold capacity'
                )
        await self._kill('engine')
        await self._restart('engine')

    async def _restore_zone(self) -> None:
        self.zone_back_at = time.monotonic()
        await self.apply_base_config()

    async def _set_key_value_switches(self, **switches: object) -> None:
        await set_switches(self._fleet.key_value, switches=switches)

    async def _turn_cold(self) -> None:
        process = self._target_process('engine')
        if process.popen.poll() is None:
            with anyio.move_on_after(1):
                await set_switches(process, turn_cold=True)

    async def _take_zone_out(self) -> None:
        zone = self._fleet.zone_of[self._targets.endpoint]
        zones = dict(self._config.zones)
        zones[zone] = replace(zones[zone], in_service=False)
        if await self.apply(replace(self._config, zones=zones)):
            self.zone_out_at = time.monotonic()

    async def _race_operators(self) -> None:
        current = await self._store.read_head()
        if isinstance(current, Failure) or current.head is None:
            return
        number = current.head.number
        apply_results: list[Head | Failure] = []
        async with anyio.create_task_group() as tasks:
            for operator in ('first', 'second', 'third'):
                tasks.start_soon(
                    self._apply_concurrently, operator, number, apply_results
                )
        succeeded = sum(
            not isinstance(result, Failure) for result in apply_results
        )
        has_unknown_result = any(
            isinstance(result, Failure) and result.kind != ErrorKind.CONFLICT
            for result in apply_results
        )
        if succeeded > 1 or (not succeeded and not has_unknown_result):
            self.problems.append(
                f'{succeeded} of 3 concurrent applies succeeded'
            )

    async def _apply_concurrently(
        self,
        operator: str,
        number: int,
        apply_results: list[Head | Failure],
    ) -> None:
        # The configurations must differ: applies of equal ones all succeed.
        apply_results.append(
            await self._store.apply(
                self._config_with_marker(operator), number, operator
            ),
        )

    def _config_with_marker(self, marker: str) -> Configuration:
        if not marker:
            return self._config
        teams = {**self._config.teams, f'mark-{marker}': Team(tier='paid')}
        return replace(self._config, teams=teams)


def matrix_config(zones: tuple[str, ...], digest: str) -> Configuration:
    """Return the configuration of the matrix fleets."""
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
