"""Retries of a model request over scripted agents."""

from functools import partial
from typing import Any

import anyio
import msgspec
import pytest

from masticwind.config.model import Generation, Team, Zone
from masticwind.engines.base import Done
from masticwind.entry import attempts
from masticwind.entry.agent_pool import LinkEvent
from masticwind.entry.relay import MAX_ATTEMPTS
from masticwind.entry.retries import MAX_SAVED_RETRIES
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import (
    Accepted,
    Cancel,
    End,
    Offer,
    Output,
    Refused,
    Revoke,
)
from tests.scenarios import sample_config
from tests.scripted_relay import Script, ScriptedChannel, ScriptedRelay

pytestmark = pytest.mark.anyio


def _refuse(kind: str, hint_ms: int = 0) -> Script:
    return lambda offer: [
        Refused(offer.request_id, offer.attempt, kind, 'no', hint_ms),
    ]


def _serve(offer: Offer) -> list[Any]:
    key = (offer.request_id, offer.attempt)
    return [Accepted(*key), Output(*key, 0, ('a', 'b')), End(*key, 2)]


def _never_ends(offer: Offer) -> list[Any]:
    return [Accepted(offer.request_id, offer.attempt)]


def _end(kind: str, *output: str) -> Script:
    def script(offer: Offer) -> list[Any]:
        key = (offer.request_id, offer.attempt)
        answers: list[Any] = [Accepted(*key)]
        if output:
            answers.append(Output(*key, 0, output))
        return [*answers, End(*key, len(output), kind, 'ended')]

    return script


def _make_busier(channel: ScriptedChannel) -> None:
    """Let the other agent be chosen first."""
    load = channel.link.reported_load
    assert load is not None
    channel.link.reported_load = msgspec.structs.replace(
        load,
        paid_work_tokens=5000,
    )


async def test_refusing_agent_is_asked_once_and_the_smallest_hint_wins() -> (
    None
):
    """Guards against hammering an agent that has refused."""
    bench = ScriptedRelay(
        *(_refuse('overloaded', hint) for hint in (900, 300, 0))
    )
    outcome = await bench.run()
    assert outcome == Failure(
        kind=ErrorKind.OVERLOADED,
        reason='no',
        retry_after_ms=300,
    )
    assert bench.offers() == [1, 1, 1]


async def test_attempts_are_bounded() -> None:
    """Guards against a walk over the whole fleet."""
    bench = ScriptedRelay(
        *(_refuse('draining') for _ in range(MAX_ATTEMPTS + 3))
    )
    await bench.run()
    assert sum(bench.offers()) == MAX_ATTEMPTS


async def test_refused_request_is_served_elsewhere() -> None:
    """Guards against an answer that is lost although capacity exists."""
    bench = ScriptedRelay(_refuse('draining'), _serve)
    for _ in range(4):
        assert await bench.run() == Done(2, 0)
    assert ''.join(bench.output) == 'abababab'


async def test_invalid_request_is_not_repeated() -> None:
    """Guards against retries that cannot succeed."""
    bench = ScriptedRelay(_refuse('bad_request'), _refuse('bad_request'))
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.BAD_REQUEST
    assert sum(bench.offers()) == 1


async def test_request_with_output_does_not_move() -> None:
    """Guards against an answer that is composed of two streams."""
    scripts = [_end('failed_after_start', 'a') for _ in range(2)]
    bench = ScriptedRelay(*scripts)
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.FAILED_AFTER_START
    assert sum(bench.offers()) == 1


@pytest.mark.parametrize('kind', ['revoked', 'overloaded', 'new_kind'])
async def test_end_after_output_is_never_not_run(kind: str) -> None:
    """Guards against "not run" for a request that has generated."""
    bench = ScriptedRelay(_end(kind, 'a'))
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind in (
        ErrorKind.FAILED_AFTER_START,
        ErrorKind.OUTCOME_UNKNOWN,
    )


async def test_attempt_that_may_have_run_decides_the_answer() -> None:
    """Guards against "not run" after an agent that forgot the request."""
    bench = ScriptedRelay(*(_end('not_found') for _ in range(2)))
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
    assert bench.offers() == [1, 1]
    assert all(channel.count(Cancel) for channel in bench.channels)


async def test_request_of_a_lost_agent_moves_without_output(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waiting for an agent that has died."""
    monkeypatch.setattr(attempts, 'RESTART_TIMEOUT_S', 0.01)

    def vanish(offer: Offer) -> list[Any]:
        key = (offer.request_id, offer.attempt)
        return [Accepted(*key), LinkEvent.LOST]

    bench = ScriptedRelay(vanish, _serve)
    _make_busier(bench.channels[1])
    for _ in range(6):
        assert await bench.run() == Done(2, 0)
    lost, serving = bench.channels
    assert lost.count(Offer) == lost.count(Cancel) == 6
    assert serving.count(Offer) == 6
    assert not serving.count(Cancel)


async def test_offer_without_a_decision_is_revoked_and_moves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two agents that run the same request."""
    monkeypatch.setattr(attempts, 'OFFER_TIMEOUT_S', 0.01)
    bench = ScriptedRelay(lambda _offer: [], _serve)
    _make_busier(bench.channels[1])
    for _ in range(6):
        assert await bench.run() == Done(2, 0)
    silent = bench.channels[0]
    assert silent.count(Offer) == silent.count(Revoke) == 6


async def test_used_up_budget_stops_retries() -> None:
    """Guards against retries that multiply an overload."""
    bench = ScriptedRelay(_refuse('overloaded'), _refuse('overloaded'))
    requests = int(MAX_SAVED_RETRIES) + 20
    for _ in range(requests):
        await bench.run()
    # One more may come from the floor of one retry a second.
    assert sum(bench.offers()) <= requests + MAX_SAVED_RETRIES + 1


async def test_zone_out_of_service_gets_nothing() -> None:
    """Guards against new work for a zone that has just been taken out."""
    bench = ScriptedRelay(_serve, _serve)
    zones = dict(bench.config.config.zones)
    zones['zone-a'] = Zone(region='north', in_service=False)
    config = sample_config(zones=zones)
    bench.config.adopt(Generation(number=2, config=config))
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.NO_CAPACITY
    assert outcome.retry_after_ms > 0
    assert bench.offers() == [0, 0]


async def test_limits_are_returned_on_every_path() -> None:
    """Guards against in-flight counts that leak with refusals."""
    teams = {'conservators': Team(tier='paid', max_in_flight=1)}
    bench = ScriptedRelay(_refuse('overloaded'), teams=teams)
    for _ in range(3):
        outcome = await bench.run()
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.OVERLOADED


async def test_cold_endpoint_gets_its_slots_while_others_serve() -> None:
    """Guards against work piled on a cold endpoint beside a warm one."""
    bench = ScriptedRelay(_never_ends, _never_ends)
    link = bench.channels[0].link
    assert link.reported_load is not None
    link.reported_load = msgspec.structs.replace(
        link.reported_load,
        state='cold',
        slots=2,
    )
    async with anyio.create_task_group() as tasks:
        for number in range(20):
            tasks.start_soon(partial(bench.run, request_id=f'r{number}'))
        await anyio.wait_all_tasks_blocked()
        assert bench.offers()[0] <= 2
        assert sum(bench.offers()) == 20
        tasks.cancel_scope.cancel()


async def test_requests_wait_at_a_cold_endpoint_that_is_the_only_one() -> None:
    """Guards against refusals while the agent could queue the request.

    The agent decides what its engine can bear; the entry's view is a hint.
    """
    bench = ScriptedRelay(_never_ends)
    link = bench.channels[0].link
    assert link.reported_load is not None
    link.reported_load = msgspec.structs.replace(
        link.reported_load,
        state='cold',
        slots=2,
    )
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(partial(bench.run, request_id=f'r{number}'))
        await anyio.wait_all_tasks_blocked()
        assert bench.offers() == [4]
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('policy', 'most'),
    [('least_work', 10), ('size_preference', 15)],
)
async def test_work_of_a_zone_that_leaves_is_spread(
    policy: str,
    most: int,
) -> None:
    """Guards against a stampede onto one of the endpoints that are left.

    The preference by length may load an endpoint half again as much.
    """
    scripts = [_never_ends for _ in range(6)]
    bench = ScriptedRelay(*scripts, length_policy=policy)
    for number, channel in enumerate(bench.channels):
        zone = 'zone-a' if number < 3 else 'zone-b'
        bench.move(channel, zone)
    zones = dict(bench.config.config.zones)
    zones['zone-a'] = Zone(region='north', in_service=False)
    config = sample_config(zones=zones)
    bench.config.adopt(Generation(number=2, config=config))
    async with anyio.create_task_group() as tasks:
        for number in range(30):
            tasks.start_soon(partial(bench.run, request_id=f'r{number}'))
        await anyio.wait_all_tasks_blocked()
        offers = bench.offers()
        assert offers[:3] == [0, 0, 0]
        assert sum(offers) == 30
        assert max(offers) <= most
        tasks.cancel_scope.cancel()
