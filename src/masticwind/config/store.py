"""Writing the operators' configuration to the key-value service.

Parts are written first, then one compare-and-swap of the head puts the
generation in force. A reader therefore never sees half a configuration. The
head that is replaced is copied to the history before, so the history has no
gap.
"""

import datetime
import secrets
from functools import partial
from typing import Final

import anyio
import msgspec

from masticwind.config.garbage import Collector, Garbage
from masticwind.config.heads import (
    CALL_TRIES,
    HEAD_KEY,
    HISTORY_PREFIX,
    PART_PREFIX,
    HeadReader,
    StoredHead,
    for_each,
    retry_delay_s,
    unsettled,
    write_once,
)
from masticwind.config.model import Configuration
from masticwind.config.parts import (
    TREE_SECTION,
    Head,
    Parts,
    decode_index,
    split,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import Conflict, UnknownOutcome, Written
from masticwind.worker_thread import run_in_worker_thread

WRITER_TOKEN_BYTES: Final = 16
# A lost response costs one platform timeout, so with the default of one
# second an outcome is settled or reported as unknown in about eight seconds.
SETTLE_TRIES: Final = 6


class ConfigStore(HeadReader):
    """Reads and writes generations."""

    async def apply(
        self,
        config: Configuration,
        expected: int,
        operator: str,
    ) -> Head | Failure:
        """Put `config` in force as the generation after `expected`.

        If `config` is in force already, nothing is written and its head is
        returned; an apply whose outcome was unknown can thus be repeated.

        Returns a `Failure` of kind `conflict` if another generation is in
        force, `platform_down` if nothing was changed, `too_large` if a
        section does not fit into a value, and `outcome_unknown` if the
        service did not answer whether the change took effect.
        """
        # Splitting 47,000 teams takes longer than an entry may stall.
        parts = await run_in_worker_thread(split, config)
        if isinstance(parts, Failure):
            return parts
        stored = await self.read_head()
        if isinstance(stored, Failure):
            return stored
        if stored.head is not None and stored.head.parts == parts.names:
            return stored.head
        if stored.number != expected:
            return _conflict(expected, stored.number)
        return await _Apply(self, stored, parts).run(operator)


class _Apply:
    """One apply on top of the head that was read."""

    def __init__(
        self,
        store: HeadReader,
        stored: StoredHead,
        parts: Parts,
    ) -> None:
        self._store: Final = store
        self._kv: Final = store.key_value
        self._stored: Final = stored
        self._parts: Final = parts

    async def run(self, operator: str) -> Head | Failure:
        collector = Collector(self._store, self._stored, self._parts)
        listed = await collector.listed()
        if isinstance(listed, Failure):
            return listed
        failure = await self._prepare(listed)
        if failure is not None:
            return failure
        garbage = await collector.collect(listed)
        if isinstance(garbage, Failure):
            return garbage
        head = self._head(operator, garbage)
        settled = await self._swap(head)
        if isinstance(settled, Head):
            await collector.delete_after(head)
        return settled

    def _head(self, operator: str, garbage: str) -> Head:
        return Head(
            number=self._stored.number + 1,
            writer=secrets.token_hex(WRITER_TOKEN_BYTES),
            operator=operator,
            applied_at=datetime.datetime.now(datetime.UTC).isoformat(),
            parts=self._parts.names,
            garbage=garbage,
        )

    async def _prepare(self, listed: Garbage) -> Failure | None:
        """Write the history entry and all parts that are not there."""
        failure = await self._save_history()
        if failure is not None:
            return failure
        shared = await self._shared()
        if isinstance(shared, Failure):
            return shared
        return await for_each(
            [one for one in self._parts.contents if one not in shared],
            partial(self._write_part, listed),
        )

    async def _save_history(self) -> Failure | None:
        if self._stored.head is None:
            return None
        # Every writer on top of this head saves the same content, so a
        # conflict means that it is there.
        key = f'{HISTORY_PREFIX}{self._stored.number}'
        return await write_once(self._kv, key, self._stored.content)

    async def _shared(self) -> set[str] | Failure:
        """Return the digests that the head in force names as well.

        Only nodes that differ are read.
        """
        if self._stored.head is None:
            return set()
        old = self._stored.head.parts
        shared = set(old.values()) & set(self._parts.contents)
        root = old.get(TREE_SECTION)
        if root is None:
            return shared
        content = await self._store.read_part(root)
        if isinstance(content, Failure):
            return content
        old_nodes = decode_index(content)
        for key, digest in self._parts.nodes.items():
            buckets = await self._old_buckets(key, digest, old_nodes)
            if isinstance(buckets, Failure):
                return buckets
            shared |= buckets
        return shared

    async def _old_buckets(
        self,
        key: str,
        digest: str,
        old_nodes: dict[str, str],
    ) -> set[str] | Failure:
        old = old_nodes.get(key)
        if old is None:
            return set()
        if old == digest:
            return {digest, *self._parts.buckets[key].values()}
        content = await self._store.read_part(old)
        if isinstance(content, Failure):
            return content
        return set(decode_index(content).values())

    async def _write_part(
        self,
        listed: Garbage,
        digest: str,
    ) -> Failure | None:
        """Make sure that a part is there and stays.

        A part that the head lists as garbage can be deleted at the listed
        revision by anyone at any time, so it is written again, which gives
        it another revision.
        """
        doomed = listed.get(digest, 0)
        key = f'{PART_PREFIX}{digest}'
        content = self._parts.contents[digest]
        # A write that expects absence tells more than a read, which may be
        # stale: the conflict proves that the part is there.
        expected = 0
        for _ in range(CALL_TRIES):
            written = await self._kv.compare_and_swap(key, content, expected)
            if isinstance(written, Written):
                return None
            if isinstance(written, Failure):
                return written
            if isinstance(written, UnknownOutcome):
                continue
            if written.revision not in {0, doomed}:
                return None
            expected = written.revision
        return unsettled(key)

    async def _swap(self, head: Head) -> Head | Failure:
        """Swap the head and find out whether that took effect.

        After a lost response the same swap is sent again: either it takes
        effect now, or the conflict proves that the question is settled and
        the writer token tells how.
        """
        content = msgspec.json.encode(head)
        in_doubt = False
        reason = ''
        for attempt in range(SETTLE_TRIES):
            result = await self._kv.compare_and_swap(
                HEAD_KEY,
                content,
                self._stored.revision,
            )
            if isinstance(result, Written):
                return head
            if isinstance(result, Conflict):
                return await self._judge(head, in_doubt=in_doubt)
            if isinstance(result, Failure) and not in_doubt:
                return result
            in_doubt = True
            reason = result.reason
            await anyio.sleep(retry_delay_s(attempt))
        return _unknown(reason)

    async def _judge(self, head: Head, *, in_doubt: bool) -> Head | Failure:
        if not in_doubt:
            return _conflict(head.number - 1, head.number)
        for attempt in range(SETTLE_TRIES):
            found = await self._head_numbered(head.number)
            if isinstance(found, Head):
                if found.writer == head.writer:
                    return head
                return _conflict(head.number - 1, head.number)
            await anyio.sleep(retry_delay_s(attempt))
        return _unknown('the service does not answer')

    async def _head_numbered(self, number: int) -> Head | Failure:
        stored = await self._store.read_head()
        if isinstance(stored, Failure):
            return stored
        if stored.head is not None and stored.number == number:
            return stored.head
        return await self._store.past_head(number)


def _unknown(reason: str) -> Failure:
    return Failure(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        reason=(
            f'it is unknown whether the configuration is in force ({reason}); '
            f'the same apply can be run again safely'
        ),
    )


def _conflict(expected: int, found: int) -> Failure:
    return Failure(
        kind=ErrorKind.CONFLICT,
        reason=f'generation {found} is in force, expected {expected}',
    )
