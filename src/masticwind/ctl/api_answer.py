"""Decodes the JSON answers that entries give to operators."""

from http import HTTPStatus
from typing import TypeVar

import msgspec

from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpAnswer

_Result = TypeVar('_Result')


class _Error(msgspec.Struct, frozen=True):
    kind: ErrorKind
    message: str


class _ErrorAnswer(msgspec.Struct, frozen=True):
    error: _Error


def decode_answer(
    answer: HttpAnswer,
    result_type: type[_Result],
) -> _Result | Failure:
    """Return the result or the failure that an entry answered.

    Another program, or an entry of another version, may answer something
    else; this gives a `Failure` of kind `platform_down`.
    """
    try:
        # The body of a conflict is an `Applied` with the diff.
        if answer.status in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
            return msgspec.json.decode(answer.body, type=result_type)
        error = msgspec.json.decode(answer.body, type=_ErrorAnswer).error
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(
            kind=ErrorKind.PLATFORM_DOWN,
            reason=f'unexpected answer with status {answer.status}: {exc}',
        )
    return Failure(kind=error.kind, reason=error.message)
