"""Placement orders: what is ordered, by which planner and when."""

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
    work_tokens: int = 0,
    state: LoadState = 'serving',
) -> EndpointView:
    load = Load(state, models=models, paid_work_tokens=work_tokens)
    return EndpointView(endpoint=name, load=load)


def test_load_is_ordered_from_the_least_loaded_endpoint() -> None:
    """Guards against loading a model on a busy endpoint."""
    order = plan_order(
        sample_config(models={'standard': Model(replicas={'zone-a': 1})}),
        'zone-a',
        [
            _view('busy', work_tokens=10),
            _view('idle'),
            _view('other', work_tokens=5),
        ],
    )
    assert order == Order(
        endpoint='idle',
        action='load_model',
        model='standard',
        version='1',
    )


def test_no_order_while_half_of_the_endpoints_lack_reports() -> None:
    """Guards against orders based on an incomplete view of the zone."""
    unreported = EndpointView(endpoint='unseen', load=None)
    order = plan_order(
        sample_config(models={'standard': Model(replicas={'zone-a': 1})}),
        'zone-a',
        [_view('idle'), unreported],
    )
    assert order is None


def test_no_order_while_most_listed_endpoints_are_unseen() -> None:
    """Guards against loading a model that unseen endpoints already have."""
    config = sample_config(models={'standard': Model(replicas={'zone-a': 1})})
    views = [_view('a'), _view('b')]
    assert plan_order(config, 'zone-a', views, listed_count=10) is None
    assert plan_order(config, 'zone-a', views, listed_count=2) is not None


def test_unload_only_above_the_configured_number() -> None:
    """Guards against a move that leaves a model with too few endpoints."""
    config = sample_config(models={'standard': Model(replicas={'zone-a': 1})})
    single = [_view('a', 'standard'), _view('b')]
    assert plan_order(config, 'zone-a', single) is None
    duplicated = [_view('a', 'standard', work_tokens=9), _view('b', 'standard')]
    order = plan_order(config, 'zone-a', duplicated)
    assert order is not None
    assert (order.endpoint, order.action) == ('b', 'unload_model')


def test_cold_endpoints_are_loaded_and_counted() -> None:
    """Guards against engines that start cold and are never given a model."""
    config = sample_config(models={'standard': Model(replicas={'zone-a': 1})})
    empty = _view('a', state='cold')
    order = plan_order(config, 'zone-a', [empty])
    assert order is not None
    assert (order.endpoint, order.action) == ('a', 'load_model')
    loaded = _view('a', 'standard', state='cold')
    assert plan_order(config, 'zone-a', [loaded, _view('b')]) is None
    # The cold endpoint with the model cannot replace the serving one yet.
    serving = _view('b', 'standard')
    assert plan_order(config, 'zone-a', [loaded, serving]) is None


def test_no_order_for_a_zone_without_configured_replicas() -> None:
    """Guards against orders that no operator has configured."""
    config = sample_config(models={'standard': Model(replicas={'zone-b': 2})})
    assert plan_order(config, 'zone-a', [_view('a')]) is None


async def test_one_leader_and_none_near_the_end_of_the_lease() -> None:
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
        # The leader resumes from a pause with less than the minimum left.
        first._expires_at = time.monotonic() + MIN_REMAINING_LEASE_S / 2
        assert first.fencing_token() is None
        assert MIN_REMAINING_LEASE_S < LEASE_TTL_S
        tasks.cancel_scope.cancel()


async def test_agent_refuses_an_older_fencing_token() -> None:
    """Guards against orders from a deposed planner that resumes after a pause.

    The engine here ignores fencing tokens, so the agent has to check them.
    """
    standin = EngineStandin(EngineModel(models=(), checks_fencing=False))
    server = WebServer(standin.app, Address())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        executor = OrderExecutor(HttpEngine(f'http://127.0.0.1:{server.port}'))
        await executor.execute(EndpointOrder('load_model', 'new', '1', 7))
        await executor.execute(EndpointOrder('load_model', 'old', '1', 6))
        assert standin.model.models == ('new',)
        tasks.cancel_scope.cancel()
