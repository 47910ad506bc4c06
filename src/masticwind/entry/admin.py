"""The administration API of an entry, under `/admin/v1/`.

Operators use their own bearer tokens; a reader may look, a writer may also
apply. An accepted generation is put in force in this entry at once, from
memory, so that it spreads even if the key-value service fails right after.
"""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final

import msgspec

from masticwind.config.current import token_digest
from masticwind.config.diff import diff
from masticwind.config.distribute import ConfigSync
from masticwind.config.heads import StoredHead
from masticwind.config.model import Configuration, Generation, Operator
from masticwind.config.parts import Head, PartCache, split_configuration
from masticwind.config.reader import Problems, check_decoded
from masticwind.config.store import ConfigStore
from masticwind.entry.agent_pool import AgentLink, AgentPool
from masticwind.entry.tier_outcomes import TierOutcomeCounter
from masticwind.errors import ErrorKind, Failure
from masticwind.offloop import run_off_loop
from masticwind.web import (
    Receive,
    Response,
    Scope,
    header,
    json_response,
    query,
    read_body,
)

Section = dict[str, msgspec.Raw]

PREFIX: Final = '/admin/v1/'
BEARER: Final = 'bearer '
# The configuration for 47,000 teams takes about 10 MB as JSON.
MAX_CONFIG_BYTES: Final = 67_108_864
BODY_TIMEOUT_S: Final = 30.0
ROUTES: Final = frozenset(
    (
        ('GET', 'config'),
        ('POST', 'validate'),
        ('POST', 'diff'),
        ('POST', 'apply'),
        ('GET', 'history'),
        ('GET', 'status'),
    )
)


@dataclass(frozen=True, slots=True)
class AdminParts:
    """What the administration API works with."""

    node: str
    zone: str
    store: ConfigStore
    sync: ConfigSync
    pool: AgentPool
    service: TierOutcomeCounter = field(default_factory=TierOutcomeCounter)


class AdminApi:
    """Answers operators."""

    def __init__(self, parts: AdminParts) -> None:
        self._parts: Final = parts

    async def answer(
        self,
        scope: Scope,
        receive: Receive,
    ) -> Response | Failure:
        """Answer one request."""
        route = scope['path'].removeprefix(PREFIX)
        operator = self._authenticate(scope)
        if isinstance(operator, Failure):
            return operator
        name, credential = operator
        if (scope['method'], route) not in ROUTES:
            return Failure(kind=ErrorKind.NOT_FOUND, reason='no such route')
        if route == 'apply' and credential.role != 'writer':
            return Failure(kind=ErrorKind.FORBIDDEN, reason='not a writer')
        if scope['method'] == 'POST':
            config = await _read_config(receive)
            if not isinstance(config, Configuration):
                return config
            return await self._post(route, scope, config, name)
        return await self._get(route, scope)

    def _authenticate(self, scope: Scope) -> tuple[str, Operator] | Failure:
        text = header(scope, b'authorization')
        digest = ''
        if text[: len(BEARER)].lower() == BEARER:
            digest = token_digest(text[len(BEARER) :].strip())
        config = self._in_force().config
        for name, one in config.operators.items():
            if digest in one.token_digests:
                return name, one
        return Failure(
            kind=ErrorKind.UNAUTHENTICATED,
            reason='unknown operator token',
        )

    async def _get(self, route: str, scope: Scope) -> Response | Failure:
        if route == 'status':
            return json_response(HTTPStatus.OK, fleet_status(self._parts))
        if route == 'history':
            heads = await self._parts.store.read_history()
            if isinstance(heads, Failure):
                return heads
            return json_response(HTTPStatus.OK, heads)
        wanted = query(scope).get('generation', '')
        if wanted.isdecimal():
            found = await self._past(int(wanted))
            if isinstance(found, Failure):
                return found
            return json_response(HTTPStatus.OK, found)
        return json_response(HTTPStatus.OK, self._in_force())

    async def _post(
        self,
        route: str,
        scope: Scope,
        config: Configuration,
        operator: str,
    ) -> Response | Failure:
        before = self._in_force()
        if route == 'validate':
            return json_response(HTTPStatus.OK, {'valid': True})
        if route == 'diff':
            changes = await run_off_loop(diff, before.config, config)
            return json_response(
                HTTPStatus.OK,
                {'generation': before.number, 'changes': changes},
            )
        wanted = query(scope).get('expected', '')
        expected = int(wanted) if wanted.isdecimal() else before.number
        head = await self._parts.store.apply(config, expected, operator)
        if isinstance(head, Failure):
            return await self._refused(head, config)
        await self._adopt(head, config)
        changes = await run_off_loop(diff, before.config, config)
        return json_response(
            HTTPStatus.OK,
            {'number': head.number, 'changes': changes},
        )

    async def _refused(
        self,
        failure: Failure,
        config: Configuration,
    ) -> Response | Failure:
        if failure.kind is not ErrorKind.CONFLICT:
            return failure
        winner: Generation | Failure = self._in_force()
        stored = await self._parts.store.read_head()
        if isinstance(stored, StoredHead) and stored.head is not None:
            winner = await self._parts.store.load_generation(
                stored.head, PartCache()
            )
        if isinstance(winner, Failure):
            return failure
        return json_response(
            HTTPStatus.CONFLICT,
            {
                'number': winner.number,
                'changes': await run_off_loop(
                    diff,
                    winner.config,
                    config,
                ),
                'failure': failure,
            },
        )

    async def _adopt(self, head: Head, config: Configuration) -> None:
        cache = await run_off_loop(_decoded, head, config)
        if not isinstance(cache, Failure):
            self._parts.sync.parts.merge(cache)
            self._parts.sync.adopt(head, msgspec.json.encode(head))

    async def _past(self, number: int) -> Generation | Failure:
        if number == self._parts.sync.config.number:
            return self._in_force()
        head = await self._parts.store.read_past_head(number)
        if isinstance(head, Failure):
            return head
        return await self._parts.store.load_generation(head, PartCache())

    def _in_force(self) -> Generation:
        current = self._parts.sync.config
        return Generation(number=current.number, config=current.config)


async def _read_config(
    receive: Receive,
) -> Configuration | Response | Failure:
    body = await read_body(receive, MAX_CONFIG_BYTES, BODY_TIMEOUT_S)
    if isinstance(body, Failure):
        return body
    # Checking 47,000 teams took about 3 s, during which no caller was served.
    config = await run_off_loop(_checked, body)
    if isinstance(config, Configuration | Failure):
        return config
    lines = [one.line for one in config]
    return json_response(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        {
            'error': {
                'kind': ErrorKind.INVALID_CONFIG,
                'message': '\n'.join(lines),
            },
            'problems': lines,
        },
    )


def _checked(body: bytes) -> Configuration | Problems | Failure:
    try:
        raw = _decode_by_entry(body)
    except (msgspec.DecodeError, RecursionError):
        return Failure(kind=ErrorKind.BAD_REQUEST, reason='expected JSON')
    return check_decoded(raw, 'request')


def _decode_by_entry(body: bytes | bytearray) -> object:
    # The decoder holds the interpreter lock, so one call for 47,000 teams
    # would stall the other threads for about 150 ms.
    try:
        sections = msgspec.json.decode(body, type=dict[str, Section])
    except msgspec.ValidationError:
        return msgspec.json.decode(body)
    return {
        section: {
            name: msgspec.json.decode(entry) for name, entry in entries.items()
        }
        for section, entries in sections.items()
    }


def _decoded(head: Head, config: Configuration) -> PartCache | Failure:
    parts = split_configuration(config)
    if isinstance(parts, Failure):
        return parts
    cache = PartCache()
    cache.add_trusted(parts.contents)
    joined = cache.build_configuration(head)
    return joined if isinstance(joined, Failure) else cache


def fleet_status(parts: AdminParts) -> dict[str, Any]:
    """Return the fleet as this entry sees it."""
    processes = {parts.node: parts.sync.config.number}
    for peer in parts.sync.peers:
        processes[peer.channel.peer.node] = peer.generation
    zones: dict[str, dict[str, Any]] = {}
    for link in parts.pool.links:
        zone = zones.setdefault(link.instance.zone, {})
        zone[link.endpoint or link.instance.node] = _endpoint(parts, link)
    return {
        'generation': parts.sync.config.number,
        'processes': processes,
        'zones': zones,
        'service_last_minute': parts.service.totals(),
    }


def _endpoint(parts: AdminParts, link: AgentLink) -> dict[str, Any]:
    load = link.reported_load
    found: dict[str, Any] = {'state': endpoint_state(parts, link)}
    if load is not None:
        found |= {
            'running': load.running,
            'queued': load.queued,
            'memory_free_tokens': load.memory_free_tokens,
            'memory_total_tokens': load.memory_total_tokens,
            'report_age_s': round(time.monotonic() - link.load_received_at, 1),
        }
    return found


def endpoint_state(parts: AdminParts, link: AgentLink) -> str:
    """Return serving, cold, leaving, out or down."""
    config = parts.sync.config
    in_service: Sequence[bool] = (
        config.is_zone_in_service(link.instance.zone),
        config.is_endpoint_in_service(link.endpoint),
    )
    if not all(in_service):
        return 'out'
    if link.reported_load is None or not link.connected:
        return 'down'
    if link.leaving or link.reported_load.state == 'draining':
        return 'leaving'
    return link.reported_load.state
