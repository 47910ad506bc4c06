"""Prompts of the chat interface that crash each engine which answers them."""

import itertools
from typing import Any, Final

import anyio
import pytest

from masticwind.engines.base import Done
from masticwind.entry.crash_gossip import CrashGossip, prompt_fingerprint
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import Accepted, End, Offer, Output
from masticwind.serving.crash_evidence import CrashEvidence, Suspect
from masticwind.tokens import BLOCK_BYTES, prefix_hashes
from tests.executor_harness import running_executor
from tests.scripted_relay import Script, ScriptedRelay

pytestmark = pytest.mark.anyio

POISON: Final = 'poison'
FIRST: Final = 'first'
# Each start of an engine has a boot id of its own.
BOOT_NUMBERS: Final = itertools.count()


def _crash_if_poison(poison_requests: set[str]) -> Script:
    """Return an agent whose engine crashes under some requests."""

    def script(offer: Offer) -> list[Any]:
        key = (offer.request_id, offer.attempt)
        if offer.request_id not in poison_requests:
            return [Accepted(*key), Output(*key, 0, ('a',)), End(*key, 1)]
        end = End(
            *key,
            0,
            ErrorKind.FAILED_AFTER_START,
            'the stream ended early',
            crashed_engine=f'boot-{next(BOOT_NUMBERS)}',
            answer_begun=True,
        )
        return [Accepted(*key), end]

    return script


async def test_poison_prompt_ends_two_engines_at_most() -> None:
    """Guards against a prompt that goes to each agent of the model."""
    script = _crash_if_poison({'r1', 'r2'})
    relay = ScriptedRelay(*(script for _ in range(4)))
    parts = (FIRST, POISON, 'own')
    outcome = await relay.run(request_id='r1', parts=parts)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.FAILED_AFTER_START
    assert sum(relay.offer_counts()) == 2
    outcome = await relay.run(request_id='r2', parts=parts)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.QUARANTINED
    assert sum(relay.offer_counts()) == 2


async def test_poison_block_is_held_and_sound_prompts_are_served() -> None:
    """Guards against other prompts with the same block that crash engines."""
    names = {f'bad-{number}' for number in range(9)}
    relay = ScriptedRelay(*(_crash_if_poison(names) for _ in range(4)))
    for number in range(9):
        await relay.run(
            request_id=f'bad-{number}', parts=(FIRST, POISON, f'own-{number}')
        )
        sound = await relay.run(
            request_id=f'good-{number}', parts=(FIRST, f'other-{number}')
        )
        assert isinstance(sound, Done)
    crashed = sum(relay.offer_counts()) - 9
    assert crashed <= 3


async def test_engine_failures_without_a_crash_hold_nothing() -> None:
    """Guards against prompts held because connections broke."""

    def fail(offer: Offer) -> list[Any]:
        key = (offer.request_id, offer.attempt)
        end = End(*key, 0, ErrorKind.FAILED_AFTER_START, 'status 500')
        return [Accepted(*key), end]

    relay = ScriptedRelay(fail, fail)
    for number in range(5):
        await relay.run(request_id=f'r{number}', parts=(FIRST, 'same'))
    assert not relay.quarantine.held_count()


@pytest.mark.parametrize('has_ended', [False, True])
async def test_agent_tells_a_crash_from_a_broken_connection(
    has_ended: bool,
) -> None:
    """Guards against sound prompts blamed for a lost answer."""
    async with running_executor() as harness:
        harness.client.pending_breaks = 1
        harness.client.has_ended = has_ended
        harness.offer('r1')
        await harness.wait_for_outcomes('r1')
        end = harness.channel.end_of('r1')
        assert end is not None
        assert bool(end.crashed_engine) == has_ended
        assert end.answer_begun


async def test_evidence_reaches_entries_that_are_not_connected() -> None:
    """Guards against entries that each have to crash engines to learn."""
    first, middle, last = (CrashGossip(CrashEvidence()) for _ in range(3))
    first.send_to_neighbours = middle.receive
    middle.send_to_neighbours = last.receive
    for number in range(2):
        first.report_crash(
            f'e-{number}/boot',
            Suspect(
                request_id=f'r{number}',
                answer_begun=True,
                prompt=f'prompt:{number}',
                parts=(POISON,),
                prior_scores=(0, first.evidence.score(POISON)),
            ),
        )
    assert list(last.evidence.holds()) == [POISON]
    first.clear((POISON,))
    assert not last.evidence.holds()
    middle.receive([b'\xc1'])


def test_fingerprint_has_the_blocks_that_prompts_share() -> None:
    """Guards against prompts with a common start that share no key."""
    start = b'a' * BLOCK_BYTES
    prompts = (start + b'b' * BLOCK_BYTES, start + b'c' * BLOCK_BYTES)
    one, other = (
        prompt_fingerprint(prompt, prefix_hashes(prompt)) for prompt in prompts
    )
    assert one.parts[0] == other.parts[0]
    assert one.parts[1] != other.parts[1]
    assert one.whole != other.whole


async def test_held_prompt_is_not_offered_to_an_agent() -> None:
    """Guards against a rejection that takes the time of a queue."""
    relay = ScriptedRelay(_crash_if_poison({'bad-0', 'bad-1'}))
    for number in range(2):
        await relay.run(request_id=f'bad-{number}', parts=(POISON, f'{number}'))
    offers = sum(relay.offer_counts())
    with anyio.fail_after(1):
        outcome = await relay.run(request_id='next', parts=(POISON, 'x'))
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.QUARANTINED
    assert sum(relay.offer_counts()) == offers
