"""Stand-in for the platform's metadata store.

It keeps a history for watches and counts calls. Its switches cause outages,
missing and delayed answers, and watches that miss changes.
"""

import base64
import itertools
from collections import Counter
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

import anyio

from masticwind.budget import MS_PER_S
from masticwind.web import Response, json_response
from masticwind_dev.standins.routes import Handler, Router, StandinRequest

MAX_PAGE_ITEMS: Final = 500


@dataclass(slots=True)
class StoreSwitches:
    """Faults that the stand-in causes.

    With `silent`, requests get no answer; with `outage`, they get 503. With
    `deaf`, watches see no changes. `late_s` delays each answer.
    """

    outage: bool = False
    silent: bool = False
    deaf: bool = False
    late_s: float = 0


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


class MetadataStandin:
    """State and HTTP interface of the stand-in."""

    def __init__(self) -> None:
        self.switches = StoreSwitches()
        self.calls: Final = Counter[str]()
        self._rows: Final[dict[str, _Row]] = {}
        self._history: Final[list[_Row]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._leases: Final[dict[int, int]] = {}
        self._lease_ids: Final = itertools.count(77_000)
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
        self._changed.set()
        self._changed = anyio.Event()
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
        handler: Handler,
        req: StandinRequest,
    ) -> Response | None:
        self.calls[handler.__name__.strip('_')] += 1
        await anyio.sleep(self.switches.late_s)
        while self.switches.silent:
            await anyio.sleep(0.01)
        if self.switches.outage:
            return json_response(503, {'error': 'outage'})
        return await handler(req)

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
        if after < self._compacted_revision:
            return json_response(410, {'error': 'compacted'})
        matches: list[_Row] = []
        with anyio.move_on_after(req.query_int('wait_ms') / MS_PER_S):
            while not matches:
                matches = self._rows_since(req.query['prefix'], after)
                if not matches:
                    await self._changed.wait()
        if self.switches.silent:
            await anyio.sleep_forever()
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
        lease = next(self._lease_ids)
        self._leases[lease] = req.json()['ttl_ms']
        return json_response(
            200,
            {'lease': lease, 'ttl_ms': self._leases[lease]},
        )

    async def _keep(self, req: StandinRequest) -> Response:
        lease = int(req.path_suffix)
        if lease not in self._leases:
            return json_response(404, {'error': 'no such lease'})
        return json_response(200, {'ttl_ms': self._leases[lease]})
