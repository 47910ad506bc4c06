"""Dispatch for the stand-ins' HTTP interfaces."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from masticwind.errors import Failure
from masticwind.web import (
    Receive,
    Response,
    Scope,
    Send,
    json_response,
    query_parameters,
    read_body,
    send_response,
)

MAX_BODY_BYTES: Final = 67_108_864
BODY_TIMEOUT_S: Final = 30.0


@dataclass(frozen=True, slots=True)
class StandinRequest:
    """A request whose path matched; `tail` is what follows the route."""

    method: str
    tail: str
    query: Mapping[str, str]
    body: bytes
    headers: Mapping[str, str]
    send: Send
    receive: Receive

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return msgspec.json.decode(self.body) if self.body else {}

    def number(self, name: str, default: int = 0) -> int:
        """Return a query parameter as an integer."""
        return int(self.query.get(name, default))


Handler = Callable[[StandinRequest], Awaitable[Response | None]]


class Routes:
    """An ASGI application that picks a handler by method and path prefix."""

    def __init__(self, handlers: Mapping[tuple[str, str], Handler]) -> None:
        # Longer prefixes first, so that `/v1/kv/` cannot hide `/v1/kv/x/`.
        self._handlers: Final = sorted(
            handlers.items(),
            key=lambda item: -len(item[0][1]),
        )

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        body = await read_body(receive, MAX_BODY_BYTES, BODY_TIMEOUT_S)
        if isinstance(body, Failure):
            return
        response = await self._dispatch(scope, body, send, receive)
        if response is not None:
            await send_response(send, response)

    async def _dispatch(
        self,
        scope: Scope,
        body: bytes,
        send: Send,
        receive: Receive,
    ) -> Response | None:
        path = scope['raw_path'].decode()
        for (method, prefix), handler in self._handlers:
            if method not in (scope['method'], '*'):
                continue
            if path != prefix and not (
                prefix.endswith('/') and path.startswith(prefix)
            ):
                continue
            return await handler(
                StandinRequest(
                    scope['method'],
                    path.removeprefix(prefix),
                    query_parameters(scope),
                    body,
                    {
                        key.decode('latin-1'): value.decode('latin-1')
                        for key, value in scope['headers']
                    },
                    send,
                    receive,
                )
            )
        return json_response(404, {'error': 'no such route'})
