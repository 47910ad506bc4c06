"""Placement of models: what is ordered, by whom and when nothing is."""

import time

import anyio
import pytest

from masticwind.agent.orders import OrderExecutor
from masticwind.config.model import Model
from masticwind.engines.http import HttpEngine
from masticwind.planner.leader import (
    LEASE_TTL_S,
    MIN_REMAINING_LEASE_S,
    Leadership,
)
from masticwind.planner.placement import EndpointView, Order, plan_order
from masticwind.protocol.messages import EndpointOrder, Load, LoadState
from masticwind.settings import Address, PlatformSettings
from masticwind.store.http import HttpKeyValue
from masticwind.web import WebServer
from masticwind_dev.standins.engine import EngineModel, EngineStandin
from masticwind_dev.standins.keyvalue import KeyValueStandin
from tests.scenarios import sample_config

pytestmark = pytest.mark.anyio


def _view(
    name: str,
    *models: str,
    work: int = 0,
    state: LoadState = 'serving',
) -> EndpointView:
    load = Load(state, models=models, paid_work_tokens=work)
    return EndpointView(endpoint=name, load=load)


def test_loads_where_least_work_waits() -> None:
    """Guards against a reload of a busy endpoint."""
    order = plan_order(
        sample_config(models={'standard': Model(replicas={'zone-a': 1})}),
        'zone-a',
        [_view('busy', work=10), _view('idle'), _view('other', work=5)],
    )
    assert order == Order(
        endpoint='idle',
        action='load_model',
        model='standard',
        version='1',
    )


def test_nothing_is_ordered_in_doubt() -> None:
    """Guards against orders from an incomplete view of the zone."""
    unseen = EndpointView(endpoint='unseen', load=None)
    order = plan_order(
        sample_config(models={'standard': Model(replicas={'zone-a': 1})}),
        'zone-a',
        [_view('idle'), unseen],
    )
    assert order is None


def test_nothing_is_ordered_from_a_part_of_the_zone() -> None:
    """Guards against loads that endpoints out of sight make unnecessary."""
    config = sample_config(models={'standard': Model(replicas={'zone-a': 1})})
    views = [_view('a'), _view('b')]
    assert plan_order(config, 'zone-a', views, listed_count=10) is None
    assert plan_order(config, 'zone-a', views, listed_count=2) is not None


def test_unload_only_above_the_wanted_number() -> None:
    """Guards against a move that leaves a model with too few endpoints."""
    config = sample_config(models={'standard': Model(replicas={'zone-a': 1})})
    one = [_view('a', 'standard'), _view('b')]
    assert plan_order(config, 'zone-a', one) is None
    two = [_view('a', 'standard', work=9), _view('b', 'standard')]
    order = plan_order(config, 'zone-a', two)
    assert order is not None
    assert (order.endpoint, order.action) == ('b', 'unload_model')


def test_cold_endpoints_are_loaded_and_counted_as_carriers() -> None:
    """Guards against engines that start cold and never get a model."""
    config = sample_config(models={'standard': Model(replicas={'zone-a': 1})})
    empty = _view('a', state='cold')
    order = plan_order(config, 'zone-a', [empty])
    assert order is not None
    assert (order.endpoint, order.action) == ('a', 'load_model')
    loaded = _view('a', 'standard', state='cold')
    assert plan_order(config, 'zone-a', [loaded, _view('b')]) is None
    # The cold carrier cannot yet replace the one that serves.
    serving = _view('b', 'standard')
    assert plan_order(config, 'zone-a', [loaded, serving]) is None


def test_zone_without_wanted_number_is_left_alone() -> None:
    """Guards against orders that no operator asked for."""
    config = sample_config(models={'standard': Model(replicas={'zone-b': 2})})
    assert plan_order(config, 'zone-a', [_view('a')]) is None


async def test_one_leader_and_none_in_doubt() -> None:
    """Guards against two planners that both send orders."""
    standin = KeyValueStandin()
    server = WebServer(standin.app, Address())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.run)
        tasks.start_soon(server.run)
        url = f'http://127.0.0.1:{server.port}'
        key_value = HttpKeyValue(PlatformSettings(key_value_url=url))
        first = Leadership(key_value, 'zone-a', 'one')
        second = Leadership(key_value, 'zone-a', 'two')
        tasks.start_soon(first.run)
        with anyio.fail_after(5):
            while first.fencing_token() is None:
                await anyio.sleep(0.01)
        tasks.start_soon(second.run)
        await anyio.sleep(0.3)
        assert second.fencing_token() is None
        # A paused holder wakes when less than the margin is left.
        first._expires_at = time.monotonic() + MIN_REMAINING_LEASE_S / 2
        assert first.fencing_token() is None
        assert MIN_REMAINING_LEASE_S < LEASE_TTL_S
        tasks.cancel_scope.cancel()


async def test_agent_refuses_an_older_token() -> None:
    """Guards against a paused planner whose engine ignores the token."""
    standin = EngineStandin(EngineModel(models=(), checks_fencing=False))
    server = WebServer(standin.app, Address())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        keeper = OrderExecutor(HttpEngine(f'http://127.0.0.1:{server.port}'))
        await keeper.execute(EndpointOrder('load_model', 'new', '1', 7))
        await keeper.execute(EndpointOrder('load_model', 'old', '1', 6))
        assert standin.model.models == ('new',)
        tasks.cancel_scope.cancel()
