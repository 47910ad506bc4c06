"""The limit that an engine names in its answers."""

import math

import pytest

from masticwind.platform.rate_limits import decode_rate_limit


@pytest.mark.parametrize(
    ('texts', 'limit'),
    [
        ((), math.inf),
        ((b'1',), 1),
        ((b'0.25',), 0.25),
        ((b'.5',), 0.5),
        ((b'5.',), 5),
        ((b'0',), 0),
        ((b' \t2 ',), 2),
        ((b'3', b'2'), 2),
        ((b'4, 7',), 4),
        ((b'99999999',), math.inf),
        ((b'',), None),
        ((b'-1',), None),
        ((b'-0',), None),
        ((b'nan',), None),
        ((b'inf',), None),
        ((b'1e3',), None),
        ((b'0x10',), None),
        ((b'1_000',), None),
        ((b'1 2',), None),
        ((b'2', b'many'), None),
        ((b'2,',), None),
        ((b'\xb2',), None),
        ((b'9' * 400,), None),
    ],
)
def test_limit_is_read_or_says_nothing(
    texts: tuple[bytes, ...], limit: float | None
) -> None:
    """Guards against an unreadable limit that stops or frees an engine."""
    headers = [(b'Server-Limit', text) for text in texts]
    assert decode_rate_limit([(b'Content-Length', b'1'), *headers]) == limit
