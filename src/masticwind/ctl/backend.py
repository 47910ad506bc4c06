"""Access to the configuration: key-value service or an entry's API.

With an API address, an entry executes the command and adopts a new generation
as soon as it is accepted. Without one, the command uses the key-value service
directly; the first apply needs this, because no operators are configured yet.
"""

import abc
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec

from masticwind.config.diff import Change, diff
from masticwind.config.model import EMPTY_GENERATION, Configuration, Generation
from masticwind.config.parts import Head, PartCache
from masticwind.config.store import ConfigStore
from masticwind.ctl.api_answer import decode_answer
from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpClient

# Longer than an entry takes to determine an outcome after a lost response.
API_TIMEOUT_S: Final = 30.0

_Result = TypeVar('_Result')


@dataclass(frozen=True, slots=True)
class Applied:
    """Outcome of an apply; `changes` is what it changed or would change."""

    number: int
    changes: tuple[Change, ...]
    failure: Failure | None = None


class Backend(abc.ABC):
    """Operations that the commands use; each can return a `Failure`."""

    @abc.abstractmethod
    async def current_generation(self) -> Generation | Failure:
        """Return the current generation; an empty one before the first."""

    @abc.abstractmethod
    async def past_generation(self, number: int) -> Generation | Failure:
        """Return an earlier generation that is still in the history."""

    @abc.abstractmethod
    async def apply(
        self,
        config: Configuration,
        expected: int | None,
    ) -> Applied | Failure:
        """Apply `config` on top of `expected`, by default the current one."""

    @abc.abstractmethod
    async def history(self) -> Sequence[Head] | Failure:
        """Return the current and earlier heads, newest first."""

    @abc.abstractmethod
    async def status(self) -> dict[str, Any] | Failure:
        """Return the state of the fleet as seen by one entry."""


class StoreBackend(Backend):
    """Uses the key-value service directly."""

    def __init__(self, store: ConfigStore, operator: str) -> None:
        self._store: Final = store
        self._operator: Final = operator

    async def current_generation(self) -> Generation | Failure:
        """Return the current generation."""
        stored = await self._store.read_head()
        if isinstance(stored, Failure):
            return stored
        if stored.head is None:
            return EMPTY_GENERATION
        return await self._store.load_generation(stored.head, PartCache())

    async def past_generation(self, number: int) -> Generation | Failure:
        """Return an earlier generation."""
        head = await self._store.read_past_head(number)
        if isinstance(head, Failure):
            return head
        return await self._store.load_generation(head, PartCache())

    async def apply(
        self,
        config: Configuration,
        expected: int | None,
    ) -> Applied | Failure:
        """Apply `config`; a conflict includes the diff to the current one."""
        before = await self.current_generation()
        if isinstance(before, Failure):
            return before
        expected_number = before.number if expected is None else expected
        head = await self._store.apply(config, expected_number, self._operator)
        if isinstance(head, Head):
            return Applied(head.number, diff(before.config, config))
        if head.kind is not ErrorKind.CONFLICT:
            return head
        current = await self.current_generation()
        if isinstance(current, Failure):
            return Applied(0, (), head)
        return Applied(current.number, diff(current.config, config), head)

    async def history(self) -> Sequence[Head] | Failure:
        """Return the current and earlier heads."""
        return await self._store.read_history()

    async def status(self) -> dict[str, Any] | Failure:
        """Return a failure: only entries know the state of processes."""
        return Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason='status needs --api, the address of an entry',
        )


class ApiBackend(Backend):
    """Uses the administration API of an entry."""

    def __init__(self, url: str, token: str) -> None:
        self._client: Final = HttpClient(url)
        self._token: Final = token

    async def current_generation(self) -> Generation | Failure:
        """Return the current generation of the entry."""
        return await self._request('GET', 'config', Generation)

    async def past_generation(self, number: int) -> Generation | Failure:
        """Return an earlier generation."""
        return await self._request(
            'GET', f'config?generation={number}', Generation
        )

    async def apply(
        self,
        config: Configuration,
        expected: int | None,
    ) -> Applied | Failure:
        """Apply `config` through the entry."""
        path = 'apply' if expected is None else f'apply?expected={expected}'
        return await self._request('POST', path, Applied, config)

    async def history(self) -> Sequence[Head] | Failure:
        """Return the current and earlier heads."""
        return await self._request('GET', 'history', tuple[Head, ...])

    async def status(self) -> dict[str, Any] | Failure:
        """Return the state of the fleet as seen by the entry."""
        return await self._request('GET', 'status', dict[str, Any])

    async def _request(
        self,
        method: str,
        path: str,
        response_type: type[_Result],
        config: Configuration | None = None,
    ) -> _Result | Failure:
        response = await self._client.request(
            method,
            f'/admin/v1/{path}',
            timeout_s=API_TIMEOUT_S,
            body=b'' if config is None else msgspec.json.encode(config),
            headers=[(b'authorization', f'Bearer {self._token}'.encode())],
        )
        if isinstance(response, Failure):
            return _connection_failure(response, path)
        return decode_answer(response, response_type)


def _connection_failure(failure: Failure, path: str) -> Failure:
    is_lost = failure.kind is ErrorKind.OUTCOME_UNKNOWN
    if is_lost and path.startswith('apply'):
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason=(
                f'it is unknown whether the configuration is in force '
                f'({failure.reason}); the same apply can be run again safely'
            ),
        )
    return Failure(kind=ErrorKind.PLATFORM_DOWN, reason=failure.reason)
