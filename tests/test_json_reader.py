"""The reader of large JSON documents, against the decoder of msgspec."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticwind.json_reader import decode_by_item

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**60), 2**60)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text()
)
DOCUMENTS = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def _decode(body: bytes) -> object:
    """Return the content by msgspec, or the type of its error."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ValueError


def _decode_by_item(body: bytes) -> object:
    try:
        return decode_by_item(body)
    except (msgspec.DecodeError, ValueError):
        return ValueError


@given(document=DOCUMENTS, indent=st.integers(-1, 2))
def test_documents_are_read_as_by_the_decoder(
    document: object, indent: int
) -> None:
    """Guards against a document that is read as another one."""
    body = msgspec.json.format(msgspec.json.encode(document), indent=indent)
    assert decode_by_item(body) == _decode(body)


@given(document=DOCUMENTS, cut=st.integers(0, 40), added=st.binary(max_size=3))
def test_damaged_documents_are_refused_as_by_the_decoder(
    document: object, cut: int, added: bytes
) -> None:
    """Guards against a truncated or damaged document that is accepted."""
    whole = msgspec.json.encode(document)
    body = whole[:cut] + added + whole[cut + 1 :]
    assert _decode_by_item(body) == _decode(body)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'{"a"',
        b'{"a":}',
        b'{"a":1,}',
        b'{,}',
        b'{1:2}',
        b'{"a":{"b":1}',
        b'{"a":{"b" 1}}',
        b'{"a":1}}',
        b'{"a":NaN}',
        b'{"a":{"b":-Infinity}}',
        b'{"a":1e999}',
        b'{"a":{"b":"\x5cud800"}}',
        b'{"a":1}\xff',
        b'\xef\xbb\xbf{}',
    ],
)
def test_text_that_is_not_json_is_refused(body: bytes) -> None:
    """Guards against an error of another kind, which ends the request."""
    assert _decode_by_item(body) is ValueError
    assert _decode(body) is ValueError
