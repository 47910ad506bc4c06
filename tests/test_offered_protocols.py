"""Callers that offer another protocol, which HTTP/1.1 lets a server ignore."""

import anyio
import pytest
from httptools import HttpRequestParser

from masticwind import web_protocol
from tests.entry_harness import (
    API_KEY,
    EntryHarness,
    answer_completely,
    caller_headers,
    running_entry,
)

pytestmark = pytest.mark.anyio

CLOSE = b'Connection: close\r\n'
PIECE_INTERVAL_S = 0.05
H2C = (
    b'Connection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n'
)
OFFERS = (
    H2C,
    b'Upgrade: h2c\r\nConnection: keep-alive\r\nConnection: upgrade\r\n',
    b'Connection: keep-alive, upgrade\r\nUpgrade: websocket\r\n',
    b'Connection: upgrade\r\nUpgrade: TLS/1.0, h2c\r\nUpgrade: x\r\n',
    b'Connection: upgrade\r\n',
    b'Upgrade: h2c\r\n',
    b'Expect: 100-continue\r\n%b' % H2C,
)


def _encode_request(
    method: str, path: str, request_id: str, extra: bytes, body: bytes = b''
) -> bytes:
    lines = b''.join(
        b'%b: %b\r\n' % header
        for header in caller_headers(API_KEY, request_id, 3000)
    )
    start = f'{method} {path} HTTP/1.1\r\n'.encode()
    length = b'Content-Length: %d\r\n' % len(body)
    return b'%b%b%b%b\r\n%b' % (start, lines, extra, length, body)


# The body of an order: a request, which is not to be run.
SMUGGLED = _encode_request('POST', '/order/smuggled', 'smuggled', b'')


async def _exchange(harness: EntryHarness, *pieces: bytes) -> bytes:
    """Send each piece at a time of its own; return what is answered."""
    await harness.wait_until_served('/read/ready')
    received = b''
    stream = await anyio.connect_tcp('127.0.0.1', harness.entry.port)
    async with stream:
        with anyio.fail_after(5):
            try:
                for piece in pieces:
                    await stream.send(piece)
                    await anyio.sleep(PIECE_INTERVAL_S)
                while True:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return received


def _find_runs(harness: EntryHarness) -> list[tuple[str, str, str, bytes]]:
    return [
        (req.method, req.target, req.headers['x-attempt-id'], req.body)
        for req in harness.received
        if req.target != '/read/ready'
    ]


@pytest.mark.parametrize('offer', OFFERS, ids=range(len(OFFERS)))
@pytest.mark.parametrize('is_split', [False, True])
async def test_body_behind_an_offered_protocol_is_not_run_as_a_request(
    offer: bytes, is_split: bool
) -> None:
    """Guards against request smuggling in the body of an offer."""
    order = _encode_request('POST', '/order/a', 'first', offer, SMUGGLED)
    last = _encode_request('GET', '/read/b?c=d', 'last', CLOSE)
    head = len(order) - len(SMUGGLED)
    pieces = [order[:90], order[90:head], order[head:-7], order[-7:], last]
    if not is_split:
        pieces = [order + last]
    async with running_entry() as harness:
        await harness.start_endpoint('e1', answer_completely)
        answers = await _exchange(harness, *pieces)
    assert _find_runs(harness) == [
        ('POST', '/order/a', 'first', SMUGGLED),
        ('GET', '/read/b?c=d', 'last', b''),
    ]
    assert answers.count(b'HTTP/1.1 200 ') == 2
    assert b' 400 ' not in answers


async def test_chunked_body_behind_an_offered_protocol_is_not_dropped() -> None:
    """Guards against requests that run without their chunked body."""
    order = _encode_request('POST', '/order/a', 'first', H2C).replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(SMUGGLED), SMUGGLED)
    last = _encode_request('GET', '/read/b', 'last', H2C + CLOSE)
    async with running_entry() as harness:
        await harness.start_endpoint('e1', answer_completely)
        answers = await _exchange(harness, order, chunk + last)
    assert _find_runs(harness) == [
        ('POST', '/order/a', 'first', SMUGGLED),
        ('GET', '/read/b', 'last', b''),
    ]
    assert answers.count(b'HTTP/1.1 200 ') == 2


@pytest.mark.parametrize('target', ['/read/a', 'fleet.example:80'])
async def test_bytes_behind_a_refused_tunnel_are_not_run(target: str) -> None:
    """Guards against requests that run in a tunnel that is not served."""
    connect = _encode_request('CONNECT', target, 'first', b'')
    async with running_entry() as harness:
        await harness.start_endpoint('e1', answer_completely)
        answers = await _exchange(harness, connect + SMUGGLED, SMUGGLED)
    assert not _find_runs(harness)
    assert answers.startswith(b'HTTP/1.1 400 ')
    assert answers.count(b'HTTP/1.1 ') == 1


async def test_body_of_another_length_than_declared_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a parser that ends a body early."""
    # This parser takes an offer to end the request after its head.
    monkeypatch.setattr(web_protocol, 'RequestParser', HttpRequestParser)
    order = _encode_request('POST', '/order/a', 'first', H2C, SMUGGLED)
    async with running_entry() as harness:
        await harness.start_endpoint('e1', answer_completely)
        answers = await _exchange(harness, order, SMUGGLED)
    assert not _find_runs(harness)
    assert answers.startswith(b'HTTP/1.1 400 ')
    assert answers.count(b'HTTP/1.1 ') == 1
