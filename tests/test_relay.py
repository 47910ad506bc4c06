"""Retries of a model request over scripted agents."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import pytest

from masticwind.budget import Budget
from masticwind.config.current import CurrentConfig
from masticwind.config.model import Generation, Team, Zone
from masticwind.engines.base import Done, Tokens
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.attempts import ModelRequest
from masticwind.entry.peers import AgentLink, AgentPool
from masticwind.entry.relay import MAX_ATTEMPTS, Relay
from masticwind.entry.retries import MAX_TOKENS
from masticwind.entry.router import RoutingView
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    Accepted,
    Cancel,
    End,
    Message,
    Offer,
    Output,
    Refused,
    Revoke,
    Revoked,
)
from tests.routing_fakes import entry_settings, fake_job, fake_link
from tests.scenarios import sample_config

pytestmark = pytest.mark.anyio

Script = Callable[[Offer], list[Any]]


@dataclass
class _Channel:
    """Answers messages as a script says."""

    link: AgentLink
    script: Script
    closed: bool = False
    sent: list[Message] = field(default_factory=list)

    def send(self, message: Message) -> bool:
        self.sent.append(message)
        if isinstance(message, Offer):
            for answer in self.script(message):
                self._answer((message.request_id, message.attempt), answer)
        if isinstance(message, Revoke):
            key = (message.request_id, message.attempt)
            self._answer(key, Revoked(*key, started=False))
        return True

    def _answer(self, key: tuple[str, int], answer: Any) -> None:
        self.link._inboxes[key].put(answer)

    def count(self, kind: type[Message]) -> int:
        return sum(isinstance(one, kind) for one in self.sent)


@dataclass
class _Pool:
    links: list[AgentLink]
    live_entries: int = 1


class _Bench:
    """A relay over agents that follow scripts."""

    def __init__(self, *scripts: Script, **sections: Any) -> None:
        self.channels: list[_Channel] = []
        for number, script in enumerate(scripts):
            link = fake_link(f'e{number}')
            channel = _Channel(link, script)
            link._channel = cast(Channel, channel)
            self.channels.append(channel)
        cfg = entry_settings(retry_share=0)
        self.config = CurrentConfig()
        self.config.adopt(
            Generation(number=1, config=sample_config(**sections))
        )
        self.pool = _Pool([one.link for one in self.channels])
        self.relay = Relay(
            cfg,
            cast(AgentPool, self.pool),
            self.config,
            RoutingView(cfg, AffinityIndex(100)),
        )
        self.output: list[str] = []

    async def run(self, timeout_ms: int = 30_000) -> Done | Failure:
        return await self.relay.run(
            ModelRequest(
                request_id='r',
                team='conservators',
                weight=1,
                job=fake_job(),
                prompt=b'x',
                budget=Budget.from_ms(timeout_ms),
            ),
            self._emit,
        )

    def offers(self) -> list[int]:
        return [channel.count(Offer) for channel in self.channels]

    async def _emit(self, tokens: Tokens) -> None:
        self.output.extend(tokens.tokens)


def _refuse(kind: str, hint_ms: int = 0) -> Script:
    return lambda offer: [
        Refused(offer.request_id, offer.attempt, kind, 'no', hint_ms),
    ]


def _serve(offer: Offer) -> list[Any]:
    key = (offer.request_id, offer.attempt)
    return [Accepted(*key), Output(*key, 0, ('a', 'b')), End(*key, 2)]


def _end(kind: str, *output: str) -> Script:
    def script(offer: Offer) -> list[Any]:
        key = (offer.request_id, offer.attempt)
        answers: list[Any] = [Accepted(*key)]
        if output:
            answers.append(Output(*key, 0, output))
        return [*answers, End(*key, len(output), kind, 'ended')]

    return script


async def test_refusing_agent_is_asked_once_and_the_smallest_hint_wins() -> (
    None
):
    """Guards against hammering an agent that has refused."""
    bench = _Bench(*(_refuse('overloaded', hint) for hint in (900, 300, 0)))
    outcome = await bench.run()
    assert outcome == Failure(
        kind=ErrorKind.OVERLOADED,
        reason='no',
        retry_after_ms=300,
    )
    assert bench.offers() == [1, 1, 1]


async def test_attempts_are_bounded() -> None:
    """Guards against a walk over the whole fleet."""
    bench = _Bench(*(_refuse('draining') for _ in range(MAX_ATTEMPTS + 3)))
    await bench.run()
    assert sum(bench.offers()) == MAX_ATTEMPTS


async def test_refused_request_is_served_elsewhere() -> None:
    """Guards against an answer that is lost although capacity exists."""
    bench = _Bench(_refuse('draining'), _serve)
    for _ in range(4):
        assert await bench.run() == Done(2, 0)
    assert ''.join(bench.output) == 'abababab'


async def test_invalid_request_is_not_repeated() -> None:
    """Guards against retries that cannot succeed."""
    bench = _Bench(_refuse('bad_request'), _refuse('bad_request'))
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.BAD_REQUEST
    assert sum(bench.offers()) == 1


async def test_request_with_output_does_not_move() -> None:
    """Guards against an answer that is composed of two streams."""
    scripts = [_end('failed_after_start', 'a') for _ in range(2)]
    bench = _Bench(*scripts)
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.FAILED_AFTER_START
    assert sum(bench.offers()) == 1


@pytest.mark.parametrize('kind', ['revoked', 'overloaded', 'new_kind'])
async def test_end_after_output_is_never_not_run(kind: str) -> None:
    """Guards against "not run" for a request that has generated."""
    bench = _Bench(_end(kind, 'a'))
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind in (
        ErrorKind.FAILED_AFTER_START,
        ErrorKind.OUTCOME_UNKNOWN,
    )


async def test_attempt_that_may_have_run_decides_the_answer() -> None:
    """Guards against "not run" after an agent that forgot the request."""
    bench = _Bench(*(_end('not_found') for _ in range(2)))
    outcome = await bench.run()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
    assert bench.offers() == [1, 1]
    assert all(channel.count(Cancel) for channel in bench.channels)


async def test_used_up_budget_stops_retries() -> None:
    """Guards against retries that multiply an overload."""
    bench = _Bench(_refuse('overloaded'), _refuse('overloaded'))
    requests = int(MAX_TOKENS) + 20
    for _ in range(requests):
        await bench.run()
    # One more may come from the floor of one retry a second.
    assert sum(bench.offers()) <= requests + MAX_TOKENS + 1


async def test_zone_out_of_service_gets_nothing() -> None:
    """Guards against new work for a zone that has just been taken out."""
    bench = _Bench(_serve, _serve)
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
    bench = _Bench(_refuse('overloaded'), teams=teams)
    for _ in range(3):
        outcome = await bench.run()
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.OVERLOADED
