"""Stand-in for the platform's key-value service.

It keeps a history of every write, so that tests can judge from outside, and
counts calls. Outages, delays, lost responses and rate limits are switched
through `/control`.
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

OCTETS: Final = b'application/octet-stream'
LEASE_SWEEP_S: Final = 0.05


@dataclass(slots=True)
class Switches:
    """Faults that the stand-in brings about.

    `lose_responses` counts writes that take effect but are never answered
    in time; `writes_per_s` and `reads_per_s` of zero mean no limit.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_responses: int = 0
    writes_per_s: int = 0
    reads_per_s: int = 0


@dataclass(slots=True)
class _Entry:
    value: bytes
    revision: int
    lease_id: str = ''


@dataclass(frozen=True, slots=True)
class HistoryItem:
    """One write that took effect; no value means a deletion."""

    at_s: float
    key: str
    revision: int
    value: bytes | None


@dataclass(slots=True)
class _LeaseState:
    ttl_s: float
    expires: float
    keys: set[str] = field(default_factory=set)


class KeyValueStandin:
    """State and HTTP interface of the stand-in."""

    def __init__(self) -> None:
        self.switches = Switches()
        self.history: Final[list[HistoryItem]] = []
        self.calls: Final = Counter[str]()
        self._data: Final[dict[str, _Entry]] = {}
        self._leases: Final[dict[str, _LeaseState]] = {}
        self._revisions: Final = itertools.count(1)
        self._changed: Final[dict[str, anyio.Event]] = {}
        self._window: Final = Counter[tuple[str, int]]()
        self.app: Final = Router(self._handlers())

    async def run(self) -> None:
        """End leases whose time is over, until cancelled."""
        while True:
            await anyio.sleep(LEASE_SWEEP_S)
            now = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if lease.expires <= now:
                    self._end_lease(lease_id)

    def _handlers(self) -> dict[tuple[str, str], Handler]:
        return {
            ('GET', '/v1/kv/'): partial(self._read, self._get),
            ('PUT', '/v1/kv/'): partial(self._write, self._put),
            ('DELETE', '/v1/kv/'): partial(self._write, self._delete),
            ('GET', '/v1/keys'): partial(self._read, self._keys),
            ('GET', '/v1/watch/'): partial(self._read, self._watch),
            ('POST', '/v1/leases'): partial(self._write, self._grant),
            ('PUT', '/v1/leases/'): partial(self._write, self._keep_alive),
            ('DELETE', '/v1/leases/'): partial(self._write, self._revoke),
            ('POST', '/control'): self._control,
            ('GET', '/history'): self._history,
        }

    async def _read(
        self,
        handler: Handler,
        req: StandinRequest,
    ) -> Response | None:
        refused = await self._disturb('reads', self.switches.reads_per_s)
        return refused or await handler(req)

    async def _write(
        self,
        handler: Handler,
        req: StandinRequest,
    ) -> Response | None:
        refused = await self._disturb('writes', self.switches.writes_per_s)
        if refused is not None:
            return refused
        response = await handler(req)
        if self.switches.lose_responses > 0:
            self.switches.lose_responses -= 1
            # Longer than any client waits, so the answer is lost.
            await anyio.sleep(30)
        return response

    async def _disturb(self, what: str, limit: int) -> Response | None:
        self.calls[what] += 1
        if self.switches.delay_ms:
            await anyio.sleep(self.switches.delay_ms / MS_PER_S)
        if self.switches.outage:
            return json_response(503, {'error': 'outage'})
        second = (what, int(time.monotonic()))
        self._window[second] += 1
        if limit and self._window[second] > limit:
            return json_response(429, {'error': f'{what} limited'})
        return None

    async def _get(self, req: StandinRequest) -> Response:
        return self._value_response(unquote(req.tail))

    async def _put(self, req: StandinRequest) -> Response:
        key = unquote(req.tail)
        if len(req.body) > MAX_VALUE_BYTES:
            return json_response(413, {'error': 'value too large'})
        lease_id = req.query.get('lease', '')
        if lease_id and lease_id not in self._leases:
            return json_response(404, {'error': 'no such lease'})
        conflict = self._conflict(key, req.number('expected'))
        if conflict is not None:
            return conflict
        if lease_id:
            self._leases[lease_id].keys.add(key)
        revision = next(self._revisions)
        self._data[key] = _Entry(req.body, revision, lease_id)
        self._record(key, revision, req.body)
        return _revision_response(200, revision)

    async def _delete(self, req: StandinRequest) -> Response:
        key = unquote(req.tail)
        conflict = self._conflict(key, req.number('expected'))
        if conflict is not None:
            return conflict
        return _revision_response(200, self._remove(key))

    async def _keys(self, req: StandinRequest) -> Response:
        prefix = req.query.get('prefix', '')
        return json_response(
            200,
            sorted(key for key in self._data if key.startswith(prefix)),
        )

    async def _watch(self, req: StandinRequest) -> Response:
        key = unquote(req.tail)
        after = req.number('after')
        with anyio.move_on_after(req.number('wait_ms') / MS_PER_S):
            while self._revision(key) <= after:
                event = self._changed.setdefault(key, anyio.Event())
                await event.wait()
        if self.switches.outage:
            return json_response(503, {'error': 'outage'})
        return self._value_response(key)

    async def _grant(self, req: StandinRequest) -> Response:
        ttl_s = req.number('ttl_ms') / MS_PER_S
        fencing = next(self._revisions)
        lease_id = f'lease-{fencing}'
        self._leases[lease_id] = _LeaseState(ttl_s, time.monotonic() + ttl_s)
        return json_response(200, {'lease_id': lease_id, 'fencing': fencing})

    async def _keep_alive(self, req: StandinRequest) -> Response:
        lease = self._leases.get(req.tail)
        if lease is None:
            return json_response(404, {'error': 'no such lease'})
        lease.expires = time.monotonic() + lease.ttl_s
        return json_response(200, {})

    async def _revoke(self, req: StandinRequest) -> Response:
        self._end_lease(req.tail)
        return json_response(200, {})

    async def _control(self, req: StandinRequest) -> Response:
        wanted = req.json()
        for name, value in wanted.get('switches', {}).items():
            setattr(self.switches, name, value)
        self._end_lease(wanted.get('end_lease', ''))
        return json_response(200, self.switches)

    async def _history(self, _req: StandinRequest) -> Response:
        return json_response(
            200,
            {'calls': self.calls, 'writes': self.history},
        )

    def _conflict(self, key: str, expected: int) -> Response | None:
        revision = self._revision(key)
        if revision == expected:
            return None
        return _revision_response(412, revision)

    def _revision(self, key: str) -> int:
        entry = self._data.get(key)
        return 0 if entry is None else entry.revision

    def _value_response(self, key: str) -> Response:
        entry = self._data.get(key)
        if entry is None:
            return _revision_response(404, 0)
        return Response(
            200,
            entry.value,
            OCTETS,
            ((b'x-revision', str(entry.revision).encode()),),
        )

    def _end_lease(self, lease_id: str) -> None:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        for key in lease.keys:
            entry = self._data.get(key)
            if entry is not None and entry.lease_id == lease_id:
                self._remove(key)

    def _remove(self, key: str) -> int:
        self._data.pop(key, None)
        revision = next(self._revisions)
        self._record(key, revision, None)
        return revision

    def _record(self, key: str, revision: int, value: bytes | None) -> None:
        self.history.append(
            HistoryItem(time.time(), key, revision, value),
        )
        event = self._changed.pop(key, None)
        if event is not None:
            event.set()


def _revision_response(status: int, revision: int) -> Response:
    return Response(
        status,
        msgspec.json.encode({}),
        headers=((b'x-revision', str(revision).encode()),),
    )
