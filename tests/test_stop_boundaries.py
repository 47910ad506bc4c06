"""Planned stops at the limits of their time, and at the start and the exit."""

import signal
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import anyio
import pytest
from anyio.abc import SocketStream
from loguru import logger

from masticwind.agent import main as agent_main
from masticwind.entry import main as entry_main
from masticwind.httpclient import ConnectResult
from masticwind.platform import main as platform_main
from masticwind.platform.endpoints import (
    ORDER_TIMEOUT_S,
    PlatformEndpointClient,
)
from masticwind.program import SettingsFile
from masticwind.serving.model import Endpoint
from masticwind.serving.settings import (
    DirectSettings,
    FleetBounds,
    LiveSettings,
)
from masticwind.settings import (
    AgentSettings,
    EntrySettings,
    PeerSettings,
    PlatformSettings,
)
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
)
from tests.entry_harness import (
    CALL_SERVICE,
    ENGINE_SERVICE,
    answer_completely,
    prompt_headers,
    running_entry,
    sample_config_document,
    sample_settings,
)
from tests.stop_fleet import stopping_fleet
from tests.stopping_entry import (
    ROOT,
    CallerAnswer,
    StoppingEntry,
    call_head,
    connect,
    read_answer,
    receive_or_end,
    running_stopping_entry,
    stream_head,
)

if TYPE_CHECKING:
    from loguru import Message

pytestmark = pytest.mark.anyio

REFUSED = 503
GAVE_UP = 504
UNUSED_URL = 'http://127.0.0.1:1'
LATEST_CALL_S = 5.8
BLOCKED_S = 1.2


async def _close_without_an_answer(
    req: ReceivedRequest, conn: RawConnection
) -> None:
    await conn.close()


async def test_failed_attempt_of_a_stopping_entry_is_not_called_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream that may run only once, has run, and is answered
    "not run" because the entry ends while it checks the engine.
    """
    checking = anyio.Event()

    async def connect_slowly(
        _client: PlatformEndpointClient, _endpoint: Endpoint
    ) -> ConnectResult:
        checking.set()
        await anyio.sleep(ORDER_TIMEOUT_S)
        return ConnectResult.SILENT

    monkeypatch.setattr(PlatformEndpointClient, 'try_connect', connect_slowly)
    document = sample_config_document()
    for route in document['routes']:
        route['resumable'] = False
    bounds = FleetBounds(shutdown_ms=700)
    statuses: list[int] = []
    async with running_entry(document, bounds) as harness:
        await harness.start_endpoint(
            'e-1', _close_without_an_answer, ENGINE_SERVICE
        )
        await harness.start_endpoint('i-1', answer_completely, CALL_SERVICE)
        await harness.wait_until_served('/read/a')

        async def send() -> None:
            answer = await harness.request(
                '/chat/a', method='POST', headers=prompt_headers()
            )
            statuses.append(answer.status)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await checking.wait()
            await harness.entry.drain()
        assert len(harness.endpoints['e-1'].received) == 1
    assert statuses != [REFUSED]


async def test_unanswered_release_does_not_delay_the_answer() -> None:
    """Guards against requests without an answer because an engine does not
    answer the order that releases its memory.
    """

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.target != '/-/order':
            await anyio.sleep_forever()
        if b'release' in req.body:
            await anyio.sleep_forever()
        await conn.send_answer(req, body=b'{}')

    document = sample_config_document()
    document['services'][1]['engine']['kv_capacity'] = 8000
    bounds = FleetBounds(shutdown_ms=2000)
    async with running_entry(document, bounds) as harness:
        for number in range(4):
            await harness.start_endpoint(f'e-{number}', script, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        await harness.wait_until_endpoints_known()
        head = _large_prompt_head()
        async with await connect(harness.entry.port) as conn:
            await conn.send(head)
            with anyio.fail_after(5):
                while not any(
                    'x-helpers' in req.headers for req in harness.received
                ):
                    await anyio.sleep(0.01)
            await harness.entry.drain()
            # The process ends here, and its connections with it.
            answer = await _read_at_once(conn)
    assert answer.is_complete
    assert answer.status == GAVE_UP


def _large_prompt_head() -> bytes:
    head = stream_head('large')
    head = head.replace(b'1000,200', b'9000,200')
    return head.replace(b':1000', b':9000')


async def _read_at_once(conn: SocketStream) -> CallerAnswer:
    with anyio.move_on_after(0.05):
        return await read_answer(conn)
    return CallerAnswer()


async def _call_in_background(
    entry: StoppingEntry, answers: list[CallerAnswer]
) -> None:
    answers.append(await entry.request(call_head('once')))


# Runs an entry whose event loop is blocked by a request to be blocked.
BLOCKED_PROGRAM: Final = f"""
import sys, time
sys.path.insert(0, {str(ROOT / 'src')!r})
from masticwind.platform import main
from masticwind.platform.headers import PlatformCodec
decode = PlatformCodec.decode
def block(codec, scope):
    req = decode(codec, scope)
    if getattr(req, 'request_id', '') == 'block':
        time.sleep({BLOCKED_S})
    return req
PlatformCodec.decode = block
main.main()
"""


async def test_grace_counts_from_the_signal_and_not_from_its_handling() -> None:
    """Guards against requests without an answer because the event loop was
    busy when the signal came, so that SIGKILL comes before the entry expects
    it.
    """
    answers: list[CallerAnswer] = []
    program = ('-c', BLOCKED_PROGRAM)
    async with running_stopping_entry(3000, program=program) as entry:
        entry.call_s = 9.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_call_in_background, entry, answers)
            await anyio.sleep(0.3)
            tasks.start_soon(entry.request, call_head('block'))
            await anyio.sleep(0.2)
            entry.signal()
            await anyio.sleep(3)
            entry.signal(signal.SIGKILL)
        await entry.wait_for_exit()
    assert answers[0].status == GAVE_UP
    assert answers[0].is_complete


async def test_shutdown_time_that_is_over_leaves_no_call_unanswered() -> None:
    """Guards against requests without an answer because a shortened shutdown
    time is already over when the entry reads it.
    """
    answers: list[CallerAnswer] = []
    async with running_stopping_entry(shutdown_ms=8000) as entry:
        entry.call_s = 9.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_call_in_background, entry, answers)
            await anyio.sleep(0.3)
            entry.signal()
            await anyio.sleep(4)
            entry.write_settings(shutdown_ms=3000)
            entry.signal(signal.SIGHUP)
        assert await entry.wait_for_exit() == 0
    assert answers[0].status == GAVE_UP
    assert answers[0].is_complete


async def test_entry_resumed_just_before_its_end_answers_its_requests() -> None:
    """Guards against requests without an answer because an entry was paused
    until shortly before its end.
    """
    answers: list[CallerAnswer] = []
    async with running_stopping_entry(shutdown_ms=4000) as entry:
        entry.call_s = 9.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_call_in_background, entry, answers)
            await anyio.sleep(0.3)
            entry.signal()
            started = time.monotonic()
            await anyio.sleep(1)
            entry.signal(signal.SIGSTOP)
            await anyio.sleep(started + 3.85 - time.monotonic())
            entry.signal(signal.SIGCONT)
        await entry.wait_for_exit()
    assert answers[0].status == GAVE_UP
    assert answers[0].is_complete


async def test_signals_until_the_exit_do_not_change_the_exit_code() -> None:
    """Guards against a process that a repeated signal kills at its end, before
    its last output is written.
    """
    async with running_stopping_entry(shutdown_ms=3000) as entry:
        entry.signal()
        while entry.process.poll() is None:
            entry.signal()
            await anyio.sleep(0.001)
        assert entry.process.returncode == 0


@pytest.mark.parametrize('head_parts', [1, 2])
async def test_idle_connection_is_closed_soon_after_the_signal(
    head_parts: int,
) -> None:
    """Guards against idle connections that stay open in a stop because their
    last request came in several packets.
    """
    async with running_stopping_entry() as entry:
        entry.stream_s = 4.0
        async with anyio.create_task_group() as tasks:
            async with await entry.connect() as conn:
                head = call_head('parts')
                cut = len(head) if head_parts == 1 else len(head) // 2
                await conn.send(head[:cut])
                await anyio.sleep(0.1)
                if head[cut:]:
                    await conn.send(head[cut:])
                answer = await read_answer(conn)
                assert answer.status == 200
                tasks.start_soon(entry.request, stream_head('busy'))
                await anyio.sleep(0.2)
                entry.signal()
                with anyio.move_on_after(2) as waiting:
                    assert not await receive_or_end(conn)
                assert not waiting.cancelled_caught
            tasks.cancel_scope.cancel()


async def test_pipelined_calls_at_the_end_of_a_stop_are_answered() -> None:
    """Guards against a pipelined request that ends without an answer when the
    one before it is given up.
    """
    async with running_stopping_entry(shutdown_ms=3000) as entry:
        entry.call_s = 9.0
        async with await entry.connect() as conn:
            await conn.send(call_head('first') + call_head('second'))
            await anyio.sleep(0.2)
            entry.signal()
            content = b''
            chunk = await receive_or_end(conn)
            while chunk:
                content += chunk
                chunk = await receive_or_end(conn)
        assert await entry.wait_for_exit() == 0
        assert content.count(b'HTTP/1.1 ') == 2, content[-300:]


async def test_late_stream_of_a_rarely_used_service_is_not_cut() -> None:
    """Guards against a stream that is sent late in the shutdown time and cut
    at its end because the entry has no history of a slow engine.
    """
    async with running_stopping_entry(shutdown_ms=7000) as entry:
        entry.stream_s = 1.8
        entry.call_s = 9.0
        answers: list[CallerAnswer] = []
        async with anyio.create_task_group() as tasks:
            # Keeps the entry from its end.
            tasks.start_soon(_call_in_background, entry, answers)
            await anyio.sleep(0.2)
            entry.signal()
            await anyio.sleep(4.75)
            answer = await entry.request(stream_head('late'))
        assert await entry.wait_for_exit() == 0
        assert answer.is_complete
        if answer.status == REFUSED:
            assert 'late' not in entry.received


@pytest.mark.parametrize('role', ['entry', 'agent'])
async def test_signals_until_the_exit_do_not_kill_a_program(role: str) -> None:
    """Guards against a process that a repeated signal kills at its end, before
    its last metrics and spans are written.
    """
    settings = {'announce_ms': 200, 'drain_timeout_ms': 3000}
    async with stopping_fleet(entry_settings=settings) as fleet:
        process = fleet.entries['entry-0']
        if role == 'agent':
            process = fleet.agents['orders-0']
        while process.popen.poll() is None:
            process.signal(signal.SIGTERM)
            await anyio.sleep(0.001)
        assert process.popen.returncode == 0


def _entry_program() -> Coroutine[Any, Any, None]:
    return entry_main._serve(
        EntrySettings(
            node='entry-1',
            zone='zone-a',
            peers=PeerSettings(secrets=('s',)),
            platform=PlatformSettings(
                key_value_url=UNUSED_URL,
                instances_url=UNUSED_URL,
                weights_url=UNUSED_URL,
            ),
        )
    )


def _agent_program() -> Coroutine[Any, Any, None]:
    return agent_main._serve(
        AgentSettings(
            node='agent-1',
            zone='zone-a',
            endpoint='o-1',
            endpoint_url=UNUSED_URL,
            kind='service',
            service='orders',
            peers=PeerSettings(secrets=('s',)),
        )
    )


def _platform_program() -> Coroutine[Any, Any, None]:
    cfg = sample_settings()
    file = SettingsFile(Path('missing'), DirectSettings, b'')
    return platform_main._run_entry(file, LiveSettings(cfg))


@pytest.mark.parametrize(
    'program', [_entry_program, _agent_program, _platform_program]
)
async def test_program_handles_signals_when_it_says_that_it_has_started(
    program: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Guards against a program that SIGTERM or SIGHUP kills right after its
    line "started".
    """
    handlers: list[object] = []

    def check(message: 'Message') -> None:
        if message.record['message'] == 'started':
            handlers.append(signal.getsignal(signal.SIGTERM))
            handlers.append(signal.getsignal(signal.SIGHUP))

    handler_id = logger.add(check)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(program)
            with anyio.fail_after(5):
                while not handlers:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
    finally:
        logger.remove(handler_id)
    assert signal.SIG_DFL not in handlers


async def test_long_stream_at_the_start_of_a_stop_is_served() -> None:
    """Guards against a stop that refuses long streams for its whole time since
    very short ones take a multiple of their predictions.
    """
    async with running_stopping_entry(shutdown_ms=8000) as entry:
        entry.stream_s = 0.05
        for number in range(16):
            head = stream_head(f'short-{number}', output_tokens=1)
            assert (await entry.request(head)).status == 200
        entry.stream_s = 2.0
        entry.signal()
        await anyio.sleep(0.2)
        answer = await entry.request(stream_head('long', output_tokens=2000))
        assert await entry.wait_for_exit() == 0
        sent = {
            line['request_id']: line['whole_ms']
            for line in entry.log_lines('attempt_sent')
        }
        assert answer.status == 200, (answer.content[:300], sent)
        assert answer.is_complete


async def test_late_calls_that_run_once_are_not_given_up() -> None:
    """Guards against calls that may run only once, are sent late in the
    shutdown time, and get 504 at its end.
    """
    answers: list[CallerAnswer] = []
    async with running_stopping_entry(shutdown_ms=6000) as entry:
        entry.call_s = 1.5

        async def send(request_id: str) -> None:
            # Once the entry accepts no connection, it has read nothing.
            with suppress(OSError):
                answers.append(await entry.request(call_head(request_id)))

        entry.signal()
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            while time.monotonic() - started < LATEST_CALL_S:
                tasks.start_soon(send, f'late-{time.monotonic()}')
                await anyio.sleep(0.1)
        assert await entry.wait_for_exit() == 0
    statuses = {answer.status for answer in answers if answer.content}
    assert statuses == {200, REFUSED}
