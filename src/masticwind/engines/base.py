"""Abstract clients of the endpoints: model engines and plain services.

`EngineReport`, `RunningRequest`, `CacheEvents` and `EngineOrder` are also the
JSON documents of the engine API, so their field names are fixed.
"""

import abc
from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from masticwind.errors import Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRequest:
    """One generation request to an engine.

    A lower `priority` is more urgent. `prefill_only` computes the first
    `prefill_tokens` tokens of the prompt into the engine's prefix cache and
    generates nothing. `resume_offset` continues a stream that the engine
    still runs. `imported_handles` are the caches of the preceding parts of
    the prompt.
    """

    request_id: str
    model: str
    prompt: bytes
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    prefill_only: bool = False
    prefill_tokens: int = 0
    resume_offset: int = 0
    imported_handles: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Tokens:
    """Generated tokens; `offset` is the number of tokens before them.

    `cached_tokens` of the prompt were read from the prefix cache.
    """

    offset: int
    tokens: tuple[str, ...]
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Done:
    """The end of a stream, with the total number of generated tokens."""

    generated_tokens: int
    cached_tokens: int = 0


EngineEvent = Tokens | Done | Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """An engine's report of its state, `age_ms` old.

    `boot_id` changes whenever the engine starts. `cold` is self-reported; an
    engine can be cold without reporting it.
    """

    boot_id: str
    models: tuple[str, ...]
    cold: bool
    running: int
    waiting: int
    memory_total_tokens: int
    memory_used_tokens: int
    cache_tokens: int = 0
    age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningRequest:
    """A request that an engine runs, and the memory that it uses."""

    request_id: str
    offset: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events with the sequence numbers `first` to `last`.

    If `first` does not follow the last event read, events were lost.
    `added` and `removed` contain block hashes.
    """

    first: int
    last: int
    added: tuple[int, ...]
    removed: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """An order to an engine, such as loading a model.

    Some engines refuse an order with an outdated fencing token; others
    ignore the token.
    """

    action: str
    model: str
    version: str
    fencing: int


class Engine(abc.ABC):
    """A language model engine."""

    @abc.abstractmethod
    def generate(
        self,
        req: EngineRequest,
    ) -> AbstractAsyncContextManager[AsyncIterator[EngineEvent]]:
        """Run a request and iterate over its events.

        The last event is `Done` or a `Failure`. The kind `outcome_unknown`
        means that the connection broke and the stream may be resumable.
        Leaving the context early closes the connection but does not cancel
        the request.
        """

    @abc.abstractmethod
    async def cancel(self, request_id: str) -> Failure | None:
        """Stop a request and free its memory; an unknown id is no error."""

    @abc.abstractmethod
    async def list_running(self) -> Sequence[RunningRequest] | Failure:
        """List the requests that the engine is running."""

    @abc.abstractmethod
    async def read_report(self) -> EngineReport | Failure:
        """Read the engine's latest report."""

    @abc.abstractmethod
    async def read_cache_events(self, after: int) -> CacheEvents | Failure:
        """Read cache events with sequence numbers above `after`."""

    @abc.abstractmethod
    async def export_cache(
        self,
        request_id: str,
        model: str,
        prompt: bytes,
        tokens: int,
        imported: tuple[str, ...] = (),
    ) -> str | Failure:
        """Compute `tokens` of a prompt, hold the cache and return its handle.

        `imported` are the handles of the preceding parts of the prompt, in
        order.
        """

    @abc.abstractmethod
    async def import_cache(self, handle: str) -> Failure | None:
        """Import a cache that another engine holds."""

    @abc.abstractmethod
    async def drop_cache(self, handle: str) -> Failure | None:
        """Free a held or imported cache; an unknown handle is no error."""

    @abc.abstractmethod
    async def list_held_caches(self) -> dict[str, int] | Failure:
        """Map the handle of each held cache to the tokens that it occupies."""

    @abc.abstractmethod
    async def send_order(self, order: EngineOrder) -> Failure | None:
        """Send an order, such as loading a model."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRequest:
    """One call of a plain service."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """The response of a plain service."""

    status: int
    content_type: str
    body: bytes


class Service(abc.ABC):
    """A plain service."""

    @abc.abstractmethod
    async def call(self, req: ServiceRequest) -> ServiceResponse | Failure:
        """Send one call, without retries.

        A `Failure` whose kind satisfies `guarantees_not_run` means that nothing
        was sent; any other kind means that the call may have been executed.
        """

    @abc.abstractmethod
    async def healthy(self) -> bool:
        """Return whether the service passes its health check."""
