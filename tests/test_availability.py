"""Requests for which no endpoint is left."""

import anyio
import pytest

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.requests import RequestProgress
from masticwind.serving.model import RouteKind, Service
from masticwind.serving.placement.health import INITIAL_EXCLUSION_S
from tests.news_entry import REFUSED, SERVICE, admitted_request
from tests.news_fleet import ZONES, small_fleet

pytestmark = pytest.mark.anyio


async def test_call_waits_for_its_only_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that are refused within milliseconds, though their
    only endpoint, which refused one connection, takes them in time.
    """
    fleet = small_fleet(1)
    entry = fleet.entries[0]
    waits: list[float] = []

    async def sleep(seconds: float) -> None:
        waits.append(seconds)
        fleet.clock.now += seconds

    monkeypatch.setattr(anyio, 'sleep', sleep)
    progress = RequestProgress()
    await entry.fail_call(progress, REFUSED)
    patient_ms = 9 * INITIAL_EXCLUSION_S * 1000
    patient = admitted_request(
        target_ms=patient_ms, timeout_ms=int(2 * patient_ms)
    )
    placed = await entry.placer.place(patient, progress)
    assert not isinstance(placed, Failure)
    assert placed.placement.lead.identity in fleet.engines
    assert sum(waits) >= INITIAL_EXCLUSION_S


async def test_calls_that_cannot_wait_return_one_after_another() -> None:
    """Guards against 64 calls that are refused together, come back together,
    or come back before there is an endpoint for them.
    """
    entry = small_fleet(1).entries[0]
    hints: list[int] = []
    for _ in range(64):
        progress = RequestProgress()
        await entry.fail_call(progress, REFUSED)
        admitted = admitted_request(target_ms=0, timeout_ms=900)
        refused = await entry.placer.place(admitted, progress)
        assert isinstance(refused, Failure)
        assert refused.kind is ErrorKind.NO_CAPACITY
        left_ms = entry.health.excluded_for_s(f'{ZONES[1]}-0') * 1000
        assert refused.retry_after_ms >= left_ms
        hints.append(round(refused.retry_after_ms - left_ms))
    assert max(hints) - min(hints) > INITIAL_EXCLUSION_S * 1000 / 2


async def test_request_that_may_have_run_keeps_its_truthful_failure() -> None:
    """Guards against a 503, which says that a request has not run, and against
    a second attempt at an endpoint that may have run it.
    """
    entry = small_fleet(1).entries[0]
    admitted = admitted_request(kind=RouteKind.AT_MOST_ONCE, target_ms=60_000)
    progress = RequestProgress()
    broken = Failure(kind=ErrorKind.FAILED_AFTER_START, reason='reset')
    await entry.fail_call(progress, broken)
    refused = await entry.placer.place(admitted, progress)
    assert isinstance(refused, Failure)
    final = progress.final_failure(refused)
    assert final.kind is ErrorKind.FAILED_AFTER_START
    assert not final.retry_after_ms


async def test_request_does_not_return_to_an_endpoint_that_it_waits_for() -> (
    None
):
    """Guards against two attempts of a request at one endpoint, if the first
    still waits for its connection when the second looks for an endpoint.
    """
    fleet = small_fleet(1)
    entry = fleet.entries[0]
    await entry.fail_call(RequestProgress(), REFUSED)
    progress = RequestProgress(excluded_endpoints=set(fleet.engines))
    admitted = admitted_request(target_ms=60_000, timeout_ms=60_000)
    refused = await entry.placer.place(admitted, progress)
    assert isinstance(refused, Failure)
    assert not refused.retry_after_ms


@pytest.mark.parametrize('news', [False, True])
async def test_refusal_by_the_cold_limit_names_its_end(*, news: bool) -> None:
    """Guards against a hint that has nothing to do with the next permit, and
    against other decisions while the setting is off.
    """
    fleet = small_fleet(1, news=news)
    entry = fleet.entries[0]
    cold = Service(name=SERVICE, max_connections=9, cold_per_s=1)
    admitted = admitted_request(service=cold)
    while True:
        placed = await entry.placer.place(admitted, RequestProgress())
        if isinstance(placed, Failure):
            break
        entry.cold_limiter.record_request(placed.placement.lead.identity)
        fleet.clock.now += 0.25
    assert placed.kind is ErrorKind.NO_CAPACITY
    assert bool(placed.retry_after_ms) is news
    if news:
        fleet.clock.now += placed.retry_after_ms / 1000
        again = await entry.placer.place(admitted, RequestProgress())
        assert not isinstance(again, Failure)
