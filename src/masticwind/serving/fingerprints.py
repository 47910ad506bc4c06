"""The keys under which crashes of engines are counted.

A request with a prompt has the keys of its prompt and of the parts that other
prompts share. Any other request, a call, has one key: two calls are the same
to an engine if method, host, target, team and body are the same.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

import xxhash

from masticwind.serving.model import CallerRequest

# Of a prompt whose parts, joined by a separator, are longer than this, no part
# is compared: evidence against some of its parts could miss the culprit.
MAX_PARTS_CHARS: Final = 16_384
MAX_PARTS: Final = MAX_PARTS_CHARS // 2
MAX_KEY_CHARS: Final = 64
DIGEST_BYTES: Final = 16
LENGTH_BYTES: Final = 8
_PROMPT_KEY: Final = 'prompt:'
_CALL_KEY: Final = 'call:'
# Keys of 32 bits.
MAX_SHORT_KEY: Final = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class RequestFingerprint:
    """The keys of a request; `whole` stands for all of it.

    `parts` lacks the last part of the prompt, which belongs to the request
    alone, and has each other part once.
    """

    whole: str = ''
    parts: tuple[str, ...] = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys of the request."""
        return (self.whole, *self.parts) if self.whole else ()


def fingerprint(prompt_parts: tuple[str, ...]) -> RequestFingerprint:
    """Return the keys of a prompt with these parts, none without parts."""
    if not prompt_parts:
        return RequestFingerprint()
    text = '\n'.join(prompt_parts)
    whole = f'{_PROMPT_KEY}{xxhash.xxh3_128_hexdigest(text.encode())}'
    if len(text) > MAX_PARTS_CHARS:
        return RequestFingerprint(whole)
    shared_parts = dict.fromkeys(prompt_parts[:-1])
    if max(map(len, shared_parts), default=0) > MAX_KEY_CHARS:
        shared_parts = dict.fromkeys(map(limit_length, shared_parts))
    return RequestFingerprint(whole, tuple(shared_parts))


def short_key(*names: str) -> int:
    """Return a 32-bit key of some names that is the same in all entries.

    Zero stands for unknown, so no key is zero.
    """
    return xxhash.xxh32_intdigest('\n'.join(names).encode()) or 1


def call_fingerprint(req: CallerRequest, team: str) -> RequestFingerprint:
    """Return the key of a call; this reads the whole body.

    The digest is a cryptographic one, so that no team can make a call with the
    key of another one's.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (
        req.method.encode(),
        req.host.lower().encode(),
        req.target,
        team.encode(),
    ):
        digest.update(len(text).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(text)
    digest.update(req.body)
    return RequestFingerprint(f'{_CALL_KEY}{digest.hexdigest()}')


def is_call(key: str) -> bool:
    """Tell whether a key is that of a call."""
    return key.startswith(_CALL_KEY)


def is_whole_request(key: str) -> bool:
    """Tell whether a key stands for one request, which may come again."""
    return key.startswith((_PROMPT_KEY, _CALL_KEY))


def limit_length(name: str) -> str:
    """Return a name, or a digest of it if it is too long for a report."""
    if len(name) <= MAX_KEY_CHARS:
        return name
    return xxhash.xxh3_128_hexdigest(name.encode())
