"""Reports of endpoints that are gone, and requests without an endpoint."""

import json
from typing import Final

import anyio
import msgspec
import pytest

from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpClient
from masticwind.platform.main import platform_adapter
from masticwind.serving.admission.requests import RequestProgress
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.candidates import CandidateFinder
from masticwind.serving.placement.endpoint_news import (
    ENDPOINT_NEWS,
    MIN_INTERVAL_S,
    EndpointReport,
)
from masticwind.serving.placement.reported_endpoints import (
    DOUBT_S,
    REPLACED_S,
    REPORT_WINDOW_S,
    NewsKind,
)
from masticwind.serving.placement.suspicions import SUSPICION, Suspicion
from masticwind.serving.server import DirectEntry
from masticwind.serving.settings import LiveSettings, StoreSettings
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.standins.metadata import MetadataStandin
from tests.entry_harness import (
    free_tcp_port,
    free_udp_port,
    registration_json,
    sample_config_document,
    sample_settings,
)
from tests.news_entry import REFUSED, NewsEntry, admitted_request
from tests.news_fleet import (
    DATAGRAM_S,
    ZONES,
    NewsFleet,
    small_fleet,
)

pytestmark = pytest.mark.anyio

ENTRIES: Final = 20
ENGINES_PER_ZONE: Final = 18
SHORT_PROMPT: Final = 4960
# 40 short prompts a second, in a burst.
BURST_PER_S: Final = 40 * 2.4
SEEDS: Final = range(3)
RESTART_S: Final = 0.3
LOADED_AFTER_S: Final = 3.0


async def _attempts_at_gone(*, news: bool, loss: float = 0.0015) -> int:
    """Restart a zone under the load of a burst; registrations lapse later."""
    attempts = 0
    for seed in SEEDS:
        fleet = NewsFleet(seed=seed, loss=loss)
        for zone in ZONES:
            fleet.add_engines(ENGINES_PER_ZONE, zone)
        for _ in range(ENTRIES):
            fleet.add_entry(news=news)
        at_s = 0.0
        while at_s < 2 * LOADED_AFTER_S:
            at_s += fleet.rng.expovariate(BURST_PER_S)
            entry = fleet.rng.choice(fleet.entries)
            fleet.at(at_s, fleet.serve, entry, SHORT_PROMPT)
        for identity, engine in fleet.engines.items():
            if engine.zone == ZONES[1]:
                end_s = LOADED_AFTER_S + fleet.rng.uniform(0, RESTART_S)
                kind = fleet.rng.choice(
                    (ErrorKind.NO_CAPACITY, ErrorKind.REVOKED)
                )
                fleet.at(end_s, fleet.end_engine, identity, kind)
        await fleet.run(2 * LOADED_AFTER_S)
        attempts += fleet.attempts_at_gone
    return attempts


async def test_restarted_zone_costs_at_most_one_attempt_for_each_engine() -> (
    None
):
    """Guards against engines that have ended, look idle and are the first
    choice of every entry, under the load of a burst of short prompts.
    """
    engines = ENGINES_PER_ZONE * len(SEEDS)
    assert await _attempts_at_gone(news=True) <= engines
    assert await _attempts_at_gone(news=False) > 2 * engines


async def test_lost_datagrams_cost_no_more_than_no_news() -> None:
    """Guards against entries that rely on news, under the same load."""
    without_news = await _attempts_at_gone(news=False)
    assert await _attempts_at_gone(news=True, loss=1) <= without_news
    engines = ENGINES_PER_ZONE * len(SEEDS)
    assert await _attempts_at_gone(news=True, loss=0.2) <= engines


def _candidates(entry: NewsEntry, *excluded: str) -> set[str]:
    finder: CandidateFinder = entry.placer._candidates
    progress = RequestProgress(excluded_endpoints=set(excluded))
    found, _ = finder.find(admitted_request(), progress)
    return {endpoint.identity for endpoint in found}


async def test_replaced_endpoint_gets_requests_only_as_the_last_one() -> None:
    """Guards against a request to a replaced process while there is another,
    and against a refusal because the only one is reported as replaced.
    """
    fleet = small_fleet(2)
    replaced, other = fleet.engines.values()
    fleet.entries[0].news.report(replaced, NewsKind.REPLACED)
    await fleet.run(2 * DATAGRAM_S)
    for entry in fleet.entries:
        assert _candidates(entry) == {other.identity}
        assert _candidates(entry, other.identity) == {replaced.identity}
    # A failing endpoint is a better choice.
    fleet.entries[1].health.record_failure(
        other.identity, 'reset', connection_failed=True
    )
    assert _candidates(fleet.entries[1]) == {other.identity}


async def test_false_news_cost_an_endpoint_three_seconds() -> None:
    """Guards against a faulty entry that keeps a sound endpoint from its
    requests, or all endpoints of a service.
    """
    fleet = small_fleet(3)
    faulty, sound = fleet.entries
    slandered = next(iter(fleet.engines.values()))
    rounds = int(3 * REPLACED_S / MIN_INTERVAL_S)
    excluded_rounds = 0
    for _ in range(rounds):
        faulty.news.report(slandered, NewsKind.REPLACED)
        await fleet.run(MIN_INTERVAL_S)
        excluded_rounds += slandered.identity not in _candidates(sound)
    assert excluded_rounds * MIN_INTERVAL_S <= REPLACED_S
    for endpoint in fleet.engines.values():
        faulty.news.report(endpoint, NewsKind.REPLACED)
        faulty.news.report(endpoint, NewsKind.REFUSED)
    await fleet.run(2 * DATAGRAM_S)
    assert _candidates(sound)


async def test_success_ends_the_exclusion_by_false_news() -> None:
    """Guards against an endpoint that is left out though it serves."""
    fleet = small_fleet(2)
    slandered, _ = fleet.engines.values()
    entry = fleet.entries[0]
    entry.news.report(slandered, NewsKind.REPLACED)
    entry.news.record_success(slandered)
    assert slandered.identity in _candidates(entry)


async def test_news_of_an_earlier_process_has_no_effect() -> None:
    """Guards against a new process that is left out for what happened to the
    one before it under the same identity.
    """
    fleet = small_fleet(4)
    receiver = fleet.entries[1]
    for endpoint in fleet.engines.values():
        for kind in NewsKind:
            _deliver(
                receiver,
                EndpointReport(
                    ZONES[1],
                    endpoint.identity,
                    endpoint.started_at_ms - 1,
                    kind,
                ),
            )
    assert _candidates(receiver) == set(fleet.engines)
    for identity in fleet.engines:
        receiver.directory.remove(identity, 'registration removed')
        _deliver(receiver, EndpointReport(ZONES[1], identity, 0, 'replaced'))
    assert not receiver.news.reported.doubtful_count()
    assert not receiver.health.failure_shares(fleet.engines.values())


def _deliver(
    entry: NewsEntry, message: msgspec.Struct, kind: str = ENDPOINT_NEWS
) -> None:
    entry.deliver(msgspec.msgpack.encode((kind, message)))


async def test_entries_of_other_releases_understand_each_other(
    errors: list[object],
) -> None:
    """Guards against an upgrade during which reports are misunderstood: an
    earlier release ignores news and sends suspicions, and a later one may say
    more than this one knows.
    """
    earlier = small_fleet(1, news=False)
    endpoint = next(iter(earlier.engines.values()))
    report = EndpointReport(ZONES[1], endpoint.identity, 1, 'replaced')
    _deliver(earlier.entries[1], report)
    assert _candidates(earlier.entries[1]) == {endpoint.identity}
    assert not earlier.entries[1].news.report(endpoint, NewsKind.REFUSED)

    entry = small_fleet(1).entries[1]
    suspicion = Suspicion(ZONES[1], endpoint.identity)
    _deliver(entry, suspicion, SUSPICION)
    assert entry.health.failure_shares((endpoint,)) == {endpoint.identity: 1}
    known = [ZONES[1], endpoint.identity, 1]
    later = (ENDPOINT_NEWS, [*known, 'replaced', 'new'])
    unknown = (ENDPOINT_NEWS, [*known, 'unheard-of'])
    entry.deliver(msgspec.msgpack.encode(unknown))
    assert not entry.news.reported.is_replaced(endpoint)
    entry.deliver(msgspec.msgpack.encode(later))
    assert entry.news.reported.is_replaced(endpoint)
    assert not errors


async def test_refused_connection_is_sent_once_in_an_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a message for each request to an endpoint that is gone,
    and against one refusal that is told twice.
    """
    fleet = small_fleet(1)
    reporting, receiving = fleet.entries
    endpoint = next(iter(fleet.engines.values()))
    received: list[str] = []

    def deliver(content: bytes) -> None:
        received.append(msgspec.msgpack.decode(content)[0])

    monkeypatch.setattr(receiving, 'deliver', deliver)
    for _ in range(50):
        await reporting.fail_call(RequestProgress(), REFUSED)
        await fleet.run(2 * MIN_INTERVAL_S / 50)
    assert received == [ENDPOINT_NEWS, ENDPOINT_NEWS]
    assert reporting.telemetry.endpoint_news.labels('refused')._value.get() == 1
    assert reporting.health.is_excluded(endpoint.identity)


def _doubtful(entry: NewsEntry, endpoints: list[Endpoint]) -> set[str]:
    return set(entry.health.failure_shares(endpoints))


async def test_endpoints_of_a_failing_zone_must_prove_that_they_live() -> None:
    """Guards against endpoints without jobs that are preferred although their
    zone is being restarted, and against sound ones that stay behind.
    """
    fleet = small_fleet(8)
    fleet.add_engines(2, ZONES[0])
    entry = fleet.entries[0]
    endpoints = list(fleet.engines.values())
    names = [endpoint.identity for endpoint in endpoints]
    for number, endpoint in enumerate(endpoints[:3]):
        assert not _doubtful(entry, endpoints)
        entry.news.report(endpoint, NewsKind.REPLACED)
        if not number:
            entry.news.record_liveness(names[3])
        fleet.clock.now += 0.1
    # All of the zone but the one that has given a sign of life since.
    assert _doubtful(entry, endpoints) == {*names[:3], *names[4:8]}
    entry.news.record_liveness(names[5])
    newcomer = fleet.add_engines(1, ZONES[1])[0]
    endpoints.append(newcomer)
    # A process that registers later is alive, and one that is proved stays so,
    # whatever is reported of others.
    entry.news.report(endpoints[0], NewsKind.REFUSED)
    assert _doubtful(entry, endpoints) == {*names[:3], names[4], *names[6:8]}
    assert set(names[3:8]) <= _candidates(entry)
    assert entry.news.reported.doubtful_count() == 6
    fleet.clock.now += DOUBT_S
    assert not _doubtful(entry, endpoints)


async def test_reports_apart_from_each_other_cast_no_doubt() -> None:
    """Guards against a zone that is doubted for unrelated failures."""
    fleet = small_fleet(8)
    entry = fleet.entries[0]
    endpoints = list(fleet.engines.values())
    for endpoint in endpoints[:5]:
        for _ in range(3):
            entry.news.report(endpoint, NewsKind.REPLACED)
        fleet.clock.now += 0.6 * REPORT_WINDOW_S
    assert not _doubtful(entry, endpoints)


async def test_connection_without_a_listener_is_refused() -> None:
    """Guards against refused connections that no entry is told of."""
    client = HttpClient(f'http://127.0.0.1:{await free_tcp_port()}')
    async with client.stream('GET', '/', timeout_s=5) as answer:
        assert isinstance(answer, Failure)
        assert answer.refused
    await client.close()


async def test_news_reach_other_entries() -> None:
    """Guards against news that are not sent or not received."""
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
            endpoint_news=True,
        )
        entries.append(DirectEntry(LiveSettings(cfg), platform_adapter(cfg)))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        for running in entries:
            tasks.start_soon(running.run)
        with anyio.fail_after(5):
            while not all(one.endpoint_count for one in entries):
                await anyio.sleep(0.02)
            endpoint = entries[0]._directory.find('i-1')
            assert endpoint is not None
            receiving = entries[1]._cleanup.news.reported
            while not receiving.is_replaced(endpoint):
                entries[0]._cleanup.news.report(endpoint, NewsKind.REPLACED)
                await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
