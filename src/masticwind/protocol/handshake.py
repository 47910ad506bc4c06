"""Mutual authentication of a new inner connection.

Both sides send a `Hello` with a fresh random nonce, then a `Proof`: an
HMAC-SHA256, keyed with a shared secret, over the sender's side and both
`Hello` messages. A replayed proof fails, because the peer's nonce differs, and
a reflected proof fails, because it was made for the other side.
"""

import functools
import hashlib
import hmac
import secrets
from collections.abc import Sequence
from pathlib import Path
from typing import Final, Literal

from loguru import logger

from masticwind.protocol.codec import encode_frame
from masticwind.protocol.messages import Hello, Proof
from masticwind.settings import PeerSettings

NONCE_BYTES: Final = 32

Side = Literal['dialer', 'listener']


def new_nonce() -> bytes:
    """Return a fresh nonce for a `Hello`."""
    return secrets.token_bytes(NONCE_BYTES)


class SecretsFile:
    """The secrets in one file, which is read again when it changes."""

    def __init__(self, path: str) -> None:
        self._path: Final = Path(path)
        self._file_version: tuple[int, int, int] | None = None
        self._secrets: tuple[str, ...] = ()

    def read(self) -> tuple[str, ...]:
        """Return the secrets; the last valid ones if the file is unusable."""
        try:
            stat_result = self._path.stat()
        except OSError as exc:
            logger.bind(error=str(exc)).warning('secrets_unreadable')
            return self._secrets
        file_version = (
            stat_result.st_mtime_ns,
            stat_result.st_size,
            stat_result.st_ino,
        )
        if file_version != self._file_version:
            self._file_version = file_version
            self._reload()
        return self._secrets

    def _reload(self) -> None:
        try:
            lines = self._path.read_text(encoding='utf-8').split()
        except (OSError, UnicodeDecodeError) as exc:
            logger.bind(error=str(exc)).warning('secrets_unreadable')
            return
        if lines:
            self._secrets = tuple(lines)
        logger.bind(valid=len(lines)).info('secrets_read')


@functools.cache
def _secrets_file(path: str) -> SecretsFile:
    return SecretsFile(path)


def valid_secrets(cfg: PeerSettings) -> tuple[str, ...]:
    """Return the secrets valid now; proofs are signed with the first one."""
    if not cfg.secrets_file:
        return cfg.secrets
    return _secrets_file(cfg.secrets_file).read() or cfg.secrets


def make_proof(
    secret: str, side: Side, dialer: Hello, listener: Hello
) -> Proof:
    """Return the proof of `side` for a connection with these `Hello`s."""
    signed_bytes = b'\0'.join(
        (
            side.encode(),
            encode_frame([dialer]),
            encode_frame([listener]),
        )
    )
    return Proof(
        hmac.new(secret.encode(), signed_bytes, hashlib.sha256).digest()
    )


def find_proof_secret(
    proof: Proof,
    accepted_secrets: Sequence[str],
    side: Side,
    dialer: Hello,
    listener: Hello,
) -> str:
    """Return the secret that made `proof`, or an empty string.

    All accepted secrets are tried, so that secrets can be rotated without a
    restart. The comparison of digests takes constant time.
    """
    found = ''
    for secret in accepted_secrets:
        expected = make_proof(secret, side, dialer, listener)
        if hmac.compare_digest(expected.digest, proof.digest):
            found = secret
    return found
