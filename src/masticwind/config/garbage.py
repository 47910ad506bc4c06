"""Removes stored parts and history entries that nothing names any more.

A part may be deleted only at the revision that the head in force lists for
it. Two facts make this safe against a concurrent apply:

- An apply that began on an older head loses its compare-and-swap of the
  head, whatever was deleted under it.
- An apply that began on the listing head writes a listed part again before
  it relies on it. The part then has another revision, and the delete is
  refused.

An entry stays on the list until the part is seen to be gone or rewritten,
because a delete whose response was lost can still take effect.
"""

from typing import Final

import msgspec

from masticwind.config.heads import (
    HISTORY_KEPT,
    HISTORY_PREFIX,
    PART_PREFIX,
    HeadReader,
    StoredHead,
    write_once,
)
from masticwind.config.parts import (
    TREE_SECTION,
    Head,
    Parts,
    decode_index,
    part_digest,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import Conflict, KeyValue, Written

# Sixteen changes of one team leave 48 parts behind; listing them takes 3 KB,
# which keeps the largest write under 16 KB in all.
SWEEP_EVERY: Final = 16
MAX_LISTED: Final = 64

# Digests of parts that may be deleted, with the revision of each.
Garbage = dict[str, int]


class Collector:
    """The garbage work of one apply."""

    def __init__(
        self,
        store: HeadReader,
        stored: StoredHead,
        parts: Parts,
    ) -> None:
        self._store: Final = store
        self._kv: Final[KeyValue] = store.key_value
        self._stored: Final = stored
        self._parts: Final = parts
        self._listed: Garbage = {}

    async def listed(self) -> Garbage | Failure:
        """Return what the head in force lists.

        The list must be known before anything is relied upon.
        """
        head = self._stored.head
        if head is None or not head.garbage:
            return {}
        content = await self._store.read_part(head.garbage)
        if isinstance(content, Failure):
            return content
        try:
            return msgspec.json.decode(content, type=Garbage)
        except msgspec.DecodeError as exc:
            return Failure(kind=ErrorKind.INVALID_CONFIG, reason=str(exc))

    async def collect(self, listed: Garbage) -> str | Failure:
        """Write the list of the next head and return its digest."""
        remaining = await self._delete(listed)
        if (self._stored.number + 1) % SWEEP_EVERY == 0:
            remaining.update(await self._sweep(remaining))
        self._listed = remaining
        if not remaining:
            return ''
        content = msgspec.json.encode(remaining, order='sorted')
        digest = part_digest(content)
        failure = await write_once(self._kv, f'{PART_PREFIX}{digest}', content)
        return digest if failure is None else failure

    async def delete_after(self, head: Head) -> None:
        """Delete what `head` lists, now that it is in force.

        What fails here is deleted by a later apply.
        """
        await self._delete(self._listed)
        expired = head.number - HISTORY_KEPT - 1
        if expired < 1:
            return
        key = f'{HISTORY_PREFIX}{expired}'
        found = await self._kv.get(key)
        if not isinstance(found, Failure) and found.value is not None:
            await self._kv.delete(key, found.revision)

    async def _delete(self, listed: Garbage) -> Garbage:
        remaining: Garbage = {}
        for digest, revision in listed.items():
            result = await self._kv.delete(f'{PART_PREFIX}{digest}', revision)
            if not isinstance(result, Written | Conflict):
                remaining[digest] = revision
        return remaining

    async def _sweep(self, listed: Garbage) -> Garbage:
        """Find parts that nothing names; none if anything is in doubt."""
        live = await self._live()
        names = await self._kv.list_keys(PART_PREFIX)
        if isinstance(live, Failure) or isinstance(names, Failure):
            return {}
        digests = {one.removeprefix(PART_PREFIX) for one in names}
        unnamed = sorted(digests - live - set(listed))
        found: Garbage = {}
        for digest in unnamed[: MAX_LISTED - len(listed)]:
            part = await self._kv.get(f'{PART_PREFIX}{digest}')
            if isinstance(part, Failure):
                return {}
            if part.value is not None:
                found[digest] = part.revision
        return found

    async def _live(self) -> set[str] | Failure:
        # The head in force is the one that this apply expects, because
        # with any other head its swap fails and nothing is deleted.
        live = set(self._parts.contents)
        heads = [] if self._stored.head is None else [self._stored.head]
        oldest = max(1, self._stored.number - HISTORY_KEPT)
        for number in range(oldest, self._stored.number):
            past = await self._store.past_head(number)
            if isinstance(past, Head):
                heads.append(past)
            elif past.kind is not ErrorKind.NOT_FOUND:
                return past
        indexes: dict[str, set[str]] = {}
        for head in heads:
            failure = await self._mark(head, live, indexes)
            if failure is not None:
                return failure
        return live

    async def _mark(
        self,
        head: Head,
        live: set[str],
        indexes: dict[str, set[str]],
    ) -> Failure | None:
        live.update(head.parts.values())
        if head.garbage:
            live.add(head.garbage)
        root = head.parts.get(TREE_SECTION, '')
        nodes = await self._children(root, indexes)
        if isinstance(nodes, Failure):
            return nodes
        for node in nodes:
            buckets = await self._children(node, indexes)
            if isinstance(buckets, Failure):
                return buckets
            live.update(buckets)
        live.update(nodes)
        return None

    async def _children(
        self,
        digest: str,
        indexes: dict[str, set[str]],
    ) -> set[str] | Failure:
        if not digest:
            return set()
        if digest not in indexes:
            content = await self._store.read_part(digest)
            if isinstance(content, Failure):
                return _in_doubt(content)
            indexes[digest] = set(decode_index(content).values())
        return indexes[digest]


def _in_doubt(failure: Failure) -> Failure:
    return Failure(kind=ErrorKind.PLATFORM_DOWN, reason=failure.reason)
