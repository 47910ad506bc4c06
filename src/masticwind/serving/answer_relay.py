"""Relays answers that are no event streams.

A short answer is kept until it is whole, so that another endpoint can be tried
if it breaks off. A longer one, or any while the process has no memory left for
it, is passed on as it arrives, no faster than its caller reads.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import anyio

from masticwind.byte_budget import Buffer
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.attempt_context import (
    AttemptContext,
    superseded_failure,
)
from masticwind.serving.interfaces import Reply
from masticwind.serving.turns import TurnTaker

MAX_KEPT_BYTES: Final = 65_536
# A body of unknown length that is longer speaks against its endpoint if the
# caller leaves before its end.
LONG_ANSWER_BYTES: Final = 4_194_304


@dataclass(frozen=True, slots=True)
class _Start:
    """The start of a body, and whether it is the whole body."""

    content: bytes
    is_whole: bool


async def relay_answer(context: AttemptContext, reply: Reply) -> Failure | None:
    """Relay an answer; None means that it has been sent to its end."""
    turn_taker = TurnTaker(context.turns)
    is_whole = await _relay_start(context, reply, turn_taker)
    if isinstance(is_whole, Failure):
        return is_whole
    if not is_whole:
        await _pass_on(context, reply, turn_taker)
    await context.answer.finish()
    return None


async def _relay_start(
    context: AttemptContext, reply: Reply, turn_taker: TurnTaker
) -> bool | Failure:
    """Relay the start of a body; return whether it is the whole body.

    The start is released here, as a slow caller may take long for the rest.
    """
    with context.byte_budget.open_buffer() as buffer:
        start = await _read_start(reply.chunks, buffer, turn_taker)
        if context.answer.started:
            return Failure(
                kind=ErrorKind.FAILED_AFTER_START,
                reason=(
                    f'the resumption was answered with status {reply.status}'
                ),
            )
        failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and context.leave_to_retry():
            return Failure(
                kind=ErrorKind.INTERNAL,
                reason=f'the endpoint failed with status {reply.status}',
            )
        if not context.claim():
            return superseded_failure()
        length = len(start.content) if start.is_whole else reply.length
        context.progress.is_resumable = start.is_whole
        await context.answer.start(reply.status, reply.headers, length)
        await context.answer.write(start.content)
        return start.is_whole


async def _read_start(
    chunks: AsyncIterator[bytes], buffer: Buffer, turn_taker: TurnTaker
) -> _Start:
    content = bytearray()
    async for chunk in chunks:
        content += chunk
        if len(content) > MAX_KEPT_BYTES or not buffer.try_grow(len(chunk)):
            return _Start(bytes(content), is_whole=False)
        await turn_taker.record_chunk(len(chunk))
    return _Start(bytes(content), is_whole=True)


async def _pass_on(
    context: AttemptContext, reply: Reply, turn_taker: TurnTaker
) -> None:
    passed_bytes = 0
    cancelled_type = anyio.get_cancelled_exc_class()
    try:
        async for chunk in reply.chunks:
            passed_bytes += len(chunk)
            await context.answer.write(chunk)
            await turn_taker.record_chunk(len(chunk))
    except cancelled_type:
        if reply.length is None and passed_bytes > LONG_ANSWER_BYTES:
            context.on_endless()
        raise
