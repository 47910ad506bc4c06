"""Random requests as bytes, sound ones and ones that a server must refuse."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from tests.entry_harness import API_KEY, HOST, caller_headers

TIMEOUT_MS: Final = 5000
MAX_BODY_BYTES: Final = 300
CHANGE_SHARE: Final = 0.3
TARGETS: Final = (
    '/read/a',
    '/read/a?',
    '/read/a?b=c',
    '/read/a?b=%20&b=/?',
    '/read/a??',
    '/read/%2e%2e/a%00?%0d%0a',
    '/read/a/../b//c;d=e',
    '/order/a',
    '/order/a?b',
)
METHODS: Final = ('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'OPTIONS')
OFFERS: Final = (
    ('Connection: Upgrade, HTTP2-Settings', 'Upgrade: h2c'),
    ('upgrade: websocket', 'connection: keep-alive', 'connection: upgrade'),
    ('Connection: upgrade',),
    ('Upgrade: h2c',),
)
# Head lines whose framing is ambiguous or not supported.
BAD_FRAMING: Final = (
    ('Content-Length: 3', 'Content-Length: 3'),
    ('Content-Length: 3', 'Content-Length: 4'),
    ('Content-Length: 3, 3',),
    ('Content-Length: +3',),
    ('Content-Length: -3',),
    ('Content-Length: 0x3',),
    ('Content-Length: 3 3',),
    ('Content-Length:',),
    ('Content-Length: 99999999999999999999',),
    ('Content-Length: 3', 'Transfer-Encoding: chunked'),
    ('Transfer-Encoding: chunked', 'Content-Length: 3'),
    ('Transfer-Encoding: gzip',),
    ('Transfer-Encoding: gzip, chunked',),
    ('Transfer-Encoding: gzip', 'Transfer-Encoding: chunked'),
    ('Transfer-Encoding: chunked, gzip',),
    ('Transfer-Encoding: chunked, chunked',),
    ('Transfer-Encoding: chunked', 'Transfer-Encoding: chunked'),
    ('Transfer-Encoding: xchunked',),
    ('Transfer-Encoding: chunked;a=b',),
    ('Transfer-Encoding: identity',),
    ('Transfer-Encoding:',),
    ('Transfer-Encoding: "chunked"',),
)
BAD_LINES: Final = (
    'X-Odd : a',
    'X-Odd\t: a',
    ' X-Odd: a',
    'X-Odd: a\r\n b',
    'X-Odd: a\r\n\tContent-Length: 3',
    'X-Odd: a\nX-Other: b',
    'X-Odd: a\rX-Other: b',
    'X-Odd: a\0b',
    ': a',
    'X-Odd',
    'X(Odd): a',
    'Host: fleet.example',
    'Host: other.example',
)
BAD_STARTS: Final = (
    '{method} {target} http/1.1',
    '{method} {target} HTTP/1.1 ',
    '{method} {target}#part HTTP/1.1',
    '{method} {target} b HTTP/1.1',
    '{method} http://other.example{target} HTTP/1.1',
    '{method}  {target}\x01 HTTP/1.1',
    '{method} http://fleet.example HTTP/1.1',
    '{method} http://fleet.example?b HTTP/1.1',
    'CONNECT {target} HTTP/1.1',
    'CONNECT fleet.example:80 HTTP/1.1',
    '{method} {target}',
    '{method} {target} HTTP/2.0',
    '{method}\n{target} HTTP/1.1',
)
BAD_CHUNKS: Final = (
    b'g\r\nabc\r\n0\r\n\r\n',
    b'-3\r\nabc\r\n0\r\n\r\n',
    b'0x3\r\nabc\r\n0\r\n\r\n',
    b'\r\nabc\r\n0\r\n\r\n',
    b'3 \r\nabc\r\n0\r\n\r\n',
    b'3\nabc\r\n0\r\n\r\n',
    b'3\r\nabc\n0\r\n\r\n',
    b'3\r\nabcd\r\n0\r\n\r\n',
    b'3\r\nab\r\n0\r\n\r\n',
    b'fffffffffffffffff\r\nabc\r\n0\r\n\r\n',
    b'3;a\nb\r\nabc\r\n0\r\n\r\n',
    b'3\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n',
    b'3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'3\r\nabc\r\n0\r\nX-Odd : a\r\n\r\n',
    b'3\r\nabc\r\n0\r\nX-Odd: a\n\r\n',
)
EXTENSIONS: Final = (b'', b'', b';a', b';a=b', b';a="b;c"')
TRAILERS: Final = (
    '',
    'X-Other: a',
    'X-Attempt-Id: trailer',
    'Authorization: Bearer other',
    'X-Model: trailer',
    'Host: other.example',
    'X-Deadline-Ms: 1',
)


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as bytes, and what an engine is to get of it."""

    request_id: str
    method: str
    target: str
    body: bytes
    start_line: str
    lines: tuple[str, ...]
    content: bytes
    is_sound: bool = True

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        head = '\r\n'.join((self.start_line, *self.lines, '', ''))
        return head.encode('latin-1') + self.content


Change = Callable[[random.Random, RawRequest], RawRequest]


def random_request(
    rng: random.Random, request_id: str, *, is_sound: bool
) -> RawRequest:
    """Return a random request."""
    method = rng.choice(METHODS)
    target = rng.choice(TARGETS)
    body = rng.randbytes(rng.choice((0, 1, 3, rng.randrange(MAX_BODY_BYTES))))
    if rng.random() < CHANGE_SHARE:
        body = _recorded_request()
    req = RawRequest(
        request_id,
        method,
        target,
        body,
        f'{method} {target} HTTP/1.1',
        _caller_lines(request_id),
        body,
    )
    for change in (_offer, _expect, _take_absolute_target, _pad):
        if rng.random() < CHANGE_SHARE:
            req = change(rng, req)
    if not is_sound:
        break_request = rng.choice(
            (_break_framing, _break_line, _break_start, _break_chunk)
        )
        return replace(break_request(rng, req), is_sound=False)
    return rng.choice((_declare_length, _send_in_chunks))(rng, req)


def closing_request(request_id: str) -> RawRequest:
    """Return a sound request after which the server closes."""
    return RawRequest(
        request_id,
        'GET',
        '/read/last',
        b'',
        'GET /read/last HTTP/1.1',
        (*_caller_lines(request_id), 'Connection: close'),
        b'',
    )


def _caller_lines(request_id: str) -> tuple[str, ...]:
    headers = caller_headers(API_KEY, request_id, TIMEOUT_MS)
    return tuple(f'{name.decode()}: {text.decode()}' for name, text in headers)


def _recorded_request() -> bytes:
    return closing_request('recorded').encode()


def _offer(rng: random.Random, req: RawRequest) -> RawRequest:
    return replace(req, lines=(*req.lines, *rng.choice(OFFERS)))


def _expect(rng: random.Random, req: RawRequest) -> RawRequest:
    line = rng.choice(('Expect: 100-continue', 'expect:100-Continue'))
    return replace(req, lines=(line, *req.lines))


def _take_absolute_target(_rng: random.Random, req: RawRequest) -> RawRequest:
    return replace(
        req, start_line=f'{req.method} http://{HOST}{req.target} HTTP/1.1'
    )


def _pad(rng: random.Random, req: RawRequest) -> RawRequest:
    line = rng.choice(('X-Pad:a', 'X-Pad: \t a \t ', 'X-Pad:', 'x-PAD: ~'))
    return replace(req, lines=(*req.lines, line))


def _declare_length(_rng: random.Random, req: RawRequest) -> RawRequest:
    return replace(req, lines=(*req.lines, f'Content-Length: {len(req.body)}'))


def _send_in_chunks(rng: random.Random, req: RawRequest) -> RawRequest:
    chunks: list[bytes] = []
    unsent = req.body
    while unsent:
        size = rng.randint(1, len(unsent))
        digits = rng.choice((b'%x', b'%X', b'00%x')) % size
        extension = rng.choice(EXTENSIONS)
        chunks.append(b'%b%b\r\n%b\r\n' % (digits, extension, unsent[:size]))
        unsent = unsent[size:]
    trailer = rng.choice(TRAILERS)
    end = f'0\r\n{trailer}\r\n\r\n' if trailer else '0\r\n\r\n'
    return replace(
        req,
        lines=('Transfer-Encoding: chunked', *req.lines),
        content=b'%b%b' % (b''.join(chunks), end.encode()),
    )


def _break_framing(rng: random.Random, req: RawRequest) -> RawRequest:
    lines = (*req.lines, *rng.choice(BAD_FRAMING))
    return replace(req, lines=lines, content=b'3\r\nabc\r\n0\r\n\r\n')


def _break_line(rng: random.Random, req: RawRequest) -> RawRequest:
    sound = _declare_length(rng, req)
    place = rng.randint(0, len(sound.lines))
    lines = list(sound.lines)
    lines.insert(place, rng.choice(BAD_LINES))
    return replace(sound, lines=tuple(lines))


def _break_start(rng: random.Random, req: RawRequest) -> RawRequest:
    start_line = rng.choice(BAD_STARTS).format(
        method=req.method, target=req.target
    )
    return replace(_declare_length(rng, req), start_line=start_line)


def _break_chunk(rng: random.Random, req: RawRequest) -> RawRequest:
    return replace(
        req,
        lines=(*req.lines, 'Transfer-Encoding: chunked'),
        content=rng.choice(BAD_CHUNKS),
    )
