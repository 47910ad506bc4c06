"""Silences of sound engines, and the last moments, late in a planned stop."""

import signal
import time
from collections.abc import Callable
from contextlib import suppress

import anyio
import pytest
from anyio.abc import TaskGroup

from tests.stopping_entry import (
    CallerAnswer,
    StoppingEntry,
    call_head,
    read_answer,
    running_stopping_entry,
    stream_head,
)

pytestmark = pytest.mark.anyio

SHUTDOWN_S = 8.0
SILENCE_S = 1.6
SEND_INTERVAL_S = 0.1
LAST_SENT_S = 6.4
SHORT_STOP_S = 0.6
REFUSED = 503
GAVE_UP = 504


class Caller:
    """Sends requests, each on a connection of its own."""

    def __init__(
        self,
        entry: StoppingEntry,
        tasks: TaskGroup,
        make_head: Callable[[str], bytes],
    ) -> None:
        self.answers: dict[str, CallerAnswer] = {}
        self._entry = entry
        self._tasks = tasks
        self._make_head = make_head
        self._sent = 0

    def send_next(self) -> None:
        """Send a request in the background."""
        self._tasks.start_soon(self._send, f'late-{self._sent}')
        self._sent += 1

    async def _send(self, request_id: str) -> None:
        # The entry may accept no connection any more.
        with suppress(OSError):
            answer = await self._entry.request(self._make_head(request_id))
            self.answers[request_id] = answer


async def _serve_short_streams(entry: StoppingEntry) -> None:
    """Let the entry learn how long the streams take."""

    async def serve(request_id: str) -> None:
        answer = await entry.request(stream_head(request_id))
        assert answer.status == 200

    for number in range(6):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve, f'short-{2 * number}')
            tasks.start_soon(serve, f'short-{2 * number + 1}')


async def _send_through_a_stop(
    entry: StoppingEntry,
    make_head: Callable[[str], bytes],
    *silences: tuple[float, float],
) -> dict[str, CallerAnswer]:
    """Stop the entry under a series of requests and return their answers.

    Each silence has its begin, in seconds after the signal, and its length.
    """
    entry.signal()
    started = time.monotonic()
    for silent_from_s, silence_s in silences:
        begins_at = started + silent_from_s
        entry.silences.append((begins_at, begins_at + silence_s))
    async with anyio.create_task_group() as tasks:
        caller = Caller(entry, tasks, make_head)
        while time.monotonic() - started < LAST_SENT_S:
            caller.send_next()
            await anyio.sleep(SEND_INTERVAL_S)
    assert await entry.wait_for_exit() == 0
    assert time.monotonic() - started < SHUTDOWN_S
    return caller.answers


async def _stop_under_streams(
    entry: StoppingEntry, *silences: tuple[float, float]
) -> None:
    """Stop the entry under a series of streams, none of which may be cut."""
    answers = await _send_through_a_stop(entry, stream_head, *silences)
    for request_id, answer in answers.items():
        if answer.content or request_id in entry.received:
            assert answer.is_complete, (request_id, answer.content[-99:])
            assert answer.status in {200, REFUSED}
        if answer.status == REFUSED:
            assert request_id not in entry.received
            assert b'connection: close' in answer.content.lower()


@pytest.mark.parametrize('stream_s', [0.3, 0.8])
@pytest.mark.parametrize('silent_from_s', [4.2, 5.0, 5.8, 6.1])
async def test_late_stream_is_not_cut_for_a_silence_of_its_engine(
    silent_from_s: float, stream_s: float
) -> None:
    """Guards against streams that are sent late in a stop, as they should end
    in time, and are cut since their engines are silent for a moment.
    """
    async with running_stopping_entry(int(SHUTDOWN_S * 1000)) as entry:
        entry.stream_s = stream_s
        await _serve_short_streams(entry)
        await _stop_under_streams(entry, (silent_from_s, SILENCE_S))


@pytest.mark.parametrize('silent_from_s', [3.6, 4.4])
async def test_late_stream_is_not_cut_for_two_silences(
    silent_from_s: float,
) -> None:
    """Guards against streams that are cut since the room for one silence is
    taken for the room for all of them.
    """
    async with running_stopping_entry(int(SHUTDOWN_S * 1000)) as entry:
        await _serve_short_streams(entry)
        await _stop_under_streams(
            entry, (silent_from_s, 1.5), (silent_from_s + 1.6, 1.5)
        )


async def test_late_stream_without_a_length_is_not_cut_for_a_silence() -> None:
    """Guards against cuts of late streams that end with their connection."""
    async with running_stopping_entry(int(SHUTDOWN_S * 1000)) as entry:
        entry.framed = False
        entry.stream_s = 0.8
        await _serve_short_streams(entry)
        await _stop_under_streams(entry, (5.8, SILENCE_S))


@pytest.mark.parametrize('silent_from_s', [4.2, 5.8])
async def test_late_stream_that_waits_for_a_permit_is_not_cut(
    silent_from_s: float,
) -> None:
    """Guards against a room for silences that is used up by the wait for a
    limited engine.
    """
    async with running_stopping_entry(int(SHUTDOWN_S * 1000)) as entry:
        await _serve_short_streams(entry)
        entry.stream_fields = ('Server-Limit: 4',)
        await _stop_under_streams(entry, (silent_from_s, SILENCE_S))


@pytest.mark.parametrize('silent_from_s', [5.8, 6.1])
async def test_late_call_that_runs_once_is_not_given_up_for_a_silence(
    silent_from_s: float,
) -> None:
    """Guards against calls with an unknown outcome where a refusal would have
    led their callers to another entry.
    """
    async with running_stopping_entry(int(SHUTDOWN_S * 1000)) as entry:
        entry.call_s = 0.05
        for number in range(12):
            await entry.request(call_head(f'short-{number}'))
        answers = await _send_through_a_stop(
            entry, call_head, (silent_from_s, SILENCE_S)
        )
        for request_id, answer in answers.items():
            if answer.content:
                assert answer.status in {200, REFUSED}
            if request_id in entry.received:
                assert answer.status == 200


async def test_shortened_grace_does_not_cut_a_stream_in_progress() -> None:
    """Guards against streams that are cut by a changed setting, though the
    process may run until the end of the grace under which they were admitted.
    """
    async with running_stopping_entry(int(SHUTDOWN_S * 1000)) as entry:
        await _serve_short_streams(entry)
        entry.stream_s = 5.5
        async with await entry.connect() as stream:
            await stream.send(stream_head('long'))
            await anyio.sleep(0.3)
            entry.signal()
            await anyio.sleep(1)
            entry.write_settings(shutdown_ms=4000)
            entry.signal(signal.SIGHUP)
            answer = await read_answer(stream)
        assert await entry.wait_for_exit() == 0
    assert answer.is_complete


async def test_running_stream_gets_the_last_moments_of_a_stop() -> None:
    """Guards against streams that are cut while the stopping entry only keeps
    time to write errors, which a stream that has begun can not get.
    """
    async with running_stopping_entry(5000) as entry:
        entry.stream_s = 4.6
        entry.call_s = 9.0
        async with (
            await entry.connect() as stream,
            await entry.connect() as call,
        ):
            await stream.send(stream_head('stream'))
            await call.send(call_head('call'))
            with anyio.fail_after(5):
                while not {'stream', 'call'} <= set(entry.received):
                    await anyio.sleep(0.001)
            entry.signal()
            started = time.monotonic()
            call_answer = await read_answer(call)
            stream_answer = await read_answer(stream)
        assert await entry.wait_for_exit() == 0
        assert time.monotonic() - started < 5
        assert not entry.log_lines('request_cut')[1:]
    assert call_answer.is_complete
    assert call_answer.status == GAVE_UP
    assert stream_answer.is_complete


async def test_stream_that_breaks_late_is_resumed_by_a_stopping_entry() -> None:
    """Guards against streams that are given up with time left, since late
    requests that can go elsewhere must leave room for a silence.
    """
    async with running_stopping_entry(int(SHUTDOWN_S * 1000)) as entry:
        await _serve_short_streams(entry)
        entry.stream_s = 9.0
        async with await entry.connect() as stream:
            await stream.send(stream_head('broken'))
            await anyio.sleep(0.3)
            entry.signal()
            await anyio.sleep(5.2)
            entry.stream_s = 0.3
            entry.broken_at = time.monotonic()
            answer = await read_answer(stream)
        assert await entry.wait_for_exit() == 0
    assert entry.received.count('broken') == 2
    assert answer.is_complete


async def test_endless_stream_does_not_delay_the_exit() -> None:
    """Guards against an entry that waits for a stream until SIGKILL comes."""
    async with running_stopping_entry(4000) as entry:
        entry.stream_s = 9.0
        async with await entry.connect() as stream:
            await stream.send(stream_head('endless'))
            await anyio.sleep(0.3)
            entry.signal()
            started = time.monotonic()
            answer = await read_answer(stream)
        assert await entry.wait_for_exit() == 0
        assert time.monotonic() - started < 4
        cuts = entry.log_lines('request_cut')
    assert answer.status == 200
    assert not answer.is_complete
    assert [cut['answer_begun'] for cut in cuts] == [True]


@pytest.mark.parametrize('shutdown_ms', [100, 300, 700])
async def test_stop_shorter_than_its_margins_ends_in_good_order(
    shutdown_ms: int,
) -> None:
    """Guards against an entry that waits for a stream although it has less
    time than the margins of a stop.
    """
    async with running_stopping_entry(shutdown_ms) as entry:
        entry.stream_s = 9.0
        async with await entry.connect() as stream:
            await stream.send(stream_head('endless'))
            await anyio.sleep(0.3)
            entry.signal()
            started = time.monotonic()
            await read_answer(stream)
        assert await entry.wait_for_exit() == 0
        assert time.monotonic() - started < SHORT_STOP_S
