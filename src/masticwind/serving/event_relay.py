"""Relays the events of a streamed answer, also of a resumed one."""

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission import RequestProgress
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


async def relay_events(context: AttemptContext, reply: Reply) -> Failure | None:
    """Relay complete events; None means that the answer is complete.

    A resumed stream goes on only with an answer that continues it.
    """
    splitter = EventSplitter()
    resumed = context.answer.started
    if resumed and not reply.is_event_stream:
        return _no_continuation('it is no event stream')
    with SilenceTimer(context) as timer:
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
            if splitter.is_oversized:
                return Failure(
                    kind=ErrorKind.FAILED_AFTER_START,
                    reason=f'an event is over {MAX_EVENT_BYTES} bytes',
                )
    failure = _premature_end(context, reply, splitter, resumed=resumed)
    return failure or await _finish(context)


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
