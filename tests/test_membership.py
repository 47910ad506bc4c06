"""How an entry follows the instance list and heartbeats of agents."""

import time
from typing import Any

import anyio
import pytest

from masticwind.config.current import CurrentConfig
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.agent_pool import AgentLink, AgentPool, PoolDependencies
from masticwind.entry.agent_subset import choose_subset
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.messages import Heartbeat, Load
from masticwind.settings import EntrySettings, PeerSettings
from masticwind.store.base import Instance
from masticwind_dev.local.fleet import FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import sample_config

pytestmark = pytest.mark.anyio

# A leaving endpoint may get new requests for at most this long.
LEAVING_TIMEOUT_S = 3.0


class FakeChannel:
    """The attributes of a connection that a link uses."""

    closed = False

    def __init__(self, incarnation: str) -> None:
        node = PeerIdentity(
            role='agent', name='a', zone='z', incarnation=incarnation
        )
        self.peer = node.hello(0)


def make_agents(
    count: int, zones: int = 3, service: str = ''
) -> list[Instance]:
    """Return agents that are spread evenly over zones."""
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


def test_planner_connects_to_its_whole_zone() -> None:
    """Guards against planning without every copy of a model in the zone."""
    agents = make_agents(900)
    chosen = choose_subset(_entry('e1', planner=True), agents)
    for zone, count in (('zone-0', 300), ('zone-1', 50)):
        assert sum(agent.zone == zone for agent in chosen) == count


def test_entry_connects_to_all_of_a_small_fleet() -> None:
    """Guards against agents that no entry of a small fleet connects to."""
    agents = make_agents(150)
    assert list(choose_subset(_entry('e1'), agents)) == agents


def test_subset_has_agents_of_every_zone_and_service() -> None:
    """Guards against a zone or service without a connected agent."""
    agents = [*make_agents(900), *make_agents(6, service='orders')]
    chosen = choose_subset(_entry('e1'), agents)
    assert 150 <= len(chosen) <= 156
    for zone in ('zone-0', 'zone-1', 'zone-2'):
        engines = [
            agent
            for agent in chosen
            if (agent.zone, agent.service) == (zone, '')
        ]
        assert len(engines) >= 49
        assert any(
            agent.service == 'orders' and agent.zone == zone for agent in chosen
        )


def test_subset_changes_little_with_the_instance_list() -> None:
    """Guards against many new connections when one instance is replaced."""
    agents = make_agents(900)
    before = {agent.node for agent in choose_subset(_entry('e1'), agents)}
    after = {agent.node for agent in choose_subset(_entry('e1'), agents[1:])}
    assert len(before - after) <= 2
    assert len(after - before) <= 2


def test_every_agent_is_in_a_subset() -> None:
    """Guards against agents outside all subsets at the planned fleet size."""
    agents = make_agents(640, zones=4)
    connected: set[str] = set()
    for number in range(53):
        chosen = choose_subset(_entry(f'entry-{number}'), agents)
        connected.update(agent.node for agent in chosen)
    assert len(connected) == len(agents)


def _link(incarnation: str = 'first') -> tuple[AgentLink, Any]:
    link = AgentLink(make_agents(1)[0], AffinityIndex(1))
    channel: Any = FakeChannel(incarnation)
    link.connection_opened(channel)
    return link, channel


async def test_draining_agent_stays_leaving_until_it_restarts() -> None:
    """Guards against requests to a leaving agent.

    A stale load report or a new connection must not make it usable again.
    """
    link, channel = _link()
    leaving_states: list[bool] = []
    await link.handle_message(channel, Heartbeat(0, 0, Load(state='draining')))
    leaving_states.append(link.leaving)
    await link.handle_message(channel, Heartbeat(1, 0, Load(state='serving')))
    leaving_states.append(link.leaving)
    link.connection_lost(channel)
    again: Any = FakeChannel('first')
    link.connection_opened(again)
    leaving_states.append(link.leaving)
    restarted: Any = FakeChannel('second')
    link.connection_opened(restarted)
    leaving_states.append(link.leaving)
    assert leaving_states == [True, True, True, False]


async def test_load_of_an_old_connection_is_dropped() -> None:
    """Guards against a late heartbeat that restores an outdated load."""
    link, old = _link()
    new: Any = FakeChannel('second')
    link.connection_opened(new)
    await link.handle_message(old, Heartbeat(9, 0, Load(state='serving')))
    assert link.reported_load is None
    link.connection_lost(old)
    assert link.connected


class SettableInstanceList:
    """An instance list whose content a test sets."""

    def __init__(self) -> None:
        self.content: tuple[Instance, ...] = ()

    async def list_instances(self) -> tuple[Instance, ...]:
        return self.content


async def test_stale_list_neither_ends_nor_restores_connections() -> None:
    """Guards against connections that follow a stale instance list."""
    peers = PeerSettings(secrets=('s',))
    cfg = EntrySettings(node='e1', zone='z', peers=peers, instances_poll_ms=10)
    node = PeerIdentity(role='entry', name='e1', zone='z')
    source: Any = SettableInstanceList()
    pool = AgentPool(
        PoolDependencies(cfg, node, CurrentConfig(), source, AffinityIndex(1))
    )
    source.content = tuple(make_agents(1))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.run)
        await anyio.sleep(0.1)
        link = pool.links[0]
        channel: Any = FakeChannel('first')
        link.connection_opened(channel)
        source.content = ()
        await anyio.sleep(0.1)
        assert pool.links == (link,)
        # The connection is lost; its requests may resume within the grace time.
        link.connection_lost(channel)
        await anyio.sleep(0.1)
        assert pool.links == (link,)
        link.disconnected_at = time.monotonic() - 60
        await anyio.sleep(0.1)
        remaining_links = len(pool.links)
        source.content = tuple(make_agents(1))
        await anyio.sleep(0.1)
        assert (remaining_links, pool.links[0].connected) == (0, False)
        tasks.cancel_scope.cancel()


async def test_entries_learn_of_a_drain_in_time() -> None:
    """Guards against new requests to a leaving endpoint."""
    engines = {'e1': ('zone-a', EngineModel()), 'e2': ('zone-b', EngineModel())}
    plan = FleetPlan(config=sample_config(), engines=engines)
    async with running_fleet(plan) as fleet:
        links = fleet.entries['entry-1'].pool.links
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.agents['e1'].drain)
            with anyio.fail_after(LEAVING_TIMEOUT_S):
                while not any(link.leaving for link in links):
                    await anyio.sleep(0.01)
