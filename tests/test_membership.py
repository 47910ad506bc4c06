"""What an entry makes of the instance list and of heartbeats."""

import time
from typing import Any

import anyio
import pytest

from masticwind.config.current import CurrentConfig
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.agent_pool import AgentLink, AgentPool, PoolDependencies
from masticwind.entry.agent_subset import choose_subset
from masticwind.node import Node
from masticwind.protocol.messages import Heartbeat, Load
from masticwind.settings import EntrySettings, PeerSettings
from masticwind.store.base import Instance
from masticwind_dev.local.fleet import FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import sample_config

pytestmark = pytest.mark.anyio

# The stated bound on new work for a leaving endpoint.
LEAVING_S = 3.0


class FakeChannel:
    """As much of a connection as a link looks at."""

    closed = False

    def __init__(self, incarnation: str) -> None:
        node = Node(role='agent', name='a', zone='z', incarnation=incarnation)
        self.peer = node.hello(0)


def listed(count: int, zones: int = 3, service: str = '') -> list[Instance]:
    """Return agents that are spread over zones in turn."""
    return [
        Instance(
            node=f'agent-{service}{number}',
            role='agent',
            host='127.0.0.1',
            port=number + 1,
            zone=f'zone-{number % zones}',
            service=service,
        )
        for number in range(count)
    ]


def _entry(node: str, *, planner: bool = False) -> EntrySettings:
    return EntrySettings(
        node=node,
        zone='zone-0',
        peers=PeerSettings(secrets=('test',), fan_out=150),
        planner=planner,
    )


def test_planner_sees_its_whole_zone() -> None:
    """Guards against orders for copies of a model that are out of sight."""
    agents = listed(900)
    chosen = choose_subset(_entry('e1', planner=True), agents)
    for zone, count in (('zone-0', 300), ('zone-1', 50)):
        assert sum(one.zone == zone for one in chosen) == count


def test_small_fleet_is_taken_whole() -> None:
    """Guards against agents that no entry of a small fleet reaches."""
    agents = listed(150)
    assert list(choose_subset(_entry('e1'), agents)) == agents


def test_subset_is_fair_to_zones_and_services() -> None:
    """Guards against a zone or service that an entry cannot reach."""
    agents = [*listed(900), *listed(6, service='orders')]
    chosen = choose_subset(_entry('e1'), agents)
    assert 150 <= len(chosen) <= 156
    for zone in ('zone-0', 'zone-1', 'zone-2'):
        engines = [
            one for one in chosen if (one.zone, one.service) == (zone, '')
        ]
        assert len(engines) >= 49
        assert any(
            one.service == 'orders' and one.zone == zone for one in chosen
        )


def test_subset_moves_little() -> None:
    """Guards against a storm of dials when one instance is replaced."""
    agents = listed(900)
    before = {one.node for one in choose_subset(_entry('e1'), agents)}
    after = {one.node for one in choose_subset(_entry('e1'), agents[1:])}
    assert len(before - after) <= 2
    assert len(after - before) <= 2


def test_every_agent_is_reached() -> None:
    """Guards against agents outside all subsets at the design's scale."""
    agents = listed(640, zones=4)
    reached: set[str] = set()
    for number in range(53):
        chosen = choose_subset(_entry(f'entry-{number}'), agents)
        reached.update(one.node for one in chosen)
    assert len(reached) == len(agents)


def _link(incarnation: str = 'first') -> tuple[AgentLink, Any]:
    link = AgentLink(listed(1)[0], AffinityIndex(1))
    channel: Any = FakeChannel(incarnation)
    link.connection_opened(channel)
    return link, channel


async def test_draining_agent_stays_leaving_until_it_restarts() -> None:
    """Guards against a stale read that makes a leaving agent usable."""
    link, channel = _link()
    seen: list[bool] = []
    await link.handle_message(channel, Heartbeat(0, 0, Load(state='draining')))
    seen.append(link.leaving)
    await link.handle_message(channel, Heartbeat(1, 0, Load(state='serving')))
    seen.append(link.leaving)
    link.connection_lost(channel)
    again: Any = FakeChannel('first')
    link.connection_opened(again)
    seen.append(link.leaving)
    restarted: Any = FakeChannel('second')
    link.connection_opened(restarted)
    seen.append(link.leaving)
    assert seen == [True, True, True, False]


async def test_load_of_an_old_connection_is_dropped() -> None:
    """Guards against a late heartbeat that revives an old load view."""
    link, old = _link()
    new: Any = FakeChannel('second')
    link.connection_opened(new)
    await link.handle_message(old, Heartbeat(9, 0, Load(state='serving')))
    assert link.reported_load is None
    link.connection_lost(old)
    assert link.connected


class ScriptedList:
    """An instance list that a test sets."""

    def __init__(self) -> None:
        self.content: tuple[Instance, ...] = ()

    async def list_instances(self) -> tuple[Instance, ...]:
        return self.content


async def test_stale_list_neither_drops_nor_revives() -> None:
    """Guards against connections that end, or return, with a stale list."""
    peers = PeerSettings(secrets=('s',))
    cfg = EntrySettings(node='e1', zone='z', peers=peers, instances_poll_ms=10)
    node = Node(role='entry', name='e1', zone='z')
    source: Any = ScriptedList()
    pool = AgentPool(
        PoolDependencies(cfg, node, CurrentConfig(), source, AffinityIndex(1))
    )
    source.content = tuple(listed(1))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.run)
        await anyio.sleep(0.1)
        link = pool.links[0]
        channel: Any = FakeChannel('first')
        link.connection_opened(channel)
        source.content = ()
        await anyio.sleep(0.1)
        assert pool.links == (link,)
        # The agent has died; its requests may still resume for a while.
        link.connection_lost(channel)
        await anyio.sleep(0.1)
        assert pool.links == (link,)
        link.disconnected_at = time.monotonic() - 60
        await anyio.sleep(0.1)
        gone = len(pool.links)
        source.content = tuple(listed(1))
        await anyio.sleep(0.1)
        assert (gone, pool.links[0].connected) == (0, False)
        tasks.cancel_scope.cancel()


async def test_announced_drain_is_known_at_once() -> None:
    """Guards against new work for a leaving endpoint."""
    engines = {'e1': ('zone-a', EngineModel()), 'e2': ('zone-b', EngineModel())}
    plan = FleetPlan(config=sample_config(), engines=engines)
    async with running_fleet(plan) as fleet:
        links = fleet.entries['entry-1'].pool.links
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.agents['e1'].drain)
            with anyio.fail_after(LEAVING_S):
                while not any(link.leaving for link in links):
                    await anyio.sleep(0.01)
