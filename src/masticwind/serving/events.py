"""Splits a stream of server-sent events into complete events.

Only complete events are relayed, so that an interrupted stream can be resumed
after the last one.
"""

from dataclasses import dataclass
from typing import Final

ID_FIELD: Final = b'id:'
MAX_EVENT_BYTES: Final = 262_144


@dataclass(frozen=True, slots=True)
class Event:
    """One event including its separator; its id is None if it has none."""

    event_id: int | None
    content: bytes

    @property
    def is_resumable(self) -> bool:
        """Whether it has an id, or is a comment, which needs none."""
        return self.event_id is not None or self.content.startswith(b':')


class EventSplitter:
    """Buffers bytes until they form complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds the start of an incomplete event."""
        return bool(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """The size of the incomplete event."""
        return len(self._buffer)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is over `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> list[Event]:
        """Add a chunk and return the events that it completes."""
        searched_bytes = max(0, len(self._buffer) - 1)
        self._buffer += chunk
        if self._buffer.find(b'\n\n', searched_bytes) < 0:
            return []
        texts = bytes(self._buffer).split(b'\n\n')
        self._buffer = bytearray(texts.pop())
        return [Event(_event_id(text), b'%b\n\n' % text) for text in texts]


def _event_id(text: bytes) -> int | None:
    for line in text.split(b'\n'):
        if not line.startswith(ID_FIELD):
            continue
        event_id = line[len(ID_FIELD) :].strip()
        return int(event_id) if event_id.isdigit() else None
    return None
