"""Deletes stored parts and history heads that are no longer referenced.

The current head refers to a list of unreferenced parts with a revision for
each. A part may be deleted only at its listed revision, which is safe while
another apply runs:

- An apply that is based on an older head fails at its compare-and-swap of
  the head, so deleted parts do not matter to it.
- An apply that is based on the current head rewrites a listed part before
  it relies on it. The part then has another revision, and its deletion is
  rejected.

A part stays on the list until it is known to be deleted or rewritten,
because a delete whose response was lost can still take effect.
"""

from typing import Final

import msgspec

from masticwind.config.heads import (
    HISTORY_PREFIX,
    MAX_HISTORY_HEADS,
    PART_PREFIX,
    HeadReader,
    StoredHead,
    write_once,
)
from masticwind.config.parts import (
    TEAMS_SECTION,
    Head,
    SplitConfiguration,
    decode_index,
    part_digest,
)
from masticwind.decoding import parse_json
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import Conflict, KeyValue, Written

# Sixteen changes of one team leave 48 unreferenced parts. Their list takes
# 3 KB, which keeps the total size of the largest apply below 16 KB.
SWEEP_INTERVAL_GENERATIONS: Final = 16
MAX_LISTED_PARTS: Final = 64

# Maps the digest of each part that may be deleted to its revision.
Garbage = dict[str, int]


class GarbageCollector:
    """The garbage collection of one apply."""

    def __init__(
        self,
        store: HeadReader,
        stored: StoredHead,
        parts: SplitConfiguration,
    ) -> None:
        self._store: Final = store
        self._kv: Final[KeyValue] = store.key_value
        self._stored: Final = stored
        self._parts: Final = parts
        self._next_list: Garbage = {}

    async def read_list(self) -> Garbage | Failure:
        """Read the garbage list of the current head.

        The list must be read before the apply relies on any stored part.
        """
        head = self._stored.head
        if head is None or not head.garbage:
            return {}
        content = await self._store.read_part(head.garbage)
        if isinstance(content, Failure):
            return content
        return parse_json(content, Garbage, ErrorKind.INVALID_CONFIG)

    async def write_next_list(self, listed_garbage: Garbage) -> str | Failure:
        """Write the garbage list of the next head and return its digest."""
        remaining = await self._delete_parts(listed_garbage)
        if (self._stored.number + 1) % SWEEP_INTERVAL_GENERATIONS == 0:
            remaining.update(await self._find_garbage(remaining))
        self._next_list = remaining
        if not remaining:
            return ''
        content = msgspec.json.encode(remaining, order='sorted')
        digest = part_digest(content)
        failure = await write_once(self._kv, f'{PART_PREFIX}{digest}', content)
        return digest if failure is None else failure

    async def delete_obsolete(self, head: Head) -> None:
        """Delete the parts that `head`, now current, lists as garbage.

        The head that leaves the history is deleted as well. A later apply
        retries deletions of parts that fail here.
        """
        await self._delete_parts(self._next_list)
        expired = head.number - MAX_HISTORY_HEADS - 1
        if expired < 1:
            return
        key = f'{HISTORY_PREFIX}{expired}'
        found = await self._kv.get(key)
        if not isinstance(found, Failure) and found.value is not None:
            await self._kv.delete(key, found.revision)

    async def _delete_parts(self, listed_garbage: Garbage) -> Garbage:
        remaining: Garbage = {}
        for digest, revision in listed_garbage.items():
            result = await self._kv.delete(f'{PART_PREFIX}{digest}', revision)
            if not isinstance(result, Written | Conflict):
                remaining[digest] = revision
        return remaining

    async def _find_garbage(self, listed_garbage: Garbage) -> Garbage:
        """Find unreferenced parts; none if any read fails."""
        live = await self._find_live_digests()
        keys = await self._kv.list_keys(PART_PREFIX)
        if isinstance(live, Failure) or isinstance(keys, Failure):
            return {}
        digests = {key.removeprefix(PART_PREFIX) for key in keys}
        unreferenced = sorted(digests - live - set(listed_garbage))
        garbage: Garbage = {}
        for digest in unreferenced[: MAX_LISTED_PARTS - len(listed_garbage)]:
            part = await self._kv.get(f'{PART_PREFIX}{digest}')
            if isinstance(part, Failure):
                return {}
            if part.value is not None:
                garbage[digest] = part.revision
        return garbage

    async def _find_live_digests(self) -> set[str] | Failure:
        # Assumes that the head that this apply is based on is still current:
        # otherwise its compare-and-swap fails and nothing is deleted.
        live = set(self._parts.contents)
        heads = [] if self._stored.head is None else [self._stored.head]
        oldest = max(1, self._stored.number - MAX_HISTORY_HEADS)
        for number in range(oldest, self._stored.number):
            past = await self._store.read_past_head(number)
            if isinstance(past, Head):
                heads.append(past)
            elif past.kind is not ErrorKind.NOT_FOUND:
                return past
        index_cache: dict[str, set[str]] = {}
        for head in heads:
            failure = await self._mark_live(head, live, index_cache)
            if failure is not None:
                return failure
        return live

    async def _mark_live(
        self,
        head: Head,
        live: set[str],
        index_cache: dict[str, set[str]],
    ) -> Failure | None:
        live.update(head.parts.values())
        if head.garbage:
            live.add(head.garbage)
        root = head.parts.get(TEAMS_SECTION, '')
        nodes = await self._read_index(root, index_cache)
        if isinstance(nodes, Failure):
            return nodes
        for node in nodes:
            buckets = await self._read_index(node, index_cache)
            if isinstance(buckets, Failure):
                return buckets
            live.update(buckets)
        live.update(nodes)
        return None

    async def _read_index(
        self,
        digest: str,
        index_cache: dict[str, set[str]],
    ) -> set[str] | Failure:
        if not digest:
            return set()
        if digest not in index_cache:
            content = await self._store.read_part(digest)
            if isinstance(content, Failure):
                return _as_platform_down(content)
            index_cache[digest] = set(decode_index(content).values())
        return index_cache[digest]


def _as_platform_down(failure: Failure) -> Failure:
    return Failure(kind=ErrorKind.PLATFORM_DOWN, reason=failure.reason)
