"""HTTP client for the platform's metadata store.

Values are sent as base64 text. The answer 503 means that nothing was done; a
call without an answer may still take effect. Each answer names the era of the
store in a header.
"""

import base64
import re
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, Generic, TypeVar
from urllib.parse import quote

import msgspec

from masticwind.budget import MS_PER_S
from masticwind.decoding import parse_json, parse_with
from masticwind.errors import ErrorKind, Failure
from masticwind.http_calls import MAX_BODY_BYTES, CallLimits
from masticwind.httpclient import Headers, HttpClient
from masticwind.serving.settings import StoreSettings
from masticwind.serving.store import (
    ANSWER_TIMEOUT_S,
    Changes,
    Compacted,
    Item,
    Lease,
    Listing,
    MetadataStore,
)
from masticwind.serving.store_eras import NO_ERA, StoreRevision
from masticwind.serving.unreadable import UnreadableLog

# Connections to the store that are idle for this long are closed.
KEEP_ALIVE_S: Final = 10.0
# A page has about 1 MB, or one value of up to 1 MiB as base64 text.
MAX_PAGE_BYTES: Final = 4_194_304
# A listing of a whole prefix ends here though the store has more.
MAX_PAGES: Final = 256
MAX_LISTING_BYTES: Final = 67_108_864
# The answer to a write has a few numbers.
MAX_WRITE_ANSWER_BYTES: Final = 16_384
ERA_HEADER: Final = b'store-era'

_ERA: Final = re.compile(rb'[0-9]{1,18}')

_Document = TypeVar('_Document')


class _Item(msgspec.Struct):
    key: str
    rev: int
    value: str = ''
    deleted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    as_of: int


class _Events(msgspec.Struct):
    events: list[_Item]
    as_of: int


class _Lease(msgspec.Struct):
    lease: int


class _Put(msgspec.Struct):
    key: str
    value: str
    lease: int


class _Transaction(msgspec.Struct):
    puts: list[_Put]
    # Preconditions: keys and their revisions. This client uses none.
    expected: list[dict[str, str]] = []
    remove: list[str] = []


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the newest era."""

    status: int
    body: bytes
    era: int


@dataclass(frozen=True, slots=True)
class _Decoded(Generic[_Document]):
    """The content of an answer."""

    document: _Document
    era: int


class PlatformStore(MetadataStore):
    """Client of the store; each waiting watch occupies one connection."""

    def __init__(self, cfg: StoreSettings) -> None:
        super().__init__()
        self._client: Final = HttpClient(
            f'http://{cfg.address}',
            keep_alive_s=KEEP_ALIVE_S,
        )
        self._unreadable: Final = UnreadableLog('value_unreadable')

    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Read all pages; the revision is that of the first page.

        Fails if the pages do not end.
        """
        items: list[Item] = []
        revision: StoreRevision | None = None
        after = ''
        size = 0
        for _ in range(MAX_PAGES):
            page = await self._read_page(prefix, after)
            if isinstance(page, Failure):
                return page
            content = page.document
            revision = revision or StoreRevision(page.era, content.as_of)
            if page.era != revision.era:
                return _store_failure('restored between two pages')
            items.extend(self._decode_items(content.items))
            size += sum(len(item.value) for item in content.items)
            if size > MAX_LISTING_BYTES:
                break
            if not content.has_more or not content.items:
                return Listing(tuple(items), revision)
            after = content.items[-1].key
        return _store_failure(f'the listing of {prefix} does not end')

    async def watch_prefix(
        self,
        prefix: str,
        after: StoreRevision,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Changes | Compacted | Failure:
        """Wait up to `wait_s` for changes after a revision."""
        wait_ms = int(wait_s * MS_PER_S)
        path = (
            f'/-/kv-watch?prefix={quote(prefix, safe="")}'
            f'&after={after.number}&wait_ms={wait_ms}'
        )
        answer = await self._call('GET', path, wait_s + answer_timeout_s)
        if isinstance(answer, _Answer):
            gone = answer.status == HTTPStatus.GONE
            if gone or answer.era != after.era:
                return Compacted()
        events = _decode(answer, _Events)
        if isinstance(events, Failure):
            return events
        return Changes(
            tuple(self._decode_items(events.document.events)),
            StoreRevision(events.era, events.document.as_of),
        )

    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        """Request a lease."""
        body = msgspec.json.encode({'ttl_ms': int(ttl_s * MS_PER_S)})
        lease = _decode(await self._post('/-/kv-lease', body), _Lease)
        if isinstance(lease, Failure):
            return lease
        return Lease(lease.document.lease, lease.era)

    async def renew_lease(self, lease: Lease) -> Failure | None:
        """Extend a lease."""
        answer = await self._post(f'/-/kv-keep/{lease.number}', b'{}')
        return _write_failure(answer, lease)

    async def put(
        self,
        key: str,
        value: bytes,
        lease: Lease,
    ) -> Failure | None:
        """Write a key under a lease, whatever its current value."""
        text = base64.b64encode(value).decode('ascii')
        body = msgspec.json.encode(
            _Transaction([_Put(key, text, lease.number)])
        )
        return _write_failure(await self._post('/-/kv-txn', body), lease)

    async def _read_page(
        self, prefix: str, after: str
    ) -> _Decoded[_Range] | Failure:
        path = f'/-/kv-range?prefix={quote(prefix, safe="")}'
        if after:
            path = f'{path}&after={quote(after, safe="")}'
        answer = await self._call(
            'GET', path, ANSWER_TIMEOUT_S, max_body_bytes=MAX_PAGE_BYTES
        )
        return _decode(answer, _Range)

    async def _post(self, path: str, body: bytes) -> _Answer | Failure:
        return await self._call(
            'POST',
            path,
            ANSWER_TIMEOUT_S,
            body,
            max_body_bytes=MAX_WRITE_ANSWER_BYTES,
        )

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b'',
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> _Answer | Failure:
        """Call the store; an answer that is not of the newest era fails."""
        answer = await self._client.request(
            method,
            path,
            timeout_s=CallLimits(timeout_s, max_body_bytes),
            body=body,
            headers=((b'content-type', b'application/json'),) if body else (),
        )
        if isinstance(answer, Failure):
            return _store_failure(answer.reason)
        era = decode_era(answer.raw_headers)
        if isinstance(era, Failure):
            self._unreadable.report(ERA_HEADER.decode(), era)
            return era
        if not self.eras.observe(era, path):
            return _store_failure(f'answer of era {era}')
        return _Answer(answer.status, answer.body, era)

    def _decode_items(self, encoded_items: Iterable[_Item]) -> list[Item]:
        """Decode items; a value that cannot be decoded is logged and empty.

        No reader of the key can read the empty value, so none of them keeps
        the value that it has replaced.
        """
        items: list[Item] = []
        for encoded_item in encoded_items:
            value = _decode_value(encoded_item)
            if isinstance(value, Failure):
                self._unreadable.report(encoded_item.key, value)
                value = b''
            else:
                self._unreadable.forget(encoded_item.key)
            items.append(Item(encoded_item.key, value, encoded_item.rev))
        return items


def decode_era(headers: Headers) -> int | Failure:
    """Return the era that an answer names; a store may name none."""
    eras = [value for name, value in headers if name.lower() == ERA_HEADER]
    if not eras:
        return NO_ERA
    if len(eras) > 1 or not _ERA.fullmatch(eras[0]):
        return _store_failure(f'unreadable era {eras}')
    return int(eras[0])


def _decode_value(encoded_item: _Item) -> bytes | Failure | None:
    if encoded_item.deleted:
        return None
    return parse_with(
        _decode_base64, encoded_item.value, ErrorKind.PLATFORM_DOWN
    )


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _decode(
    answer: _Answer | Failure,
    document_type: type[_Document],
) -> _Decoded[_Document] | Failure:
    if isinstance(answer, Failure):
        return answer
    if answer.status != HTTPStatus.OK:
        return _store_failure(f'status {answer.status}')
    document = parse_json(answer.body, document_type, ErrorKind.PLATFORM_DOWN)
    if isinstance(document, Failure):
        return document
    return _Decoded(document, answer.era)


def _write_failure(answer: _Answer | Failure, lease: Lease) -> Failure | None:
    if isinstance(answer, Failure):
        return answer
    if answer.era != lease.era or answer.status == HTTPStatus.NOT_FOUND:
        return Failure(kind=ErrorKind.CONFLICT, reason='the lease has ended')
    if answer.status != HTTPStatus.OK:
        return _store_failure(f'status {answer.status}')
    return None


def _store_failure(reason: str) -> Failure:
    return Failure(kind=ErrorKind.PLATFORM_DOWN, reason=reason)
