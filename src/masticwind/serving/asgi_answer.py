"""Answers to callers through an ASGI server."""

from typing import Any, Final

from masticwind.serving.interfaces import CallerAnswer
from masticwind.serving.model import Headers
from masticwind.web import Response, Send, send_response


class AsgiAnswer(CallerAnswer):
    """Writes an answer through an ASGI server.

    Once it has been given up, whatever is written to it is dropped.
    """

    def __init__(self, send: Send) -> None:
        self._send: Final = send
        self._started = False
        self._given_up = False
        self._finished = False

    @property
    def finished(self) -> bool:
        """Whether the whole answer has been written."""
        return self._finished

    @property
    def started(self) -> bool:
        """Whether the status and headers have been written."""
        return self._started

    @property
    def given_up(self) -> bool:
        """Whether `give_up` has been called."""
        return self._given_up

    async def give_up(self, response: Response) -> None:
        """End the answer; write a response if it has not started."""
        self._given_up = True
        if not self._started:
            await send_response(self._send, response)

    async def start(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Write the status and headers."""
        header_list = list(headers)
        if length is not None:
            header_list.append((b'content-length', str(length).encode()))
        await self._send_unless_given_up(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': header_list,
            }
        )
        # Only now, because a cancellation may end the wait to send it.
        self._started = not self._given_up

    async def write(self, content: bytes) -> None:
        """Write a part of the body."""
        await self._send_unless_given_up(
            {
                'type': 'http.response.body',
                'body': content,
                'more_body': True,
            }
        )

    async def finish(self) -> None:
        """End the body as complete."""
        self._finished = not self._given_up
        await self._send_unless_given_up(
            {'type': 'http.response.body', 'body': b''}
        )

    async def _send_unless_given_up(self, message: dict[str, Any]) -> None:
        if not self._given_up:
            await self._send(message)
