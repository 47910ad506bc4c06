"""Reports of other entries about endpoints that they could not reach."""

import json
from typing import Final

import anyio
import pytest

from masticwind.platform.main import platform_adapter
from masticwind.serving.datagrams import PeerAddress, PeerSocket
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.health import EndpointHealth
from masticwind.serving.placement.placer import (
    CallPlacer,
    Placement,
    PlacementQuery,
    Placer,
)
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind.serving.placement.suspicions import (
    INITIAL_SUSPICION_S,
    MAX_SUSPICION_S,
    Suspicion,
    Suspicions,
)
from masticwind.serving.server import DirectEntry
from masticwind.serving.settings import LiveSettings, StoreSettings
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.play.simulation import LARGE_WORKLOAD
from masticwind_dev.standins.metadata import MetadataStandin
from tests.entry_harness import (
    free_udp_port,
    registration_json,
    sample_config_document,
    sample_settings,
)
from tests.manual_clock import ManualClock

pytestmark = pytest.mark.anyio

SENDER: Final = PeerAddress('127.0.0.1', 1)
UNREACHABLE: Final = 'i-dark'


def _suspicions(clock: ManualClock) -> Suspicions:
    cfg = sample_settings(zone='zone-b')
    return Suspicions(PeerSocket(cfg), EntryPeers(cfg), cfg.zone, clock)


def _receive_report(suspicions: Suspicions, zone: str) -> None:
    suspicions.receive(Suspicion(zone, UNREACHABLE), SENDER)


def test_one_report_from_the_own_zone_is_enough() -> None:
    """Guards against an endpoint crash that costs every entry a failed
    request, because entries do not use each other's reports.
    """
    suspicions = _suspicions(ManualClock())
    _receive_report(suspicions, 'zone-b')
    assert suspicions.is_suspected(UNREACHABLE)
    assert not suspicions.is_suspected('i-other')


def test_reports_from_a_single_other_zone_are_not_enough() -> None:
    """Guards against an endpoint that is suspected by entries that can reach
    it, because a network partition separates its zone from one other zone.
    """
    suspicions = _suspicions(ManualClock())
    for _ in range(5):
        _receive_report(suspicions, 'zone-a')
    assert not suspicions.is_suspected(UNREACHABLE)
    _receive_report(suspicions, 'zone-c')
    assert suspicions.is_suspected(UNREACHABLE)


def test_suspicion_ends_after_its_duration_and_after_a_success() -> None:
    """Guards against an endpoint that is avoided after it has recovered."""
    clock = ManualClock()
    suspicions = _suspicions(clock)
    _receive_report(suspicions, 'zone-b')
    clock.now += INITIAL_SUSPICION_S
    assert not suspicions.is_suspected(UNREACHABLE)
    _receive_report(suspicions, 'zone-b')
    suspicions.record_success(UNREACHABLE)
    assert not suspicions.is_suspected(UNREACHABLE)


def test_suspicion_of_an_unreachable_endpoint_doubles_up_to_a_limit() -> None:
    """Guards against an endpoint that is tried every second though it stays
    unreachable, and against simultaneous reports that each double the time.
    """
    clock = ManualClock()
    suspicions = _suspicions(clock)
    for duration_s in (
        INITIAL_SUSPICION_S,
        2 * INITIAL_SUSPICION_S,
        MAX_SUSPICION_S,
        MAX_SUSPICION_S,
    ):
        for _ in range(9):
            _receive_report(suspicions, 'zone-b')
        clock.now += duration_s - 0.01
        assert suspicions.is_suspected(UNREACHABLE)
        clock.now += 0.02
        assert not suspicions.is_suspected(UNREACHABLE)


@pytest.mark.parametrize('prompt', [None, 5000, 300_000])
def test_suspected_endpoint_is_used_last(prompt: int | None) -> None:
    """Guards against requests to suspected endpoints while there are others,
    and against requests that fail because all endpoints are suspected.
    """
    clock = ManualClock()
    suspicions = _suspicions(clock)
    health = EndpointHealth(suspicions, clock)
    endpoints = [
        _endpoint(UNREACHABLE),
        *(_endpoint(f'i-{number}') for number in range(20)),
    ]
    for _ in range(50):
        _receive_report(suspicions, 'zone-b')
        chosen = _place(health, endpoints, prompt)
        assert UNREACHABLE not in chosen
    assert UNREACHABLE in _place(health, endpoints[:1], prompt)


def _endpoint(identity: str) -> Endpoint:
    return Endpoint(
        identity=identity,
        service='s',
        host='127.0.0.1',
        port=1,
        zone='zone-b',
        slots=5,
    )


def _place(
    health: EndpointHealth,
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
        failure_shares=health.failure_shares(endpoints),
    )
    placer: Placer = CallPlacer() if prompt is None else PromptPlacer()
    placement = placer.place(query)
    assert isinstance(placement, Placement)
    return {job.endpoint_id for job in placement.jobs}


async def test_failed_connections_are_reported_to_other_entries() -> None:
    """Guards against failed connections that are not sent to other entries."""
    store = MetadataStandin()
    server = WebServer(store.app, Address())
    store.write('op/config', json.dumps(sample_config_document()).encode())
    store.write('servers/i-1', registration_json(1))
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
        reporting, receiving = (one._cleanup.health for one in entries)
        with anyio.fail_after(5):
            while not receiving.failure_shares([_endpoint('i-1')]):
                reporting.record_failure('i-1', 'reset', connection_failed=True)
                await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
