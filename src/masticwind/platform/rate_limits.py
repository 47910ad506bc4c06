"""Decodes the limit that an engine names in its answers."""

import math
import re
from collections.abc import Iterable
from typing import Final

from loguru import logger

RATE_LIMIT_HEADER: Final = b'server-limit'
# A limit from here on has no effect, as no deployment sends this much to one
# engine.
MAX_RATE_LIMIT_PER_S: Final = 100_000.0
_DECIMAL: Final = re.compile(rb'[0-9]{1,20}(\.[0-9]{0,20})?|\.[0-9]{1,20}')


def decode_rate_limit(headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Return the named limit in requests per second.

    The limit is infinite if none is named, and None if it is not a decimal
    number. Of several numbers the smallest one counts.
    """
    texts = [
        text for name, text in headers if name.lower() == RATE_LIMIT_HEADER
    ]
    if not texts:
        return math.inf
    limits: list[float] = []
    for part in b','.join(texts).split(b','):
        if _DECIMAL.fullmatch(part.strip(b' \t')) is None:
            logger.bind(text=texts[0].decode('latin-1')).warning(
                'rate_limit_unreadable'
            )
            return None
        limits.append(float(part))
    limit = min(limits)
    return limit if limit < MAX_RATE_LIMIT_PER_S else math.inf
