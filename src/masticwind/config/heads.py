"""Reading the operators' configuration in the key-value service.

`config/head` holds the head in force, `config/history/<generation>` earlier
heads and `config/part/<digest>` the parts that heads name.
"""

import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Final

import anyio
import msgspec

from masticwind.config.model import Generation
from masticwind.config.parts import Head, PartCache, part_digest
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import Conflict, KeyValue, VersionedValue, Written

HEAD_KEY: Final = 'config/head'
PART_PREFIX: Final = 'config/part/'
HISTORY_PREFIX: Final = 'config/history/'
HISTORY_KEPT: Final = 64
# The service takes several hundred writes and about 2,000 reads a second
# from the whole fleet; eight calls at a time leave room for others.
CONCURRENT_CALLS: Final = 8
CALL_TRIES: Final = 4
RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 0.8

Step = Callable[[str], Awaitable[Failure | None]]


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head and the revision of the key that holds it."""

    head: Head | None
    revision: int
    content: bytes = b''

    @property
    def number(self) -> int:
        """The generation in force; zero before the first apply."""
        return 0 if self.head is None else self.head.number


class HeadReader:
    """Reads heads, parts and generations."""

    def __init__(self, key_value: KeyValue) -> None:
        self.key_value: Final = key_value

    async def read_head(self) -> StoredHead | Failure:
        """Read the head; there is none before the first apply."""
        return decode_head(await self.key_value.get(HEAD_KEY))

    async def wait_head(
        self,
        after: int,
        wait_s: float,
    ) -> StoredHead | Failure:
        """Wait for a head with a revision newer than `after`."""
        return decode_head(await self.key_value.watch(HEAD_KEY, after, wait_s))

    async def load(
        self,
        head: Head,
        known: PartCache,
    ) -> Generation | Failure:
        """Fetch the parts of `head` that are not in `known` and join them."""
        failure = await self.fetch(head, known)
        if failure is not None:
            return failure
        config = known.join(head)
        if isinstance(config, Failure):
            return config
        return Generation(number=head.number, config=config)

    async def fetch(self, head: Head, known: PartCache) -> Failure | None:
        """Fetch the parts of `head` that are not in `known`."""
        fetch = partial(self._fetch, known)
        missing = known.missing(head)
        while missing:
            failure = await for_each(missing, fetch)
            if failure is not None:
                return failure
            missing = known.missing(head)
        return None

    async def past_head(self, number: int) -> Head | Failure:
        """Read the head of an earlier generation.

        Returns a `Failure` of kind `not_found` if the history no longer
        holds it.
        """
        found = decode_head(
            await self.key_value.get(f'{HISTORY_PREFIX}{number}'),
        )
        if isinstance(found, Failure):
            return found
        if found.head is None:
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'generation {number} is not in the history',
            )
        return found.head

    async def history(self) -> tuple[Head, ...] | Failure:
        """Return the kept heads, newest first, with the one in force."""
        stored = await self.read_head()
        if isinstance(stored, Failure):
            return stored
        heads = [] if stored.head is None else [stored.head]
        oldest = max(1, stored.number - HISTORY_KEPT)
        for number in range(stored.number - 1, oldest - 1, -1):
            past = await self.past_head(number)
            if isinstance(past, Head):
                heads.append(past)
            elif past.kind is not ErrorKind.NOT_FOUND:
                return past
        return tuple(heads)

    async def read_part(self, digest: str) -> bytes | Failure:
        """Read one part.

        Returns a `Failure` of kind `not_found` if it is absent and of kind
        `invalid_config` if its content does not match its name.
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
                reason=f'part {digest} has other content',
            )
        return found.value

    async def _fetch(self, known: PartCache, digest: str) -> Failure | None:
        content = await self.read_part(digest)
        if isinstance(content, Failure):
            return content
        known.add(digest, content)
        return None


def decode_head(found: VersionedValue | Failure) -> StoredHead | Failure:
    """Decode the value of the head key."""
    if isinstance(found, Failure):
        return found
    if found.value is None:
        return StoredHead(None, found.revision)
    head = parse_head(found.value)
    if isinstance(head, Failure):
        return head
    return StoredHead(head, found.revision, found.value)


def parse_head(content: bytes) -> Head | Failure:
    """Decode a head; a `Failure` of kind `invalid_config` if it is none."""
    try:
        return msgspec.json.decode(content, type=Head)
    except msgspec.DecodeError as exc:
        return Failure(kind=ErrorKind.INVALID_CONFIG, reason=str(exc))


async def write_once(
    key_value: KeyValue,
    key: str,
    content: bytes,
) -> Failure | None:
    """Write a key whose content never differs, if it is absent."""
    for attempt in range(CALL_TRIES):
        result = await key_value.compare_and_swap(key, content, 0)
        if isinstance(result, Written | Conflict):
            return None
        if isinstance(result, Failure):
            return result
        await anyio.sleep(retry_delay_s(attempt))
    return unsettled(key)


async def for_each(
    items: Iterable[str],
    step: Step,
) -> Failure | None:
    """Run `step` for all items, a few at a time, until one fails for good.

    A step that fails because the service is busy or down is tried again.
    """
    pending = deque(items)
    failures: list[Failure] = []

    async with anyio.create_task_group() as tasks:
        for _ in range(CONCURRENT_CALLS):
            tasks.start_soon(_work, pending, step, failures)
    return failures[0] if failures else None


async def _work(
    pending: deque[str],
    step: Step,
    failures: list[Failure],
) -> None:
    while pending and not failures:
        failure = await _tried(step, pending.popleft())
        if failure is not None:
            failures.append(failure)


async def _tried(
    step: Step,
    item: str,
) -> Failure | None:
    failure: Failure | None = None
    for attempt in range(CALL_TRIES):
        failure = await step(item)
        if failure is None or failure.kind is not ErrorKind.PLATFORM_DOWN:
            return failure
        await anyio.sleep(retry_delay_s(attempt))
    return failure


def retry_delay_s(attempt: int) -> float:
    """Return the jittered seconds to wait after failed try `attempt`."""
    longest = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**attempt)
    return random.uniform(longest / 2, longest)


def unsettled(key: str) -> Failure:
    """Return the failure of a write before the swap of the head."""
    # Nothing is in force yet, so this is no unknown outcome.
    return Failure(
        kind=ErrorKind.PLATFORM_DOWN,
        reason=f'writes of {key} are not answered',
    )
