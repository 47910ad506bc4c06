"""A short seeded soak of faulty answers, and tests of its checks."""

from dataclasses import replace

import anyio
import h11
import pytest

from masticwind_dev.soak.faulty import (
    draw_options,
    format_result,
    run_faulty_answers,
)
from masticwind_dev.soak.faulty_engines import Mode
from masticwind_dev.soak.faulty_records import (
    MEMORY_MB,
    ROUTE_TIMEOUT_S,
    EndlessSpan,
    FaultyRecords,
    FaultyViolation,
    ReadinessProbe,
    Run,
    check_faulty_exchange,
)
from masticwind_dev.soak.stop_callers import Exchange, new_exchange
from masticwind_dev.soak.stop_engines import Work
from masticwind_dev.soak.stop_records import (
    Ending,
    Instance,
    StopRecords,
    Violation,
)
from masticwind_dev.standins.endless import (
    DRIPPING,
    EndlessForm,
    encode_endless,
)
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
)

pytestmark = pytest.mark.anyio

SECONDS = 8.0
REQUEST_ID = 'entry-0.1.c1.1'
BEGUN_AT = 100.0
SEAL = 'calls-0.1'
READ = Work('read', 100)
CHAT = Work('chat', 200)
LINES = ('X-Attempt-Id: r', 'X-Server-Seal: s.1')


# Add the seed of any run that fails.
@pytest.mark.alone
@pytest.mark.parametrize('seed', [4])
async def test_faulty_answers_harm_no_entry_and_no_other_request(
    seed: int,
) -> None:
    """Guards against entries that run out of memory, stall, or pass on an
    answer that is not one run of its request.
    """
    options = replace(draw_options(seed), graces_s=(4.0,), uptimes_s=(2.0, 5.0))
    result = await run_faulty_answers(options, SECONDS)
    assert not result.findings, format_result(result)
    assert result.records.endless
    assert result.records.faults['copy']
    assert result.records.probes
    assert result.records.peak_memory_mb


def _run(status: int = 200, body: bytes = b'done', fault: str = '') -> Run:
    return Run(
        'calls-0',
        BEGUN_AT,
        BEGUN_AT + 1,
        seal=SEAL,
        status=status,
        body=body,
        is_whole=True,
        is_sound=not fault and status == 200,
        fault=fault,
    )


def _exchange(
    *,
    status: int = 200,
    body: bytes = b'done',
    seal: str = SEAL,
    ending: Ending = Ending.ANSWERED,
    work: Work = READ,
    ended_s: float = 1.0,
) -> Exchange:
    """Return a request to a running process and its answer."""
    instance = Instance('entry-0', 1, 0)
    exchange = new_exchange(REQUEST_ID, instance, work)
    req = exchange.req
    req.begun_at = BEGUN_AT
    req.sent_at = BEGUN_AT
    req.deadline_at = BEGUN_AT + ROUTE_TIMEOUT_S
    req.ended_at = BEGUN_AT + ended_s
    req.ending = ending
    if not status:
        return exchange
    req.status = status
    headers = [('X-Attempt-Id', REQUEST_ID)]
    if seal:
        headers.append(('X-Server-Seal', seal))
    exchange.head = h11.Response(status_code=status, headers=headers)
    exchange.body = bytearray(body)
    return exchange


def _check(exchange: Exchange, *runs: Run) -> list[FaultyViolation | Violation]:
    records = FaultyRecords(runs={REQUEST_ID: list(runs)})
    return list(check_faulty_exchange(exchange, records))


def test_answer_of_one_run_is_accepted() -> None:
    """Guards against a soak that rejects a success or a failure passed on."""
    assert not _check(_exchange(), _run())
    assert not _check(_exchange(status=500), _run(500))
    resumed = _exchange(work=CHAT, body=CHAT.expected_body(REQUEST_ID))
    assert not _check(resumed, _run(fault='endless chunks'), _run())
    assert not _check(_exchange(status=503, seal=''))


@pytest.mark.parametrize(
    'exchange',
    [
        _exchange(status=500),
        _exchange(body=b'fail'),
        _exchange(seal='calls-0.2'),
        _exchange(seal=''),
        _exchange(work=CHAT, body=b'id: 1\n'),
    ],
)
def test_mixed_answers_are_detected(exchange: Exchange) -> None:
    """Guards against a status, a seal or a body of another run."""
    assert FaultyViolation.MIXED in _check(exchange, _run())


def test_incomplete_run_does_not_look_complete() -> None:
    """Guards against a part of an answer that is passed on as a whole one."""
    run = replace(_run(fault='endless chunks'), is_whole=False)
    assert _check(_exchange(), run) == [FaultyViolation.MIXED]
    cut = _exchange(ending=Ending.CLOSED)
    assert not _check(cut, run)


def test_lost_requests_are_detected() -> None:
    """Guards against closed connections that no fault explains."""
    no_answer = _exchange(status=0, ending=Ending.CLOSED)
    assert _check(no_answer, _run()) == [Violation.LOST]
    faulty = _run(fault='endless head_lines')
    assert _check(no_answer, faulty) == [Violation.LOST]
    begun = _exchange(ending=Ending.CLOSED)
    assert _check(begun, _run()) == [Violation.LOST]
    assert not _check(begun, faulty)


def test_failures_of_sound_runs_are_detected() -> None:
    """Guards against a failure in place of an answer that was written."""
    failed = _exchange(status=502, seal='')
    assert _check(failed, _run()) == [FaultyViolation.FAILED]
    assert not _check(failed, _run(fault='copy of 10 bytes'))
    failed.req.instance.stopped_at = BEGUN_AT
    failed.req.instance.grace_s = 1.1
    assert not _check(failed, _run())
    failed.req.instance.grace_s = 1.3
    assert _check(failed, _run()) == [FaultyViolation.FAILED]
    at_deadline = _exchange(status=504, seal='', ended_s=4.9)
    assert not _check(at_deadline, _run())


def test_late_answers_are_detected() -> None:
    """Guards against requests without an answer at their route's timeout."""
    late = _exchange(status=504, seal='', ended_s=5.6)
    faulty = _run(fault='endless chunks')
    assert _check(late, faulty) == [FaultyViolation.UNANSWERED]
    in_time = _exchange(status=504, seal='', ended_s=5.4)
    assert not _check(in_time, faulty)
    never = _exchange(status=0, ending=Ending.TIMED_OUT, ended_s=10.7)
    assert FaultyViolation.UNANSWERED in _check(never, faulty)


def test_harmed_processes_are_detected() -> None:
    """Guards against a soak that accepts stalls, memory, and other ends."""
    records = FaultyRecords(
        instances=[Instance('entry-1', 1, 4, ended_by_itself=True)],
        peak_memory_mb={'entry-0.1': MEMORY_MB + 1, 'entry-0.2': MEMORY_MB},
        endless=[
            EndlessSpan('calls-0', 'chunks', 'order', 100, 106.4),
            EndlessSpan('calls-0', 'chunks', 'order', 100, 106.2),
        ],
        probes=[
            ReadinessProbe('entry-0.1', 100, 1.2, 0.1, 200),
            ReadinessProbe('entry-0.1', 100, 1.2, 0.3, 200),
        ],
        extra_bytes=[REQUEST_ID],
    )
    assert [finding.kind for finding in records.find_faults()] == [
        Violation.ENDED_BY_ITSELF,
        FaultyViolation.MIXED,
        FaultyViolation.MEMORY,
        FaultyViolation.STALLED,
        FaultyViolation.NOT_CLOSED,
    ]


def test_process_that_ends_by_itself_is_detected() -> None:
    """Guards against a soak of stops that takes such an end for a stop."""
    instance = Instance('e', 1, 4, exit_code=0, ended_by_itself=True)
    records = StopRecords(instances=[instance])
    kinds = [finding.kind for finding in records.find_violations()]
    assert kinds == [Violation.ENDED_BY_ITSELF]


@pytest.mark.parametrize('form', list(EndlessForm))
async def test_bytes_without_end_are_written_until_the_close(
    form: EndlessForm,
) -> None:
    """Guards against a stand-in whose bytes end, or that no reader follows."""
    endless = encode_endless(form, LINES, DRIPPING)

    async def answer(_req: ReceivedRequest, conn: RawConnection) -> None:
        await endless.write(conn, replace(DRIPPING, interval_s=0))

    raw = RawEndpoint(answer)
    received = b''
    expected = len(endless.start) + 3 * len(endless.block)
    async with anyio.create_task_group() as tasks:
        await tasks.start(raw.run)
        async with await anyio.connect_tcp('127.0.0.1', raw.port) as stream:
            await stream.send(b'GET / HTTP/1.1\r\nHost: e\r\n\r\n')
            while len(received) < expected:
                received += await stream.receive()
        with anyio.fail_after(5):
            while not raw.abandoned_requests:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert received.startswith(endless.start + endless.block * 3)
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=10**6)
    parser.send(h11.Request(method='GET', target='/', headers=[('Host', 'e')]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(received[:expected])
    event = parser.next_event()
    while event is not h11.NEED_DATA:
        assert not isinstance(event, h11.EndOfMessage)
        event = parser.next_event()


def test_seeds_cover_all_modes() -> None:
    """Guards against a soak that leaves out a kind of fault."""
    options = [draw_options(seed) for seed in range(20)]
    modes = {mode for option in options for mode in option.modes}
    assert modes == set(Mode)
    assert {option.callers for option in options} == {8, 16, 100}
    forms = {form for seed in range(40) for form in draw_options(seed).forms}
    assert forms == set(EndlessForm)
    assert len({option.graces_s for option in options}) == 2
