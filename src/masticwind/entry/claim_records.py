"""Records of claims and their encoding in the key-value service.

The head of a bucket holds recent claims in full. Older claims are in sealed
segments, which are never changed: rows of fixed size, sorted by key, so that
an entry can search them without decoding.
"""

import bisect
import enum
import hashlib
import secrets
import struct
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

import msgspec

KEY_BYTES: Final = 16
IDENTITY_BYTES: Final = 8
TOKEN_BYTES: Final = 8
DIGEST_BYTES: Final = 16
_ROW: Final = struct.Struct(f'>{KEY_BYTES}s{IDENTITY_BYTES}sBH{DIGEST_BYTES}s')
_SEGMENT_ID_BYTES: Final = 8


class ClaimState(enum.IntEnum):
    """What is known of a claimed call."""

    CLAIMED = 0
    DONE = 1
    FAILED = 2
    NOT_RUN = 3
    UNKNOWN = 4


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One claim; `token` names its writer and `at` is in Unix seconds."""

    key: bytes
    identity: bytes
    token: bytes
    at: int
    timeout_ms: int
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    digest: bytes = b''
    content_type: str = ''
    body: bytes = b''


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """A sealed segment; `sealed_at` is in Unix seconds."""

    name: str
    sealed_at: int
    count: int


class Head(msgspec.Struct, frozen=True, array_like=True):
    """What a bucket holds: its segments, oldest first, and recent claims."""

    segments: tuple[SegmentRef, ...] = ()
    records: tuple[Record, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A non-repeatable call as its claim identifies it."""

    key: bytes
    identity: bytes
    timeout_ms: int
    token: bytes = field(
        default_factory=lambda: secrets.token_bytes(TOKEN_BYTES),
    )

    def record(self) -> Record:
        """Return the record of the claim."""
        return Record(
            self.key,
            self.identity,
            self.token,
            int(time.time()),
            self.timeout_ms,
        )


def claim_key(team: str, key: str) -> bytes:
    """Return the key of a claim; teams do not share idempotency keys."""
    return _digest(KEY_BYTES, team.encode(), key.encode())


def call_identity(method: str, target: str, body: bytes) -> bytes:
    """Return the digest by which a changed call under one key is noticed."""
    return _digest(IDENTITY_BYTES, method.encode(), target.encode(), body)


def body_digest(body: bytes) -> bytes:
    """Return the digest of a response body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def encode_head(head: Head) -> bytes:
    """Return the value of a bucket."""
    return msgspec.msgpack.encode(head)


def decode_head(raw: bytes | None) -> Head:
    """Return the head of a bucket; a missing value is an empty head."""
    return msgspec.msgpack.decode(raw, type=Head) if raw else Head()


def segment_rows(records: Sequence[Record]) -> bytes:
    """Return claims as the rows of a segment."""
    ordered = sorted(records, key=lambda one: one.key)
    return b''.join(
        _ROW.pack(one.key, one.identity, one.state, one.status, one.digest)
        for one in ordered
    )


def merge_rows(older: bytes, newer: bytes) -> bytes:
    """Return the rows of two segments as one; the newer of a key counts."""
    rows = {row[:KEY_BYTES]: row for row in _rows(older)}
    rows.update({row[:KEY_BYTES]: row for row in _rows(newer)})
    return b''.join(rows[key] for key in sorted(rows))


def new_segment(rows: bytes) -> SegmentRef:
    """Return a reference to a new segment with these rows.

    The name is random: two entries that seal the same claims at once must
    not overwrite each other's segment.
    """
    name = secrets.token_hex(_SEGMENT_ID_BYTES)
    return SegmentRef(name, int(time.time()), len(rows) // _ROW.size)


def search_segment(rows: bytes, key: bytes) -> Record | None:
    """Return the claim of a key in a segment."""
    count = len(rows) // _ROW.size
    index = bisect.bisect_left(
        range(count),
        key,
        key=lambda row: rows[row * _ROW.size : row * _ROW.size + KEY_BYTES],
    )
    if index == count:
        return None
    row = _ROW.unpack_from(rows, index * _ROW.size)
    if row[0] != key:
        return None
    status = row[3]
    return Record(
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


def _digest(size: int, *parts: bytes) -> bytes:
    hasher = hashlib.blake2b(digest_size=size)
    for part in parts:
        # The length keeps ('ab', 'c') and ('a', 'bc') apart.
        hasher.update(struct.pack('>Q', len(part)))
        hasher.update(part)
    return hasher.digest()
