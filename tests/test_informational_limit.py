"""Informational responses before a response, in pieces of any size."""

from hypothesis import given
from hypothesis import strategies as st

from masticwind.http_limits import (
    MAX_INFORMATIONAL_RESPONSES,
    InformationalCounter,
)
from masticwind.serving.events import EventSplitter

INFORMATIONAL = (
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
    b'HTTP/1.0 102 \n\n',
)
FINAL = b'HTTP/1.1 200 OK\r\nX: HTTP/1.1 100\r\n\r\nHTTP/1.1 100 C\r\n\r\n'


def _pieces(content: bytes, cuts: list[int]) -> list[bytes]:
    """Cut bytes into pieces."""
    positions = [0, *sorted(cut % (len(content) + 1) for cut in cuts)]
    ends = [*positions[1:], len(content)]
    return [
        content[start:end] for start, end in zip(positions, ends, strict=True)
    ]


CUTS = st.lists(st.integers(0, 10_000), max_size=40)


@given(heads=st.lists(st.sampled_from(INFORMATIONAL), max_size=24), cuts=CUTS)
def test_informational_responses_are_counted_exactly(
    heads: list[bytes], cuts: list[int]
) -> None:
    """Guards against responses without end that are parsed, and against the
    bytes of a body that are taken for responses.
    """
    counter = InformationalCounter()
    for piece in _pieces(b''.join((*heads, FINAL * 20)), cuts):
        counter.feed(piece)
    assert counter.is_exceeded == (len(heads) > MAX_INFORMATIONAL_RESPONSES)


@given(
    content=st.lists(st.sampled_from((b'a', b'\n')), max_size=60).map(b''.join),
    cuts=CUTS,
)
def test_events_do_not_depend_on_the_pieces(
    content: bytes, cuts: list[int]
) -> None:
    """Guards against events that are lost or joined at the end of a read."""
    splitter = EventSplitter()
    received = [
        event.content
        for piece in _pieces(content, cuts)
        for event in splitter.feed(piece)
    ]
    expected = content.split(b'\n\n')
    rest = expected.pop()
    assert b''.join(received) == b''.join(b'%b\n\n' % one for one in expected)
    assert splitter.partial_bytes == len(rest)
