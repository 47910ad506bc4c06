"""Writing the operators' configuration to the key-value service.

Parts are written first; one compare-and-swap of the head then makes the
generation current, so a reader never sees a partial configuration. The
replaced head is copied to the history beforehand, so the history has no gaps.
"""

import datetime
import secrets
from functools import partial
from typing import Final

import anyio
import msgspec

from masticwind.config.garbage import Garbage, GarbageCollector
from masticwind.config.heads import (
    HEAD_KEY,
    HISTORY_PREFIX,
    MAX_CALL_ATTEMPTS,
    PART_PREFIX,
    HeadReader,
    StoredHead,
    for_each_concurrently,
    retry_delay_s,
    unanswered_write_failure,
    write_once,
)
from masticwind.config.model import Configuration
from masticwind.config.parts import (
    TEAMS_SECTION,
    Head,
    SplitConfiguration,
    decode_index,
    split_configuration,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import Conflict, UnknownOutcome, Written
from masticwind.worker_thread import run_in_worker_thread

WRITER_TOKEN_BYTES: Final = 16
# A lost response takes one platform timeout, one second by default, so an
# outcome is determined or reported as unknown within about eight seconds.
MAX_SETTLE_ATTEMPTS: Final = 6


class ConfigStore(HeadReader):
    """Reads and writes generations."""

    async def apply(
        self,
        config: Configuration,
        expected: int,
        operator: str,
    ) -> Head | Failure:
        """Make `config` current as the generation after `expected`.

        If `config` is already current, nothing is written and its head is
        returned, so an apply with an unknown outcome can be repeated.

        Returns a `Failure` of kind `conflict` if another generation is
        current, `platform_down` if nothing was changed, `too_large` if a
        section exceeds the size limit of a value, and `outcome_unknown` if
        the service did not confirm whether the change took effect.
        """
        # Splitting 47,000 teams would block the event loop for too long.
        parts = await run_in_worker_thread(split_configuration, config)
        if isinstance(parts, Failure):
            return parts
        stored = await self.read_head()
        if isinstance(stored, Failure):
            return stored
        if (
            stored.head is not None
            and stored.head.parts == parts.section_digests
        ):
            return stored.head
        if stored.number != expected:
            return _conflict_failure(expected, stored.number)
        return await _ApplyOperation(self, stored, parts).run(operator)


class _ApplyOperation:
    """One apply that is based on the head that was read."""

    def __init__(
        self,
        store: HeadReader,
        stored: StoredHead,
        parts: SplitConfiguration,
    ) -> None:
        self._store: Final = store
        self._kv: Final = store.key_value
        self._stored: Final = stored
        self._parts: Final = parts

    async def run(self, operator: str) -> Head | Failure:
        collector = GarbageCollector(self._store, self._stored, self._parts)
        garbage = await collector.read_list()
        if isinstance(garbage, Failure):
            return garbage
        failure = await self._write_history_and_parts(garbage)
        if failure is not None:
            return failure
        list_digest = await collector.write_next_list(garbage)
        if isinstance(list_digest, Failure):
            return list_digest
        head = self._build_head(operator, list_digest)
        outcome = await self._swap_head(head)
        if isinstance(outcome, Head):
            await collector.delete_obsolete(head)
        return outcome

    def _build_head(self, operator: str, garbage_digest: str) -> Head:
        return Head(
            number=self._stored.number + 1,
            writer=secrets.token_hex(WRITER_TOKEN_BYTES),
            operator=operator,
            applied_at=datetime.datetime.now(datetime.UTC).isoformat(),
            parts=self._parts.section_digests,
            garbage=garbage_digest,
        )

    async def _write_history_and_parts(
        self, garbage: Garbage
    ) -> Failure | None:
        """Write the history record and all parts that are not stored yet."""
        failure = await self._write_history()
        if failure is not None:
            return failure
        shared_digests = await self._find_shared_digests()
        if isinstance(shared_digests, Failure):
            return shared_digests
        return await for_each_concurrently(
            [
                digest
                for digest in self._parts.contents
                if digest not in shared_digests
            ],
            partial(self._write_part, garbage),
        )

    async def _write_history(self) -> Failure | None:
        if self._stored.head is None:
            return None
        # All applies that are based on this head write the same content, so
        # a conflict means that the record exists.
        key = f'{HISTORY_PREFIX}{self._stored.number}'
        return await write_once(self._kv, key, self._stored.content)

    async def _find_shared_digests(self) -> set[str] | Failure:
        """Return the digests that the current head refers to as well.

        Reads only the nodes that differ.
        """
        if self._stored.head is None:
            return set()
        old = self._stored.head.parts
        shared_digests = set(old.values()) & set(self._parts.contents)
        root = old.get(TEAMS_SECTION)
        if root is None:
            return shared_digests
        content = await self._store.read_part(root)
        if isinstance(content, Failure):
            return content
        old_nodes = decode_index(content)
        for key, digest in self._parts.node_digests.items():
            buckets = await self._read_old_buckets(key, digest, old_nodes)
            if isinstance(buckets, Failure):
                return buckets
            shared_digests |= buckets
        return shared_digests

    async def _read_old_buckets(
        self,
        key: str,
        digest: str,
        old_nodes: dict[str, str],
    ) -> set[str] | Failure:
        old = old_nodes.get(key)
        if old is None:
            return set()
        if old == digest:
            return {digest, *self._parts.bucket_digests[key].values()}
        content = await self._store.read_part(old)
        if isinstance(content, Failure):
            return content
        return set(decode_index(content).values())

    async def _write_part(
        self,
        garbage: Garbage,
        digest: str,
    ) -> Failure | None:
        """Ensure that a part is stored and will not be deleted.

        Any apply can delete a part that the head lists as garbage, at the
        revision in that list. Such a part is written again, which gives it
        another revision.
        """
        garbage_revision = garbage.get(digest, 0)
        key = f'{PART_PREFIX}{digest}'
        content = self._parts.contents[digest]
        # A write that expects absence is used because a read may be stale: a
        # conflict proves that the part exists.
        expected = 0
        for _ in range(MAX_CALL_ATTEMPTS):
            written = await self._kv.compare_and_swap(key, content, expected)
            if isinstance(written, Written):
                return None
            if isinstance(written, Failure):
                return written
            if isinstance(written, UnknownOutcome):
                continue
            if written.revision not in {0, garbage_revision}:
                return None
            expected = written.revision
        return unanswered_write_failure(key)

    async def _swap_head(self, head: Head) -> Head | Failure:
        """Replace the head and find out whether that took effect.

        After a lost response the same write is sent again. Either it takes
        effect now, or it conflicts, which proves that the head was replaced;
        the writer token then shows by whom.
        """
        content = msgspec.json.encode(head)
        is_outcome_unknown = False
        reason = ''
        for attempt in range(MAX_SETTLE_ATTEMPTS):
            result = await self._kv.compare_and_swap(
                HEAD_KEY,
                content,
                self._stored.revision,
            )
            if isinstance(result, Written):
                return head
            if isinstance(result, Conflict):
                return await self._resolve_conflict(
                    head, is_outcome_unknown=is_outcome_unknown
                )
            if isinstance(result, Failure) and not is_outcome_unknown:
                return result
            is_outcome_unknown = True
            reason = result.reason
            await anyio.sleep(retry_delay_s(attempt))
        return _unknown_outcome(reason)

    async def _resolve_conflict(
        self, head: Head, *, is_outcome_unknown: bool
    ) -> Head | Failure:
        if not is_outcome_unknown:
            return _conflict_failure(head.number - 1, head.number)
        for attempt in range(MAX_SETTLE_ATTEMPTS):
            stored_head = await self._read_head_numbered(head.number)
            if isinstance(stored_head, Head):
                if stored_head.writer == head.writer:
                    return head
                return _conflict_failure(head.number - 1, head.number)
            await anyio.sleep(retry_delay_s(attempt))
        return _unknown_outcome('the service does not respond')

    async def _read_head_numbered(self, number: int) -> Head | Failure:
        stored = await self._store.read_head()
        if isinstance(stored, Failure):
            return stored
        if stored.head is not None and stored.number == number:
            return stored.head
        return await self._store.read_past_head(number)


def _unknown_outcome(reason: str) -> Failure:
    return Failure(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        reason=(
            f'it is unknown whether the configuration is in force ({reason}); '
            f'the same apply can be run again safely'
        ),
    )


def _conflict_failure(expected: int, current: int) -> Failure:
    return Failure(
        kind=ErrorKind.CONFLICT,
        reason=f'generation {current} is in force, expected {expected}',
    )
