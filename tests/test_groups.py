"""Groups of engines for prompts beyond one engine's memory."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.engines.base import Done
from masticwind.entry.prompt_shares import cut_prompt
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

MEMORY = 100_000
PROMPT = b'x' * 1_000_000
JOB = fake_job(250_000, max_tokens=2)


def _share(offer: Offer) -> list[Any]:
    key = (offer.request_id, offer.attempt)
    if offer.max_tokens:
        return [Accepted(*key), Output(*key, 0, ('a', 'b')), End(*key, 2)]
    name = f'after({offer.share_of})'.replace(' ', '+')
    return [Accepted(*key), End(*key, 0, reason=name)]


def _fleet(*zones: str) -> ScriptedRelay:
    fleet = ScriptedRelay(*(_share for _ in zones))
    for number, zone in enumerate(zones):
        link = fake_link(
            f'e{number}',
            zone,
            memory_total_tokens=MEMORY,
            memory_free_tokens=MEMORY,
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


async def test_prompt_is_shared_in_order() -> None:
    """Guards against shares that are lost, cut wrongly or out of order."""
    fleet = _fleet('zone-a', 'zone-a', 'zone-a')
    assert await fleet.run(job=JOB, prompt=PROMPT) == Done(2, 0)
    offers = _offers(fleet)
    assert [offer.max_tokens for offer in offers] == [0, 0, 2]
    first, second, third = offers
    assert first.share_of == '-'
    assert second.share_of == 'after(-)'
    assert third.share_of == 'after(-) after(after(-))'
    sizes = [offer.body_bytes for offer in offers]
    assert sum(sizes) == len(PROMPT)
    assert not any(size % BLOCK_BYTES for size in sizes[:-1])
    assert sum(offer.prompt_tokens for offer in offers) == JOB.prompt_tokens
    assert all(channel.count(Release) for channel in fleet.channels)


async def test_refused_share_releases_everything() -> None:
    """Guards against partial reservations that are kept."""
    fleet = _fleet('zone-a', 'zone-a', 'zone-a')
    fleet.channels[2].refuses_shares = 'no_capacity'
    outcome = await fleet.run(job=JOB, prompt=PROMPT)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.NO_CAPACITY
    assert outcome.retry_after_ms > 0
    assert not _offers(fleet)
    assert all(channel.count(Release) for channel in fleet.channels)


async def test_another_zone_is_tried() -> None:
    """Guards against refusing while another zone has room."""
    zones = [*('zone-a' for _ in range(3)), *('zone-b' for _ in range(3))]
    fleet = _fleet(*zones)
    fleet.channels[1].refuses_shares = 'no_capacity'
    assert await fleet.run(job=JOB, prompt=PROMPT) == Done(2, 0)
    assert fleet.offers() == [0, 0, 0, 1, 1, 1]
    reserved = [channel.count(Reserve) for channel in fleet.channels]
    assert reserved == [1, 1, 0, 1, 1, 1]


async def test_group_does_not_span_zones() -> None:
    """Guards against cache transfers between availability zones."""
    fleet = _fleet('zone-a', 'zone-a', 'zone-b')
    outcome = await fleet.run(job=JOB, prompt=PROMPT)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.NO_CAPACITY
    assert not any(channel.sent for channel in fleet.channels)


async def test_group_that_would_be_late_is_refused_early() -> None:
    """Guards against reservations for a request that cannot finish."""
    fleet = _fleet('zone-a', 'zone-a', 'zone-a')
    outcome = await fleet.run(5000, job=JOB, prompt=PROMPT)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OVERLOADED
    # 250,000 tokens at 10,000 a second take 25 s, of which 5 s are left.
    assert 20_000 <= outcome.retry_after_ms < 20_500
    assert not any(channel.sent for channel in fleet.channels)


async def test_failure_after_a_share_is_not_called_not_run() -> None:
    """Guards against "not run" after a part of the prompt was computed."""

    def refuse_last(offer: Offer) -> list[Any]:
        key = (offer.request_id, offer.attempt)
        if offer.max_tokens:
            return [Accepted(*key), End(*key, 0, 'overloaded', 'late')]
        return _share(offer)

    fleet = _fleet('zone-a', 'zone-a', 'zone-a')
    fleet.channels[2].script = refuse_last
    outcome = await fleet.run(job=JOB, prompt=PROMPT)
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
    """Guards against shares that are not text, or that lose a part."""
    prompt = (text * repeat).encode() or b'x'
    job = fake_job(max(1, len(prompt) // 4))
    shares = cut_prompt(prompt, job, count)
    parts = [prompt[share.start : share.end] for share in shares]
    assert b''.join(parts) == prompt
    assert all(part.decode() for part in parts)
    assert sum(share.prompt_tokens for share in shares) == job.prompt_tokens
    assert [share.max_tokens for share in shares[:-1]] == [
        0 for _ in shares[:-1]
    ]
