"""Random requests over raw connections: what was sent, run and answered."""

import random
from collections.abc import Sequence
from typing import Final

import h11
import pytest

from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import EntryHarness, running_entry
from tests.raw_exchange import Answer, exchange, parse_answers
from tests.raw_requests import RawRequest, closing_request, random_request

pytestmark = pytest.mark.anyio

CONNECTIONS: Final = 150
SOUND_SHARE: Final = 0.75
MAX_REQUESTS: Final = 4
OK: Final = 200
BAD_REQUEST: Final = 400


async def _echo(req: ReceivedRequest, conn: RawConnection) -> None:
    await conn.send_answer(req, body=req.headers['x-attempt-id'].encode())


def _random_requests(rng: random.Random, prefix: str) -> list[RawRequest]:
    requests = [
        random_request(
            rng, f'{prefix}-{number}', is_sound=rng.random() < SOUND_SHARE
        )
        for number in range(rng.randint(1, MAX_REQUESTS))
    ]
    return [*requests, closing_request(f'{prefix}-last')]


def _split(rng: random.Random, content: bytes) -> list[bytes]:
    ends = [rng.randrange(len(content)) for _ in range(rng.randrange(5))]
    pieces: list[bytes] = []
    start = 0
    for end in (*sorted(ends), len(content)):
        pieces.append(content[start:end])
        start = end
    return [piece for piece in pieces if piece]


def _check(
    requests: Sequence[RawRequest],
    runs: Sequence[ReceivedRequest],
    answers: Sequence[Answer],
) -> None:
    """Compare the requests of one connection, their runs and answers."""
    sound: list[RawRequest] = []
    for req in requests:
        if not req.is_sound:
            break
        sound.append(req)
    sent = [(one.request_id, one.method, one.target, one.body) for one in sound]
    run = [
        (one.headers['x-attempt-id'], one.method, one.target, one.body)
        for one in runs
    ]
    assert run == sent
    assert not any('x-model' in one.headers for one in runs)
    assert not any('x-other' in one.headers for one in runs)
    expected_answers = [(OK, one.request_id.encode()) for one in sound]
    assert list(answers[: len(sound)]) == expected_answers
    refusals = [status for status, _ in answers[len(sound) :]]
    expected_refusals = [BAD_REQUEST] if len(sound) < len(requests) else []
    assert refusals == expected_refusals


async def _check_connection(harness: EntryHarness, rng: random.Random) -> None:
    known = len(harness.received)
    requests = _random_requests(rng, f'r{known}')
    content = b''.join(req.encode() for req in requests)
    pieces = _split(rng, content)
    try:
        received = await exchange(harness.entry.port, pieces)
        answers = parse_answers(received)
        _check(requests, harness.received[known:], answers)
    except (AssertionError, TimeoutError, h11.RemoteProtocolError) as exc:
        exc.add_note(f'sent {pieces}')
        raise


@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_engines_run_only_what_callers_have_sent(seed: int) -> None:
    """Guards against requests that are changed, smuggled, run although they
    are ambiguous, or answered out of order.
    """
    rng = random.Random(seed)
    async with running_entry() as harness:
        await harness.start_endpoint('e1', _echo)
        await harness.wait_until_served('/read/ready')
        for _ in range(CONNECTIONS):
            await _check_connection(harness, rng)
