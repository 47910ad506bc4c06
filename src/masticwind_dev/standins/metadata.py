"""Stand-in for the platform's metadata store.

It keeps a history for watches and counts calls. Its switches cause outages,
missing and delayed answers, and watches that miss changes. It can be restored
from an older copy, and then issues revisions and lease ids again.
"""

import base64
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Final

import anyio

from masticwind.budget import MS_PER_S
from masticwind.web import Response, json_response
from masticwind_dev.standins.routes import Handler, Router, StandinRequest

MAX_PAGE_ITEMS: Final = 500
FIRST_LEASE: Final = 77_000


@dataclass(slots=True)
class StoreSwitches:
    """Faults that the stand-in causes.

    With `silent`, requests get no answer; with `outage`, they get 503. With
    `deaf`, watches see no changes. `late_s` delays each answer. `era_headers`
    replaces the header that names the era. With `hangs_at_restore`, watches
    that are open during a restore are never answered.
    """

    outage: bool = False
    silent: bool = False
    deaf: bool = False
    late_s: float = 0
    era_headers: tuple[tuple[bytes, bytes], ...] | None = None
    hangs_at_restore: bool = False


@dataclass(frozen=True, slots=True)
class _Row:
    key: str
    value: bytes | None
    revision: int
    lease: int = 0

    def to_json(self) -> dict[str, Any]:
        """Return the row as the store's API encodes it."""
        if self.value is None:
            return {'key': self.key, 'rev': self.revision, 'deleted': True}
        return {
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'rev': self.revision,
            'created': self.revision,
            'lease': self.lease,
        }


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """All that the stand-in keeps, as of one moment."""

    rows: dict[str, _Row]
    history: list[_Row]
    compacted_revision: int
    revision: int
    leases: dict[int, int]
    next_lease: int


class MetadataStandin:
    """State and HTTP interface of the stand-in."""

    def __init__(self) -> None:
        self.switches = StoreSwitches()
        self.calls: Final = Counter[str]()
        self.era = 1
        self._rows: dict[str, _Row] = {}
        self._history: list[_Row] = []
        self._compacted_revision = 0
        self._revision = 1
        self._leases: dict[int, int] = {}
        self._next_lease = FIRST_LEASE
        self._changed = anyio.Event()
        self.app: Final = Router(self._handlers())

    def write(self, key: str, value: bytes | None, lease: int = 0) -> int:
        """Write or remove a key as the operator or an endpoint does."""
        self._revision += 1
        row = _Row(key, value, self._revision, lease)
        if value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = row
        self._history.append(row)
        self._notify()
        return self._revision

    def read(self, key: str) -> bytes | None:
        """Return the value of a key."""
        row = self._rows.get(key)
        return None if row is None else row.value

    def end_leases(self) -> None:
        """End all leases, as an outage of the store may."""
        self._leases.clear()
        for row in list(self._rows.values()):
            if row.lease:
                self.write(row.key, None)

    def compact(self) -> None:
        """Drop the history, so a watch from before is answered with 410."""
        self._history.clear()
        self._compacted_revision = self._revision

    def copy(self) -> StoreCopy:
        """Return a copy from which the stand-in can be restored."""
        return StoreCopy(
            dict(self._rows),
            list(self._history),
            self._compacted_revision,
            self._revision,
            dict(self._leases),
            self._next_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to an older copy, which starts the next era."""
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        self._compacted_revision = copy.compacted_revision
        self._revision = copy.revision
        self._leases = dict(copy.leases)
        self._next_lease = copy.next_lease
        self.era += 1
        self._notify()

    def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease, as to a call of an entry or an endpoint."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = ttl_ms
        return lease

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _handlers(self) -> dict[tuple[str, str], Handler]:
        return {
            ('GET', '/-/kv-range'): partial(self._serve, self._range),
            ('GET', '/-/kv-watch'): partial(self._serve, self._watch),
            ('POST', '/-/kv-txn'): partial(self._serve, self._txn),
            ('POST', '/-/kv-lease'): partial(self._serve, self._grant),
            ('POST', '/-/kv-keep/'): partial(self._serve, self._keep),
        }

    async def _serve(
        self,
        handler: Callable[[StandinRequest], Awaitable[Response]],
        req: StandinRequest,
    ) -> Response:
        self.calls[handler.__name__.strip('_')] += 1
        await anyio.sleep(self.switches.late_s)
        while self.switches.silent:
            await anyio.sleep(0.01)
        response = json_response(503, {'error': 'outage'})
        if not self.switches.outage:
            response = await handler(req)
        return replace(response, headers=self._era_headers())

    def _era_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        if self.switches.era_headers is not None:
            return self.switches.era_headers
        return ((b'store-era', str(self.era).encode()),)

    async def _range(self, req: StandinRequest) -> Response:
        prefix = req.query['prefix']
        after = req.query.get('after', '')
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        page = keys[:MAX_PAGE_ITEMS]
        return json_response(
            200,
            {
                'items': [self._rows[key].to_json() for key in page],
                'has_more': len(keys) > len(page),
                'as_of': self._revision,
            },
        )

    async def _watch(self, req: StandinRequest) -> Response:
        after = req.query_int('after')
        self.calls[f'watch {req.query["prefix"]}'] += 1
        if not self._compacted_revision <= after <= self._revision:
            return json_response(410, {'error': 'compacted'})
        matches: list[_Row] = []
        era = self.era
        with anyio.move_on_after(req.query_int('wait_ms') / MS_PER_S):
            while not matches and self.era == era:
                matches = self._rows_since(req.query['prefix'], after)
                if not matches and self.era == era:
                    await self._changed.wait()
        if self.switches.silent:
            await anyio.sleep_forever()
        if self.era != era:
            if self.switches.hangs_at_restore:
                await anyio.sleep_forever()
            return json_response(503, {'error': 'restart'})
        return json_response(
            200,
            {
                'events': [row.to_json() for row in matches],
                'as_of': matches[-1].revision if matches else after,
            },
        )

    def _rows_since(self, prefix: str, after: int) -> list[_Row]:
        if self.switches.deaf:
            return []
        return [
            row
            for row in self._history
            if row.revision > after and row.key.startswith(prefix)
        ]

    async def _txn(self, req: StandinRequest) -> Response:
        for put in req.json()['puts']:
            lease = put['lease']
            if lease and lease not in self._leases:
                return json_response(404, {'error': 'no such lease'})
            self.write(put['key'], base64.b64decode(put['value']), lease)
        return json_response(200, {'rev': self._revision})

    async def _grant(self, req: StandinRequest) -> Response:
        lease = self.grant_lease(req.json()['ttl_ms'])
        return json_response(
            200,
            {'lease': lease, 'ttl_ms': self._leases[lease]},
        )

    async def _keep(self, req: StandinRequest) -> Response:
        lease = int(req.path_suffix)
        if lease not in self._leases:
            return json_response(404, {'error': 'no such lease'})
        return json_response(200, {'ttl_ms': self._leases[lease]})
