"""Decodes input of other processes; whatever a decoder raises is a `Failure`.

Everything that another process wrote is decoded through this module: values
of the store, messages, answers, bodies and files. Decoders raise many
unrelated errors for odd input, such as `RecursionError` for a document that
is nested too deeply. Here each of them costs only that input.

    report = parse_json(answer.body, EngineReport, ErrorKind.INTERNAL)
    if isinstance(report, Failure):
        return report
"""

from collections.abc import Callable, Mapping
from functools import partial
from typing import Final, TypeVar

import msgspec

from masticwind.errors import ErrorKind, Failure

# An error message can quote the input, which may be long.
MAX_REASON_CHARS: Final = 300

Buffer = bytes | bytearray | memoryview | str

_Source = TypeVar('_Source')
_Result = TypeVar('_Result')


def parse_json(
    content: Buffer,
    result_type: type[_Result],
    kind: ErrorKind,
) -> _Result | Failure:
    """Decode JSON of a type; other content gives a `Failure` of `kind`."""
    decode = partial(msgspec.json.decode, type=result_type)
    return parse_with(decode, content, kind)


def parse_msgpack(
    content: bytes,
    result_type: type[_Result],
    kind: ErrorKind,
) -> _Result | Failure:
    """Decode MessagePack of a type; other content gives a `Failure`."""
    decode = partial(msgspec.msgpack.decode, type=result_type)
    return parse_with(decode, content, kind)


def parse_fields(
    fields: Mapping[str, object],
    result_type: type[_Result],
    kind: ErrorKind,
) -> _Result | Failure:
    """Convert fields whose values are text, such as those of a query."""
    convert = partial(msgspec.convert, type=result_type, strict=False)
    return parse_with(convert, fields, kind)


def parse_with(
    decode: Callable[[_Source], _Result],
    source: _Source,
    kind: ErrorKind,
    describe: Callable[[Exception], str] = str,
) -> _Result | Failure:
    """Decode with a function that raises an error for input it cannot read.

    `describe` returns the reason of the `Failure`, for an error whose message
    may quote a secret.

    >>> parse_with(int, '80', ErrorKind.BAD_REQUEST)
    80
    """
    try:
        return decode(source)
    except Exception as exc:
        reason = describe(exc)[:MAX_REASON_CHARS] or type(exc).__name__
        return Failure(kind=kind, reason=reason)
