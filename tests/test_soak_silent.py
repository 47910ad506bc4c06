"""Short seeded soaks of silences, and tests of their checks."""

import math
from dataclasses import replace

import h11
import pytest

from masticwind_dev.soak.silent import (
    draw_options,
    format_result,
    run_silences,
)
from masticwind_dev.soak.silent_records import (
    SilenceViolation,
    SilentRecords,
    check_exchange,
    finish_time,
    step_durations_s,
)
from masticwind_dev.soak.spans import Span, SpanLog
from masticwind_dev.soak.stop_callers import Exchange, new_exchange
from masticwind_dev.soak.stop_engines import Work
from masticwind_dev.soak.stop_records import Ending, Execution, Instance

pytestmark = pytest.mark.anyio

SECONDS = 6.0
REQUEST_ID = 'entry-0.1.c1.1'
BEGUN_AT = 100.0
TIMEOUT_S = 10.0
CHAT = Work('chat', 1000)
READ = Work('read', 300, 10)


# Add the seed of any run that fails.
@pytest.mark.alone
@pytest.mark.parametrize(('seed', 'other_faults'), [(1, False), (2, True)])
async def test_no_request_is_lost_by_silences(
    seed: int, other_faults: bool
) -> None:
    """Guards against requests that fail since an endpoint, or their entry, was
    silent for a while.
    """
    options = draw_options(seed, other_faults=other_faults)
    result = await run_silences(options, SECONDS)
    assert not result.findings, format_result(result)
    assert result.records.silences.spans
    assert result.records.executions


def _exchange(
    ending: Ending,
    ended_s: float = 2.0,
    status: int = 0,
    work: Work = CHAT,
    events: int = 0,
) -> Exchange:
    """Return a request that was begun at `BEGUN_AT`, and its end."""
    instance = Instance('entry-0', 1, 0)
    exchange = new_exchange(REQUEST_ID, instance, work)
    req = exchange.req
    req.begun_at = BEGUN_AT
    req.sent_at = BEGUN_AT
    req.deadline_at = BEGUN_AT + TIMEOUT_S
    req.ended_at = BEGUN_AT + ended_s
    req.ending = ending
    req.status = status
    for number in range(1, events + 1):
        exchange.body += f'id: {number}\ndata: {REQUEST_ID}\n\n'.encode()
    return exchange


def _ok_head() -> h11.Response:
    return h11.Response(status_code=200, headers=[])


def _records(*executions: Execution) -> SilentRecords:
    records = SilentRecords({'chat': 2, 'read': 2, 'order': 1})
    records.executions[REQUEST_ID] = list(executions)
    return records


def _execution(
    ended_s: float = 2.0, endpoint: str = 'engines-0', begun_s: float = 0
) -> Execution:
    return Execution(endpoint, BEGUN_AT + begun_s, BEGUN_AT + ended_s)


def _check(
    exchange: Exchange, records: SilentRecords
) -> list[SilenceViolation]:
    return list(check_exchange(exchange, records))


@pytest.mark.parametrize('ending', [Ending.CLOSED, Ending.RESET])
def test_cut_requests_are_detected(ending: Ending) -> None:
    """Guards against a soak that accepts a connection that ends early."""
    exchange = _exchange(ending)
    assert _check(exchange, _records(_execution())) == [SilenceViolation.LOST]
    assert _check(exchange, _records()) == [SilenceViolation.UNANSWERED]


@pytest.mark.parametrize('status', [502, 504])
def test_early_failures_are_detected(status: int) -> None:
    """Guards against a soak that accepts a failure before the deadline."""
    early = _exchange(Ending.ANSWERED, 9.5, status)
    records = _records(_execution())
    assert _check(early, records) == [SilenceViolation.FAILED]
    late = _exchange(Ending.ANSWERED, 9.9, status)
    assert _check(late, _records()) == [SilenceViolation.FAILED]


def test_failure_at_the_deadline_needs_a_long_silence() -> None:
    """Guards against a late failure of a request that one engine could end."""
    exchange = _exchange(Ending.ANSWERED, 9.9, 504)
    records = _records(_execution(9.9))
    assert _check(exchange, records) == [SilenceViolation.LATE]
    records.silences.add('engines-1', BEGUN_AT, BEGUN_AT + 9)
    assert _check(exchange, records) == [SilenceViolation.LATE]
    records.silences.add('engines-0', BEGUN_AT, BEGUN_AT + 9)
    assert not _check(exchange, records)


def test_missing_answers_are_detected() -> None:
    """Guards against a request without any answer, unless its entry pauses."""
    exchange = _exchange(Ending.TIMED_OUT, TIMEOUT_S + 0.7)
    records = _records(_execution(TIMEOUT_S))
    assert _check(exchange, records) == [SilenceViolation.UNANSWERED]
    records.pauses.add('entry-0', BEGUN_AT + 1, BEGUN_AT + 3)
    assert _check(exchange, records) == [SilenceViolation.UNANSWERED]
    records.pauses.add('entry-0', BEGUN_AT + 9, BEGUN_AT + 11)
    assert not _check(exchange, records)


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_refused_request_that_ran_is_detected(status: int) -> None:
    """Guards against refusals of requests that an endpoint has run."""
    exchange = _exchange(Ending.ANSWERED, status=status)
    kinds = _check(exchange, _records(_execution()))
    assert kinds == [SilenceViolation.RAN_BUT_REFUSED]
    assert not _check(exchange, _records())


def test_order_that_ran_twice_is_detected() -> None:
    """Guards against an order that runs once more at the same endpoint."""
    exchange = _exchange(
        Ending.ANSWERED, status=200, work=replace(READ, kind='order')
    )
    records = _records(_execution(1.0), _execution())
    assert _check(exchange, records) == [SilenceViolation.RAN_TWICE]


def test_too_many_endpoints_are_detected() -> None:
    """Guards against more endpoints for a request than its route allows."""
    exchange = _exchange(Ending.ANSWERED, status=200)
    runs = [_execution(endpoint=f'engines-{number}') for number in range(3)]
    assert not _check(exchange, _records(*runs[:2]))
    kinds = _check(exchange, _records(*runs))
    assert kinds == [SilenceViolation.TOO_MANY_ENDPOINTS]


def test_wrong_pieces_are_detected() -> None:
    """Guards against pieces that are missing, repeated or out of order."""
    whole = _exchange(Ending.LEFT, events=3)
    whole.head = _ok_head()
    assert not _check(whole, _records(_execution()))
    repeated = _exchange(Ending.LEFT, events=3)
    repeated.head = _ok_head()
    repeated.body.extend(b'id: 3\n')
    kinds = _check(repeated, _records(_execution()))
    assert kinds == [SilenceViolation.WRONG_PIECES]


@pytest.mark.parametrize('ending', [Ending.LEFT, Ending.TIMED_OUT])
def test_work_after_the_end_is_detected(ending: Ending) -> None:
    """Guards against endpoints that work on for a caller that has gone."""
    exchange = _exchange(ending, 2.0)
    records = _records(_execution(2.6))
    assert SilenceViolation.WORK_AFTER_END in _check(exchange, records)
    in_time = _records(_execution(2.4))
    assert SilenceViolation.WORK_AFTER_END not in _check(exchange, in_time)
    records.pauses.add('entry-0', BEGUN_AT + 1, BEGUN_AT + 2.2)
    assert SilenceViolation.WORK_AFTER_END not in _check(exchange, records)


def test_only_faults_of_the_same_parts_excuse() -> None:
    """Guards against faults of other parts that excuse a lost request."""
    exchange = _exchange(Ending.CLOSED)
    records = _records(_execution())
    records.faults.add('entry-1', BEGUN_AT, BEGUN_AT + 2)
    records.faults.add('calls', BEGUN_AT, BEGUN_AT + 2)
    records.faults.add('entry-0', BEGUN_AT - 3, BEGUN_AT - 1.1)
    records.faults.add('entry-0', BEGUN_AT + 2.1, BEGUN_AT + 3)
    assert _check(exchange, records) == [SilenceViolation.LOST]
    records.faults.add('engines', BEGUN_AT + 1, math.inf)
    assert not _check(exchange, records)


def test_faults_excuse_no_wrong_answer() -> None:
    """Guards against a fault that excuses an order that has run twice."""
    exchange = _exchange(
        Ending.ANSWERED, status=503, work=replace(READ, kind='order')
    )
    records = _records(_execution(1.0), _execution())
    records.faults.add('calls', BEGUN_AT, BEGUN_AT + 2)
    assert _check(exchange, records) == [
        SilenceViolation.RAN_TWICE,
        SilenceViolation.RAN_BUT_REFUSED,
    ]


def test_work_ends_after_the_silences_that_meet_it() -> None:
    """Guards against an expected end that leaves out or repeats a silence."""
    calm = finish_time(CHAT, 0, [])
    assert calm == pytest.approx(sum(step_durations_s(CHAT)))
    ahead = Span('engines-0', calm + 0.1, calm + 2)
    assert finish_time(CHAT, 0, [ahead]) == calm
    # The first event is due after 0.2 s, the others every 0.05 s.
    within = Span('engines-0', 0.52, 2.5)
    rest_s = calm - 0.55
    assert finish_time(CHAT, 0, [within]) == pytest.approx(2.5 + rest_s)


def test_parts_of_spans_are_added() -> None:
    """Guards against an excuse for time outside of a span."""
    log = SpanLog()
    log.add('a', 1, 2)
    log.add('a', 3, 10)
    log.add('b', 0, 10)
    assert log.total_s('a', 0, 4) == 2
    assert log.overlaps(['a'], 2.5, 3)
    assert not log.overlaps(['a'], 2.1, 2.9)


def test_seeds_cover_all_loads() -> None:
    """Guards against a soak with one kind of load."""
    options = [draw_options(seed) for seed in range(40)]
    assert {option.entries_pause for option in options} == {True, False}
    assert {option.stream_attempts for option in options} == {2, 3}
    assert {option.engines for option in options} == {2, 3, 4}
    assert len({option.load for option in options}) > 4
