"""Sealed segments of old claims.

A segment is never changed. It holds rows of fixed size, sorted by key, so
that an entry can search it without decoding.
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
_SEGMENT_ID_BYTES: Final = 8


def choose_records_to_seal(
    records: tuple[ClaimRecord, ...],
) -> tuple[list[ClaimRecord], list[ClaimRecord]]:
    """Choose the older half for sealing, claims with an outcome first.

    An outcome that arrives after its claim was sealed is not recorded.
    """
    wanted = len(records) // 2
    old = [one for one in records if one.state is not ClaimState.CLAIMED]
    open_claims = [one for one in records if one.state is ClaimState.CLAIMED]
    old.extend(open_claims[: max(0, wanted - len(old))])
    chosen = {one.key for one in old[:wanted]}
    recent = [one for one in records if one.key not in chosen]
    return old[:wanted], recent


def encode_rows(records: Sequence[ClaimRecord]) -> bytes:
    """Return claims as the rows of a segment."""
    ordered = sorted(records, key=lambda one: one.key)
    return b''.join(
        _ROW.pack(
            one.key, one.call_digest, one.state, one.status, one.body_digest
        )
        for one in ordered
    )


def merge_rows(older: bytes, newer: bytes) -> bytes:
    """Return the rows of two segments as one; the newer of a key counts."""
    rows = {row[:CLAIM_KEY_BYTES]: row for row in _rows(older)}
    rows.update({row[:CLAIM_KEY_BYTES]: row for row in _rows(newer)})
    return b''.join(rows[key] for key in sorted(rows))


def new_segment_ref(rows: bytes) -> SegmentRef:
    """Return a reference to a new segment with these rows.

    The name is random: two entries that seal the same claims at once must
    not overwrite each other's segment.
    """
    name = secrets.token_hex(_SEGMENT_ID_BYTES)
    return SegmentRef(name, int(time.time()), len(rows) // _ROW.size)


def search_segment(rows: bytes, key: bytes) -> ClaimRecord | None:
    """Return the claim of a key in a segment."""
    count = len(rows) // _ROW.size
    index = bisect.bisect_left(
        range(count),
        key,
        key=lambda row: rows[
            row * _ROW.size : row * _ROW.size + CLAIM_KEY_BYTES
        ],
    )
    if index == count:
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


def _rows(segment: bytes) -> list[bytes]:
    starts = range(0, len(segment), _ROW.size)
    return [segment[start : start + _ROW.size] for start in starts]
