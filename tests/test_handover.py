"""The hand-over between the attempts of a request."""

from functools import partial
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.engines.base import Done
from masticwind.entry import attempts
from masticwind.entry.handover import (
    AttemptSource,
    Handover,
    PlannedAttempt,
    Turn,
)
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
from tests.scripted_relay import ScriptedChannel, ScriptedRelay

pytestmark = pytest.mark.anyio

TICK_S = 0.002


class _Steps(PlannedAttempt[str]):
    """An attempt that follows a script, one step a tick.

    The steps are `.` (wait), `s` (report silence), `l` (report a sign of
    life), `o` (write output), `d` (done) and `f` (fail).
    """

    def __init__(self, name: str, steps: str, log: list[str]) -> None:
        self.name = name
        self.steps = steps
        self.log = log

    async def run(self, turn: Turn) -> str | Failure:
        for step in self.steps:
            await anyio.sleep(TICK_S)
            match step:
                case 's':
                    turn.report_silence()
                case 'l':
                    turn.report_sign_of_life()
                case 'o':
                    await turn.take_over()
                    self.log.append(self.name)
                case 'd':
                    return self.name
                case 'f':
                    break
        return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason=self.name)


class _Scripts(AttemptSource[str]):
    def __init__(self, *scripts: str) -> None:
        self.log: list[str] = []
        self.planned: list[str] = []
        self.failed: list[str] = []
        self._left = [
            _Steps(str(number), steps, self.log)
            for number, steps in enumerate(scripts)
        ]

    def plan_next(self) -> PlannedAttempt[str] | None:
        if not self._left:
            return None
        self.planned.append(self._left[0].name)
        return self._left.pop(0)

    def record_failure(
        self, attempt: PlannedAttempt[str], failure: Failure
    ) -> bool:
        self.failed.append(failure.reason)
        return failure.reason not in self.log


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.text('.slodf', max_size=8), min_size=1, max_size=4),
)
def test_output_and_result_come_from_one_attempt(scripts: list[str]) -> None:
    """Guards against mixed output and against a result that is lost."""
    source = _Scripts(*scripts)
    result = anyio.run(Handover(source).run)
    assert len(set(source.log)) <= 1
    if result is None:
        # Each attempt that was not replaced by another has failed.
        assert source.log or sorted(source.failed) == sorted(source.planned)
        assert not source.log or source.log[0] in source.failed
    else:
        assert not source.log or source.log[0] == result


async def test_silent_attempt_is_not_ended_by_a_next_one_that_fails() -> None:
    """Guards against giving up an attempt for one that is no better."""
    source = _Scripts('s.....od', 'f')
    assert await Handover(source).run() == '0'
    assert source.planned == ['0', '1']


async def test_attempt_that_is_not_silent_is_not_doubled() -> None:
    """Guards against a third attempt while the second one runs."""
    source = _Scripts('ss.sss..', '.....od', 'd')
    assert await Handover(source).run() == '1'
    assert source.planned == ['0', '1']


def _tokens(offer: Offer) -> list[Any]:
    key = (offer.request_id, offer.attempt)
    return [Accepted(*key), Output(*key, 0, ('a', 'b')), End(*key, 2)]


def _refuse(offer: Offer) -> list[Any]:
    return [Refused(offer.request_id, offer.attempt, 'overloaded', 'full')]


async def _answer_later(channel: ScriptedChannel) -> None:
    while not channel.count(Offer):
        await anyio.sleep(0.01)
    await anyio.sleep(0.2)
    offer = next(item for item in channel.sent if isinstance(item, Offer))
    for answer in _tokens(offer):
        channel._answer((offer.request_id, offer.attempt), answer)


@pytest.mark.parametrize('others', [0, 1, 3])
async def test_unanswered_offer_is_kept_if_no_other_agent_takes_it(
    monkeypatch: pytest.MonkeyPatch, others: int
) -> None:
    """Guards against a failure while an agent is silent that goes on."""
    monkeypatch.setattr(attempts, 'OFFER_TIMEOUT_S', 0.02)
    monkeypatch.setattr(attempts, 'REVOKE_TIMEOUT_S', 0.02)
    relay = ScriptedRelay(lambda _offer: [], *(_refuse for _ in range(others)))
    for channel in relay.channels[1:]:
        load = channel.link.reported_load
        assert load is not None
        channel.link.reported_load = msgspec.structs.replace(
            load, paid_work_tokens=5000
        )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(partial(_answer_later, relay.channels[0]))
        assert await relay.run() == Done(2, 0)
    silent = relay.channels[0]
    assert silent.count(Offer) == 1
    assert not silent.count(Revoke) + silent.count(Cancel)
    assert relay.output == ['a', 'b']
