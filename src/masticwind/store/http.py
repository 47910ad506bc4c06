"""HTTP clients of the platform's services."""

from collections.abc import Mapping, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Final
from urllib.parse import quote

import msgspec

from masticwind.budget import MS_PER_S
from masticwind.decoding import parse_json, parse_with
from masticwind.errors import ErrorKind, Failure
from masticwind.http_calls import MAX_BODY_BYTES, CallLimits
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.settings import PlatformSettings
from masticwind.store.base import (
    MAX_VALUE_BYTES,
    Conflict,
    Instance,
    InstanceList,
    KeyValue,
    Lease,
    UnknownOutcome,
    VersionedValue,
    WeightStore,
    WriteResult,
    Written,
)

# Statuses with which the service has not executed the write.
_REFUSED_STATUSES: Final = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)


REVISION_HEADER: Final = 'x-revision'
_WRITE_RESULTS: Final[Mapping[int, type[Written | Conflict]]] = (
    MappingProxyType(
        {
            HTTPStatus.OK: Written,
            HTTPStatus.PRECONDITION_FAILED: Conflict,
        }
    )
)


class _GrantedLease(msgspec.Struct):
    lease_id: str
    fencing: int


class HttpKeyValue(KeyValue):
    """The key-value service over HTTP."""

    def __init__(self, cfg: PlatformSettings) -> None:
        self._client: Final = HttpClient(cfg.key_value_url)
        self._timeout_s: Final = cfg.timeout_ms / MS_PER_S

    async def get(self, key: str) -> VersionedValue | Failure:
        response = await self._request('GET', _key_path(key))
        return _to_versioned_value(response)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> WriteResult:
        if len(value) > MAX_VALUE_BYTES:
            return Failure(
                kind=ErrorKind.TOO_LARGE,
                reason=f'value of {key} is over {MAX_VALUE_BYTES} bytes',
            )
        path = f'{_key_path(key)}?expected={expected_revision}'
        if lease_id:
            path = f'{path}&lease={quote(lease_id, safe="")}'
        return _to_write_result(await self._request('PUT', path, value))

    async def delete(self, key: str, expected_revision: int) -> WriteResult:
        path = f'{_key_path(key)}?expected={expected_revision}'
        return _to_write_result(await self._request('DELETE', path))

    async def list_keys(self, prefix: str) -> tuple[str, ...] | Failure:
        response = await self._request(
            'GET',
            f'/v1/keys?prefix={quote(prefix, safe="")}',
            max_body_bytes=MAX_BODY_BYTES,
        )
        if isinstance(response, Failure):
            return _platform_down(response.reason)
        if response.status != HTTPStatus.OK:
            return _platform_down(f'status {response.status}')
        return parse_json(
            response.body, tuple[str, ...], ErrorKind.PLATFORM_DOWN
        )

    async def watch(
        self,
        key: str,
        after_revision: int,
        wait_s: float,
    ) -> VersionedValue | Failure:
        wait_ms = int(wait_s * MS_PER_S)
        path = (
            f'/v1/watch/{quote(key, safe="")}'
            f'?after={after_revision}&wait_ms={wait_ms}'
        )
        response = await self._client.request(
            'GET',
            path,
            timeout_s=CallLimits(wait_s + self._timeout_s, MAX_VALUE_BYTES),
        )
        return _to_versioned_value(response)

    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        ttl_ms = int(ttl_s * MS_PER_S)
        response = await self._request('POST', f'/v1/leases?ttl_ms={ttl_ms}')
        if isinstance(response, Failure):
            return _platform_down(response.reason)
        if response.status != HTTPStatus.OK:
            return _platform_down(f'status {response.status}')
        granted = parse_json(
            response.body, _GrantedLease, ErrorKind.PLATFORM_DOWN
        )
        if isinstance(granted, Failure):
            return granted
        return Lease(granted.lease_id, granted.fencing, ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease | Failure:
        response = await self._request('PUT', f'/v1/leases/{lease.lease_id}')
        if isinstance(response, Failure):
            return _platform_down(response.reason)
        if response.status == HTTPStatus.NOT_FOUND:
            return Failure(
                kind=ErrorKind.CONFLICT, reason='the lease has ended'
            )
        if response.status != HTTPStatus.OK:
            return _platform_down(f'status {response.status}')
        return lease

    async def revoke_lease(self, lease: Lease) -> None:
        await self._request('DELETE', f'/v1/leases/{lease.lease_id}')

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        max_body_bytes: int = MAX_VALUE_BYTES,
    ) -> HttpAnswer | Failure:
        return await self._client.request(
            method,
            path,
            timeout_s=CallLimits(self._timeout_s, max_body_bytes),
            body=body,
        )


class HttpInstanceList(InstanceList):
    """The platform's instance list over HTTP."""

    def __init__(self, cfg: PlatformSettings) -> None:
        self._client: Final = HttpClient(cfg.instances_url)
        self._timeout_s: Final = cfg.timeout_ms / MS_PER_S

    async def list_instances(self) -> Sequence[Instance] | Failure:
        response = await self._client.request(
            'GET',
            '/v1/instances',
            timeout_s=self._timeout_s,
        )
        if isinstance(response, Failure):
            return _platform_down(response.reason)
        if response.status != HTTPStatus.OK:
            return _platform_down(f'status {response.status}')
        return parse_json(
            response.body, list[Instance], ErrorKind.PLATFORM_DOWN
        )


class HttpWeightStore(WeightStore):
    """The weight store over HTTP."""

    def __init__(self, cfg: PlatformSettings) -> None:
        self._client: Final = HttpClient(cfg.weights_url)
        self._timeout_s: Final = cfg.timeout_ms / MS_PER_S

    async def acquire(self, model: str, version: str) -> Failure | None:
        path = f'/v1/weights/{quote(model, safe="")}/{quote(version, safe="")}'
        response = await self._client.request(
            'POST',
            path,
            timeout_s=self._timeout_s,
        )
        if isinstance(response, Failure):
            return _platform_down(response.reason)
        if response.status == HTTPStatus.OK:
            return None
        if response.status != HTTPStatus.TOO_MANY_REQUESTS:
            return _platform_down(f'status {response.status}')
        retry_after_ms = parse_with(
            _retry_after_ms, response.headers, ErrorKind.PLATFORM_DOWN
        )
        if isinstance(retry_after_ms, Failure):
            return retry_after_ms
        return Failure(
            kind=ErrorKind.RATE_LIMITED,
            reason='the weight store is busy',
            retry_after_ms=retry_after_ms,
        )


def _key_path(key: str) -> str:
    return f'/v1/kv/{quote(key, safe="")}'


def _platform_down(reason: str) -> Failure:
    return Failure(kind=ErrorKind.PLATFORM_DOWN, reason=reason)


def _to_versioned_value(
    response: HttpAnswer | Failure,
) -> VersionedValue | Failure:
    if isinstance(response, Failure):
        return _platform_down(response.reason)
    absent = response.status == HTTPStatus.NOT_FOUND
    if response.status != HTTPStatus.OK and not absent:
        return _platform_down(f'status {response.status}')
    default = {REVISION_HEADER: '0'} if absent else {}
    revision = _parse_revision({**default, **response.headers})
    if isinstance(revision, Failure):
        return revision
    return VersionedValue(None if absent else response.body, revision)


def _to_write_result(response: HttpAnswer | Failure) -> WriteResult:
    if isinstance(response, Failure):
        if response.kind is ErrorKind.NO_CAPACITY:
            return _platform_down(response.reason)
        return UnknownOutcome(response.reason)
    if response.status in _REFUSED_STATUSES:
        return _platform_down(f'status {response.status}')
    result_type = _WRITE_RESULTS.get(response.status)
    if result_type is None:
        return UnknownOutcome(f'status {response.status}')
    revision = _parse_revision(response.headers)
    if isinstance(revision, Failure):
        return UnknownOutcome(revision.reason)
    return result_type(revision)


def _parse_revision(headers: Mapping[str, str]) -> int | Failure:
    return parse_with(_revision, headers, ErrorKind.PLATFORM_DOWN)


def _revision(headers: Mapping[str, str]) -> int:
    return int(headers[REVISION_HEADER])


def _retry_after_ms(headers: Mapping[str, str]) -> int:
    return int(float(headers.get('retry-after', '1')) * MS_PER_S)
