"""Decodes what an engine says of itself in the head of an answer.

An engine may name a limit on its requests, say that it is leaving, and ask for
a pause when it refuses a request.
"""

import math
import re
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Final

from loguru import logger

from masticwind.serving.interfaces import EndpointNotice

RATE_LIMIT_HEADER: Final = b'server-limit'
LEAVING_HEADER: Final = b'server-leaving'
PAUSE_HEADER: Final = b'retry-after'
LEAVING: Final = b'1'
# A limit from here on has no effect, as no deployment sends this much to one
# engine.
MAX_RATE_LIMIT_PER_S: Final = 100_000.0
# An engine that asks for a longer pause gets a request after this time, which
# it may answer by asking again.
MAX_PAUSE_S: Final = 600.0
RawHeaders = Sequence[tuple[bytes, bytes]]
_DECIMAL: Final = re.compile(rb'[0-9]{1,20}(\.[0-9]{0,20})?|\.[0-9]{1,20}')


def decode_notice(status: int, headers: RawHeaders) -> EndpointNotice:
    """Return what the head of an answer says about its engine.

    For example, status 503 with `Retry-After: 2.5` asks for a pause of 2.5 s.
    A header that cannot be read is logged and says nothing.
    """
    return EndpointNotice(
        rate_limit=_decode_rate_limit(headers),
        leaving=_decode_leaving(headers),
        pause_s=_decode_pause_s(status, headers),
    )


def _decode_rate_limit(headers: RawHeaders) -> float | None:
    """Return the named limit in requests per second.

    The limit is infinite if none is named, and None if it is not a decimal
    number. Of several numbers the smallest one counts.
    """
    texts = _find_texts(headers, RATE_LIMIT_HEADER)
    if not texts:
        return math.inf
    limits = _parse_decimals(texts)
    if limits is None:
        _log_unreadable(RATE_LIMIT_HEADER, texts)
        return None
    limit = min(limits)
    return limit if limit < MAX_RATE_LIMIT_PER_S else math.inf


def _decode_leaving(headers: RawHeaders) -> bool:
    """Tell whether the engine says that it is leaving.

    Of several values, one that says so is enough.
    """
    texts = _find_texts(headers, LEAVING_HEADER)
    values = _split(texts)
    if LEAVING in values:
        return True
    if texts:
        _log_unreadable(LEAVING_HEADER, texts)
    return False


def _decode_pause_s(status: int, headers: RawHeaders) -> float:
    """Return the pause in seconds that a refusal asks for, zero for none.

    Of several numbers the largest one counts. A date asks for no pause, as
    clocks are not compared.
    """
    texts = _find_texts(headers, PAUSE_HEADER)
    if status != HTTPStatus.SERVICE_UNAVAILABLE or not texts:
        return 0.0
    pauses_s = _parse_decimals(texts)
    if pauses_s is None:
        _log_unreadable(PAUSE_HEADER, texts)
        return 0.0
    return min(MAX_PAUSE_S, max(pauses_s))


def _find_texts(headers: RawHeaders, wanted: bytes) -> list[bytes]:
    return [text for name, text in headers if name.lower() == wanted]


def _split(texts: Iterable[bytes]) -> list[bytes]:
    return [part.strip(b' \t') for part in b','.join(texts).split(b',')]


def _parse_decimals(texts: Iterable[bytes]) -> list[float] | None:
    """Return all numbers of a header; None if one of them is unreadable."""
    numbers: list[float] = []
    for part in _split(texts):
        if _DECIMAL.fullmatch(part) is None:
            return None
        numbers.append(float(part))
    return numbers


def _log_unreadable(header: bytes, texts: list[bytes]) -> None:
    logger.bind(
        header=header.decode('latin-1'), text=texts[0].decode('latin-1')
    ).warning('endpoint_notice_unreadable')
