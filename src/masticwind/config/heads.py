"""Reads the operators' configuration from the key-value service.

The key `config/head` holds the head of the current generation,
`config/history/<generation>` the heads of earlier generations, and
`config/part/<digest>` the parts that heads refer to.
"""

import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Final

import anyio

from masticwind.config.model import Generation
from masticwind.config.parts import Head, PartCache, part_digest
from masticwind.decoding import parse_json
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import Conflict, KeyValue, VersionedValue, Written

HEAD_KEY: Final = 'config/head'
PART_PREFIX: Final = 'config/part/'
HISTORY_PREFIX: Final = 'config/history/'
MAX_HISTORY_HEADS: Final = 64
# The service handles several hundred writes and about 2,000 reads per second
# for the whole fleet; eight concurrent calls leave capacity for others.
MAX_CONCURRENT_CALLS: Final = 8
MAX_CALL_ATTEMPTS: Final = 4
BASE_RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 0.8

KeyOperation = Callable[[str], Awaitable[Failure | None]]


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head and the revision of the key that holds it."""

    head: Head | None
    revision: int
    content: bytes = b''

    @property
    def number(self) -> int:
        """Number of the generation; zero before the first apply."""
        return 0 if self.head is None else self.head.number


class HeadReader:
    """Reads heads, parts and generations."""

    def __init__(self, key_value: KeyValue) -> None:
        self.key_value: Final = key_value

    async def read_head(self) -> StoredHead | Failure:
        """Read the current head; there is none before the first apply."""
        return decode_head(await self.key_value.get(HEAD_KEY))

    async def wait_for_head(
        self,
        after: int,
        wait_s: float,
    ) -> StoredHead | Failure:
        """Wait up to `wait_s` for a head with a revision newer than `after`."""
        return decode_head(await self.key_value.watch(HEAD_KEY, after, wait_s))

    async def load_generation(
        self,
        head: Head,
        cache: PartCache,
    ) -> Generation | Failure:
        """Fetch missing parts of `head` into `cache`; build the generation."""
        failure = await self.fetch_parts(head, cache)
        if failure is not None:
            return failure
        config = cache.build_configuration(head)
        if isinstance(config, Failure):
            return config
        return Generation(number=head.number, config=config)

    async def fetch_parts(self, head: Head, cache: PartCache) -> Failure | None:
        """Fetch the parts of `head` that are not in `cache` into it."""
        fetch = partial(self._fetch_part, cache)
        missing = cache.missing_digests(head)
        while missing:
            failure = await for_each_concurrently(missing, fetch)
            if failure is not None:
                return failure
            missing = cache.missing_digests(head)
        return None

    async def read_past_head(self, number: int) -> Head | Failure:
        """Read the head of an earlier generation.

        Returns a `Failure` of kind `not_found` if it is not in the history.
        """
        stored = decode_head(
            await self.key_value.get(f'{HISTORY_PREFIX}{number}'),
        )
        if isinstance(stored, Failure):
            return stored
        if stored.head is None:
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'generation {number} is not in the history',
            )
        return stored.head

    async def read_history(self) -> tuple[Head, ...] | Failure:
        """Return the current and earlier heads, newest first."""
        stored = await self.read_head()
        if isinstance(stored, Failure):
            return stored
        heads = [] if stored.head is None else [stored.head]
        oldest = max(1, stored.number - MAX_HISTORY_HEADS)
        for number in range(stored.number - 1, oldest - 1, -1):
            past = await self.read_past_head(number)
            if isinstance(past, Head):
                heads.append(past)
            elif past.kind is not ErrorKind.NOT_FOUND:
                return past
        return tuple(heads)

    async def read_part(self, digest: str) -> bytes | Failure:
        """Read one part.

        Returns a `Failure` of kind `not_found` if it is absent and of kind
        `invalid_config` if its content does not match its digest.
        """
        found = await self.key_value.get(f'{PART_PREFIX}{digest}')
        if isinstance(found, Failure):
            return found
        if found.value is None:
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'part {digest} is missing',
            )
        if part_digest(found.value) != digest:
            return Failure(
                kind=ErrorKind.INVALID_CONFIG,
                reason=f'content of part {digest} does not match its digest',
            )
        return found.value

    async def _fetch_part(
        self, cache: PartCache, digest: str
    ) -> Failure | None:
        content = await self.read_part(digest)
        if isinstance(content, Failure):
            return content
        cache.add(digest, content)
        return None


def decode_head(found: VersionedValue | Failure) -> StoredHead | Failure:
    """Decode the value of a key that holds a head."""
    if isinstance(found, Failure):
        return found
    if found.value is None:
        return StoredHead(None, found.revision)
    head = parse_head(found.value)
    if isinstance(head, Failure):
        return head
    return StoredHead(head, found.revision, found.value)


def parse_head(content: bytes) -> Head | Failure:
    """Decode a head; `Failure` of kind `invalid_config` if malformed."""
    return parse_json(content, Head, ErrorKind.INVALID_CONFIG)


async def write_once(
    key_value: KeyValue,
    key: str,
    content: bytes,
) -> Failure | None:
    """Write a key if it is absent; all writers write the same content."""
    for attempt in range(MAX_CALL_ATTEMPTS):
        result = await key_value.compare_and_swap(key, content, 0)
        if isinstance(result, Written | Conflict):
            return None
        if isinstance(result, Failure):
            return result
        await anyio.sleep(retry_delay_s(attempt))
    return unanswered_write_failure(key)


async def for_each_concurrently(
    items: Iterable[str],
    operation: KeyOperation,
) -> Failure | None:
    """Run `operation` for all items concurrently; return the first failure.

    A call that fails because the service is busy or down is retried. Any
    other failure, or too many retries, stops the processing.
    """
    pending = deque(items)
    failures: list[Failure] = []

    async with anyio.create_task_group() as tasks:
        for _ in range(MAX_CONCURRENT_CALLS):
            tasks.start_soon(_run_worker, pending, operation, failures)
    return failures[0] if failures else None


async def _run_worker(
    pending: deque[str],
    operation: KeyOperation,
    failures: list[Failure],
) -> None:
    while pending and not failures:
        failure = await _run_with_retries(operation, pending.popleft())
        if failure is not None:
            failures.append(failure)


async def _run_with_retries(
    operation: KeyOperation,
    item: str,
) -> Failure | None:
    failure: Failure | None = None
    for attempt in range(MAX_CALL_ATTEMPTS):
        failure = await operation(item)
        if failure is None or failure.kind is not ErrorKind.PLATFORM_DOWN:
            return failure
        await anyio.sleep(retry_delay_s(attempt))
    return failure


def retry_delay_s(attempt: int) -> float:
    """Return the jittered exponential delay after attempt `attempt`."""
    max_delay_s = min(MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2**attempt)
    return random.uniform(max_delay_s / 2, max_delay_s)


def unanswered_write_failure(key: str) -> Failure:
    """Return the failure for writes of `key` that got no response."""
    # The head has not been replaced yet, so the outcome of the apply is not
    # unknown: the current generation is unchanged.
    return Failure(
        kind=ErrorKind.PLATFORM_DOWN,
        reason=f'writes of {key} get no response from the service',
    )
