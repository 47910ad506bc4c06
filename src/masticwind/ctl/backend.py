"""The two ways to reach the configuration: the service and the entry's API.

With an API address, an entry does the work and has the new generation in
memory as soon as it is accepted. Without one, the command uses the key-value
service itself, which the first apply needs, before there are operators.
"""

import abc
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final, TypeVar

import msgspec

from masticwind.config.diff import Change, diff
from masticwind.config.model import EMPTY_GENERATION, Configuration, Generation
from masticwind.config.parts import Head, PartCache
from masticwind.config.store import ConfigStore
from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpAnswer, HttpClient

# Longer than an entry takes to settle a lost response.
API_TIMEOUT_S: Final = 30.0

_Content = TypeVar('_Content')


@dataclass(frozen=True, slots=True)
class Applied:
    """Outcome of an apply; `changes` is what it changed or would have."""

    number: int
    changes: tuple[Change, ...]
    failure: Failure | None = None


class Backend(abc.ABC):
    """What the commands need; all results can be a `Failure`."""

    @abc.abstractmethod
    async def current(self) -> Generation | Failure:
        """Return the generation in force; an empty one before the first."""

    @abc.abstractmethod
    async def past(self, number: int) -> Generation | Failure:
        """Return an earlier generation that the history still holds."""

    @abc.abstractmethod
    async def apply(
        self,
        config: Configuration,
        expected: int | None,
    ) -> Applied | Failure:
        """Put `config` in force on top of `expected`, or of the newest."""

    @abc.abstractmethod
    async def history(self) -> Sequence[Head] | Failure:
        """Return the kept heads, newest first."""

    @abc.abstractmethod
    async def status(self) -> dict[str, Any] | Failure:
        """Return the state of the fleet as one entry sees it."""


class StoreBackend(Backend):
    """Works on the key-value service directly."""

    def __init__(self, store: ConfigStore, operator: str) -> None:
        self._store: Final = store
        self._operator: Final = operator

    async def current(self) -> Generation | Failure:
        """Return the generation in force."""
        stored = await self._store.read_head()
        if isinstance(stored, Failure):
            return stored
        if stored.head is None:
            return EMPTY_GENERATION
        return await self._store.load_generation(stored.head, PartCache())

    async def past(self, number: int) -> Generation | Failure:
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
        """Apply; a conflict comes with the diff to the winner."""
        before = await self.current()
        if isinstance(before, Failure):
            return before
        base = before.number if expected is None else expected
        head = await self._store.apply(config, base, self._operator)
        if isinstance(head, Head):
            return Applied(head.number, diff(before.config, config))
        if head.kind is not ErrorKind.CONFLICT:
            return head
        winner = await self.current()
        if isinstance(winner, Failure):
            return Applied(0, (), head)
        return Applied(winner.number, diff(winner.config, config), head)

    async def history(self) -> Sequence[Head] | Failure:
        """Return the kept heads."""
        return await self._store.read_history()

    async def status(self) -> dict[str, Any] | Failure:
        """The state of processes is known to entries only."""
        return Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason='status needs --api, the address of an entry',
        )


class ApiBackend(Backend):
    """Works through the administration API of an entry."""

    def __init__(self, url: str, token: str) -> None:
        self._client: Final = HttpClient(url)
        self._token: Final = token

    async def current(self) -> Generation | Failure:
        """Return the generation in force at the entry."""
        return await self._ask('GET', 'config', Generation)

    async def past(self, number: int) -> Generation | Failure:
        """Return an earlier generation."""
        return await self._ask('GET', f'config?generation={number}', Generation)

    async def apply(
        self,
        config: Configuration,
        expected: int | None,
    ) -> Applied | Failure:
        """Apply through the entry."""
        path = 'apply' if expected is None else f'apply?expected={expected}'
        return await self._ask('POST', path, Applied, config)

    async def history(self) -> Sequence[Head] | Failure:
        """Return the kept heads."""
        return await self._ask('GET', 'history', tuple[Head, ...])

    async def status(self) -> dict[str, Any] | Failure:
        """Return what the entry knows of the fleet."""
        return await self._ask('GET', 'status', dict[str, Any])

    async def _ask(
        self,
        method: str,
        path: str,
        kind: type[_Content],
        config: Configuration | None = None,
    ) -> _Content | Failure:
        answer = await self._client.request(
            method,
            f'/admin/v1/{path}',
            timeout_s=API_TIMEOUT_S,
            body=b'' if config is None else msgspec.json.encode(config),
            headers=[(b'authorization', f'Bearer {self._token}'.encode())],
        )
        if isinstance(answer, Failure):
            return _unreached(answer, path)
        try:
            return _decoded(answer, kind)
        except msgspec.DecodeError as exc:
            return Failure(kind=ErrorKind.PLATFORM_DOWN, reason=str(exc))


def _unreached(failure: Failure, path: str) -> Failure:
    lost = failure.kind is ErrorKind.OUTCOME_UNKNOWN
    if lost and path.startswith('apply'):
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason=(
                f'it is unknown whether the configuration is in force '
                f'({failure.reason}); the same apply can be run again safely'
            ),
        )
    return Failure(kind=ErrorKind.PLATFORM_DOWN, reason=failure.reason)


def _decoded(
    answer: HttpAnswer,
    kind: type[_Content],
) -> _Content | Failure:
    # A conflict carries the diff in the form of a result.
    if answer.status in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
        return msgspec.json.decode(answer.body, type=kind)
    error = msgspec.json.decode(answer.body)['error']
    return Failure(kind=ErrorKind(error['kind']), reason=error['message'])
