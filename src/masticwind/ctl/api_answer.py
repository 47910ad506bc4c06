"""Decodes the JSON answers that entries give to operators."""

from http import HTTPStatus
from typing import TypeVar

import msgspec

from masticwind.decoding import parse_json
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
    # The body of a conflict is an `Applied` with the diff.
    if answer.status in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
        return _parse_body(answer, result_type)
    content = _parse_body(answer, _ErrorAnswer)
    if isinstance(content, Failure):
        return content
    return Failure(kind=content.error.kind, reason=content.error.message)


def _parse_body(
    answer: HttpAnswer, body_type: type[_Result]
) -> _Result | Failure:
    content = parse_json(answer.body, body_type, ErrorKind.PLATFORM_DOWN)
    if not isinstance(content, Failure):
        return content
    reason = f'unexpected answer with status {answer.status}: {content.reason}'
    return Failure(kind=content.kind, reason=reason)
