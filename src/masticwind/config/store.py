"""The operators' configuration in the key-value service.

Parts are written first, then one compare-and-swap of the head puts the
generation in force. A reader therefore never sees half a configuration.
"""

import datetime
import secrets
from dataclasses import dataclass
from typing import Final

import msgspec

from masticwind.config.model import Configuration, Generation
from masticwind.config.parts import Head, join, split
from masticwind.errors import ErrorKind, Failure
from masticwind.platform.base import (
    Conflict,
    KeyValue,
    Unknown,
    Versioned,
    WriteResult,
    Written,
)

HEAD_KEY: Final = 'config/head'
PART_PREFIX: Final = 'config/part/'
SETTLE_TRIES: Final = 5
WRITER_TOKEN_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head and the revision of the key that holds it."""

    head: Head | None
    revision: int


class ConfigStore:
    """Reads and writes generations."""

    def __init__(self, key_value: KeyValue) -> None:
        self._kv: Final = key_value

    async def read_head(self) -> StoredHead | Failure:
        """Read the head; there is none before the first apply."""
        return decode_head(await self._kv.get(HEAD_KEY))

    async def wait_head(
        self,
        after: int,
        wait_s: float,
    ) -> StoredHead | Failure:
        """Wait for a head with a revision newer than `after`."""
        return decode_head(await self._kv.watch(HEAD_KEY, after, wait_s))

    async def load(
        self,
        head: Head,
        known: dict[str, bytes],
    ) -> Generation | Failure:
        """Fetch the parts of `head` that are not in `known` and join them."""
        for digest in head.parts.values():
            if digest in known:
                continue
            found = await self._kv.get(f'{PART_PREFIX}{digest}')
            if isinstance(found, Failure):
                return found
            if found.value is not None:
                known[digest] = found.value
        config = join(head, known)
        if isinstance(config, Failure):
            return config
        return Generation(number=head.number, config=config)

    async def apply(
        self,
        config: Configuration,
        expected: int,
        operator: str,
    ) -> Head | Failure:
        """Put `config` in force as the generation after `expected`.

        Returns a `Failure` of kind `conflict` if another generation is in
        force, `platform_down` if nothing was changed, and `outcome_unknown`
        if the service did not answer whether the change took effect.
        """
        stored = await self.read_head()
        if isinstance(stored, Failure):
            return stored
        number = 0 if stored.head is None else stored.head.number
        if number != expected:
            return _conflict(expected, number)
        names, contents = split(config)
        failure = await self._write_parts(contents)
        if failure is not None:
            return failure
        head = Head(
            number=expected + 1,
            writer=secrets.token_hex(WRITER_TOKEN_BYTES),
            operator=operator,
            applied_at=datetime.datetime.now(datetime.UTC).isoformat(),
            parts=names,
        )
        result = await self._kv.compare_and_swap(
            HEAD_KEY,
            msgspec.json.encode(head),
            stored.revision,
        )
        return await self._settle(head, result)

    async def _write_parts(self, contents: dict[str, bytes]) -> Failure | None:
        for digest, content in contents.items():
            key = f'{PART_PREFIX}{digest}'
            found = await self._kv.get(key)
            if isinstance(found, Failure):
                return found
            if found.value is not None:
                continue
            # A conflict or a lost answer leaves the same content behind:
            # the key is the digest of the value.
            result = await self._kv.compare_and_swap(key, content, 0)
            if isinstance(result, Failure):
                return result
        return None

    async def _settle(self, head: Head, result: WriteResult) -> Head | Failure:
        if isinstance(result, Written):
            return head
        if isinstance(result, Failure):
            return result
        if isinstance(result, Conflict):
            return _conflict(head.number - 1, head.number)
        return await self._read_back(head, result)

    async def _read_back(self, head: Head, lost: Unknown) -> Head | Failure:
        for _ in range(SETTLE_TRIES):
            stored = await self.read_head()
            if isinstance(stored, Failure):
                continue
            if stored.head is not None and stored.head.writer == head.writer:
                return head
            if stored.head is not None and stored.head.number >= head.number:
                return _conflict(head.number - 1, stored.head.number)
        return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason=lost.reason)


def decode_head(found: Versioned | Failure) -> StoredHead | Failure:
    """Decode the value of the head key."""
    if isinstance(found, Failure):
        return found
    if found.value is None:
        return StoredHead(None, found.revision)
    try:
        head = msgspec.json.decode(found.value, type=Head)
    except msgspec.DecodeError as exc:
        return Failure(kind=ErrorKind.INVALID_CONFIG, reason=str(exc))
    return StoredHead(head, found.revision)


def _conflict(expected: int, found: int) -> Failure:
    return Failure(
        kind=ErrorKind.CONFLICT,
        reason=f'generation {found} is in force, expected {expected}',
    )
