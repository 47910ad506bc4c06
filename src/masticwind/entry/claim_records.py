"""Records of claims and their encoding in the key-value service.

The head of a bucket holds recent claims in full. Older claims are in sealed
segments.
"""

import enum
import hashlib
import secrets
import struct
import time
from dataclasses import dataclass, field
from typing import Final

import msgspec

KEY_BYTES: Final = 16
IDENTITY_BYTES: Final = 8
TOKEN_BYTES: Final = 8
DIGEST_BYTES: Final = 16


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


def _digest(size: int, *parts: bytes) -> bytes:
    hasher = hashlib.blake2b(digest_size=size)
    for part in parts:
        # The length keeps ('ab', 'c') and ('a', 'bc') apart.
        hasher.update(struct.pack('>Q', len(part)))
        hasher.update(part)
    return hasher.digest()
