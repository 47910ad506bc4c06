"""Attempts and retries of model requests at scripted agents."""

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


def _refuse(kind: str, retry_after_ms: int = 0) -> Script:
    return lambda offer: [
        Refused(offer.request_id, offer.attempt, kind, 'no', retry_after_ms),
    ]


def _serve(offer: Offer) -> list[Any]:
    key = (offer.request_id, offer.attempt)
    return [Accepted(*key), Output(*key, 0, ('a', 'b')), End(*key, 2)]


def _accept_only(offer: Offer) -> list[Any]:
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
    """Give an agent queued work, so that another is chosen first."""
    load = channel.link.reported_load
    assert load is not None
    channel.link.reported_load = msgspec.structs.replace(
        load,
        paid_work_tokens=5000,
    )


async def test_refusing_agents_get_one_offer_and_least_delay_is_kept() -> None:
    """Guards against repeated offers to an agent that has refused."""
    relay = ScriptedRelay(
        *(_refuse('overloaded', delay_ms) for delay_ms in (900, 300, 0))
    )
    outcome = await relay.run()
    assert outcome == Failure(
        kind=ErrorKind.OVERLOADED,
        reason='no',
        retry_after_ms=300,
    )
    assert relay.offer_counts() == [1, 1, 1]


async def test_attempts_are_bounded() -> None:
    """Guards against trying every agent of the fleet."""
    relay = ScriptedRelay(
        *(_refuse('draining') for _ in range(MAX_ATTEMPTS + 3))
    )
    await relay.run()
    assert sum(relay.offer_counts()) == MAX_ATTEMPTS


async def test_refused_request_is_served_by_another_agent() -> None:
    """Guards against failing a request while another agent has capacity."""
    relay = ScriptedRelay(_refuse('draining'), _serve)
    for _ in range(4):
        assert await relay.run() == Done(2, 0)
    assert ''.join(relay.output) == 'abababab'


async def test_invalid_request_is_not_repeated() -> None:
    """Guards against retries that cannot succeed."""
    relay = ScriptedRelay(_refuse('bad_request'), _refuse('bad_request'))
    outcome = await relay.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.BAD_REQUEST
    assert sum(relay.offer_counts()) == 1


async def test_request_with_output_is_not_retried() -> None:
    """Guards against an answer with tokens of two different streams."""
    scripts = [_end('failed_after_start', 'a') for _ in range(2)]
    relay = ScriptedRelay(*scripts)
    outcome = await relay.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.FAILED_AFTER_START
    assert sum(relay.offer_counts()) == 1


@pytest.mark.parametrize('kind', ['revoked', 'overloaded', 'new_kind'])
async def test_failure_after_output_is_not_of_a_not_run_kind(kind: str) -> None:
    """Guards against a not-run failure of a request that has run."""
    relay = ScriptedRelay(_end(kind, 'a'))
    outcome = await relay.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind in (
        ErrorKind.FAILED_AFTER_START,
        ErrorKind.OUTCOME_UNKNOWN,
    )


async def test_attempt_that_may_have_run_decides_the_answer() -> None:
    """Guards against a not-run answer after an agent lost the request.

    A restarted agent answers `not_found` for a request that it ran before.
    """
    relay = ScriptedRelay(*(_end('not_found') for _ in range(2)))
    outcome = await relay.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
    assert relay.offer_counts() == [1, 1]
    assert all(channel.count(Cancel) for channel in relay.channels)


async def test_request_without_output_is_retried_if_its_agent_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waiting for an agent that has crashed."""
    monkeypatch.setattr(attempts, 'RESTART_TIMEOUT_S', 0.01)

    def lose_connection(offer: Offer) -> list[Any]:
        key = (offer.request_id, offer.attempt)
        return [Accepted(*key), LinkEvent.LOST]

    relay = ScriptedRelay(lose_connection, _serve)
    _make_busier(relay.channels[1])
    for _ in range(6):
        assert await relay.run() == Done(2, 0)
    lost, serving = relay.channels
    assert lost.count(Offer) == lost.count(Cancel) == 6
    assert serving.count(Offer) == 6
    assert not serving.count(Cancel)


async def test_unanswered_offer_is_revoked_and_retried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against running a request on two agents at once."""
    monkeypatch.setattr(attempts, 'OFFER_TIMEOUT_S', 0.01)
    relay = ScriptedRelay(lambda _offer: [], _serve)
    _make_busier(relay.channels[1])
    for _ in range(6):
        assert await relay.run() == Done(2, 0)
    silent = relay.channels[0]
    assert silent.count(Offer) == silent.count(Revoke) == 6


async def test_used_up_budget_stops_retries() -> None:
    """Guards against more retries than the budget, which worsen overload."""
    relay = ScriptedRelay(_refuse('overloaded'), _refuse('overloaded'))
    requests = int(MAX_SAVED_RETRIES) + 20
    for _ in range(requests):
        await relay.run()
    # One more may come from the minimum rate of one retry per second.
    assert sum(relay.offer_counts()) <= requests + MAX_SAVED_RETRIES + 1


async def test_zone_out_of_service_gets_no_requests() -> None:
    """Guards against requests to a zone just taken out of service."""
    relay = ScriptedRelay(_serve, _serve)
    zones = dict(relay.config.config.zones)
    zones['zone-a'] = Zone(region='north', in_service=False)
    config = sample_config(zones=zones)
    relay.config.adopt(Generation(number=2, config=config))
    outcome = await relay.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.NO_CAPACITY
    assert outcome.retry_after_ms > 0
    assert relay.offer_counts() == [0, 0]


async def test_team_limits_are_released_after_a_refusal() -> None:
    """Guards against in-flight counts that leak when agents refuse."""
    teams = {'conservators': Team(tier='paid', max_in_flight=1)}
    relay = ScriptedRelay(_refuse('overloaded'), teams=teams)
    for _ in range(3):
        outcome = await relay.run()
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.OVERLOADED


async def test_cold_endpoint_gets_no_more_than_its_slots() -> None:
    """Guards against queueing at a cold endpoint while a warm one serves."""
    relay = ScriptedRelay(_accept_only, _accept_only)
    link = relay.channels[0].link
    assert link.reported_load is not None
    link.reported_load = msgspec.structs.replace(
        link.reported_load,
        state='cold',
        slots=2,
    )
    async with anyio.create_task_group() as tasks:
        for number in range(20):
            tasks.start_soon(partial(relay.run, request_id=f'r{number}'))
        await anyio.wait_all_tasks_blocked()
        assert relay.offer_counts()[0] <= 2
        assert sum(relay.offer_counts()) == 20
        tasks.cancel_scope.cancel()


async def test_requests_queue_at_the_only_endpoint_while_it_is_cold() -> None:
    """Guards against refusals while the agent could queue the request.

    The agent decides how much it accepts; the entry only estimates it.
    """
    relay = ScriptedRelay(_accept_only)
    link = relay.channels[0].link
    assert link.reported_load is not None
    link.reported_load = msgspec.structs.replace(
        link.reported_load,
        state='cold',
        slots=2,
    )
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(partial(relay.run, request_id=f'r{number}'))
        await anyio.wait_all_tasks_blocked()
        assert relay.offer_counts() == [4]
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('policy', 'most'),
    [('least_work', 10), ('size_preference', 15)],
)
async def test_requests_of_a_lost_zone_are_spread_over_endpoints(
    policy: str,
    most: int,
) -> None:
    """Guards against sending all requests to one remaining endpoint.

    The length preference may load an endpoint 1.5 times as much.
    """
    scripts = [_accept_only for _ in range(6)]
    relay = ScriptedRelay(*scripts, length_policy=policy)
    for number, channel in enumerate(relay.channels):
        zone = 'zone-a' if number < 3 else 'zone-b'
        relay.set_zone(channel, zone)
    zones = dict(relay.config.config.zones)
    zones['zone-a'] = Zone(region='north', in_service=False)
    config = sample_config(zones=zones)
    relay.config.adopt(Generation(number=2, config=config))
    async with anyio.create_task_group() as tasks:
        for number in range(30):
            tasks.start_soon(partial(relay.run, request_id=f'r{number}'))
        await anyio.wait_all_tasks_blocked()
        offers = relay.offer_counts()
        assert offers[:3] == [0, 0, 0]
        assert sum(offers) == 30
        assert max(offers) <= most
        tasks.cancel_scope.cancel()
