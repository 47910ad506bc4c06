"""Distribution of generations among processes."""

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
from tests.test_config_store import apply_or_fail, make_config

pytestmark = pytest.mark.anyio

ADOPTION_TIMEOUT_S = 5
Role = Literal['entry', 'agent']


class FakeChannel:
    """Stores sent messages instead of using a network."""

    def __init__(self, node: str, role: Role) -> None:
        self.peer = Hello(1, role, node, 'z', 'i', bytes(32))
        self.closed = False
        self.sent: list[Message] = []

    def send(self, message: Message) -> bool:
        """Store the message until the test delivers it."""
        self.sent.append(message)
        return True


def _exchange(
    left: tuple[ConfigSync, FakeChannel],
    right: tuple[ConfigSync, FakeChannel],
) -> None:
    """Send a heartbeat each way, then deliver until no message is left."""
    for own, other in ((left, right), (right, left)):
        heartbeat = Heartbeat(0, own[0].config.number)
        other[0].handle_message(other[1], heartbeat)  # type: ignore[arg-type]
    pairs = ((left[1], right), (right[1], left))
    while any(channel.sent for channel, _ in pairs):
        for channel, (sync, reply_channel) in pairs:
            pending: Sequence[Message] = tuple(channel.sent)
            channel.sent.clear()
            for message in pending:
                _deliver_message(sync, reply_channel, message)


def _deliver_message(
    sync: ConfigSync, reply_channel: FakeChannel, message: Message
) -> None:
    assert isinstance(message, AnyMessage)
    if isinstance(message, ConfigData):
        size = sum(len(part) for part in message.parts.values())
        assert size <= MAX_RESPONSE_BYTES or len(message.parts) == 1
    sync.handle_message(reply_channel, message)  # type: ignore[arg-type]


async def _adopt_stored_head(
    key_value: MemoryKeyValue, sync: ConfigSync
) -> None:
    store = ConfigStore(key_value)
    stored = await store.read_head()
    assert not isinstance(stored, Failure)
    assert stored.head is not None
    assert await store.fetch_parts(stored.head, sync.parts) is None
    assert sync.adopt(stored.head, stored.content) is None


async def test_peer_gets_generations_without_key_value_service() -> None:
    """Guards against a process that starts in an outage without config."""
    key_value = MemoryKeyValue()
    first, second = ConfigSync(CurrentConfig()), ConfigSync(CurrentConfig())
    # The name of a channel is that of the peer at its other end.
    left = (first, FakeChannel('second', 'entry'))
    right = (second, FakeChannel('first', 'entry'))
    for number, count in enumerate((2000, 2001, 1)):
        await apply_or_fail(ConfigStore(key_value), make_config(count), number)
        await _adopt_stored_head(key_value, first)
        _exchange(left, right)
        assert second.config.number == number + 1
        assert second.config.config == make_config(count)


async def test_agent_omits_teams_and_forwards_other_parts() -> None:
    """Guards against teams in agents and agents that forward no parts."""
    key_value = MemoryKeyValue()
    entry = ConfigSync(CurrentConfig())
    agents = [ConfigSync(CurrentConfig(), with_teams=False) for _ in range(2)]
    await apply_or_fail(ConfigStore(key_value), make_config(50), 0)
    await _adopt_stored_head(key_value, entry)
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
        assert agent.config.config.models == make_config(50).models


async def test_older_generation_is_ignored() -> None:
    """Guards against an older generation from a stale read or slow peer."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await apply_or_fail(store, make_config(1), 0)
    old = await store.read_head()
    await apply_or_fail(store, make_config(2), 1)
    sync = ConfigSync(CurrentConfig())
    await _adopt_stored_head(key_value, sync)
    assert not isinstance(old, Failure)
    assert old.head is not None
    await store.fetch_parts(old.head, sync.parts)
    assert sync.adopt(old.head, old.content) is None
    channel = FakeChannel('p', 'entry')
    data = ConfigData(generation=1, head=old.content)
    sync.handle_message(channel, data)  # type: ignore[arg-type]
    assert sync.config.number == 2
    assert sync.config.config == make_config(2)


async def test_few_entries_watch_and_failed_one_is_replaced() -> None:
    """Guards against watches of all entries, and against none."""
    key_value = MemoryKeyValue()
    names = frozenset(f'entry-{number}' for number in range(20))
    watchers = {
        name: ConfigWatcher(
            ConfigStore(key_value),
            ConfigSync(CurrentConfig()),
            name,
        )
        for name in names
    }
    watching = _watching_names(watchers)
    assert len(watching) == MAX_WATCHERS
    failed = min(watching)
    watchers.pop(failed)
    after = _watching_names(watchers)
    assert len(after) == MAX_WATCHERS
    assert watching - {failed} < after


def _watching_names(watchers: dict[str, ConfigWatcher]) -> set[str]:
    for own_name, own_watcher in watchers.items():
        own_watcher.entry_names = frozenset(watchers) - {own_name}
    return {name for name, watcher in watchers.items() if watcher.is_watching}


async def test_generation_spreads_although_service_goes_down() -> None:
    """Guards against an accepted generation that some processes miss.

    The service goes down as soon as one process has the new generation.
    """
    plan = FleetPlan(
        config=sample_config(),
        engines={
            f'e{number}': ('zone-a', EngineModel()) for number in range(3)
        },
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
        with anyio.fail_after(ADOPTION_TIMEOUT_S):
            while not _is_fully_connected(fleet):
                await anyio.sleep(0.01)
        # The first apply ends the watches that started before the entries
        # knew of each other.
        await apply_or_fail(
            entry.store, sample_config(services={}, models={}), 1
        )
        with anyio.fail_after(ADOPTION_TIMEOUT_S):
            while min(_generation_numbers(fleet)) < 2:
                await anyio.sleep(0.01)
        await apply_or_fail(entry.store, sample_config(), 2)
        with anyio.fail_after(ADOPTION_TIMEOUT_S):
            while max(_generation_numbers(fleet)) < 3:
                await anyio.sleep(0.001)
            fleet.key_value.switches.outage = True
            while min(_generation_numbers(fleet)) < 3:
                await anyio.sleep(0.01)


def _is_fully_connected(fleet: Fleet) -> bool:
    watchers = [entry._watcher for entry in fleet.entries.values()]
    return sum(
        watcher.is_watching for watcher in watchers
    ) == MAX_WATCHERS and all(
        len(entry.sync.peers) > len(fleet.agents)
        for entry in fleet.entries.values()
    )


def _generation_numbers(fleet: Fleet) -> list[int]:
    return [
        *(entry.config.number for entry in fleet.entries.values()),
        *(agent.config.number for agent in fleet.agents.values()),
    ]
