"""Groups of engines for prompts that exceed one engine's memory."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.engines.base import Done
from masticwind.entry.prompt_shares import split_prompt
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import (
    Accepted,
    End,
    Offer,
    Output,
    Release,
    Reserve,
)
from masticwind.tokens import BLOCK_BYTES
from tests.routing_fakes import fake_job, fake_link
from tests.scripted_relay import ScriptedRelay

pytestmark = pytest.mark.anyio

MEMORY_TOKENS = 100_000
LONG_PROMPT = b'x' * 1_000_000
LONG_JOB = fake_job(250_000, max_tokens=2)


def _serve_share(offer: Offer) -> list[Any]:
    key = (offer.request_id, offer.attempt)
    if offer.max_tokens:
        return [Accepted(*key), Output(*key, 0, ('a', 'b')), End(*key, 2)]
    handle = f'after({offer.share_of})'.replace(' ', '+')
    return [Accepted(*key), End(*key, 0, reason=handle)]


def _fleet(*zones: str) -> ScriptedRelay:
    fleet = ScriptedRelay(*(_serve_share for _ in zones))
    for number, zone in enumerate(zones):
        link = fake_link(
            f'e{number}',
            zone,
            memory_total_tokens=MEMORY_TOKENS,
            memory_free_tokens=MEMORY_TOKENS,
        )
        link._channel = fleet.channels[number].link._channel
        fleet.channels[number].link = link
    fleet.pool.links = [channel.link for channel in fleet.channels]
    return fleet


def _offers(fleet: ScriptedRelay) -> list[Offer]:
    return [
        message
        for channel in fleet.channels
        for message in channel.sent
        if isinstance(message, Offer)
    ]


async def test_shares_of_a_prompt_run_in_order() -> None:
    """Guards against shares that are missing, wrongly cut or out of order."""
    fleet = _fleet('zone-a', 'zone-a', 'zone-a')
    assert await fleet.run(job=LONG_JOB, prompt=LONG_PROMPT) == Done(2, 0)
    offers = _offers(fleet)
    assert [offer.max_tokens for offer in offers] == [0, 0, 2]
    first, second, third = offers
    assert first.share_of == '-'
    assert second.share_of == 'after(-)'
    assert third.share_of == 'after(-) after(after(-))'
    sizes = [offer.body_bytes for offer in offers]
    assert sum(sizes) == len(LONG_PROMPT)
    assert not any(size % BLOCK_BYTES for size in sizes[:-1])
    assert (
        sum(offer.prompt_tokens for offer in offers) == LONG_JOB.prompt_tokens
    )
    assert all(channel.count(Release) for channel in fleet.channels)


async def test_refused_share_releases_all_reservations() -> None:
    """Guards against leaked reservations of an incomplete group."""
    fleet = _fleet('zone-a', 'zone-a', 'zone-a')
    fleet.channels[2].share_refusal_kind = 'no_capacity'
    outcome = await fleet.run(job=LONG_JOB, prompt=LONG_PROMPT)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.NO_CAPACITY
    assert outcome.retry_after_ms > 0
    assert not _offers(fleet)
    assert all(channel.count(Release) for channel in fleet.channels)


async def test_another_zone_is_tried_after_a_refusal() -> None:
    """Guards against a refusal while another zone has enough memory."""
    zones = [*('zone-a' for _ in range(3)), *('zone-b' for _ in range(3))]
    fleet = _fleet(*zones)
    fleet.channels[1].share_refusal_kind = 'no_capacity'
    assert await fleet.run(job=LONG_JOB, prompt=LONG_PROMPT) == Done(2, 0)
    assert fleet.offer_counts() == [0, 0, 0, 1, 1, 1]
    reserved = [channel.count(Reserve) for channel in fleet.channels]
    assert reserved == [1, 1, 0, 1, 1, 1]


async def test_group_does_not_span_zones() -> None:
    """Guards against cache transfers between availability zones."""
    fleet = _fleet('zone-a', 'zone-a', 'zone-b')
    outcome = await fleet.run(job=LONG_JOB, prompt=LONG_PROMPT)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.NO_CAPACITY
    assert not any(channel.sent for channel in fleet.channels)


async def test_group_that_would_miss_its_deadline_is_not_reserved() -> None:
    """Guards against reservations for a request that cannot finish in time."""
    fleet = _fleet('zone-a', 'zone-a', 'zone-a')
    outcome = await fleet.run(5000, job=LONG_JOB, prompt=LONG_PROMPT)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OVERLOADED
    # 250,000 tokens at 10,000 a second take 25 s, of which 5 s are left.
    assert 20_000 <= outcome.retry_after_ms < 20_500
    assert not any(channel.sent for channel in fleet.channels)


async def test_failure_after_the_first_share_is_not_of_a_not_run_kind() -> None:
    """Guards against a not-run failure after a part of the prompt has run."""

    def refuse_last(offer: Offer) -> list[Any]:
        key = (offer.request_id, offer.attempt)
        if offer.max_tokens:
            return [Accepted(*key), End(*key, 0, 'overloaded', 'late')]
        return _serve_share(offer)

    fleet = _fleet('zone-a', 'zone-a', 'zone-a')
    fleet.channels[2].script = refuse_last
    outcome = await fleet.run(job=LONG_JOB, prompt=LONG_PROMPT)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.FAILED_AFTER_START
    assert all(channel.count(Release) for channel in fleet.channels)


@settings(derandomize=True, deadline=None)
@given(
    text=st.text(st.sampled_from('aä€\U0001f600'), max_size=30),
    repeat=st.integers(1, 2000),
    count=st.integers(2, 8),
)
def test_cuts_split_no_character(text: str, repeat: int, count: int) -> None:
    """Guards against shares that are invalid UTF-8 or incomplete."""
    prompt = (text * repeat).encode() or b'x'
    job = fake_job(max(1, len(prompt) // 4))
    shares = split_prompt(prompt, job, count)
    parts = [prompt[share.start : share.end] for share in shares]
    assert b''.join(parts) == prompt
    assert all(part.decode() for part in parts)
    assert sum(share.prompt_tokens for share in shares) == job.prompt_tokens
    assert [share.max_tokens for share in shares[:-1]] == [
        0 for _ in shares[:-1]
    ]
