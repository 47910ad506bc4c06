"""Stand-in for the platform's key-value service.

It records every write for tests to check and counts calls. Outages, delays,
lost responses and rate limits are set through `/control`.
"""

import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import Final
from urllib.parse import unquote

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.store.base import MAX_VALUE_BYTES
from masticwind.web import Response, json_response
from masticwind_dev.standins.routes import Handler, Router, StandinRequest

OCTET_STREAM: Final = b'application/octet-stream'
LEASE_CHECK_INTERVAL_S: Final = 0.05


@dataclass(slots=True)
class KeyValueSwitches:
    """Faults that the stand-in causes.

    `lose_responses` is the number of upcoming writes that take effect but are
    not answered in time. A `writes_per_s` or `reads_per_s` of 0 sets no limit.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_responses: int = 0
    writes_per_s: int = 0
    reads_per_s: int = 0


@dataclass(slots=True)
class _StoredValue:
    value: bytes
    revision: int
    lease_id: str = ''


@dataclass(frozen=True, slots=True)
class HistoryItem:
    """One write that took effect; a value of None is a deletion."""

    at_s: float
    key: str
    revision: int
    value: bytes | None


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at_s: float
    keys: set[str] = field(default_factory=set)


class KeyValueStandin:
    """State and HTTP interface of the stand-in."""

    def __init__(self) -> None:
        self.switches = KeyValueSwitches()
        self.history: Final[list[HistoryItem]] = []
        self.calls: Final = Counter[str]()
        self._data: Final[dict[str, _StoredValue]] = {}
        self._leases: Final[dict[str, _Lease]] = {}
        self._revisions: Final = itertools.count(1)
        self._change_events: Final[dict[str, anyio.Event]] = {}
        self._calls_by_second: Final = Counter[tuple[str, int]]()
        self.app: Final = Router(self._handlers())

    async def run(self) -> None:
        """End expired leases, until cancelled."""
        while True:
            await anyio.sleep(LEASE_CHECK_INTERVAL_S)
            now = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if lease.expires_at_s <= now:
                    self._end_lease(lease_id)

    def _handlers(self) -> dict[tuple[str, str], Handler]:
        return {
            ('GET', '/v1/kv/'): partial(self._handle_read, self._get),
            ('PUT', '/v1/kv/'): partial(self._handle_write, self._put),
            ('DELETE', '/v1/kv/'): partial(self._handle_write, self._delete),
            ('GET', '/v1/keys'): partial(self._handle_read, self._list_keys),
            ('GET', '/v1/watch/'): partial(self._handle_read, self._watch),
            ('POST', '/v1/leases'): partial(self._handle_write, self._grant),
            ('PUT', '/v1/leases/'): partial(
                self._handle_write, self._keep_alive
            ),
            ('DELETE', '/v1/leases/'): partial(
                self._handle_write, self._revoke
            ),
            ('POST', '/control'): self._control,
            ('GET', '/history'): self._history,
        }

    async def _handle_read(
        self,
        handler: Handler,
        req: StandinRequest,
    ) -> Response | None:
        refusal = await self._apply_faults('reads', self.switches.reads_per_s)
        return refusal or await handler(req)

    async def _handle_write(
        self,
        handler: Handler,
        req: StandinRequest,
    ) -> Response | None:
        refusal = await self._apply_faults('writes', self.switches.writes_per_s)
        if refusal is not None:
            return refusal
        response = await handler(req)
        if self.switches.lose_responses > 0:
            self.switches.lose_responses -= 1
            # Longer than any client waits for an answer.
            await anyio.sleep(30)
        return response

    async def _apply_faults(
        self, call_type: str, limit_per_s: int
    ) -> Response | None:
        self.calls[call_type] += 1
        if self.switches.delay_ms:
            await anyio.sleep(self.switches.delay_ms / MS_PER_S)
        if self.switches.outage:
            return json_response(503, {'error': 'outage'})
        window = (call_type, int(time.monotonic()))
        self._calls_by_second[window] += 1
        if limit_per_s and self._calls_by_second[window] > limit_per_s:
            return json_response(429, {'error': f'{call_type} limited'})
        return None

    async def _get(self, req: StandinRequest) -> Response:
        return self._value_response(unquote(req.path_suffix))

    async def _put(self, req: StandinRequest) -> Response:
        key = unquote(req.path_suffix)
        if len(req.body) > MAX_VALUE_BYTES:
            return json_response(413, {'error': 'value too large'})
        lease_id = req.query.get('lease', '')
        if lease_id and lease_id not in self._leases:
            return json_response(404, {'error': 'no such lease'})
        conflict = self._revision_conflict(key, req.query_int('expected'))
        if conflict is not None:
            return conflict
        if lease_id:
            self._leases[lease_id].keys.add(key)
        revision = next(self._revisions)
        self._data[key] = _StoredValue(req.body, revision, lease_id)
        self._record_write(key, revision, req.body)
        return _revision_response(200, revision)

    async def _delete(self, req: StandinRequest) -> Response:
        key = unquote(req.path_suffix)
        conflict = self._revision_conflict(key, req.query_int('expected'))
        if conflict is not None:
            return conflict
        return _revision_response(200, self._remove_key(key))

    async def _list_keys(self, req: StandinRequest) -> Response:
        prefix = req.query.get('prefix', '')
        return json_response(
            200,
            sorted(key for key in self._data if key.startswith(prefix)),
        )

    async def _watch(self, req: StandinRequest) -> Response:
        key = unquote(req.path_suffix)
        after = req.query_int('after')
        with anyio.move_on_after(req.query_int('wait_ms') / MS_PER_S):
            while self._revision(key) <= after:
                event = self._change_events.setdefault(key, anyio.Event())
                await event.wait()
        if self.switches.outage:
            return json_response(503, {'error': 'outage'})
        return self._value_response(key)

    async def _grant(self, req: StandinRequest) -> Response:
        ttl_s = req.query_int('ttl_ms') / MS_PER_S
        fencing = next(self._revisions)
        lease_id = f'lease-{fencing}'
        self._leases[lease_id] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return json_response(200, {'lease_id': lease_id, 'fencing': fencing})

    async def _keep_alive(self, req: StandinRequest) -> Response:
        lease = self._leases.get(req.path_suffix)
        if lease is None:
            return json_response(404, {'error': 'no such lease'})
        lease.expires_at_s = time.monotonic() + lease.ttl_s
        return json_response(200, {})

    async def _revoke(self, req: StandinRequest) -> Response:
        self._end_lease(req.path_suffix)
        return json_response(200, {})

    async def _control(self, req: StandinRequest) -> Response:
        options = req.json()
        for name, value in options.get('switches', {}).items():
            setattr(self.switches, name, value)
        self._end_lease(options.get('end_lease', ''))
        return json_response(200, self.switches)

    async def _history(self, _req: StandinRequest) -> Response:
        return json_response(
            200,
            {'calls': self.calls, 'writes': self.history},
        )

    def _revision_conflict(self, key: str, expected: int) -> Response | None:
        revision = self._revision(key)
        if revision == expected:
            return None
        return _revision_response(412, revision)

    def _revision(self, key: str) -> int:
        stored = self._data.get(key)
        return 0 if stored is None else stored.revision

    def _value_response(self, key: str) -> Response:
        stored = self._data.get(key)
        if stored is None:
            return _revision_response(404, 0)
        return Response(
            200,
            stored.value,
            OCTET_STREAM,
            ((b'x-revision', str(stored.revision).encode()),),
        )

    def _end_lease(self, lease_id: str) -> None:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        for key in lease.keys:
            stored = self._data.get(key)
            if stored is not None and stored.lease_id == lease_id:
                self._remove_key(key)

    def _remove_key(self, key: str) -> int:
        self._data.pop(key, None)
        revision = next(self._revisions)
        self._record_write(key, revision, None)
        return revision

    def _record_write(
        self, key: str, revision: int, value: bytes | None
    ) -> None:
        self.history.append(
            HistoryItem(time.time(), key, revision, value),
        )
        event = self._change_events.pop(key, None)
        if event is not None:
            event.set()


def _revision_response(status: int, revision: int) -> Response:
    return Response(
        status,
        msgspec.json.encode({}),
        headers=((b'x-revision', str(revision).encode()),),
    )
