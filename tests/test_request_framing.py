"""Requests whose target, host or framing is unusual or ambiguous."""

import anyio
import pytest

from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import (
    API_KEY,
    EntryHarness,
    answer_completely,
    caller_headers,
    running_entry,
)
from tests.raw_exchange import Answer, exchange, parse_answers
from tests.raw_requests import BAD_CHUNKS, closing_request

pytestmark = pytest.mark.anyio

CHUNKED = ('Transfer-Encoding: chunked',)
ONE_CHUNK = b'3\r\nabc\r\n0\r\n\r\n'
ENGINE_TIME_S = 0.2
PART = b'a' * 65_536
MAX_SENT_BYTES = 4_000_000
Run = tuple[str, str, bytes]


def _encode(
    request_id: str,
    lines: tuple[str, ...] = (),
    content: bytes = b'',
    *,
    start_line: str = 'POST /order/a HTTP/1.1',
    host_lines: tuple[str, ...] = ('Host: fleet.example',),
) -> bytes:
    headers = caller_headers(API_KEY, request_id, 3000)[1:]
    caller_lines = [f'{key.decode()}: {text.decode()}' for key, text in headers]
    head = (start_line, *host_lines, *caller_lines, *lines, '', '')
    return '\r\n'.join(head).encode() + content


async def _serve(*requests: bytes) -> tuple[list[Run], list[Answer]]:
    """Send requests and a last one; return what ran and what was answered."""
    async with running_entry() as harness:
        await harness.start_endpoint('e1', _echo_late)
        await harness.wait_until_served('/read/ready')
        content = b''.join((*requests, closing_request('last').encode()))
        received = await exchange(harness.entry.port, [content])
        return _find_runs(harness), parse_answers(received)


async def _echo_late(req: ReceivedRequest, conn: RawConnection) -> None:
    await anyio.sleep(ENGINE_TIME_S)
    await conn.send_answer(req, body=req.headers['x-attempt-id'].encode())


def _find_runs(harness: EntryHarness) -> list[Run]:
    return [
        (req.headers['x-attempt-id'], req.target, req.body)
        for req in harness.received
        if req.target not in {'/read/ready', '/read/last'}
    ]


@pytest.mark.parametrize(
    'trailer',
    [
        'X-Attempt-Id: other',
        'Authorization: Bearer other',
        'Host: other.example',
        'X-Deadline-Ms: 1',
    ],
    ids=['id', 'key', 'host', 'time'],
)
async def test_trailer_is_not_taken_for_a_header(trailer: str) -> None:
    """Guards against a request that runs with the id or key of a trailer."""
    content = f'3\r\nabc\r\n0\r\n{trailer}\r\n\r\n'.encode()
    runs, answers = await _serve(_encode('r1', CHUNKED, content))
    assert runs == [('r1', '/order/a', b'abc')]
    assert answers == [(200, b'r1'), (200, b'last')]


async def test_refused_body_does_not_precede_earlier_answers() -> None:
    """Guards against a refusal that is taken for the answer to an earlier
    request, which has run.
    """
    runs, answers = await _serve(
        _encode('r1'),
        _encode('r2'),
        _encode('r3', CHUNKED, BAD_CHUNKS[0]),
    )
    assert runs == [('r1', '/order/a', b''), ('r2', '/order/a', b'')]
    assert answers[:2] == [(200, b'r1'), (200, b'r2')]
    assert [status for status, _ in answers[2:]] == [400]


@pytest.mark.parametrize(
    'lines',
    [
        ('Transfer-Encoding: gzip, chunked',),
        ('Transfer-Encoding: gzip', 'Transfer-Encoding: chunked'),
    ],
    ids=['one-line', 'two-lines'],
)
async def test_transfer_coding_other_than_chunks_is_refused(
    lines: tuple[str, ...],
) -> None:
    """Guards against an engine that gets a compressed body as a plain one."""
    runs, answers = await _serve(_encode('r1', lines, ONE_CHUNK))
    assert not runs
    assert [status for status, _ in answers] == [400]


@pytest.mark.parametrize(
    'host_lines',
    [
        ('Host: fleet.example', 'Host: fleet.example'),
        ('Host: other.example', 'Host: fleet.example'),
    ],
    ids=['repeated', 'two'],
)
async def test_request_with_several_hosts_is_refused(
    host_lines: tuple[str, ...],
) -> None:
    """Guards against engines that choose another host than the entry, or
    that count as failing as they refuse the request.
    """
    runs, answers = await _serve(_encode('r1', host_lines=host_lines))
    assert not runs
    assert [status for status, _ in answers] == [400]


@pytest.mark.parametrize(
    'host', ['fleet.example:80', 'FLEET.example'], ids=['port', 'case']
)
async def test_absolute_target_with_the_same_host_is_served(host: str) -> None:
    """Guards against the refusal of a host that is only spelled otherwise."""
    start_line = f'POST http://{host}/order/a HTTP/1.1'
    runs, answers = await _serve(_encode('r1', start_line=start_line))
    assert runs == [('r1', '/order/a', b'')]
    assert answers == [(200, b'r1'), (200, b'last')]


async def test_absolute_target_with_another_host_is_refused() -> None:
    """Guards against a request that is routed by one of two hosts."""
    start_line = 'POST http://other.example/order/a HTTP/1.1'
    runs, answers = await _serve(_encode('r1', start_line=start_line))
    assert not runs
    assert [status for status, _ in answers] == [400]


@pytest.mark.parametrize(
    'target', ['/order/a#part', '/order/a?b#part'], ids=['path', 'query']
)
async def test_target_with_a_fragment_is_refused(target: str) -> None:
    """Guards against a target of which a part is dropped."""
    start_line = f'POST {target} HTTP/1.1'
    runs, answers = await _serve(_encode('r1', start_line=start_line))
    assert not runs
    assert [status for status, _ in answers] == [400]


@pytest.mark.parametrize(
    'target',
    ['/order/a?', 'http://fleet.example/order/a?'],
    ids=['path', 'absolute'],
)
async def test_empty_query_is_kept(target: str) -> None:
    """Guards against an engine that gets another target than was sent."""
    start_line = f'POST {target} HTTP/1.1'
    runs, answers = await _serve(_encode('r1', start_line=start_line))
    assert runs == [('r1', '/order/a?', b'')]
    assert answers == [(200, b'r1'), (200, b'last')]


@pytest.mark.parametrize(
    'version', ['', ' HTTP/0.9', ' HTTP/2.0'], ids=['none', 'old', 'new']
)
async def test_version_that_is_not_served_is_refused(version: str) -> None:
    """Guards against a request that is framed by rules it does not follow."""
    start_line = f'POST /order/a{version}'
    runs, answers = await _serve(_encode('r1', start_line=start_line))
    assert not runs
    assert [status for status, _ in answers] == [400]


async def test_chunks_of_the_version_before_chunks_are_refused() -> None:
    """Guards against a body that a proxy in front has framed differently."""
    start_line = 'POST /order/a HTTP/1.0'
    req = _encode('r1', CHUNKED, ONE_CHUNK, start_line=start_line)
    runs, answers = await _serve(req)
    assert not runs
    assert [status for status, _ in answers] == [400]


async def test_answered_request_gets_no_second_answer() -> None:
    """Guards against a refusal that is taken for the answer to the next
    request, as the body of an answered one is broken later on.
    """
    lines = ('Authorization: Bearer unknown', *CHUNKED)
    async with running_entry() as harness:
        await harness.wait_until_served('/read/ready', status=503)
        stream = await anyio.connect_tcp('127.0.0.1', harness.entry.port)
        async with stream:
            await stream.send(_encode('r1', lines, b'3\r\nabc\r\n'))
            with anyio.fail_after(5):
                assert b' 401 ' in await stream.receive()
                await stream.send(BAD_CHUNKS[0])
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()


@pytest.mark.parametrize(
    'start', [b'0\r\nX-Other: ', b'3;a='], ids=['trailer', 'extension']
)
async def test_endless_part_of_a_chunked_body_is_refused(start: bytes) -> None:
    """Guards against memory and time that endless trailers or extensions
    take, which no limit of heads or bodies counts.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('e1', _echo_late)
        await harness.wait_until_served('/read/ready')
        stream = await anyio.connect_tcp('127.0.0.1', harness.entry.port)
        sent_bytes = 0
        async with stream:
            await stream.send(_encode('r1', CHUNKED, start))
            with pytest.raises(anyio.BrokenResourceError), anyio.fail_after(5):
                while sent_bytes < MAX_SENT_BYTES:
                    await stream.send(PART)
                    await anyio.sleep(0.005)
                    sent_bytes += len(PART)
        assert not _find_runs(harness)


async def test_connection_options_do_not_drop_headers_of_the_request() -> None:
    """Guards against a request that an engine runs without its id, host or
    model, as a caller has named these as headers of its connection.
    """
    lines = (
        'Connection: X-Attempt-Id, Host, X-Model, X-Hop',
        'X-Hop: a',
        'X-Model: m',
    )
    async with running_entry() as harness:
        await harness.start_endpoint('e1', answer_completely)
        await harness.wait_until_served('/read/ready')
        requests = (_encode('r1', lines), closing_request('last').encode())
        await exchange(harness.entry.port, [b''.join(requests)])
        headers = harness.received[-2].headers
    assert headers['x-attempt-id'] == 'r1'
    assert headers['host'] == 'fleet.example'
    assert headers['x-model'] == 'm'
    assert 'x-hop' not in headers


@pytest.mark.parametrize('query', ['', '?b'], ids=['none', 'query'])
async def test_refused_target_does_not_precede_earlier_answers(
    query: str,
) -> None:
    """Guards against a refusal that takes the place of the answers to
    earlier requests, one of which has run.
    """
    start_line = f'POST http://fleet.example{query} HTTP/1.1'
    runs, answers = await _serve(
        _encode('r1'), _encode('r2'), _encode('r3', start_line=start_line)
    )
    assert runs == [('r1', '/order/a', b''), ('r2', '/order/a', b'')]
    assert answers[:2] == [(200, b'r1'), (200, b'r2')]
    assert [status for status, _ in answers[2:]] == [400]
