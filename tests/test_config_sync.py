"""How a generation spreads between processes."""

from collections.abc import Sequence
from typing import Literal

import anyio
import pytest

from masticwind.config.current import CurrentConfig
from masticwind.config.distribute import (
    MAX_RESPONSE_BYTES,
    MAX_WATCHERS,
    ConfigSync,
    ConfigWatcher,
)
from masticwind.config.store import ConfigStore
from masticwind.errors import Failure
from masticwind.protocol.messages import (
    AnyMessage,
    ConfigData,
    Heartbeat,
    Hello,
    Message,
)
from masticwind.store.base import Instance
from masticwind_dev.local.fleet import Fleet, FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.memory_kv import MemoryKeyValue
from tests.scenarios import sample_config
from tests.test_config_store import applied, config_of

pytestmark = pytest.mark.anyio

IN_FORCE_S = 5
Role = Literal['entry', 'agent']


class FakeChannel:
    """Passes messages to the other side without a network."""

    def __init__(self, node: str, role: Role) -> None:
        self.peer = Hello(1, role, node, 'z', 'i', bytes(32))
        self.closed = False
        self.sent: list[Message] = []

    def send(self, message: Message) -> bool:
        """Keep the message until the test delivers it."""
        self.sent.append(message)
        return True


def _exchange(
    left: tuple[ConfigSync, FakeChannel],
    right: tuple[ConfigSync, FakeChannel],
) -> None:
    """Send heartbeats both ways, then deliver until nothing is left."""
    for own, other in ((left, right), (right, left)):
        beat = Heartbeat(0, own[0].config.number)
        other[0].handle_message(other[1], beat)  # type: ignore[arg-type]
    pairs = ((left[1], right), (right[1], left))
    while any(channel.sent for channel, _ in pairs):
        for channel, (sync, back) in pairs:
            pending: Sequence[Message] = tuple(channel.sent)
            channel.sent.clear()
            for message in pending:
                _deliver(sync, back, message)


def _deliver(sync: ConfigSync, back: FakeChannel, message: Message) -> None:
    assert isinstance(message, AnyMessage)
    if isinstance(message, ConfigData):
        size = sum(len(one) for one in message.parts.values())
        assert size <= MAX_RESPONSE_BYTES or len(message.parts) == 1
    sync.handle_message(back, message)  # type: ignore[arg-type]


async def _loaded(key_value: MemoryKeyValue, sync: ConfigSync) -> None:
    store = ConfigStore(key_value)
    stored = await store.read_head()
    assert not isinstance(stored, Failure)
    assert stored.head is not None
    assert await store.fetch_parts(stored.head, sync.parts) is None
    assert sync.adopt(stored.head, stored.content) is None


async def test_peer_learns_generations_without_the_service() -> None:
    """Guards against a process that starts in an outage and learns nothing."""
    key_value = MemoryKeyValue()
    first, second = ConfigSync(CurrentConfig()), ConfigSync(CurrentConfig())
    # Each channel describes the peer that is reached through it.
    left = (first, FakeChannel('second', 'entry'))
    right = (second, FakeChannel('first', 'entry'))
    for number, count in enumerate((2000, 2001, 1)):
        await applied(ConfigStore(key_value), config_of(count), number)
        await _loaded(key_value, first)
        _exchange(left, right)
        assert second.config.number == number + 1
        assert second.config.config == config_of(count)


async def test_agent_keeps_no_teams_and_passes_the_rest_on() -> None:
    """Guards against teams in agents, and against agents as dead ends."""
    key_value = MemoryKeyValue()
    entry = ConfigSync(CurrentConfig())
    agents = [ConfigSync(CurrentConfig(), with_teams=False) for _ in range(2)]
    await applied(ConfigStore(key_value), config_of(50), 0)
    await _loaded(key_value, entry)
    _exchange(
        (entry, FakeChannel('a1', 'agent')),
        (agents[0], FakeChannel('entry', 'entry')),
    )
    _exchange(
        (agents[0], FakeChannel('a2', 'agent')),
        (agents[1], FakeChannel('a1', 'agent')),
    )
    for agent in agents:
        assert agent.config.number == 1
        assert not agent.config.config.teams
        assert agent.config.config.models == config_of(50).models


async def test_older_generation_is_ignored() -> None:
    """Guards against going back after a stale read or a slow peer."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await applied(store, config_of(1), 0)
    old = await store.read_head()
    await applied(store, config_of(2), 1)
    sync = ConfigSync(CurrentConfig())
    await _loaded(key_value, sync)
    assert not isinstance(old, Failure)
    assert old.head is not None
    await store.fetch_parts(old.head, sync.parts)
    assert sync.adopt(old.head, old.content) is None
    channel = FakeChannel('p', 'entry')
    data = ConfigData(generation=1, head=old.content)
    sync.handle_message(channel, data)  # type: ignore[arg-type]
    assert sync.config.number == 2
    assert sync.config.config == config_of(2)


async def test_few_entries_watch_and_another_takes_over() -> None:
    """Guards against a watch of every process, and against none."""
    key_value = MemoryKeyValue()
    names = frozenset(f'entry-{one}' for one in range(20))
    watchers = {
        name: ConfigWatcher(
            ConfigStore(key_value),
            ConfigSync(CurrentConfig()),
            name,
        )
        for name in names
    }
    watching = _watching(watchers)
    assert len(watching) == MAX_WATCHERS
    dead = min(watching)
    watchers.pop(dead)
    after = _watching(watchers)
    assert len(after) == MAX_WATCHERS
    assert watching - {dead} < after


def _watching(watchers: dict[str, ConfigWatcher]) -> set[str]:
    for own, watcher in watchers.items():
        watcher.entry_names = frozenset(watchers) - {own}
    return {name for name, one in watchers.items() if one.is_watching}


async def test_in_force_everywhere_when_the_service_goes_down() -> None:
    """Guards against an accepted generation that stops half way.

    The service goes down as soon as one entry has the new generation.
    """
    plan = FleetPlan(
        config=sample_config(),
        engines={f'e{one}': ('zone-a', EngineModel()) for one in range(3)},
        entries=('entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5'),
    )
    async with running_fleet(plan) as fleet:
        listed = fleet.instances.visible()
        entries = tuple(
            Instance(
                node=name,
                role='entry',
                host='127.0.0.1',
                port=entry.neighbours.port,
                zone='zone-a',
            )
            for name, entry in fleet.entries.items()
        )
        fleet.instances.publish((*listed, *entries))
        entry = fleet.entries['entry-1']
        with anyio.fail_after(IN_FORCE_S):
            while not _meshed(fleet):
                await anyio.sleep(0.01)
        # The first of the two ends the watches that began before the
        # entries knew of each other.
        await applied(entry.store, sample_config(services={}, models={}), 1)
        with anyio.fail_after(IN_FORCE_S):
            while min(_numbers(fleet)) < 2:
                await anyio.sleep(0.01)
        await applied(entry.store, sample_config(), 2)
        with anyio.fail_after(IN_FORCE_S):
            while max(_numbers(fleet)) < 3:
                await anyio.sleep(0.001)
            fleet.key_value.switches.outage = True
            while min(_numbers(fleet)) < 3:
                await anyio.sleep(0.01)


def _meshed(fleet: Fleet) -> bool:
    watchers = [one._watcher for one in fleet.entries.values()]
    return sum(one.is_watching for one in watchers) == MAX_WATCHERS and all(
        len(one.sync.peers) > len(fleet.agents)
        for one in fleet.entries.values()
    )


def _numbers(fleet: Fleet) -> list[int]:
    return [
        *(one.config.number for one in fleet.entries.values()),
        *(one.config.number for one in fleet.agents.values()),
    ]
