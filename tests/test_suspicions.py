"""Endpoints that other entries could not reach."""

import json
from typing import Final

import anyio
import pytest

from masticwind.platform.main import platform_adapter
from masticwind.serving.datagrams import Peer, PeerSocket
from masticwind.serving.health import Health
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement import (
    CallPlacer,
    Placement,
    PlacementQuery,
    Placer,
)
from masticwind.serving.prompt_placer import PromptPlacer
from masticwind.serving.server import DirectEntry
from masticwind.serving.settings import LiveSettings, StoreSettings
from masticwind.serving.suspicions import (
    FIRST_S,
    LONGEST_S,
    Suspicion,
    Suspicions,
)
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.play.simulation import LARGE_WORKLOAD
from masticwind_dev.standins.metadata import MetadataStandin
from tests.direct_rig import (
    free_udp_port,
    registration,
    sample_document,
    sample_settings,
)
from tests.manual_clock import ManualClock

pytestmark = pytest.mark.anyio

SENDER: Final = Peer('127.0.0.1', 1)
DARK: Final = 'i-dark'


def _suspicions(clock: ManualClock) -> Suspicions:
    cfg = sample_settings(zone='zone-b')
    return Suspicions(PeerSocket(cfg), EntryPeers(cfg), cfg.zone, clock)


def _hear(suspicions: Suspicions, zone: str) -> None:
    suspicions.receive(Suspicion(zone, DARK), SENDER)


def test_entries_of_the_same_zone_are_believed() -> None:
    """Guards against one failed request of each entry for every endpoint
    that crashes.
    """
    suspicions = _suspicions(ManualClock())
    _hear(suspicions, 'zone-b')
    assert suspicions.holds(DARK)
    assert not suspicions.holds('i-other')


def test_one_other_zone_is_not_believed() -> None:
    """Guards against an endpoint that is taken for dead in its own zone
    because two other zones cannot reach each other.
    """
    suspicions = _suspicions(ManualClock())
    for _ in range(5):
        _hear(suspicions, 'zone-a')
    assert not suspicions.holds(DARK)
    _hear(suspicions, 'zone-c')
    assert suspicions.holds(DARK)


def test_suspicion_ends_by_time_and_by_a_success() -> None:
    """Guards against an endpoint that is avoided after it has come back."""
    clock = ManualClock()
    suspicions = _suspicions(clock)
    _hear(suspicions, 'zone-b')
    clock.now += FIRST_S
    assert not suspicions.holds(DARK)
    _hear(suspicions, 'zone-b')
    suspicions.succeeded(DARK)
    assert not suspicions.holds(DARK)


def test_suspicion_of_an_endpoint_that_stays_dark_grows_to_a_limit() -> None:
    """Guards against a trial each second of an endpoint that stays dark, and
    against reports at the same moment that count as several trials.
    """
    clock = ManualClock()
    suspicions = _suspicions(clock)
    for held_s in (FIRST_S, 2 * FIRST_S, LONGEST_S, LONGEST_S):
        for _ in range(9):
            _hear(suspicions, 'zone-b')
        clock.now += held_s - 0.01
        assert suspicions.holds(DARK)
        clock.now += 0.02
        assert not suspicions.holds(DARK)


@pytest.mark.parametrize('prompt', [None, 5000, 300_000])
def test_suspected_endpoint_is_used_last(prompt: int | None) -> None:
    """Guards against requests that go to endpoints which others could not
    reach, and against none at all where all are suspected.
    """
    clock = ManualClock()
    suspicions = _suspicions(clock)
    health = Health(suspicions, clock)
    endpoints = [
        _endpoint(DARK),
        *(_endpoint(f'i-{number}') for number in range(20)),
    ]
    for _ in range(50):
        _hear(suspicions, 'zone-b')
        chosen = _chosen(health, endpoints, prompt)
        assert DARK not in chosen
    assert DARK in _chosen(health, endpoints[:1], prompt)


def _endpoint(identity: str) -> Endpoint:
    return Endpoint(
        identity=identity,
        service='s',
        host='127.0.0.1',
        port=1,
        zone='zone-b',
        slots=5,
    )


def _chosen(
    health: Health,
    endpoints: list[Endpoint],
    prompt: int | None,
) -> set[str]:
    tokens = None
    if prompt is not None:
        tokens = TokenCounts(
            prompt=prompt, max_output=2000, expected_output=900
        )
    query = PlacementQuery(
        request_id='r1',
        service=Service(
            name='s', max_connections=9, engine=LARGE_WORKLOAD.profile
        ),
        candidates=endpoints,
        jobs_by_endpoint={},
        now=0,
        zone='zone-b',
        tokens=tokens,
        remaining_ms=15_000,
        first_event_target_ms=300,
        failure_shares=health.shares(endpoints),
    )
    placer: Placer = CallPlacer() if prompt is None else PromptPlacer()
    placement = placer.place(query)
    assert isinstance(placement, Placement)
    return {job.endpoint_id for job in placement.jobs}


async def test_entries_hear_of_each_others_failed_connections() -> None:
    """Guards against suspicions that never leave their entry."""
    store = MetadataStandin()
    server = WebServer(store.app, Address())
    store.write('op/config', json.dumps(sample_document()).encode())
    store.write('servers/i-1', registration(1))
    entries: list[DirectEntry] = []
    for number in range(2):
        cfg = sample_settings(
            f'entry-{number}',
            store=StoreSettings(address=f'127.0.0.1:{server.port}'),
            peer_port=await free_udp_port(),
        )
        entries.append(DirectEntry(LiveSettings(cfg), platform_adapter(cfg)))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        for entry in entries:
            tasks.start_soon(entry.run)
        failing, hearing = (one._cleanup.health for one in entries)
        with anyio.fail_after(5):
            while not hearing.shares([_endpoint('i-1')]):
                failing.failed('i-1', 'reset', broken=True)
                await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
