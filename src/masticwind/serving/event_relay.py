"""Relays the events of a streamed answer, also of a resumed one."""

from typing import Final

from masticwind.byte_budget import Buffer
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.requests import RequestProgress
from masticwind.serving.attempt_context import (
    AttemptContext,
    superseded_failure,
)
from masticwind.serving.events import (
    MAX_EVENT_BYTES,
    Event,
    EventSplitter,
)
from masticwind.serving.interfaces import Reply
from masticwind.serving.silence_timer import SilenceTimer
from masticwind.serving.turns import TurnTaker

# A smaller part of an event does not count in the budget of buffered bytes.
MIN_COUNTED_BYTES: Final = 4096
# More events in one chunk come from a backlog, or from a faulty endpoint.
MAX_EVENTS_PER_TURN: Final = 64


async def relay_events(context: AttemptContext, reply: Reply) -> Failure | None:
    """Relay complete events; None means that the answer is complete.

    A resumed stream goes on only with an answer that continues it.
    """
    splitter = EventSplitter()
    resumed = context.answer.started
    if resumed and not reply.is_event_stream:
        return _no_continuation('it is no event stream')
    turn_taker = TurnTaker(context.turns)
    with (
        context.byte_budget.open_buffer() as buffer,
        SilenceTimer(context) as timer,
    ):
        # Only a complete event restarts the timer, so that an endpoint that
        # sends single bytes counts as silent, too.
        timer.start(context.limits.head_timeout_s)
        async for chunk in reply.chunks:
            received = splitter.feed(chunk)
            if resumed and not all(event.is_resumable for event in received):
                return _no_continuation('an event has no id')
            events = _new_events(context.progress, received)
            if events:
                # The caller may be slow to read them.
                timer.stop()
                if not context.claim():
                    return superseded_failure()
                await _write_events(context, reply, events)
                timer.start(context.limits.idle_timeout_s)
            oversized = _oversized_failure(splitter, buffer)
            if oversized is not None:
                return oversized
            if not received:
                await turn_taker.record_chunk(len(chunk))
            elif len(received) > MAX_EVENTS_PER_TURN:
                await context.turns.wait()
    failure = _premature_end(context, reply, splitter, resumed=resumed)
    return failure or await _finish(context)


def _oversized_failure(
    splitter: EventSplitter, buffer: Buffer
) -> Failure | None:
    """Return a failure if the incomplete event is too large to be kept."""
    if splitter.is_oversized:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'an event is over {MAX_EVENT_BYTES} bytes',
        )
    counted_bytes = splitter.partial_bytes
    if counted_bytes < MIN_COUNTED_BYTES:
        counted_bytes = 0
    if buffer.try_hold(counted_bytes):
        return None
    return Failure(
        kind=ErrorKind.FAILED_AFTER_START,
        reason='the process has no memory for a large event',
    )


async def _finish(context: AttemptContext) -> Failure | None:
    if not context.claim():
        return superseded_failure()
    await context.answer.finish()
    return None


async def _write_events(
    context: AttemptContext, reply: Reply, events: list[Event]
) -> None:
    context.state.event_count += len(events)
    context.progress.record_events(events)
    if not context.answer.started:
        await context.answer.start(reply.status, reply.headers, None)
    context.on_event()
    await context.answer.write(b''.join(event.content for event in events))


def _premature_end(
    context: AttemptContext,
    reply: Reply,
    splitter: EventSplitter,
    *,
    resumed: bool,
) -> Failure | None:
    """Return a failure if the end of the body is not that of the stream."""
    if splitter.has_partial_event or not context.answer.started:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason='the stream ended within an event',
        )
    if resumed and not reply.framed and not context.state.event_count:
        return _no_continuation('its connection ended without an event')
    return None


def _no_continuation(reason: str) -> Failure:
    """Return the failure of an answer that does not continue a stream."""
    return Failure(
        kind=ErrorKind.FAILED_AFTER_START,
        reason=f'the answer to the resumption does not continue: {reason}',
    )


def _new_events(progress: RequestProgress, events: list[Event]) -> list[Event]:
    """Drop events that the caller has received from another attempt."""
    new_events: list[Event] = []
    last = progress.last_event_id
    for event in events:
        if event.event_id is not None:
            if last is not None and event.event_id <= last:
                continue
            last = event.event_id
        new_events.append(event)
    return new_events
