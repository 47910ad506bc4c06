"""Mutual authentication of a new inner connection.

Both sides send a `Hello` with a fresh random nonce, then a `Proof`: an
HMAC-SHA256, keyed with a shared secret, over the sender's role and both
`Hello` messages. A recorded proof is useless, because the other side's nonce
differs, and the side label stops a proof from being reflected.
"""

import hashlib
import hmac
import secrets
from collections.abc import Sequence
from typing import Final, Literal

from masticwind.protocol.codec import encode_frame
from masticwind.protocol.messages import Hello, Proof

NONCE_BYTES: Final = 32

Side = Literal['dialer', 'listener']


def new_nonce() -> bytes:
    """Return a fresh nonce for a `Hello`."""
    return secrets.token_bytes(NONCE_BYTES)


def make_proof(
    secret: str, side: Side, dialer: Hello, listener: Hello
) -> Proof:
    """Return the proof of `side` for a connection with these `Hello`s."""
    text = b'\0'.join(
        (
            side.encode(),
            encode_frame([dialer]),
            encode_frame([listener]),
        )
    )
    return Proof(hmac.new(secret.encode(), text, hashlib.sha256).digest())


def check_proof(
    proof: Proof,
    secret_list: Sequence[str],
    side: Side,
    dialer: Hello,
    listener: Hello,
) -> str:
    """Return the secret that made `proof`, or an empty string.

    Every valid secret is tried, so that a rotation needs no restart; the
    comparison takes the same time wherever the digests differ.
    """
    found = ''
    for secret in secret_list:
        expected = make_proof(secret, side, dialer, listener)
        if hmac.compare_digest(expected.digest, proof.digest):
            found = secret
    return found
