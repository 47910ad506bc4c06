"""Records of claims and the head of a bucket, with their encoding.

The head of a bucket holds the full records of recent claims. Older claims
are in sealed segments, which hold fewer fields of a record.
"""

import enum
import hashlib
import secrets
import struct
import time
from dataclasses import dataclass, field
from typing import Final

import msgspec

from masticwind.decoding import parse_msgpack
from masticwind.errors import ErrorKind, Failure

CLAIM_KEY_BYTES: Final = 16
CALL_DIGEST_BYTES: Final = 8
WRITER_TOKEN_BYTES: Final = 8
BODY_DIGEST_BYTES: Final = 16


class ClaimState(enum.IntEnum):
    """What is known of a claimed call."""

    CLAIMED = 0
    DONE = 1
    FAILED = 2
    NOT_RUN = 3
    UNKNOWN = 4


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One claim as stored.

    `writer_token` identifies the request that wrote the claim, and
    `claimed_at_s` is in Unix seconds. `body` is set only if the response
    body is small enough to be stored.
    """

    key: bytes
    call_digest: bytes
    writer_token: bytes
    claimed_at_s: int
    timeout_ms: int
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    body_digest: bytes = b''
    content_type: str = ''
    body: bytes = b''


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """A reference to a sealed segment; `sealed_at_s` is in Unix seconds."""

    name: str
    sealed_at_s: int
    claim_count: int


class BucketHead(msgspec.Struct, frozen=True, array_like=True):
    """The value of a bucket's key: segments, oldest first, and records."""

    segments: tuple[SegmentRef, ...] = ()
    records: tuple[ClaimRecord, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """A request to claim a non-repeatable call.

    The random `writer_token` tells this request from others with its key.
    """

    key: bytes
    call_digest: bytes
    timeout_ms: int
    writer_token: bytes = field(
        default_factory=lambda: secrets.token_bytes(WRITER_TOKEN_BYTES),
    )

    def to_record(self) -> ClaimRecord:
        """Return the record to store, with the current time."""
        return ClaimRecord(
            self.key,
            self.call_digest,
            self.writer_token,
            int(time.time()),
            self.timeout_ms,
        )


def claim_key(team: str, idempotency_key: str) -> bytes:
    """Return the key of a claim; idempotency keys are separate by team."""
    return _digest(CLAIM_KEY_BYTES, team.encode(), idempotency_key.encode())


def call_digest(method: str, target: str, body: bytes) -> bytes:
    """Return a digest that detects a different call under the same key."""
    return _digest(CALL_DIGEST_BYTES, method.encode(), target.encode(), body)


def body_digest(body: bytes) -> bytes:
    """Return the digest of a response body."""
    return hashlib.blake2b(body, digest_size=BODY_DIGEST_BYTES).digest()


def encode_head(head: BucketHead) -> bytes:
    """Return the encoded value of a bucket's key."""
    return msgspec.msgpack.encode(head)


def decode_head(raw: bytes | None) -> BucketHead | Failure:
    """Return the head of a bucket; an absent value gives an empty head.

    Any other value gives a `Failure` of kind `platform_down`.
    """
    if not raw:
        return BucketHead()
    return parse_msgpack(raw, BucketHead, ErrorKind.PLATFORM_DOWN)


def _digest(size_bytes: int, *parts: bytes) -> bytes:
    hasher = hashlib.blake2b(digest_size=size_bytes)
    for part in parts:
        # The length prefix gives ('ab', 'c') and ('a', 'bc') other digests.
        hasher.update(struct.pack('>Q', len(part)))
        hasher.update(part)
    return hasher.digest()
