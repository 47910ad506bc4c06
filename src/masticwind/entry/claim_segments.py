"""Sealed segments of old claims.

A segment is immutable. It has rows of a fixed size, sorted by key, so that
it is binary searched without decoding.
"""

import bisect
import secrets
import struct
import time
from collections.abc import Sequence
from typing import Final

from masticwind.entry.claim_records import (
    BODY_DIGEST_BYTES,
    CALL_DIGEST_BYTES,
    CLAIM_KEY_BYTES,
    ClaimRecord,
    ClaimState,
    SegmentRef,
)

_ROW: Final = struct.Struct(
    f'>{CLAIM_KEY_BYTES}s{CALL_DIGEST_BYTES}sBH{BODY_DIGEST_BYTES}s'
)
_STATE_OFFSET: Final = CLAIM_KEY_BYTES + CALL_DIGEST_BYTES
_STATES: Final = frozenset(int(state) for state in ClaimState)
_SEGMENT_ID_BYTES: Final = 8


def choose_records_to_seal(
    records: tuple[ClaimRecord, ...],
) -> tuple[list[ClaimRecord], list[ClaimRecord]]:
    """Return half of the records, to be sealed, and the rest.

    The oldest are chosen, and records with an outcome before others, because
    an outcome is no longer recorded once its claim is sealed.
    """
    sealed_count = len(records) // 2
    candidates = [
        record for record in records if record.state is not ClaimState.CLAIMED
    ]
    open_claims = [
        record for record in records if record.state is ClaimState.CLAIMED
    ]
    candidates.extend(open_claims[: max(0, sealed_count - len(candidates))])
    sealed_keys = {record.key for record in candidates[:sealed_count]}
    recent = [record for record in records if record.key not in sealed_keys]
    return candidates[:sealed_count], recent


def encode_rows(records: Sequence[ClaimRecord]) -> bytes:
    """Return the rows of a segment, sorted by key."""
    sorted_records = sorted(records, key=lambda record: record.key)
    return b''.join(
        _ROW.pack(
            record.key,
            record.call_digest,
            record.state,
            record.status,
            record.body_digest,
        )
        for record in sorted_records
    )


def merge_rows(older: bytes, newer: bytes) -> bytes:
    """Merge the rows of two segments; of one key the newer row is kept."""
    rows = {row[:CLAIM_KEY_BYTES]: row for row in _split_rows(older)}
    rows.update({row[:CLAIM_KEY_BYTES]: row for row in _split_rows(newer)})
    return b''.join(rows[key] for key in sorted(rows))


def new_segment_ref(rows: bytes) -> SegmentRef:
    """Return the reference for a new segment with these rows.

    The name is random, so that two entries that seal the same claims at the
    same time do not overwrite each other's segment.
    """
    name = secrets.token_hex(_SEGMENT_ID_BYTES)
    return SegmentRef(name, int(time.time()), len(rows) // _ROW.size)


def check_segment(content: bytes) -> bytes:
    """Return the rows of a stored segment.

    Raises `ValueError` for other content, in which a search could miss a
    claim.
    """
    if len(content) % _ROW.size:
        raise ValueError('the segment ends within a row')
    states = set(content[_STATE_OFFSET :: _ROW.size])
    if not states <= _STATES:
        raise ValueError('the segment has a row of an unknown state')
    keys = [row[:CLAIM_KEY_BYTES] for row in _split_rows(content)]
    if keys != sorted(keys):
        raise ValueError('the rows of the segment are not sorted')
    return content


def search_segment(rows: bytes, key: bytes) -> ClaimRecord | None:
    """Return the record of a key in a segment.

    Its writer token, time and response body are not stored and are empty.
    """
    row_count = len(rows) // _ROW.size
    index = bisect.bisect_left(
        range(row_count),
        key,
        key=lambda number: rows[
            number * _ROW.size : number * _ROW.size + CLAIM_KEY_BYTES
        ],
    )
    if index == row_count:
        return None
    row = _ROW.unpack_from(rows, index * _ROW.size)
    if row[0] != key:
        return None
    status = row[3]
    return ClaimRecord(
        key,
        row[1],
        b'',
        0,
        0,
        ClaimState(row[2]),
        status,
        row[4] if status else b'',
    )


def _split_rows(segment: bytes) -> list[bytes]:
    starts = range(0, len(segment), _ROW.size)
    return [segment[start : start + _ROW.size] for start in starts]
