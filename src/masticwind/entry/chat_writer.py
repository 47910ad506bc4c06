"""Writes the response of a chat request to its caller."""

import time
from http import HTTPStatus
from typing import Final

import msgspec

from masticwind.engines.base import Done, Tokens
from masticwind.entry.attempts import ModelRequest
from masticwind.entry.stop import AnswerWriter
from masticwind.errors import ERROR_RESPONSES, Failure
from masticwind.web import Response, Send, json_response, send_response

SSE_TYPE: Final = b'text/event-stream'


class ChatWriter(AnswerWriter):
    """Writes one response, as server-sent events or as one JSON object."""

    def __init__(
        self,
        send: Send,
        req: ModelRequest,
        *,
        stream: bool,
        include_usage: bool = False,
    ) -> None:
        self._send: Final = send
        self._req: Final = req
        self._stream: Final = stream
        self._include_usage: Final = include_usage
        self._created: Final = int(time.time())
        self._texts: Final[list[str]] = []
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the status has been sent."""
        return self._started

    async def write_tokens(self, tokens: Tokens) -> None:
        """Send generated tokens, or keep them for a response in one object."""
        text = ''.join(tokens.tokens)
        if not self._stream:
            self._texts.append(text)
            return
        await self._start_stream()
        await self._send_event(self._chunk({'content': text}, None))

    async def finish(self, outcome: Done | Failure) -> Failure | None:
        """Complete the response; return a failure that is still to be sent.

        After the first event the status is already sent, so that a failure
        is written as an event and None is returned.
        """
        if isinstance(outcome, Failure):
            if not self._started:
                return outcome
            await self._send_event({'error': _error_object(outcome)})
            await self._send({'type': 'http.response.body', 'body': b''})
            return None
        if self._stream:
            await self._start_stream()
            await self._send_event(
                self._chunk({}, self._finish_reason(outcome))
            )
            if self._include_usage:
                await self._send_event(
                    {
                        **self._chunk({}, None),
                        'choices': [],
                        'usage': self._usage(outcome),
                    }
                )
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': b'data: [DONE]\n\n',
                }
            )
            return None
        await send_response(self._send, self._completion_response(outcome))
        return None

    def _completion_response(self, done: Done) -> Response:
        return json_response(
            HTTPStatus.OK,
            {
                'id': self._req.request_id,
                'object': 'chat.completion',
                'created': self._created,
                'model': self._req.job.model,
                'choices': [
                    {
                        'index': 0,
                        'message': {
                            'role': 'assistant',
                            'content': ''.join(self._texts),
                        },
                        'finish_reason': self._finish_reason(done),
                    }
                ],
                'usage': self._usage(done),
            },
            headers=self._request_id_header(),
        )

    def _finish_reason(self, done: Done) -> str:
        return (
            'length'
            if done.generated_tokens >= self._req.job.max_tokens
            else 'stop'
        )

    def _usage(self, done: Done) -> dict[str, int]:
        prompt_tokens = self._req.job.prompt_tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': done.generated_tokens,
            'total_tokens': prompt_tokens + done.generated_tokens,
            'cached_tokens': done.cached_tokens,
        }

    def _chunk(
        self,
        delta: dict[str, str],
        finish_reason: str | None,
    ) -> dict[str, object]:
        return {
            'id': self._req.request_id,
            'object': 'chat.completion.chunk',
            'created': self._created,
            'model': self._req.job.model,
            'choices': [
                {'index': 0, 'delta': delta, 'finish_reason': finish_reason},
            ],
        }

    def _request_id_header(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b'x-request-id', self._req.request_id.encode()),)

    async def _start_stream(self) -> None:
        if self._started:
            return
        await self._send(
            {
                'type': 'http.response.start',
                'status': HTTPStatus.OK,
                'headers': [
                    (b'content-type', SSE_TYPE),
                    (b'cache-control', b'no-cache'),
                    *self._request_id_header(),
                ],
            }
        )
        # Only now, because a cancellation may end the wait to send it.
        self._started = True

    async def _send_event(self, content: dict[str, object]) -> None:
        await self._send(
            {
                'type': 'http.response.body',
                'body': b'data: %b\n\n' % msgspec.json.encode(content),
                'more_body': True,
            }
        )


def _error_object(failure: Failure) -> dict[str, object]:
    answer = ERROR_RESPONSES[failure.kind]
    return {
        'kind': failure.kind,
        'message': failure.reason,
        'run': answer.run,
        'repeat_safe': answer.repeat_safe,
        'retry_after_ms': failure.retry_after_ms,
    }
